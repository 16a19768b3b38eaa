package membership

import (
	"fmt"
	"testing"

	"github.com/hashicorp/memberlist"
)

// Gateways that come and go under new names do not fill the view. Those that are live stay in it, and of
// the others those that were live last.
func TestFormerPeersAreBounded(t *testing.T) {
	n := newNode(Options{Name: "a"})
	n.applyEvent(&memberlist.Node{Name: "live"}, Alive)
	for i := range 2 * maxFormerPeers {
		peer := &memberlist.Node{Name: fmt.Sprint("g", i)}
		n.applyEvent(peer, Alive)
		n.applyEvent(peer, Dead)
	}
	if peers := len(n.View()); peers != maxFormerPeers+1 {
		t.Errorf("the view has %d peers, want %d", peers, maxFormerPeers+1)
	}
	if last := fmt.Sprint("g", 2*maxFormerPeers-1); n.view["live"] == nil || n.view[last] == nil || n.view["g0"] != nil {
		t.Errorf("in the view: live %v, %s %v, g0 %v", n.view["live"], last, n.view[last], n.view["g0"])
	}
}
