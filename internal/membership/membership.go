// Package membership maintains a gateway's view of its fleet, based on hashicorp/memberlist (SWIM with
// suspicion and Lifeguard). The view has an entry for each known gateway, this one included, with its
// state, its incarnation and the time at which it was last confirmed alive. The other gateways are the
// peers. The package also announces this gateway's request rate to its peers and shares its host list
// with them.
package membership

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
	"golang.org/x/time/rate"
)

// The states of a peer in the view.
const (
	Alive   = "alive"
	Suspect = "suspect" // a probe by this gateway failed; the suspicion timeout has not expired
	Left    = "left"    // the peer announced that it leaves, as on SIGTERM
	Dead    = "dead"    // the peer answered neither probes nor indirect probes until the suspicion timeout
)

// Peer is the view's entry of one gateway.
type Peer struct {
	Name  string `json:"name"`
	Addr  string `json:"addr"`
	State string `json:"state"`
	// Incarnation identifies the peer's process. It comes from the peer's metadata and is the
	// start time of the process in Unix ms, or one more than the highest incarnation that another
	// gateway knew of the peer. Events with a lower incarnation than the view's are ignored: the
	// peer is sent the known incarnation and then announces a higher one.
	Incarnation uint64    `json:"incarnation"`
	Confirmed   time.Time `json:"confirmed"` // when the peer was last confirmed alive
	Since       time.Time `json:"since"`     // when the peer entered its present state
	Rank        int       `json:"rank"`      // rank in the peer's settings, as last announced
	Rate        float64   `json:"rate"`      // requests per second received by the peer, as last announced
	leaving     bool      // the peer announced that it leaves, so it ends as Left, not as Dead
}

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

// nodeMetadata is the metadata that a gateway publishes through memberlist, as JSON.
type nodeMetadata struct {
	Incarnation uint64  `json:"inc"`
	Leaving     bool    `json:"leaving,omitempty"`
	Rank        int     `json:"rank,omitempty"`
	Rate        float64 `json:"rate,omitempty"`
}

// announcedLoad is the rank and the requests per second that this gateway last announced to its peers.
type announcedLoad struct {
	rank int
	rate float64
	at   time.Time
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
	n := &Node{name: opt.Name, view: map[string]*Peer{}, lists: opt.Lists, listLimiter: newListLimiter(),
		created: make(chan struct{}), stopped: make(chan struct{})}
	n.incarnation.Store(opt.Incarnation)
	if opt.Incarnation == 0 {
		n.incarnation.Store(uint64(time.Now().UnixMilli()))
	}
	return n
}

// start creates the memberlist and begins to join peers.
func (n *Node) start(opt Options) error {
	defer close(n.created)
	host, portText, err := net.SplitHostPort(opt.Bind)
	if err != nil {
		return fmt.Errorf("membership bind: %w", err)
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return fmt.Errorf("membership bind: port %q", portText)
	}
	cfg := memberlist.DefaultLANConfig()
	if opt.Local {
		cfg = memberlist.DefaultLocalConfig()
	}
	cfg.Name, cfg.BindAddr, cfg.BindPort = opt.Name, host, port
	cfg.AdvertiseAddr, cfg.AdvertisePort = host, port
	cfg.Delegate, cfg.Events = (*delegate)(n), (*events)(n)
	cfg.Alive, cfg.Ping = (*events)(n), (*events)(n)
	cfg.Logger = log.New(&logSink{node: n}, "", 0)
	ml, err := memberlist.Create(cfg)
	if err != nil {
		return fmt.Errorf("membership: %w", err)
	}
	n.ml = ml
	go n.keepJoined(opt.Peers)
	return nil
}

// memberlist waits for the end of start and returns the memberlist, or nil if start failed. The
// memberlist delivers messages and events of peers before Create has returned it, so their handlers
// must use this method, in a goroutine of their own because Create may wait for the handler.
func (n *Node) memberlist() *memberlist.Memberlist {
	<-n.created
	return n.ml
}

// updateMetadata announces this gateway's metadata to its peers.
func (n *Node) updateMetadata() {
	if ml := n.memberlist(); ml != nil {
		ml.UpdateNode(announceInterval / 2)
	}
}

// Limits on the time between two joins of configured peers that are absent from the view.
const (
	minJoinWait      = 200 * time.Millisecond
	maxJoinWait      = 5 * time.Second
	maxJoinWaitAlone = time.Second // limit while the view has no live peer
)

// keepJoined joins configured peers that are not live (alive or suspect) in the view, a few at a time,
// until Leave is called. Nothing else finds a peer that started later, or the other side of a network
// partition that lasted until both sides declared each other dead.
func (n *Node) keepJoined(peers []string) {
	for wait := minJoinWait; ; wait = min(2*wait, maxJoinWait) {
		var absent []string
		for _, addr := range peers {
			if !n.hasLivePeer(addr) {
				absent = append(absent, addr)
			}
		}
		if n.LiveCount() <= 1 {
			wait = min(wait, maxJoinWaitAlone)
		}
		if len(absent) == 0 {
			wait = maxJoinWait
		} else {
			rand.Shuffle(len(absent), func(i, j int) { absent[i], absent[j] = absent[j], absent[i] })
			if joined, err := n.ml.Join(absent[:min(len(absent), 3)]); joined > 0 {
				slog.Info("membership joined", "through", joined)
			} else if wait == minJoinWait || wait == maxJoinWait {
				slog.Warn("membership: no peer answered the join, trying again", "absent", len(absent), "err", err)
			}
		}
		select {
		case <-n.stopped:
			return
		case <-time.After(wait/2 + rand.N(wait)):
		}
	}
}

