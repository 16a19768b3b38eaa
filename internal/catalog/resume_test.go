package catalog

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// firstLine is the first list on a watch from a version on.
func (c *loneCatalog) firstLine(index uint64) (list List) {
	c.t.Helper()
	client := http.Client{Timeout: 10 * time.Second}
	resp, err := client.Get(fmt.Sprintf("%s%s?stream=1&index=%d", c.http.URL, pathMembers, index))
	if err != nil {
		c.t.Fatal(err)
	}
	defer resp.Body.Close()
	line, err := bufio.NewReader(resp.Body).ReadBytes('\n')
	if err != nil {
		c.t.Fatal(err)
	}
	if err := json.Unmarshal(line, &list); err != nil {
		c.t.Errorf("a watch from version %d on begins with %q", index, line)
	}
	return list
}

// A watch begins with what changed after its version: nothing, where that is the last one, and
// the whole list, where this catalog has not come to it: it was counted by another.
func TestWatchBeginsWithAList(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	c := openLone(t, t.TempDir(), addr)
	defer c.close()
	for end := time.Now().Add(30 * time.Second); c.put("s-1") != http.StatusOK; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no write is taken")
		}
	}
	version := c.node.store.Version()
	if l := c.firstLine(version); l.Version != version || l.Full || len(l.Servers) != 0 {
		t.Errorf("from the last version on: %+v, want no changes", l)
	}
	if l := c.firstLine(version + 1000); l.Version != version || !l.Full || len(l.Servers) != 1 {
		t.Errorf("from a version that is not come to: %+v, want the whole list", l)
	}
}
