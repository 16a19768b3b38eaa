package catalog

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"

	"bramblelock/internal/admit"
)

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
