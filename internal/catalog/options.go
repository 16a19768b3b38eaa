package catalog

import (
	"fmt"
	"io"
	"strings"
	"time"

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
