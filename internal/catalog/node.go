package catalog

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"

	"lynxspool/internal/admit"
)

// Peer is one instance of a catalog: its raft id, the address raft listens on, and
// the address its HTTP server listens on.
type Peer struct {
	ID, RaftAddr, HTTPAddr string
}

// ParsePeers reads "id=raftaddr/httpaddr,..." as the -peers flag gives it.
func ParsePeers(s string) ([]Peer, error) {
	var peers []Peer
	for _, f := range strings.Split(s, ",") {
		if f = strings.TrimSpace(f); f == "" {
			continue
		}
		id, addrs, ok1 := strings.Cut(f, "=")
		r, h, ok2 := strings.Cut(addrs, "/")
		if !ok1 || !ok2 || id == "" || r == "" || h == "" {
			return nil, fmt.Errorf("peer %q: want id=raftaddr/httpaddr", f)
		}
		peers = append(peers, Peer{ID: id, RaftAddr: r, HTTPAddr: h})
	}
	return peers, nil
}

// Options configure one instance. Times are wall-clock durations.
type Options struct {
	ID            string
	DataDir       string
	RaftAddr      string            // address raft listens on and peers know it by
	HTTPAddr      string            // address of the HTTP server
	Peers         []Peer            // the whole cluster, this instance included; none for one alone
	DialOverrides map[string]string // a peer's raft address -> the address to dial for it
	// StaleAfter is how long a follower serves without hearing from a leader.
	StaleAfter time.Duration
	// WatchWriteTimeout bounds one write to a watcher; a watcher that takes longer is ended.
	WatchWriteTimeout time.Duration
	// MaxWatches bounds the open watches; more are answered 503.
	MaxWatches int
	// HeartbeatTimeout is raft's heartbeat and election timeout; the lease is half of it.
	HeartbeatTimeout time.Duration
	LogOutput        io.Writer
	// CallLimits bounds the calls for lists in work and waiting; the zero value takes DefaultCallLimits.
	CallLimits admit.Options

	openStorage func(path string) (raftStorage, error) // of raft's log and stable store; nil: bbolt's
}

// DefaultCallLimits lets 32 calls be in work and 1,024 wait for a second; callers beyond that
// come back 2 ms apart at least (500 a second) and within 10 s.
var DefaultCallLimits = admit.Options{Work: 32, Queue: 1024, Wait: time.Second, Least: 2 * time.Millisecond, Most: 10 * time.Second}

// Node is one running instance.
type Node struct {
	opt        Options
	raft       *raft.Raft
	store      *Store
	storage    *retryingStorage
	transport  *raft.NetworkTransport
	peers      map[raft.ServerID]Peer
	watchSlots chan struct{} // one token an open watch
	admission  *admissionController
}

