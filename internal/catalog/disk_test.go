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

// failingStorage is a data folder whose next writes fail on cue: as a sync that fails behind
// what was written, or as a write for which there is no space.
type failingStorage struct {
	*raftboltdb.BoltStore
	failingSyncs, failingWrites atomic.Int32 // that are still to fail
}

// runWrite carries out a write, or fails it.
func (d *failingStorage) runWrite(write func() error) error {
	if d.failingWrites.Add(-1) >= 0 {
		return syscall.ENOSPC
	}
	if err := write(); err != nil {
		return err
	}
	if d.failingSyncs.Add(-1) >= 0 {
		return syscall.EIO
	}
	return nil
}

func (d *failingStorage) StoreLog(l *raft.Log) error { return d.StoreLogs([]*raft.Log{l}) }

func (d *failingStorage) StoreLogs(logs []*raft.Log) error {
	return d.runWrite(func() error { return d.BoltStore.StoreLogs(logs) })
}

func (d *failingStorage) Set(key, value []byte) error {
	return d.runWrite(func() error { return d.BoltStore.Set(key, value) })
}

func (d *failingStorage) SetUint64(key []byte, value uint64) error {
	return d.runWrite(func() error { return d.BoltStore.SetUint64(key, value) })
}

func (d *failingStorage) DeleteRange(from, to uint64) error {
	return d.runWrite(func() error { return d.BoltStore.DeleteRange(from, to) })
}

// singleNodeCatalog is an instance that is alone, on a failing disk.
type singleNodeCatalog struct {
	t       *testing.T
	node    *Node
	storage *failingStorage
	http    *httptest.Server
}

func openSingleNode(t *testing.T, dir, addr string) *singleNodeCatalog {
	t.Helper()
	c := &singleNodeCatalog{t: t}
	node, err := Open(Options{ID: "c1", DataDir: dir, RaftAddr: addr, HeartbeatTimeout: 50 * time.Millisecond, LogOutput: io.Discard,
		openStorage: func(path string) (raftStorage, error) {
			store, err := raftboltdb.New(raftboltdb.Options{Path: path})
			c.storage = &failingStorage{BoltStore: store}
			return c.storage, err
		}})
	if err != nil {
		t.Fatal(err)
	}
	c.node, c.http = node, httptest.NewServer(node.Handler())
	return c
}

func (c *singleNodeCatalog) close() {
	c.http.Close()
	if err := c.node.Close(); err != nil {
		c.t.Error(err)
	}
}

// put writes a host and says how that was answered.
func (c *singleNodeCatalog) put(id string) int {
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
func (c *singleNodeCatalog) mustPut(ids ...string) {
	c.t.Helper()
	const timeout = 30 * time.Second
	for _, id := range ids {
		for end := time.Now().Add(timeout); c.put(id) != http.StatusOK; time.Sleep(10 * time.Millisecond) {
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
func TestSingleInstanceSurvivesStorageFailures(t *testing.T) {
	addr, dir := freeAddr(t), t.TempDir()
	c := openSingleNode(t, dir, addr)
	acknowledged := map[string]bool{}
	mustPutAndRecord := func(id string) {
		t.Helper()
		c.mustPut(id)
		acknowledged[id] = true
	}
	mustPutAndRecord("s-first")
	for i := range 24 {
		failures := int32(i%6 + 1)
		if i%2 == 0 {
			c.storage.failingSyncs.Store(failures)
		} else {
			c.storage.failingWrites.Store(failures)
		}
		// This one fails, and so may the steps that follow: a term, a vote, an entry of its own.
		if id := fmt.Sprint("s-failed-", i); c.put(id) == http.StatusOK {
			t.Fatalf("%s is acknowledged, though the disk failed", id)
		}
		mustPutAndRecord(fmt.Sprint("s-", i))
	}
	check := func(when string) {
		t.Helper()
		for id := range acknowledged {
			if _, found := c.node.store.Get(id); !found {
				t.Errorf("%s: %s was acknowledged and is gone", when, id)
			}
		}
		first, _ := c.storage.FirstIndex()
		last, err := c.storage.LastIndex()
		if err != nil {
			t.Fatal(err)
		}
		var entry raft.Log
		for index, term := first, uint64(0); index <= last; index++ {
			if err := c.storage.GetLog(index, &entry); err != nil {
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
	c = openSingleNode(t, dir, addr)
	defer c.close()
	mustPutAndRecord("s-last")
	check("after the restart")
}
