package catalog

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
)

const (
	maxPooledConns   = 3               // idle connections that raft keeps to each peer
	transportTimeout = 2 * time.Second // of one read or write of raft, and of a dial
)

// listenRaft listens on opt.RaftAddr.
func listenRaft(opt Options) (*streamLayer, error) {
	ln, err := net.Listen("tcp", opt.RaftAddr)
	if err != nil {
		return nil, fmt.Errorf("catalog: raft address: %w", err)
	}
	return &streamLayer{Listener: ln, dialOverrides: opt.DialOverrides, open: map[*raftConn]struct{}{}}, nil
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
// raft address, for example through a proxy of the fault tests or at a translated address. It can
// isolate this instance from its peers.
type streamLayer struct {
	net.Listener
	dialOverrides map[string]string

	mu       sync.Mutex
	isolated bool
	open     map[*raftConn]struct{}
}

var errIsolated = errors.New("catalog: isolated because a write to the data folder hangs")

// raftConn is a connection of a streamLayer that is not closed.
type raftConn struct {
	net.Conn
	layer *streamLayer
}

// Close implements net.Conn.
func (c *raftConn) Close() error {
	c.layer.mu.Lock()
	delete(c.layer.open, c)
	c.layer.mu.Unlock()
	return c.Conn.Close()
}

// track returns conn as a connection that isolate closes. If the instance is isolated, it closes conn
// and returns errIsolated.
func (s *streamLayer) track(conn net.Conn) (net.Conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isolated {
		conn.Close()
		return nil, errIsolated
	}
	tracked := &raftConn{Conn: conn, layer: s}
	s.open[tracked] = struct{}{}
	return tracked, nil
}

// isolate closes all connections to and from the peers, and refuses new ones until rejoin.
func (s *streamLayer) isolate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isolated = true
	for conn := range s.open {
		conn.Conn.Close()
	}
	clear(s.open)
}

// rejoin allows connections again. It reports whether the instance was isolated.
func (s *streamLayer) rejoin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	wasIsolated := s.isolated
	s.isolated = false
	return wasIsolated
}

// isIsolated reports whether the instance is isolated.
func (s *streamLayer) isIsolated() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isolated
}

// Accept implements net.Listener.
func (s *streamLayer) Accept() (net.Conn, error) {
	for {
		conn, err := s.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if tracked, err := s.track(conn); err == nil {
			return tracked, nil
		}
	}
}

// Dial implements raft.StreamLayer.
func (s *streamLayer) Dial(addr raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	dialAddr := string(addr)
	if v, ok := s.dialOverrides[dialAddr]; ok {
		dialAddr = v
	}
	if s.isIsolated() {
		return nil, errIsolated
	}
	conn, err := net.DialTimeout("tcp", dialAddr, timeout)
	if err != nil {
		return nil, err
	}
	return s.track(conn)
}