// hasLivePeer reports whether the view has a live (alive or suspect) gateway at addr.
func (n *Node) hasLivePeer(addr string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.view {
		if p.Addr == addr && (p.State == Alive || p.State == Suspect) {
			return true
		}
	}
	return false
}

// Leave announces that this gateway leaves, so that its peers mark it as left at once, and stops
// the node. Leave must be called at most once.
func (n *Node) Leave(timeout time.Duration) error {
	n.leaving.Store(true)
	close(n.stopped)
	// Peers get the announcement directly and by gossip before memberlist's own leave message.
	message := []byte(leavePrefix + n.name)
	for _, m := range n.ml.Members() {
		if m.Name != n.name {
			n.ml.SendBestEffort(m, message)
		}
	}
	n.ml.UpdateNode(timeout / 2)
	err := n.ml.Leave(timeout / 2)
	n.ml.Shutdown()
	return err
}

// View returns all known gateways, this one included, sorted by name.
func (n *Node) View() []Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	peers := make([]Peer, 0, len(n.view))
	for _, p := range n.view {
		peers = append(peers, *p)
	}
	sort.Slice(peers, func(i, j int) bool { return peers[i].Name < peers[j].Name })
	return peers
}

// UnreadableCount returns how many packets and streams memberlist could not decode, plus how many
// lists from peers were refused.
func (n *Node) UnreadableCount() int64 { return n.unreadable.Load() }

// LastChange returns the last change of a state in the view, as "name state".
func (n *Node) LastChange() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lastChange
}

// Limits on announcements of the request rate, as each one is gossiped through the whole fleet.
const (
	minRateChange    = 0.3              // relative change of the rate beyond which it is announced at once
	announceInterval = 10 * time.Second // between two announcements of smaller changes
)

// AnnounceLoad announces this gateway's rank and its requests per second to its peers. A new rank and
// a change of the rate by more than minRateChange are announced at once, other rates at most once per
// announceInterval. AnnounceLoad does not block.
func (n *Node) AnnounceLoad(rank int, rate float64) {
	now, old := time.Now(), n.announced.Load()
	if old != nil && old.rank == rank && now.Sub(old.at) < announceInterval &&
		math.Abs(rate-old.rate) <= minRateChange*max(old.rate, 0.1) {
		return
	}
	n.announced.Store(&announcedLoad{rank, math.Round(rate*1000) / 1000, now})
	go n.updateMetadata()
}

// LiveCount returns the number of alive and suspect gateways, this one included.
func (n *Node) LiveCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	live := 0
	for _, p := range n.view {
		if p.State == Alive || p.State == Suspect {
			live++
		}
	}
	return live
}

// applyEvent updates a gateway's entry in the view from a memberlist event, which gives its state, and
// logs a change of the state. An event with a lower incarnation than the entry's is ignored.
func (n *Node) applyEvent(node *memberlist.Node, state string) {
	now := time.Now()
	var m nodeMetadata
	json.Unmarshal(node.Meta, &m)
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.view[node.Name]
	if p == nil {
		p = &Peer{Name: node.Name}
		n.view[node.Name] = p
	}
	if m.Incarnation != 0 && m.Incarnation < p.Incarnation {
		slog.Warn("membership: peer says an older incarnation, not believed", "peer", node.Name,
			"incarnation", m.Incarnation, "known", p.Incarnation, "state", state)
		if state == Alive {
			peer := *node                                // a copy, because memberlist modifies its node
			go n.reportIncarnation(&peer, p.Incarnation) // in a goroutine, because memberlist holds its lock here
		}
		return
	}
	if m.Incarnation > p.Incarnation {
		p.leaving = false // a new process has taken over the name
	}
	p.leaving = p.leaving || m.Leaving
	if p.leaving {
		state = Left // a leaving peer stays left whatever memberlist reports
	}
	if m.Incarnation != 0 {
		p.Incarnation = m.Incarnation
	}
	p.Addr, p.Rank, p.Rate = node.Address(), m.Rank, max(m.Rate, 0)
	if state == Alive {
		p.Confirmed = now
	}
	if p.State != state {
		old := p.State
		p.State, p.Since, n.lastChange = state, now, node.Name+" "+state
		slog.Info("membership change", "peer", node.Name, "from", old, "to", state,
			"incarnation", p.Incarnation, "addr", p.Addr)
	}
}

