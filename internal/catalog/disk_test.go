package catalog

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"

	"lynxspool/internal/faultnet"
)

// failingDisk is a data folder whose next writes fail on cue: as a sync that fails behind
// what was written, or as a write for which there is no space.
type failingDisk struct {
	*raftboltdb.BoltStore
	syncs, writes atomic.Int32 // that are still to fail
}

// do carries out a write, or fails it.
func (d *failingDisk) do(write func() error) error {
	if d.writes.Add(-1) >= 0 {
		return syscall.ENOSPC
	}
	if err := write(); err != nil {
		return err
	}
	if d.syncs.Add(-1) >= 0 {
		return syscall.EIO
	}
	return nil
}

func (d *failingDisk) StoreLog(l *raft.Log) error { return d.StoreLogs([]*raft.Log{l}) }

func (d *failingDisk) StoreLogs(logs []*raft.Log) error {
	return d.do(func() error { return d.BoltStore.StoreLogs(logs) })
}

func (d *failingDisk) Set(key, value []byte) error {
	return d.do(func() error { return d.BoltStore.Set(key, value) })
}

func (d *failingDisk) SetUint64(key []byte, value uint64) error {
	return d.do(func() error { return d.BoltStore.SetUint64(key, value) })
}

func (d *failingDisk) DeleteRange(from, to uint64) error {
	return d.do(func() error { return d.BoltStore.DeleteRange(from, to) })
}

// loneCatalog is an instance that is alone, on a failing disk.
type loneCatalog struct {
	t    *testing.T
	node *Node
	disk *failingDisk
	http *httptest.Server
}

func openLone(t *testing.T, dir, addr string) *loneCatalog {
	t.Helper()
	c := &loneCatalog{t: t}
	node, err := Open(Options{ID: "c1", DataDir: dir, RaftAddr: addr, HeartbeatTimeout: 50 * time.Millisecond, LogOutput: io.Discard,
		openStorage: func(path string) (raftStorage, error) {
			store, err := raftboltdb.New(raftboltdb.Options{Path: path})
			c.disk = &failingDisk{BoltStore: store}
			return c.disk, err
		}})
	if err != nil {
		t.Fatal(err)
	}
	c.node, c.http = node, httptest.NewServer(node.Handler())
	return c
}

func (c *loneCatalog) close() {
	c.http.Close()
	if err := c.node.Close(); err != nil {
		c.t.Error(err)
	}
}

// put writes a host and says how that was answered.
func (c *loneCatalog) put(id string) int {
	r, err := http.NewRequest(http.MethodPut, c.http.URL+membersPath+"/"+id, strings.NewReader(`{"addr":"127.0.0.1:80"}`))
	if err != nil {
		c.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		c.t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

// mustPut writes hosts, each until it is taken.
func (c *loneCatalog) mustPut(ids ...string) {
	c.t.Helper()
	const patience = 30 * time.Second
	for _, id := range ids {
		for end := time.Now().Add(patience); c.put(id) != http.StatusOK; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				c.t.Fatalf("%s is not taken", id)
			}
		}
	}
}

// freeAddr is a loopback address that is free.
func freeAddr(t *testing.T) string {
	t.Helper()
	addr, err := faultnet.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// A lone instance outlives a disk that fails some syncs or writes in a row, and takes writes
// again by itself; all that it has acknowledged is there after that and after a restart, and
// what failed leaves no entry of an older term behind one of a newer.
func TestLoneInstanceOutlivesAFailingDisk(t *testing.T) {
	addr, dir := freeAddr(t), t.TempDir()
	c := openLone(t, dir, addr)
	acknowledged := map[string]bool{}
	writeUntilTaken := func(id string) {
		t.Helper()
		c.mustPut(id)
		acknowledged[id] = true
	}
	writeUntilTaken("s-first")
	for i := range 24 {
		failures := int32(i%6 + 1)
		if i%2 == 0 {
			c.disk.syncs.Store(failures)
		} else {
			c.disk.writes.Store(failures)
		}
		// This one fails, and so may the steps that follow: a term, a vote, an entry of its own.
		if id := fmt.Sprint("s-failed-", i); c.put(id) == http.StatusOK {
			t.Fatalf("%s is acknowledged, though the disk failed", id)
		}
		writeUntilTaken(fmt.Sprint("s-", i))
	}
	check := func(when string) {
		t.Helper()
		for id := range acknowledged {
			if _, there := c.node.store.Get(id); !there {
				t.Errorf("%s: %s was acknowledged and is gone", when, id)
			}
		}
		first, _ := c.disk.FirstIndex()
		last, err := c.disk.LastIndex()
		if err != nil {
			t.Fatal(err)
		}
		var entry raft.Log
		for index, term := first, uint64(0); index <= last; index++ {
			if err := c.disk.GetLog(index, &entry); err != nil {
				t.Fatalf("%s: entry %d: %v", when, index, err)
			}
			if entry.Term < term {
				t.Errorf("%s: entry %d is of term %d, behind one of term %d", when, index, entry.Term, term)
			}
			term = entry.Term
		}
	}
	check("after the failures")
	c.close()
	c = openLone(t, dir, addr)
	defer c.close()
	writeUntilTaken("s-last")
	check("after the restart")
}
