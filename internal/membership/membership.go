// Package membership maintains a gateway's view of its fleet, based on hashicorp/memberlist (SWIM with
// suspicion and Lifeguard). The view has an entry for each known gateway, this one included, with its
// state, its incarnation and the time at which it was last confirmed alive. The other gateways are the
// peers. The package also announces this gateway's request rate to its peers and shares its host list
// with them.
package membership

import (
	"fmt"
	"log"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
	"golang.org/x/time/rate"
)

// Options configure a Node.
type Options struct {
	Name  string   // unique among the gateways
	Bind  string   // host:port for memberlist's UDP and TCP
	Peers []string // host:port of gateways to join
	// Incarnation is the incarnation of this process; 0 stands for the present time in Unix ms.
	Incarnation uint64
	// Local selects memberlist's timing for a single machine (a probe timeout of 200 ms)
	// instead of its LAN timing (500 ms). Both probe one peer per second.
	Local bool
	// Lists gives access to the host list to share with peers; nil disables sharing.
	Lists Lists
}

// Node is this gateway's participation in the membership protocol. It is safe for concurrent use.
type Node struct {
	created     chan struct{}          // closed at the end of start; ml must not be read earlier
	ml          *memberlist.Memberlist // runs the protocol; nil if start failed
	name        string                 // unique name of this gateway
	incarnation atomic.Uint64          // incarnation of this process
	unreadable  atomic.Int64           // packets and streams that memberlist could not decode, plus refused lists
	// leaving is announced in the metadata before memberlist's own leave message, because
	// memberlist delivers the same event for a peer that left and for one that died.
	leaving atomic.Bool

	lists       Lists
	listLimiter *rate.Limiter                 // limits the lists that are sent on request
	stopped     chan struct{}                 // closed by Leave
	announced   atomic.Pointer[announcedLoad] // nil before the first announcement

	mu         sync.Mutex
	view       map[string]*Peer // by name; includes this gateway
	lastChange string           // last change of the view, as "name state"
}

// Start starts a Node, which maintains the view and joins absent peers in the background until Leave
// is called.
func Start(opt Options) (*Node, error) {
	n := newNode(opt)
	if err := n.start(opt); err != nil {
		return nil, err
	}
	return n, nil
}

// newNode returns a Node that has not started.
func newNode(opt Options) *Node {
	n := &Node{
		name:        opt.Name,
		view:        map[string]*Peer{},
		lists:       opt.Lists,
		listLimiter: newListLimiter(),
		created:     make(chan struct{}),
		stopped:     make(chan struct{}),
	}
	n.incarnation.Store(opt.Incarnation)
	if opt.Incarnation == 0 {
		n.incarnation.Store(uint64(time.Now().UnixMilli()))
	}
	return n
}

// start creates the memberlist and begins to join peers.
func (n *Node) start(opt Options) error {
	defer close(n.created)
	config, err := n.newConfig(opt)
	if err != nil {
		return err
	}
	ml, err := memberlist.Create(config)
	if err != nil {
		return fmt.Errorf("membership: %w", err)
	}
	n.ml = ml
	go n.keepJoined(opt.Peers)
	return nil
}

// newConfig returns the configuration of the memberlist, with this node as its delegate.
func (n *Node) newConfig(opt Options) (*memberlist.Config, error) {
	host, portText, err := net.SplitHostPort(opt.Bind)
	if err != nil {
		return nil, fmt.Errorf("membership bind: %w", err)
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return nil, fmt.Errorf("membership bind: port %q", portText)
	}
	config := memberlist.DefaultLANConfig()
	if opt.Local {
		config = memberlist.DefaultLocalConfig()
	}
	config.Name = opt.Name
	config.BindAddr = host
	config.BindPort = port
	config.AdvertiseAddr = host
	config.AdvertisePort = port
	config.Delegate = (*delegate)(n)
	config.Events = (*events)(n)
	config.Alive = (*events)(n)
	config.Ping = (*events)(n)
	config.Logger = log.New(&logSink{node: n}, "", 0)
	return config, nil
}

// memberlist waits for the end of start and returns the memberlist, or nil if start failed. The
// memberlist delivers messages and events of peers before Create has returned it, so their handlers
// must use this method, in a goroutine of their own because Create may wait for the handler.
func (n *Node) memberlist() *memberlist.Memberlist {
	<-n.created
	return n.ml
}

// Leave announces that this gateway leaves, so that its peers mark it as left at once, and stops
// the node. Leave must be called at most once.
func (n *Node) Leave(timeout time.Duration) error {
	n.leaving.Store(true)
	close(n.stopped)
	// Peers get the announcement directly and by gossip before memberlist's own leave message.
	message := []byte(leavePrefix + n.name)
	for _, peer := range n.livePeers() {
		n.ml.SendBestEffort(peer, message)
	}
	n.ml.UpdateNode(timeout / 2)
	err := n.ml.Leave(timeout / 2)
	n.ml.Shutdown()
	return err
}

// UnreadableCount returns how many packets and streams memberlist could not decode, plus how many
// lists from peers were refused.
func (n *Node) UnreadableCount() int64 { return n.unreadable.Load() }
