package catalog

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"
)

// watchFirstLine is the first list on a watch from a version on.
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
		c.t.Errorf("a watch from version %d on begins with %q", afterVersion, line)
	}
	return list
}

// A watch begins with what changed after its version: nothing, where that is the last one, and
// the whole list, where this catalog has not come to it: it was counted by another.
func TestWatchStartsWithChangesOrWholeList(t *testing.T) {
	c := openSingleNode(t, t.TempDir(), freeAddr(t))
	defer c.close()
	c.mustPut("s-1")
	version := c.node.store.Version()
	if l := c.watchFirstLine(version); l.Version != version || l.Full || len(l.Servers) != 0 {
		t.Errorf("from the last version on: %+v, want no changes", l)
	}
	if l := c.watchFirstLine(version + 1000); l.Version != version || !l.Full || len(l.Servers) != 1 {
		t.Errorf("from a version that is not come to: %+v, want the whole list", l)
	}
}

// A catalog that was rebuilt on an empty folder counts on from beyond the old one, so that no
// version of one passes for a version of the other: a watch that resumes gets the whole list.
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
		t.Errorf("from version %d of the old one on: %+v, want the whole list under a later version", version, l)
	}
	before := rebuilt.node.store.Version()
	dir := rebuilt.node.opt.DataDir
	rebuilt.close()
	rebuilt = openSingleNode(t, dir, addr)
	rebuilt.mustPut("s-5")
	if l := rebuilt.watchFirstLine(before); l.Full || len(l.Servers) != 1 {
		t.Errorf("after a restart, from version %d on: %+v, want the one change", before, l)
	}
}
