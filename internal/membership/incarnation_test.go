package membership

import (
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"

	"bramblelock/internal/faultnet"
)

const conditionTimeout = 60 * time.Second // long, because test machines may be overloaded

// freeAddr returns a loopback address whose TCP port was free when it was probed; the node uses
// the port for UDP and TCP.
func freeAddr(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", faultnet.ProcessIP(86)+":0") // nothing else uses that address
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

// nodeAt returns a node with a name and an address.
func nodeAt(t *testing.T, name, addr string) *memberlist.Node {
	t.Helper()
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		t.Fatal(err)
	}
	return &memberlist.Node{Name: name, Addr: at.Addr().AsSlice(), Port: at.Port()}
}

// waitForPeer waits until the view of n has the named peer and ok accepts it; what describes the
// condition in the failure.
func waitForPeer(t *testing.T, n *Node, name, what string, ok func(Peer) bool) {
	t.Helper()
	var last Peer
	for end := time.Now().Add(conditionTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, p := range n.View() {
			if last = p; p.Name == name && ok(p) {
				return
			}
		}
	}
	t.Fatalf("%s is not %s: %+v", name, what, last)
}

// A process that restarts after its wall clock was stepped back announces a lower incarnation
// than its peers know, and they reject it. They send it the known incarnation; it must then
// announce a higher one and become alive in their views.
func TestRestartAfterClockStepBackIsAccepted(t *testing.T) {
	const before, after = 2_000_000_000_000, 1_999_996_400_000 // in Unix ms, one hour apart
	addrA, addrB := freeAddr(t), freeAddr(t)
	a := startNode(t, "a", addrA, before)
	defer a.Leave(time.Second)
	b := startNode(t, "b", addrB, before, addrA)
	waitForPeer(t, a, "b", "alive", func(p Peer) bool { return p.State == Alive })
	b.Leave(time.Second)
	waitForPeer(t, a, "b", "left", func(p Peer) bool { return p.State == Left })
	b = startNode(t, "b", addrB, after, addrA)
	defer b.Leave(time.Second)
	waitForPeer(t, a, "b", "alive again", func(p Peer) bool { return p.State == Alive && p.Incarnation > before })
}

// Peers' messages may arrive before memberlist.Create has returned. The node must answer them once it
// has started, and must drop them if the start fails.
func TestMessagesBeforeStart(t *testing.T) {
	const own, known = 1_999_996_400_000, 2_000_000_000_000 // in Unix ms
	addrA := freeAddr(t)
	a := startNode(t, "a", addrA, known)
	defer a.Leave(time.Second)
	startAfterMessages := func(bind string) (*Node, error) {
		opt := Options{Name: "b", Bind: bind, Incarnation: own, Local: true, Lists: fixedList("list"),
			Peers: []string{addrA}}
		b := newNode(opt)
		(*delegate)(b).NotifyMsg([]byte(listRequestPrefix + "a"))
		(*delegate)(b).NotifyMsg(fmt.Appendf(nil, "%s%d", incarnationPrefix, uint64(known)))
		go b.reportIncarnation(nodeAt(t, "a", addrA), known)
		return b, b.start(opt)
	}
	if _, err := startAfterMessages("no port"); err == nil {
		t.Error("a node started without a port")
	}
	b, err := startAfterMessages(freeAddr(t))
	if err != nil {
		t.Fatal(err)
	}
	defer b.Leave(time.Second)
	waitForPeer(t, a, "b", "alive with a raised incarnation", func(p Peer) bool { return p.State == Alive && p.Incarnation > known })
}

// Guards against a data race: messages to a peer read the node that memberlist changes as the peer announces
// new metadata.
func TestMessagesWhilePeerAnnounces(t *testing.T) {
	addrA := freeAddr(t)
	a := startNode(t, "a", addrA, 1)
	defer a.Leave(time.Second)
	b, err := Start(Options{Name: "b", Bind: freeAddr(t), Peers: []string{addrA}, Local: true, Lists: fixedList("list")})
	if err != nil {
		t.Fatal(err)
	}
	defer b.Leave(time.Second)
	for rank := range 5 {
		a.AnnounceLoad(rank+1, 0)
		waitForPeer(t, b, "a", fmt.Sprint("of rank ", rank+1), func(p Peer) bool {
			b.RequestLists()
			b.sendList("a")
			return p.Rank == rank+1
		})
	}
}

// fixedList offers a fixed host list and takes none.
type fixedList string

func (l fixedList) Offer() []byte     { return []byte(l) }
func (l fixedList) Take([]byte) error { return nil }
