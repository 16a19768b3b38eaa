// Package membership tells a gateway which other gateways are present: a view kept
// from hashicorp/memberlist (SWIM with suspicion and Lifeguard), with each peer's
// state, incarnation and the time it was last confirmed.
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
	Suspect = "suspect"
	Left    = "left" // said goodbye (SIGTERM)
	Dead    = "dead" // stopped answering probes and indirect probes, suspicion ran out
)

// Peer is one gateway as the view has it.
type Peer struct {
	Name  string `json:"name"`
	Addr  string `json:"addr"`
	State string `json:"state"`
	// Incarnation is the process's: its start in Unix ms, from its metadata, or one more
	// than a peer knew of it. A peer that says a lower one than the view holds is not
	// believed; it is told which is known, and takes a higher one.
	Incarnation uint64    `json:"incarnation"`
	Confirmed   time.Time `json:"confirmed"` // last seen in this state or alive
	Since       time.Time `json:"since"`     // of the present state
	Rank        int       `json:"rank"`      // of its settings, and
	Rate        float64   `json:"rate"`      // requests a second that came to it, as it told last
	leaving     bool      // it said it leaves: its end is a goodbye
}

// Options configure a Node.
type Options struct {
	Name  string   // unique among the gateways
	Bind  string   // host:port for memberlist's UDP and TCP
	Peers []string // host:port of some others, to join through
	// Incarnation of this process; 0 takes the present time in ms.
	Incarnation uint64
	// Local takes memberlist's timing for one machine (a probe waits 200 ms for its
	// answer) instead of its LAN timing (500 ms); both probe one peer a second.
	Local bool
	// Lists, if set, is shared with peers that have none.
	Lists Lists
}

// Node is this gateway's membership.
type Node struct {
	ml   *memberlist.Memberlist
	self string
	inc  atomic.Uint64 // incarnation of this process
	bad  atomic.Int64  // packets and streams that could not be read
	// leaving is said in the metadata before the goodbye: memberlist tells a goodbye and
	// a death alike to the events, so the view tells them apart by this.
	leaving atomic.Bool

	lists   Lists
	gives   *rate.Limiter
	stopped chan struct{} // closed by Leave
	load    atomic.Pointer[load]

	mu   sync.Mutex
	view map[string]*Peer
	why  string // the last change of the view
}

type meta struct {
	Inc     uint64  `json:"inc"`
	Leaving bool    `json:"leaving,omitempty"`
	Rank    int     `json:"rank,omitempty"`
	Rate    float64 `json:"rate,omitempty"`
}

// load is this gateway's place and traffic, as told to the others.
type load struct {
	rank int
	rate float64
	at   time.Time
}

// Start begins to join the peers, and goes on as long as some are absent, and keeps the view.
func Start(opt Options) (*Node, error) {
	host, portText, err := net.SplitHostPort(opt.Bind)
	if err != nil {
		return nil, fmt.Errorf("membership bind: %w", err)
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return nil, fmt.Errorf("membership bind: port %q", portText)
	}
	n := &Node{self: opt.Name, view: map[string]*Peer{}, lists: opt.Lists, gives: newGives(), stopped: make(chan struct{})}
	n.inc.Store(opt.Incarnation)
	if opt.Incarnation == 0 {
		n.inc.Store(uint64(time.Now().UnixMilli()))
	}
	cfg := memberlist.DefaultLANConfig()
	if opt.Local {
		cfg = memberlist.DefaultLocalConfig()
	}
	cfg.Name, cfg.BindAddr, cfg.BindPort = opt.Name, host, port
	cfg.AdvertiseAddr, cfg.AdvertisePort = host, port
	cfg.Delegate, cfg.Events = (*delegate)(n), (*events)(n)
	cfg.Alive, cfg.Ping = (*events)(n), (*events)(n)
	cfg.Logger = log.New(&logSink{n: n}, "", 0)
	if n.ml, err = memberlist.Create(cfg); err != nil {
		return nil, fmt.Errorf("membership: %w", err)
	}
	go n.keepJoined(opt.Peers)
	return n, nil
}

// Waits between two joins of peers that the view lacks.
const (
	joinFirst = 200 * time.Millisecond
	joinMost  = 5 * time.Second
	joinAlone = time.Second // ... while it sees nobody
)

