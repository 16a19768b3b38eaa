package catalog

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"

	"bramblelock/internal/admit"
)

// Peer identifies one instance of a catalog cluster: its raft id, the address on which raft listens
// and the address on which its HTTP server listens.
type Peer struct {
	ID, RaftAddr, HTTPAddr string
}

// ParsePeers parses the value of the -peers flag, a comma-separated list of
// id=raftaddr/httpaddr. Empty elements are skipped.
func ParsePeers(s string) ([]Peer, error) {
	var peers []Peer
	for _, f := range strings.Split(s, ",") {
		if f = strings.TrimSpace(f); f == "" {
			continue
		}
		id, addrs, hasAddrs := strings.Cut(f, "=")
		raftAddr, httpAddr, hasHTTP := strings.Cut(addrs, "/")
		if !hasAddrs || !hasHTTP || id == "" || raftAddr == "" || httpAddr == "" {
			return nil, fmt.Errorf("peer %q: want id=raftaddr/httpaddr", f)
		}
		peers = append(peers, Peer{ID: id, RaftAddr: raftAddr, HTTPAddr: httpAddr})
	}
	return peers, nil
}

// Options configures one catalog instance. DataDir and RaftAddr must be set. A zero ID, duration or
// limit means the default that its comment gives.
type Options struct {
	ID            string            // raft id of this instance; default "c1"
	DataDir       string            // folder of the raft log, the stable state and the snapshots
	RaftAddr      string            // address on which raft listens and which peers use for this instance
	HTTPAddr      string            // address on which the caller serves the Handler of this instance
	Peers         []Peer            // all instances of the cluster, including this one; empty for a single instance
	DialOverrides map[string]string // maps a peer's raft address to the address to dial instead
	// StaleAfter is how long a follower keeps serving lists without contact with a leader; default
	// 2 s.
	StaleAfter time.Duration
	// WatchWriteTimeout bounds a single write of a list or of a watch; default 5 s. A watch that exceeds
	// it is closed.
	WatchWriteTimeout time.Duration
	// MaxWatches bounds the number of open watches; default 8192. Further watches are answered with 503.
	MaxWatches int
	// HeartbeatTimeout is raft's heartbeat and election timeout; default 500 ms. The leader lease is half
	// of it.
	HeartbeatTimeout time.Duration
	// LogOutput receives the log of raft; nil means standard error.
	LogOutput io.Writer
	// CallLimits bounds the list calls (fetches of the list and openings of watches) in flight and
	// waiting. The zero value means DefaultCallLimits; otherwise each field must be above 0.
	CallLimits admit.Options

	// openStorage opens the storage of raft's log and stable state; nil means openBoltStorage.
	openStorage func(path string) (raftStorage, error)
}

// DefaultCallLimits allows 32 list calls in flight and 1,024 waiting for up to 1 s. Rejected callers
// are asked to retry within 10 s, at times at least 2 ms apart (500 per second).
var DefaultCallLimits = admit.Options{Work: 32, Queue: 1024, Wait: time.Second, Least: 2 * time.Millisecond, Most: 10 * time.Second}

// Node is one running instance of the catalog.
type Node struct {
	opt        Options
	raft       *raft.Raft
	store      *Store
	storage    *retryingStorage
	transport  *raft.NetworkTransport
	peers      map[raft.ServerID]Peer // all instances of the cluster, including this one
	watchSlots chan struct{}          // holds one token per open watch
	admission  *admissionController
}

// Open starts an instance on its data folder, which is created if needed. It does not listen on
// opt.HTTPAddr. If the folder holds no raft state, the cluster is bootstrapped with opt.Peers as its
// initial configuration. Otherwise raft uses its stored configuration, and opt.Peers serves only to
// find the leader's HTTP address. The id of this instance must be among opt.Peers unless they are
// empty. End the instance with Close.
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
	if opt.openStorage == nil {
		opt.openStorage = openBoltStorage
	}
	if err := createDataDir(opt.DataDir); err != nil {
		return nil, fmt.Errorf("catalog: data folder: %w", err)
	}
	snapshots, err := raft.NewFileSnapshotStore(opt.DataDir, 2, opt.LogOutput)
	if err != nil {
		return nil, fmt.Errorf("catalog: snapshot store: %w", err)
	}
	ln, err := net.Listen("tcp", opt.RaftAddr)
	if err != nil {
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
	removeInterruptedSnapshots(opt.DataDir)
	storage, err := openStorage(opt, cfg, snapshots, n.transport)
	if err != nil {
		n.transport.Close()
		return nil, err
	}
	n.storage = storage
	n.raft, err = raft.NewRaft(cfg, n.store, storage, storage, snapshots, n.transport)
	if err != nil {
		n.closeTransportAndStorage()
		return nil, fmt.Errorf("catalog: raft: %w", err)
	}
	return n, nil
}

