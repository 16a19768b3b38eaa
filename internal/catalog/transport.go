package catalog

import (
	"net"
	"time"

	"github.com/hashicorp/raft"
)

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
