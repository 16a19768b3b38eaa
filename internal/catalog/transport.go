package catalog

import (
	"fmt"
	"net"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
)

const (
	maxPooledConns   = 3               // idle connections that raft keeps to each peer
	transportTimeout = 2 * time.Second // of one read or write of raft, and of a dial
)

// listenRaft returns the transport of raft, which listens on opt.RaftAddr.
func listenRaft(opt Options) (*raft.NetworkTransport, error) {
	ln, err := net.Listen("tcp", opt.RaftAddr)
	if err != nil {
		return nil, fmt.Errorf("catalog: raft address: %w", err)
	}
	layer := &streamLayer{Listener: ln, dialOverrides: opt.DialOverrides}
	return raft.NewNetworkTransport(layer, maxPooledConns, transportTimeout, opt.LogOutput), nil
}

// newRaftConfig returns the configuration of raft.
func newRaftConfig(opt Options) *raft.Config {
	config := raft.DefaultConfig()
	config.LocalID = raft.ServerID(opt.ID)
	config.HeartbeatTimeout = opt.HeartbeatTimeout
	config.ElectionTimeout = opt.HeartbeatTimeout
	config.LeaderLeaseTimeout = opt.HeartbeatTimeout / 2
	config.CommitTimeout = 20 * time.Millisecond
	config.SnapshotThreshold = 1024 // log entries between two snapshots
	config.Logger = hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Warn, Output: opt.LogOutput})
	return config
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
