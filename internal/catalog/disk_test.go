package catalog

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"

	"bramblelock/internal/faultnet"
)

// failingStorage is a raftStorage whose next writes can be made to fail. A failing sync leaves the
// written data in the file; a failing write leaves nothing, as on a full disk. Writes of log
// entries hang while stall is locked.
type failingStorage struct {
	*raftboltdb.BoltStore
	stall                       *sync.Mutex
	failingSyncs, failingWrites atomic.Int32 // number of upcoming syncs and writes that fail
}

// runWrite runs a write and returns its error, or an injected error.
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
	d.stall.Lock()
	defer d.stall.Unlock()
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

// singleNodeCatalog is one catalog instance on a failingStorage.
type singleNodeCatalog struct {
	t       *testing.T
	node    *Node
	storage *failingStorage
	http    *httptest.Server
}

func openSingleNode(t *testing.T, dir, addr string) *singleNodeCatalog {
	t.Helper()
	return openStalledNode(t, dir, addr, &sync.Mutex{})
}

// openStalledNode opens an instance whose storage has the given stall.
func openStalledNode(t *testing.T, dir, addr string, stall *sync.Mutex) *singleNodeCatalog {
	t.Helper()
	return openNode(t, Options{ID: "c1", DataDir: dir, RaftAddr: addr, HeartbeatTimeout: 50 * time.Millisecond}, stall)
}

// openNode opens an instance whose storage has the given stall.
func openNode(t *testing.T, opt Options, stall *sync.Mutex) *singleNodeCatalog {
	t.Helper()
	c := &singleNodeCatalog{t: t}
	opt.LogOutput = io.Discard
	opt.openStorage = func(path string) (raftStorage, error) {
		store, err := raftboltdb.New(raftboltdb.Options{Path: path})
		c.storage = &failingStorage{BoltStore: store, stall: stall}
		return c.storage, err
	}
	node, err := Open(opt)
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

// put registers a host and returns the HTTP status code.
func (c *singleNodeCatalog) put(id string) int { return c.putBody(id, `{"addr":"127.0.0.1:80"}`) }

// putBody writes an entry with a body in the form of Patch and returns the HTTP status code.
func (c *singleNodeCatalog) putBody(id, body string) int {
	r, err := http.NewRequest(http.MethodPut, c.http.URL+membersPath+"/"+id, strings.NewReader(body))
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

// mustPut registers hosts. It repeats each write until it is acknowledged.
func (c *singleNodeCatalog) mustPut(ids ...string) {
	c.t.Helper()
	const timeout = 30 * time.Second
	for _, id := range ids {
		for end := time.Now().Add(timeout); c.put(id) != http.StatusOK; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				c.t.Fatalf("the write of %s was not acknowledged within %v", id, timeout)
			}
		}
	}
}

// member returns the entry with the given id and whether it is in the list.
func (s *Store) member(id string) (Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.members[id]
	return m, ok
}

// freeAddr returns a free loopback address.
func freeAddr(t *testing.T) string {
	t.Helper()
	addr, err := faultnet.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// A single instance must survive a series of failed syncs or writes and then accept writes again by
// itself. Acknowledged writes must still be there afterwards and after a restart. An entry that a
// failed sync leaves in the log must not follow one of a newer term.
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
		// The injected failures hit this write and may also hit the writes of the election that
		// follows: a term, a vote, and the new leader's own log entry.
		if id := fmt.Sprint("s-failed-", i); c.put(id) == http.StatusOK {
			t.Fatalf("the write of %s was acknowledged although the storage failed", id)
		}
		mustPutAndRecord(fmt.Sprint("s-", i))
	}
	checkAcknowledgedAndTerms := func(when string) {
		t.Helper()
		for id := range acknowledged {
			if _, found := c.node.store.member(id); !found {
				t.Errorf("%s: acknowledged entry %s is missing", when, id)
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
				t.Fatalf("%s: log entry %d: %v", when, index, err)
			}
			if entry.Term < term {
				t.Errorf("%s: log entry %d has term %d but follows an entry of term %d", when, index, entry.Term, term)
			}
			term = entry.Term
		}
	}
	checkAcknowledgedAndTerms("after the failures")
	c.close()
	c = openSingleNode(t, dir, addr)
	defer c.close()
	mustPutAndRecord("s-last")
	checkAcknowledgedAndTerms("after the restart")
}
