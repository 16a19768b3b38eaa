package catalog

import (
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
)

// Node is one running instance of the catalog.
type Node struct {
	opt        Options
	raft       *raft.Raft
	store      *Store
	storage    *retryingStorage
	replay     *logReplay
	transport  *raft.NetworkTransport
	raftConns  *streamLayer // connections of transport
	hangs      *hangDetector
	peers      map[raft.ServerID]Peer // all instances of the cluster, including this one
	watchSlots chan struct{}          // holds one token per open watch
	admission  *admissionController

	pendingCatchUps atomic.Int32 // running calls of catchUpAfterHang
}

// retainedSnapshots is the number of complete snapshots that raft keeps.
const retainedSnapshots = 2

// Open starts an instance on its data folder, which is created if needed. It does not listen on
// opt.HTTPAddr. If the folder holds no raft state, the cluster is bootstrapped with opt.Peers as its
// initial configuration. Otherwise raft uses its stored configuration, and opt.Peers serves only to
// find the leader's HTTP address. The id of this instance must be among opt.Peers unless they are
// empty. End the instance with Close.
func Open(opt Options) (*Node, error) {
	opt = opt.withDefaults()
	if err := opt.validate(); err != nil {
		return nil, err
	}
	if err := createDataDir(opt.DataDir); err != nil {
		return nil, fmt.Errorf("catalog: data folder: %w", err)
	}
	snapshots, err := raft.NewFileSnapshotStore(opt.DataDir, retainedSnapshots, opt.LogOutput)
	if err != nil {
		return nil, fmt.Errorf("catalog: snapshot store: %w", err)
	}
	n := newNode(opt)
	if n.raftConns, err = listenRaft(opt); err != nil {
		return nil, err
	}
	n.transport = raft.NewNetworkTransport(n.raftConns, maxPooledConns, transportTimeout, opt.LogOutput)
	removeInterruptedSnapshots(opt.DataDir)
	config := newRaftConfig(opt)
	opt.openStorage = n.hangs.watchStorage(opt.openStorage)
	if n.storage, err = openStorage(opt, config, snapshots, n.transport); err != nil {
		n.transport.Close()
		return nil, err
	}
	if n.replay, err = newLogReplay(n.storage, snapshots); err != nil {
		n.closeTransportAndStorage()
		return nil, fmt.Errorf("catalog: log store: %w", err)
	}
	n.raft, err = raft.NewRaft(config, n.store, n.storage, n.storage, snapshots, n.transport)
	if err != nil {
		n.closeTransportAndStorage()
		return nil, fmt.Errorf("catalog: raft: %w", err)
	}
	n.hangs.handle(n.handleHang, n.handleReturn)
	return n, nil
}

// newNode returns a Node without raft.
func newNode(opt Options) *Node {
	n := &Node{
		opt:        opt,
		store:      NewStore(),
		hangs:      &hangDetector{limit: opt.hangLimit},
		peers:      map[raft.ServerID]Peer{},
		watchSlots: make(chan struct{}, opt.MaxWatches),
		admission:  newAdmissionController(opt.CallLimits),
	}
	for _, p := range opt.Peers {
		n.peers[raft.ServerID(p.ID)] = p
	}
	return n
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

// hasPeers reports whether the cluster has other instances.
func (n *Node) hasPeers() bool { return len(n.peers) > 1 }

// leaderHTTP returns the HTTP address of the leader, or "" if no leader is known.
func (n *Node) leaderHTTP() string {
	_, id := n.raft.LeaderWithID()
	return n.peers[id].HTTPAddr
}
