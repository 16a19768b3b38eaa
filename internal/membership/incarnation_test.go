package membership

import (
	"net"
	"testing"
	"time"
)

const patience = 60 * time.Second // for a condition: long, as machines are noisy

// freeBind is a loopback address whose port was free just now, for UDP and TCP.
func freeBind(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.86:0") // nothing else uses that address
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

func startNode(t *testing.T, name, bind string, incarnation uint64, peers ...string) *Node {
	t.Helper()
	n, err := Start(Options{Name: name, Bind: bind, Peers: peers, Incarnation: incarnation, Local: true})
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// awaitPeer waits until a node has a peer as is wanted.
func awaitPeer(t *testing.T, n *Node, name, what string, ok func(Peer) bool) {
	t.Helper()
	var last Peer
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, p := range n.View() {
			if last = p; p.Name == name && ok(p) {
				return
			}
		}
	}
	t.Fatalf("%s is not %s: %+v", name, what, last)
}

// A process that is started anew after the wall clock was stepped back says a lower
// incarnation than its peers know. It hears of that, takes a higher one, and is alive.
func TestRestartAfterAStepBackIsBelieved(t *testing.T) {
	const before, after = 2_000_000_000_000, 1_999_996_400_000 // an hour less
	here, there := freeBind(t), freeBind(t)
	a := startNode(t, "a", here, before)
	defer a.Leave(time.Second)
	b := startNode(t, "b", there, before, here)
	awaitPeer(t, a, "b", "alive", func(p Peer) bool { return p.State == Alive })
	b.Leave(time.Second)
	awaitPeer(t, a, "b", "left", func(p Peer) bool { return p.State == Left })
	b = startNode(t, "b", there, after, here)
	defer b.Leave(time.Second)
	awaitPeer(t, a, "b", "alive again", func(p Peer) bool { return p.State == Alive && p.Incarnation > before })
}
