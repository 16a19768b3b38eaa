package catalog

import (
	"net/http"
	"testing"
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
