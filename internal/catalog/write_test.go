package catalog

import (
	"errors"
	"net/http"
	"testing"
	"time"
)

// A partial change of a host must be committed by an instance whose list does not hold the host yet,
// because its list may be behind. A partial change of a host that is in no list must be refused.
func TestPartialChangeWhileListIsBehind(t *testing.T) {
	c := openSingleNode(t, t.TempDir(), freeAddr(t))
	defer c.close()
	c.mustPut("s-1")
	current := c.node.store
	c.node.store = NewStore() // as before the write of s-1 was applied
	if status := c.putBody("s-1", `{"state":"draining"}`); status != http.StatusOK {
		t.Errorf("a partial change of a host that the list does not hold yet: status %d", status)
	}
	if m, _ := current.member("s-1"); m.State != "draining" || m.Addr != "127.0.0.1:80" {
		t.Errorf("after the change: %+v", m)
	}
	if status := c.putBody("s-2", `{"state":"draining"}`); status != http.StatusBadRequest {
		t.Errorf("a partial change of an unknown host: status %d", status)
	}
}

// A write must end at its timeout although raft hangs in a write to its log. The instance must take
// writes again once the log does.
func TestWriteTimesOutWhileLogHangs(t *testing.T) {
	c := openSingleNode(t, t.TempDir(), freeAddr(t))
	defer c.close()
	c.mustPut("s-1")
	c.storage.stall.Lock()
	result := make(chan error, 1)
	go func() {
		_, err := c.node.write(command{Op: "del", ID: "s-1"}, 50*time.Millisecond)
		result <- err
	}()
	select {
	case err := <-result:
		if !errors.Is(err, errCommitTimeout) {
			t.Errorf("the write failed with %v, want %v", err, errCommitTimeout)
		}
	case <-time.After(10 * time.Second):
		t.Error("the write did not end")
	}
	c.storage.stall.Unlock()
	c.mustPut("s-2")
}
