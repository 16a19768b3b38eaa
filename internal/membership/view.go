package membership

import (
	"encoding/json"
	"log/slog"
	"sort"
	"time"

	"github.com/hashicorp/memberlist"
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
	// node is a copy of memberlist's node, which memberlist modifies under a lock of its own.
	node memberlist.Node
}

// isLive reports whether the gateway is alive or suspect.
func (p *Peer) isLive() bool { return p.State == Alive || p.State == Suspect }

// hasLivePeer reports whether the view has a live (alive or suspect) gateway at addr.
func (n *Node) hasLivePeer(addr string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.view {
		if p.Addr == addr && p.isLive() {
			return true
		}
	}
	return false
}

// livePeers returns the nodes of all live (alive or suspect) peers, to which messages can be sent. They are
// not those that memberlist's Members and LocalNode return: memberlist modifies these at any time.
func (n *Node) livePeers() []*memberlist.Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	var nodes []*memberlist.Node
	for _, p := range n.view {
		if p.isLive() && p.Name != n.name {
			node := p.node
			nodes = append(nodes, &node)
		}
	}
	return nodes
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

// LastChange returns the last change of a state in the view, as "name state".
func (n *Node) LastChange() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lastChange
}

// LiveCount returns the number of alive and suspect gateways, this one included.
func (n *Node) LiveCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	live := 0
	for _, p := range n.view {
		if p.isLive() {
			live++
		}
	}
	return live
}

// applyEvent updates a gateway's entry in the view from a memberlist event, which gives its state, and
// logs a change of the state. An event with a lower incarnation than the entry's is ignored.
func (n *Node) applyEvent(node *memberlist.Node, state string) {
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
	p.node = *node
	p.Addr = node.Address()
	p.Rank = m.Rank
	p.Rate = max(m.Rate, 0)
	if state == Alive {
		p.Confirmed = time.Now()
	}
	n.setState(p, state)
}

// setState sets a peer's state and logs the change, if it is one. The caller holds n.mu.
func (n *Node) setState(p *Peer, state string) {
	if p.State == state {
		return
	}
	slog.Info("membership change", "peer", p.Name, "from", p.State, "to", state,
		"incarnation", p.Incarnation, "addr", p.Addr)
	p.State = state
	p.Since = time.Now()
	n.lastChange = p.Name + " " + state
	if !p.isLive() {
		n.dropOldestFormerPeer()
	}
}

// maxFormerPeers is how many gateways that have left or are dead the view keeps. Where each process has a
// name of its own, they would fill the memory otherwise.
const maxFormerPeers = 1000

// dropOldestFormerPeer drops, if more than maxFormerPeers gateways are not live, the one that has been so
// for longest. The caller holds n.mu.
func (n *Node) dropOldestFormerPeer() {
	var oldest *Peer
	former := 0
	for _, p := range n.view {
		if p.isLive() {
			continue
		}
		former++
		if oldest == nil || p.Since.Before(oldest.Since) {
			oldest = p
		}
	}
	if former > maxFormerPeers {
		delete(n.view, oldest.Name)
	}
}

// markLeaving marks a peer that announced that it leaves as left.
func (n *Node) markLeaving(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p := n.view[name]; p != nil && p.State != Left {
		p.leaving = true
		n.setState(p, Left)
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
	if p == nil || !p.isLive() {
		return
	}
	if state == Alive {
		p.Confirmed = time.Now()
	}
	n.setState(p, state)
}
