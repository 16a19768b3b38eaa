package catalog

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/raft"
)

// get returns the status and the body of an answer.
func (c *singleNodeCatalog) get(path string) (status int, body string) {
	resp, err := http.Get(c.http.URL + path)
	if err != nil {
		c.t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	return resp.StatusCode, string(text)
}

// watchFirstLine returns the first list of a watch after the given version.
func (c *singleNodeCatalog) watchFirstLine(afterVersion uint64) (list List) {
	c.t.Helper()
	client := http.Client{Timeout: 10 * time.Second}
	resp, err := client.Get(fmt.Sprintf("%s%s?stream=1&index=%d", c.http.URL, membersPath, afterVersion))
	if err != nil {
		c.t.Fatal(err)
	}
	defer resp.Body.Close()
	line, err := bufio.NewReader(resp.Body).ReadBytes('\n')
	if err != nil {
		c.t.Fatal(err)
	}
	if err := json.Unmarshal(line, &list); err != nil {
		c.t.Errorf("a watch after version %d begins with %q", afterVersion, line)
	}
	return list
}

// A watch must begin with the changes after its version: with none at the current version, and with
// the whole list at a version that this catalog has not reached, because another catalog assigned it.
func TestWatchStartsWithChangesOrWholeList(t *testing.T) {
	c := openSingleNode(t, t.TempDir(), freeAddr(t))
	defer c.close()
	c.mustPut("s-1")
	version := c.node.store.Version()
	if l := c.watchFirstLine(version); l.Version != version || l.Full || len(l.Servers) != 0 {
		t.Errorf("after the current version: %+v, want no changes", l)
	}
	if l := c.watchFirstLine(version + 1000); l.Version != version || !l.Full || len(l.Servers) != 1 {
		t.Errorf("after a version that is not reached: %+v, want the whole list", l)
	}
}

// A catalog rebuilt on an empty data folder must continue above the versions of the old catalog. If it
// reused them, a watch that resumes from an old version would miss hosts; it must get the whole list.
func TestRebuiltCatalogDoesNotReuseVersions(t *testing.T) {
	addr := freeAddr(t)
	old := openSingleNode(t, t.TempDir(), addr)
	old.mustPut("s-1", "s-2", "s-gone")
	version := old.node.store.Version()
	old.close()
	rebuilt := openSingleNode(t, t.TempDir(), addr)
	defer func() { rebuilt.close() }()
	rebuilt.mustPut("s-1", "s-2", "s-3", "s-4")
	if l := rebuilt.watchFirstLine(version); l.Version <= version || !l.Full || len(l.Servers) != 4 {
		t.Errorf("after version %d of the old catalog: %+v, want the whole list with a later version", version, l)
	}
	before := rebuilt.node.store.Version()
	dir := rebuilt.node.opt.DataDir
	rebuilt.close()
	rebuilt = openSingleNode(t, dir, addr)
	rebuilt.mustPut("s-5")
	if l := rebuilt.watchFirstLine(before); l.Full || len(l.Servers) != 1 {
		t.Errorf("after version %d and a restart: %+v, want the one change", before, l)
	}
}

// A restarted instance must serve no list before it has applied the log of its last run, although it
// leads already.
func TestRestartServesNoOlderList(t *testing.T) {
	addr, dir := freeAddr(t), t.TempDir()
	c := openSingleNode(t, dir, addr)
	c.mustPut("s-1")
	c.close()
	var stall sync.Mutex
	stall.Lock()
	c = openStalledNode(t, dir, addr, &stall)
	defer c.close()
	for c.node.raft.State() != raft.Leader {
		time.Sleep(time.Millisecond)
	}
	status, body := c.get(membersPath)
	if status != http.StatusServiceUnavailable {
		t.Errorf("before the log is applied: status %d, %s", status, body)
	}
	stall.Unlock()
	for status != http.StatusOK {
		status, body = c.get(membersPath)
	}
	if !strings.Contains(body, "s-1") {
		t.Errorf("after the log is applied: %s", body)
	}
}

// The log of the last run counts as applied once its last command is, or once a leader has removed the
// command or sent a snapshot.
func TestLogReplayEnds(t *testing.T) {
	command := raft.Log{Index: 1, Term: 1, Type: raft.LogCommand, Data: []byte(`{"op":"del","id":"s-1"}`)}
	for name, end := range map[string]func(storage raftStorage, store *Store) error{
		"applied":  func(_ raftStorage, store *Store) error { store.Apply(&command); return nil },
		"removed":  func(storage raftStorage, _ *Store) error { return storage.DeleteRange(1, 1) },
		"replaced": func(storage raftStorage, _ *Store) error { return storage.StoreLog(&raft.Log{Index: 1, Term: 2}) },
		"snapshot": func(_ raftStorage, store *Store) error { return store.Restore(io.NopCloser(strings.NewReader("{}"))) },
	} {
		storage, err := openBoltStorage(t.TempDir() + "/raft.db")
		if err != nil {
			t.Fatal(err)
		}
		defer storage.Close()
		if err := storage.StoreLog(&command); err != nil {
			t.Fatal(err)
		}
		replay, err := newLogReplay(storage, raft.NewInmemSnapshotStore())
		if err != nil {
			t.Fatal(err)
		}
		store := NewStore()
		if replay.finished(store) {
			t.Errorf("%s: finished before", name)
		}
		if err := end(storage, store); err != nil || !replay.finished(store) {
			t.Errorf("%s: not finished after, %v", name, err)
		}
	}
}