// Open starts an instance from its data folder; a folder without state is
// bootstrapped with opt.Peers as the first configuration.
func Open(opt Options) (*Node, error) {
	if opt.ID == "" {
		opt.ID = "c1"
	}
	if len(opt.Peers) == 0 {
		opt.Peers = []Peer{{ID: opt.ID, RaftAddr: opt.RaftAddr, HTTPAddr: opt.HTTPAddr}}
	}
	if opt.HeartbeatTimeout <= 0 {
		opt.HeartbeatTimeout = 500 * time.Millisecond
	}
	if opt.StaleAfter <= 0 {
		opt.StaleAfter = 2 * time.Second
	}
	if opt.WatchWriteTimeout <= 0 {
		opt.WatchWriteTimeout = 5 * time.Second
	}
	if opt.MaxWatches <= 0 {
		opt.MaxWatches = 8192
	}
	if opt.CallLimits == (admit.Options{}) {
		opt.CallLimits = DefaultCallLimits
	}
	if c := opt.CallLimits; c.Work < 1 || c.Queue < 1 || c.Wait <= 0 || c.Least <= 0 || c.Most <= 0 {
		return nil, fmt.Errorf("catalog: calls: %+v: each bound must be above 0", c)
	}
	if opt.LogOutput == nil {
		opt.LogOutput = os.Stderr
	}
	n := &Node{opt: opt, store: NewStore(), peers: map[raft.ServerID]Peer{},
		watchSlots: make(chan struct{}, opt.MaxWatches), admission: newAdmissionController(opt.CallLimits)}
	selfListed := false
	for _, p := range opt.Peers {
		n.peers[raft.ServerID(p.ID)] = p
		selfListed = selfListed || p.ID == opt.ID
	}
	if !selfListed {
		return nil, fmt.Errorf("catalog: id %q is not among the peers", opt.ID)
	}
	if err := os.MkdirAll(opt.DataDir, 0o755); err != nil {
		return nil, fmt.Errorf("catalog: data folder: %w", err)
	}
	if opt.openStorage == nil {
		opt.openStorage = openBoltStorage
	}
	boltStorage, err := opt.openStorage(filepath.Join(opt.DataDir, "raft.db"))
	if err != nil {
		return nil, fmt.Errorf("catalog: log store: %w", err)
	}
	storage := newRetryingStorage(boltStorage)
	n.storage = storage
	snapshots, err := raft.NewFileSnapshotStore(opt.DataDir, 2, opt.LogOutput)
	if err != nil {
		storage.Close()
		return nil, fmt.Errorf("catalog: snapshot store: %w", err)
	}
	ln, err := net.Listen("tcp", opt.RaftAddr)
	if err != nil {
		storage.Close()
		return nil, fmt.Errorf("catalog: raft address: %w", err)
	}
	n.transport = raft.NewNetworkTransport(&streamLayer{Listener: ln, dialOverrides: opt.DialOverrides}, 3, 2*time.Second, opt.LogOutput)
	cfg := raft.DefaultConfig()
	cfg.LocalID = raft.ServerID(opt.ID)
	cfg.HeartbeatTimeout, cfg.ElectionTimeout = opt.HeartbeatTimeout, opt.HeartbeatTimeout
	cfg.LeaderLeaseTimeout = opt.HeartbeatTimeout / 2
	cfg.CommitTimeout = 20 * time.Millisecond
	cfg.SnapshotThreshold = 1024
	cfg.Logger = hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Warn, Output: opt.LogOutput})
	hasState, err := raft.HasExistingState(storage, storage, snapshots)
	if err != nil {
		n.closeTransportAndStorage()
		return nil, fmt.Errorf("catalog: data folder: %w", err)
	}
	if !hasState {
		var c raft.Configuration
		for _, p := range opt.Peers {
			c.Servers = append(c.Servers, raft.Server{ID: raft.ServerID(p.ID), Address: raft.ServerAddress(p.RaftAddr)})
		}
		if err := raft.BootstrapCluster(cfg, storage, storage, snapshots, n.transport, c); err != nil {
			n.closeTransportAndStorage()
			return nil, fmt.Errorf("catalog: bootstrap: %w", err)
		}
	}
	n.raft, err = raft.NewRaft(cfg, n.store, storage, storage, snapshots, n.transport)
	if err != nil {
		n.closeTransportAndStorage()
		return nil, fmt.Errorf("catalog: raft: %w", err)
	}
	return n, nil
}

func (n *Node) closeTransportAndStorage() {
	if n.transport != nil {
		n.transport.Close()
	}
	n.storage.Close()
}

// shutdownTimeout is what raft has to end; it has nothing to write then, so only a data folder that
// takes no writes holds it up for longer.
const shutdownTimeout = 2 * time.Second

var errShutdownTimeout = errors.New("catalog: ended while the data folder takes no writes")