// setLiveness moves a peer between alive and suspect, for which memberlist has no event. A peer
// becomes suspect when this gateway's own probe of it fails, as memberlist's log shows, and alive
// again when a probe is acknowledged or an alive message about the peer arrives, such as a refutation.
// Left and Dead come only from memberlist's events and from a peer's leave announcement.
func (n *Node) setLiveness(name, state string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.view[name]
	if p == nil || (p.State != Alive && p.State != Suspect) {
		return
	}
	if state == Alive {
		p.Confirmed = time.Now()
	}
	if p.State != state {
		slog.Info("membership change", "peer", name, "from", p.State, "to", state,
			"incarnation", p.Incarnation, "addr", p.Addr)
		p.State, p.Since, n.lastChange = state, time.Now(), name+" "+state
	}
}

// events implements memberlist's EventDelegate, AliveDelegate and PingDelegate.
type events Node

func (e *events) NotifyJoin(m *memberlist.Node)   { (*Node)(e).applyEvent(m, Alive) }
func (e *events) NotifyUpdate(m *memberlist.Node) { (*Node)(e).applyEvent(m, Alive) }
func (e *events) NotifyLeave(m *memberlist.Node)  { (*Node)(e).applyEvent(m, Dead) } // applyEvent replaces Dead by Left for a peer that announced that it leaves
func (e *events) NotifyAlive(m *memberlist.Node) error {
	(*Node)(e).setLiveness(m.Name, Alive)
	return nil
}
func (e *events) AckPayload() []byte { return nil }
func (e *events) NotifyPingComplete(m *memberlist.Node, _ time.Duration, _ []byte) {
	(*Node)(e).setLiveness(m.Name, Alive)
}

// delegate implements memberlist.Delegate. Its methods for host lists are in lists.go.
type delegate Node

// NodeMeta returns this gateway's metadata, or nil if it is longer than limit bytes.
func (d *delegate) NodeMeta(limit int) []byte {
	m := nodeMetadata{Incarnation: d.incarnation.Load(), Leaving: d.leaving.Load()}
	if l := d.announced.Load(); l != nil {
		m.Rank, m.Rate = l.rank, l.rate
	}
	b, _ := json.Marshal(m)
	if len(b) > limit {
		return nil
	}
	return b
}

// leavePrefix begins the message by which a gateway announces that it leaves. The name of the gateway
// follows.
const leavePrefix = "leaving:"

// NotifyMsg handles a message from a peer, by its prefix: a host list, a request for one, the incarnation
// that the peer knows of this process, or the announcement that a peer leaves. Others are ignored.
func (d *delegate) NotifyMsg(b []byte) {
	if list, ok := bytes.CutPrefix(b, []byte(listMessagePrefix)); ok {
		(*Node)(d).receiveList(bytes.Clone(list)) // memberlist reuses the buffer
		return
	}
	if name, ok := bytes.CutPrefix(b, []byte(listRequestPrefix)); ok {
		go (*Node)(d).sendList(string(name)) // sending may block on the peer
		return
	}
	if known, ok := bytes.CutPrefix(b, []byte(incarnationPrefix)); ok {
		(*Node)(d).raiseIncarnation(string(known))
		return
	}
	name, ok := bytes.CutPrefix(b, []byte(leavePrefix))
	if !ok {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.view[string(name)]; p != nil && p.State != Left {
		p.leaving = true
		slog.Info("membership change", "peer", p.Name, "from", p.State, "to", Left,
			"incarnation", p.Incarnation, "addr", p.Addr)
		p.State, p.Since, d.lastChange = Left, time.Now(), p.Name+" "+Left
	}
}

func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte { return nil }

// suspectLogPrefix begins the line that memberlist logs when its own probe of a peer fails.
const suspectLogPrefix = "[INFO] memberlist: Suspect "

// logSink receives memberlist's log lines. It marks the peers that memberlist suspects, counts decoding
// failures, and forwards lines other than debug and info to slog, at most one per second. Further lines
// are dropped.
type logSink struct {
	node       *Node
	mu         sync.Mutex
	lastLogged time.Time
}

func (s *logSink) Write(b []byte) (int, error) {
	line := string(bytes.TrimSpace(b))
	if event, ok := bytes.CutPrefix(bytes.TrimSpace(b), []byte(suspectLogPrefix)); ok {
		if name, ok := bytes.CutSuffix(event, []byte(" has failed, no acks received")); ok {
			s.node.setLiveness(string(name), Suspect)
		}
	}
	if bytes.Contains(b, []byte("[DEBUG]")) || bytes.Contains(b, []byte("[INFO]")) {
		return len(b), nil
	}
	if bytes.Contains(b, []byte("decode")) || bytes.Contains(b, []byte("message type")) ||
		bytes.Contains(b, []byte("Failed to read")) || bytes.Contains(b, []byte("too small")) {
		s.node.unreadable.Add(1)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.lastLogged) >= time.Second {
		s.lastLogged = time.Now()
		slog.Warn("memberlist logged a problem", "line", line, "unreadable", s.node.unreadable.Load())
	}
	return len(b), nil
}

var _ io.Writer = (*logSink)(nil)
