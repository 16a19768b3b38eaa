package catalog

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"bramblelock/internal/admit"
)

// Peer identifies one instance of a catalog cluster: its raft id, the address on which raft listens
// and the address on which its HTTP server listens.
type Peer struct {
	ID       string
	RaftAddr string // host:port
	HTTPAddr string // host:port
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

	// hangLimit is how long a write to raft's storage may run until it counts as hung; default
	// defaultHangLimit.
	hangLimit time.Duration
	// openStorage opens the storage of raft's log and stable state; nil means openBoltStorage.
	openStorage func(path string) (raftStorage, error)
}

// DefaultCallLimits allows 32 list calls in flight and 1,024 waiting for up to 1 s. Rejected callers
// are asked to retry within 10 s, at times at least 2 ms apart (500 per second).
var DefaultCallLimits = admit.Options{Work: 32, Queue: 1024, Wait: time.Second, Least: 2 * time.Millisecond, Most: 10 * time.Second}

// defaultHangLimit returns the default limit of a write to raft's storage: several election timeouts,
// because a new election costs more than a slow write, and more than the slow syncs of a working disk.
func defaultHangLimit(heartbeatTimeout time.Duration) time.Duration {
	return max(2*time.Second, 4*heartbeatTimeout)
}

// withDefaults returns opt with the default in each field that is unset.
func (opt Options) withDefaults() Options {
	if opt.ID == "" {
		opt.ID = "c1"
	}
	if len(opt.Peers) == 0 {
		opt.Peers = []Peer{{ID: opt.ID, RaftAddr: opt.RaftAddr, HTTPAddr: opt.HTTPAddr}}
	}
	if opt.HeartbeatTimeout <= 0 {
		opt.HeartbeatTimeout = 500 * time.Millisecond
	}
	if opt.hangLimit <= 0 {
		opt.hangLimit = defaultHangLimit(opt.HeartbeatTimeout)
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
	if opt.LogOutput == nil {
		opt.LogOutput = os.Stderr
	}
	if opt.openStorage == nil {
		opt.openStorage = openBoltStorage
	}
	return opt
}

// validate checks options that have their defaults.
func (opt Options) validate() error {
	if c := opt.CallLimits; c.Work < 1 || c.Queue < 1 || c.Wait <= 0 || c.Least <= 0 || c.Most <= 0 {
		return fmt.Errorf("catalog: calls: %+v: each bound must be above 0", c)
	}
	isSelf := func(p Peer) bool { return p.ID == opt.ID }
	if !slices.ContainsFunc(opt.Peers, isSelf) {
		return fmt.Errorf("catalog: id %q is not among the peers", opt.ID)
	}
	return nil
}
