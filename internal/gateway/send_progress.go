package gateway

import (
	"errors"
	"os"
	"syscall"

	"bramblelock/internal/gateway/socket"
)

// sendProgress finds out whether the peer of a connection takes what is written to it, however slowly. How long a write
// takes does not show that: the kernel lets a blocked writer go on only when a third of the send buffer has been
// taken, and the buffer may grow to megabytes.
type sendProgress struct {
	raw     syscall.RawConn // nil for a connection without a socket
	pending int             // bytes that had not been acknowledged, and those written since
	known   bool            // the kernel reported pending
}

// newSendProgress returns a sendProgress that starts now.
func newSendProgress(raw syscall.RawConn) sendProgress {
	p := sendProgress{raw: raw}
	p.pending, p.known = p.unacknowledged()
	return p
}

// unacknowledged returns how many bytes the peer has not acknowledged, or false if that is unknown.
func (p *sendProgress) unacknowledged() (n int, known bool) {
	if p.raw == nil {
		return 0, false
	}
	p.raw.Control(func(fd uintptr) { // fails only if the connection is closed
		n, known = socket.UnacknowledgedBytes(int(fd))
	})
	return n, known
}

// mayContinue records a write of n bytes that ended with err, and returns whether it ended at its deadline although the
// peer has taken something since the start or the last call that returned true.
func (p *sendProgress) mayContinue(n int, err error) bool {
	p.pending += n
	if !p.known || !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	pending, known := p.unacknowledged()
	advanced := known && pending < p.pending
	p.pending, p.known = pending, known
	return advanced
}