// keepJoined joins configured peers that are not alive in the view, a few at a time, as
// long as this node runs. A peer that started later, or the other side of a cut that lasted
// until each had the other dead, is found by nothing else.
func (n *Node) keepJoined(peers []string) {
	for wait := joinFirst; ; wait = min(2*wait, joinMost) {
		var absent []string
		for _, addr := range peers {
			if !n.sees(addr) {
				absent = append(absent, addr)
			}
		}
		if n.LiveCount() <= 1 {
			wait = min(wait, joinAlone)
		}
		if len(absent) == 0 {
			wait = joinMost
		} else {
			rand.Shuffle(len(absent), func(i, j int) { absent[i], absent[j] = absent[j], absent[i] })
			if joined, err := n.ml.Join(absent[:min(len(absent), 3)]); joined > 0 {
				slog.Info("membership joined", "through", joined)
			} else if wait == joinFirst || wait == joinMost {
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

// sees says whether the view has an address alive or suspect.
func (n *Node) sees(addr string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.view {
		if p.Addr == addr && (p.State == Alive || p.State == Suspect) {
			return true
		}
	}
	return false
}

// Leave says goodbye, so that peers mark this one left at once, and stops.
func (n *Node) Leave(timeout time.Duration) error {
	n.leaving.Store(true)
	close(n.stopped)
	// Each peer hears it straight away, then by gossip, and only then the goodbye.
	word := []byte(leaveWord + n.self)
	for _, m := range n.ml.Members() {
		if m.Name != n.self {
			n.ml.SendBestEffort(m, word)
		}
	}
	n.ml.UpdateNode(timeout / 2)
	err := n.ml.Leave(timeout / 2)
	n.ml.Shutdown()
	return err
}

// View returns the peers, this one included, by name.
func (n *Node) View() []Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make([]Peer, 0, len(n.view))
	for _, p := range n.view {
		out = append(out, *p)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// UnreadableCount counts the packets and streams that memberlist could not decode.
func (n *Node) UnreadableCount() int64 { return n.bad.Load() }

// LastChange is the last change of the view: a peer and its new state.
func (n *Node) LastChange() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.why
}

// How far a rate has to move to be told before its time, and that time: each telling is
// gossiped through the whole bank.
const (
	tellMoved = 0.3
	tellEvery = 10 * time.Second
)

// AnnounceLoad lets the others know this gateway's rank and traffic: at once where that moved by
// much, else every tellEvery at most. It does not wait for them.
func (n *Node) AnnounceLoad(rank int, rate float64) {
	now, old := time.Now(), n.load.Load()
	if old != nil && old.rank == rank && now.Sub(old.at) < tellEvery &&
		math.Abs(rate-old.rate) <= tellMoved*max(old.rate, 0.1) {
		return
	}
	n.load.Store(&load{rank, math.Round(rate*1000) / 1000, now})
	go n.ml.UpdateNode(tellEvery / 2)
}

// LiveCount counts the peers alive or suspect, this one included.
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

// set moves a peer to a state, and logs it if that is a change.
func (n *Node) set(node *memberlist.Node, state string) {
	now := time.Now()
	var m meta
	json.Unmarshal(node.Meta, &m)
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.view[node.Name]
	if p == nil {
		p = &Peer{Name: node.Name}
		n.view[node.Name] = p
	}
	if m.Inc != 0 && m.Inc < p.Incarnation {
		slog.Warn("membership: peer says an older incarnation, not believed", "peer", node.Name,
			"incarnation", m.Inc, "known", p.Incarnation, "state", state)
		if state == Alive {
			peer := *node                              // memberlist changes it
			go n.tellIncarnation(&peer, p.Incarnation) // not from here: memberlist holds its lock
		}
		return
	}
	if m.Inc > p.Incarnation {
		p.leaving = false // a new process under the old name
	}
	p.leaving = p.leaving || m.Leaving
	if p.leaving {
		state = Left // its goodbye holds over what the list says until it is gone
	}
	if m.Inc != 0 {
		p.Incarnation = m.Inc
	}
	p.Addr, p.Rank, p.Rate = node.Address(), m.Rank, max(m.Rate, 0)
	if state == Alive {
		p.Confirmed = now
	}
	if p.State != state {
		old := p.State
		p.State, p.Since, n.why = state, now, node.Name+" "+state
		slog.Info("membership change", "peer", node.Name, "from", old, "to", state,
			"incarnation", p.Incarnation, "addr", p.Addr)
	}
}

// mark moves a peer between alive and suspect, which memberlist tells no event of: it
// is suspect when this gateway's own probe of it failed (memberlist's log line), and
// alive again when a probe is acked or an alive message about it is heard, as a
// refutation is. Left and dead come only from memberlist's events.
func (n *Node) mark(name, state string) {
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
		p.State, p.Since, n.why = state, time.Now(), name+" "+state
	}
}

type events Node

func (e *events) NotifyJoin(m *memberlist.Node)   { (*Node)(e).set(m, Alive) }
func (e *events) NotifyUpdate(m *memberlist.Node) { (*Node)(e).set(m, Alive) }
func (e *events) NotifyLeave(m *memberlist.Node)  { (*Node)(e).set(m, Dead) } // or Left, by its word
func (e *events) NotifyAlive(m *memberlist.Node) error {
	(*Node)(e).mark(m.Name, Alive)
	return nil
}
func (e *events) AckPayload() []byte { return nil }
func (e *events) NotifyPingComplete(m *memberlist.Node, _ time.Duration, _ []byte) {
	(*Node)(e).mark(m.Name, Alive)
}

type delegate Node

func (d *delegate) NodeMeta(limit int) []byte {
	m := meta{Inc: d.inc.Load(), Leaving: d.leaving.Load()}
	if l := d.load.Load(); l != nil {
		m.Rank, m.Rate = l.rank, l.rate
	}
	b, _ := json.Marshal(m)
	if len(b) > limit {
		return nil
	}
	return b
}

// leaveWord, and the name after it, is the message of a peer that leaves.
const leaveWord = "leaving:"

func (d *delegate) NotifyMsg(b []byte) {
	if list, ok := bytes.CutPrefix(b, []byte(listWord)); ok {
		(*Node)(d).take(bytes.Clone(list)) // the buffer is memberlist's
		return
	}
	if name, ok := bytes.CutPrefix(b, []byte(wantWord)); ok {
		go (*Node)(d).give(string(name)) // it may block on the peer
		return
	}
	if known, ok := bytes.CutPrefix(b, []byte(incarnationWord)); ok {
		(*Node)(d).raise(string(known))
		return
	}
	name, ok := bytes.CutPrefix(b, []byte(leaveWord))
	if !ok {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.view[string(name)]; p != nil && p.State != Left {
		p.leaving = true
		slog.Info("membership change", "peer", p.Name, "from", p.State, "to", Left,
			"incarnation", p.Incarnation, "addr", p.Addr)
		p.State, p.Since, d.why = Left, time.Now(), p.Name+" "+Left
	}
}

func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte { return nil }

// suspectLine starts memberlist's line on a peer that its own probe found silent.
const suspectLine = "[INFO] memberlist: Suspect "

// logSink takes memberlist's log lines: what could not be decoded is counted, and
// lines go on to slog at most one a second.
type logSink struct {
	n    *Node
	mu   sync.Mutex
	last time.Time
}

func (s *logSink) Write(b []byte) (int, error) {
	line := string(bytes.TrimSpace(b))
	if rest, ok := bytes.CutPrefix(bytes.TrimSpace(b), []byte(suspectLine)); ok {
		if name, ok := bytes.CutSuffix(rest, []byte(" has failed, no acks received")); ok {
			s.n.mark(string(name), Suspect)
		}
	}
	if bytes.Contains(b, []byte("[DEBUG]")) || bytes.Contains(b, []byte("[INFO]")) {
		return len(b), nil
	}
	if bytes.Contains(b, []byte("decode")) || bytes.Contains(b, []byte("message type")) ||
		bytes.Contains(b, []byte("Failed to read")) || bytes.Contains(b, []byte("too small")) {
		s.n.bad.Add(1)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.last) >= time.Second {
		s.last = time.Now()
		slog.Warn("memberlist", "line", line, "unreadable", s.n.bad.Load())
	}
	return len(b), nil
}

var _ io.Writer = (*logSink)(nil)