// closeTransportAndStorage closes the raft transport and the raft storage.
func (n *Node) closeTransportAndStorage() {
	n.transport.Close()
	n.storage.Close()
}

// shutdownTimeout bounds the shutdown of raft. Raft writes nothing during a shutdown, so only a
// data folder that takes no writes delays it for longer.
const shutdownTimeout = 2 * time.Second

var errShutdownTimeout = errors.New("catalog: shutdown timed out because the data folder takes no writes")

// Close stops raft and closes the data folder. If raft does not stop within shutdownTimeout, Close
// returns an error and leaves the storage open. The process must then exit, because a blocked write
// of a term or vote never returns.
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

// StaleReason returns why the list of this instance may be out of date, or "" if it may be served.
// The list counts as out of date on an instance that is not the leader and that has had no contact
// with a leader yet, or none for Options.StaleAfter.
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

// hasLiveLeader reports whether this instance is the leader or has had contact with its leader within
// half of the heartbeat timeout. A leader contacts its followers several times per heartbeat timeout.
func (n *Node) hasLiveLeader() bool {
	if n.raft.State() == raft.Leader {
		return true
	}
	leader, _ := n.raft.LeaderWithID() // empty after a vote for another instance, which sets LastContact
	return leader != "" && time.Since(n.raft.LastContact()) < n.opt.HeartbeatTimeout/2
}

// leaderHTTP returns the HTTP address of the leader, or "" if no leader is known.
func (n *Node) leaderHTTP() string {
	_, id := n.raft.LeaderWithID()
	return n.peers[id].HTTPAddr
}

// errCommitTimeout is returned for a write that did not commit in time. It may still commit.
var errCommitTimeout = errors.New("catalog: not committed in time")

// write commits one command and returns the version of the list after it. It must run on the
// leader. timeout limits the wait for the commit. write fails with ErrInvalid, ErrNotFound,
// raft.ErrNotLeader, errCommitTimeout or raft.ErrLeadershipLost (after both of which the entry may
// still commit), or another raft error such as raft.ErrEnqueueTimeout.
func (n *Node) write(c command, timeout time.Duration) (uint64, error) {
	if n.store.VersionBase() == 0 {
		c.Base = uint64(time.Now().UnixMilli()) // a rebuilt catalog continues above all versions of the old one
	}
	data, err := json.Marshal(c)
	if err != nil {
		return 0, err
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	future := n.raft.Apply(data, timeout)
	// raft.Apply limits only the wait until raft takes the command. Raft steps down when it loses its
	// quorum, but not while a write to its log hangs, and Error returns only once raft has decided.
	decided := make(chan error, 1)
	go func() { decided <- future.Error() }()
	select {
	case err = <-decided:
	case <-timer.C:
		err = errCommitTimeout
	}
	if err != nil {
		return 0, err
	}
	r, _ := future.Response().(applyResult)
	return r.Version, r.Err
}

// Status is the JSON body of GET /catalog/status.
type Status struct {
	ID            string `json:"id"`
	State         string `json:"state"`           // raft state as raft spells it, such as "Leader"
	Leader        string `json:"leader"`          // raft id of the leader; empty if none is known
	Version       uint64 `json:"version"`         // version of the list
	Applied       uint64 `json:"applied"`         // index of the last raft log entry that was applied
	LastContactMS int64  `json:"last_contact_ms"` // time since the last contact with a leader; -1 on the leader and before the first contact
	StaleReason   string `json:"stale,omitempty"` // why this instance serves no lists; empty if it serves them
	Watches       int    `json:"watches"`         // open watches
	CallsInFlight int    `json:"calls_in_work"`
	CallsWaiting  int    `json:"calls_waiting"`
	CallsShed     int64  `json:"calls_shed"` // list calls rejected by the admission control since the start of the process
}

func (n *Node) status() Status {
	_, leader := n.raft.LeaderWithID()
	status := Status{ID: n.opt.ID, State: n.raft.State().String(), Leader: string(leader),
		Version: n.store.Version(), Applied: n.raft.AppliedIndex(), LastContactMS: -1,
		StaleReason: n.StaleReason(), Watches: len(n.watchSlots)}
	status.CallsInFlight, status.CallsWaiting, status.CallsShed = n.admission.counts()
	if last := n.raft.LastContact(); !last.IsZero() && n.raft.State() != raft.Leader {
		status.LastContactMS = time.Since(last).Milliseconds()
	}
	return status
}

// streamLayer implements raft.StreamLayer over TCP. It can dial a peer at another address than its
// raft address, for example through a proxy of the fault tests or at a translated address.
type streamLayer struct {
	net.Listener
	dialOverrides map[string]string
}

// Dial implements raft.StreamLayer.
func (s *streamLayer) Dial(addr raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	dialAddr := string(addr)
	if v, ok := s.dialOverrides[dialAddr]; ok {
		dialAddr = v
	}
	return net.DialTimeout("tcp", dialAddr, timeout)
}