// Close stops raft and closes the data folder.
func (n *Node) Close() error {
	shutdownDone := make(chan error, 1)
	go func() { shutdownDone <- n.raft.Shutdown().Error() }()
	select {
	case err := <-shutdownDone:
		n.closeTransportAndStorage()
		return err
	case <-time.After(shutdownTimeout):
		n.storage.stopRetries()
		n.transport.Close()
		return errShutdownTimeout
	}
}

// StaleReason says why reads here would not be current, or "" where they are: a follower
// that has not heard from a leader for StaleAfter.
func (n *Node) StaleReason() string {
	if n.raft.State() == raft.Leader {
		return ""
	}
	last := n.raft.LastContact()
	if last.IsZero() {
		return "no leader heard from yet"
	}
	if age := time.Since(last); age > n.opt.StaleAfter {
		return fmt.Sprintf("no leader heard from for %v", age.Round(time.Millisecond))
	}
	return ""
}

// hasLiveLeader says whether this instance leads or has just heard from its leader, which writes to it
// several times in each heartbeat.
func (n *Node) hasLiveLeader() bool {
	if n.raft.State() == raft.Leader {
		return true
	}
	leader, _ := n.raft.LeaderWithID() // none where a vote was given just now, which is a contact too
	return leader != "" && time.Since(n.raft.LastContact()) < n.opt.HeartbeatTimeout/2
}

// leaderHTTP returns the HTTP address of the leader, or "" if none is known.
func (n *Node) leaderHTTP() string {
	_, id := n.raft.LeaderWithID()
	return n.peers[id].HTTPAddr
}

// write commits one command on the leader and returns the list's version after it.
// Errors: ErrInvalid, ErrNotFound, raft.ErrNotLeader, raft.ErrLeadershipLost (the
// entry may yet commit), or a time-out.
func (n *Node) write(c command, timeout time.Duration) (uint64, error) {
	if n.store.VersionBase() == 0 {
		c.Base = uint64(time.Now().UnixMilli()) // a rebuilt catalog begins beyond all that the old one counted
	}
	data, err := json.Marshal(c)
	if err != nil {
		return 0, err
	}
	future := n.raft.Apply(data, timeout)
	if err := future.Error(); err != nil {
		return 0, err
	}
	r, _ := future.Response().(applyResult)
	return r.Version, r.Err
}

// Status is what GET /catalog/status tells of an instance.
type Status struct {
	ID            string `json:"id"`
	State         string `json:"state"`
	Leader        string `json:"leader"`
	Version       uint64 `json:"version"`
	Applied       uint64 `json:"applied"`
	LastContactMS int64  `json:"last_contact_ms"` // -1: never, or this is the leader
	StaleReason   string `json:"stale,omitempty"`
	Watches       int    `json:"watches"`
	CallsInFlight int    `json:"calls_in_work"`
	CallsWaiting  int    `json:"calls_waiting"`
	CallsShed     int64  `json:"calls_shed"` // since the start
}

func (n *Node) status() Status {
	_, leader := n.raft.LeaderWithID()
	st := Status{ID: n.opt.ID, State: n.raft.State().String(), Leader: string(leader),
		Version: n.store.Version(), Applied: n.raft.AppliedIndex(), LastContactMS: -1,
		StaleReason: n.StaleReason(), Watches: len(n.watchSlots)}
	st.CallsInFlight, st.CallsWaiting, st.CallsShed = n.admission.counts()
	if last := n.raft.LastContact(); !last.IsZero() && n.raft.State() != raft.Leader {
		st.LastContactMS = time.Since(last).Milliseconds()
	}
	return st
}

// streamLayer is raft's transport over TCP, where a peer may be dialled at another address
// than it is known by (a proxy of the fault tests, or a translated address).
type streamLayer struct {
	net.Listener
	dialOverrides map[string]string
}

func (s *streamLayer) Dial(addr raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	dialAddr := string(addr)
	if v, ok := s.dialOverrides[dialAddr]; ok {
		dialAddr = v
	}
	return net.DialTimeout("tcp", dialAddr, timeout)
}
