package gateway

import (
	"golang.org/x/sys/unix"

	"bramblelock/internal/gateway/socket"
)

// Closing the connection of a client without losing a request, and finding out whether the client has closed it.

// closeIfIdle closes a connection on which no request is being served if no byte of the next request
// has arrived.
func (c *framedConn) closeIfIdle() bool {
	return c.closeIf(func() bool {
		return !c.parser.HasPendingHead() && c.parser.InHead() && !c.parser.HasPartialHead()
	})
}

// closeIfNoHead closes a connection on which no request is being served if the head of the next one
// has not arrived whole.
func (c *framedConn) closeIfNoHead() bool {
	return c.closeIf(func() bool { return !c.parser.HasPendingHead() && c.parser.InHead() })
}

// closeIfBodyIncomplete closes a connection whose request is being read if the request has not
// arrived whole.
func (c *framedConn) closeIfBodyIncomplete() bool {
	return c.closeIf(func() bool { return !c.parser.InHead() })
}

// closeIf closes the connection if allowed returns true and no bytes wait to be read, and returns
// whether it did. Nothing more is read after the decision.
func (c *framedConn) closeIf(allowed func() bool) bool {
	c.mu.Lock()
	canClose := !c.closing && allowed() && !c.hasUnread()
	c.closing = c.closing || canClose
	c.mu.Unlock()
	if canClose {
		c.Close() // not under c.mu, as Close waits for the reader
	}
	return canClose
}

// hasUnread returns whether bytes have arrived that nobody has read. The caller holds c.mu.
func (c *framedConn) hasUnread() bool {
	if c.raw == nil {
		return false
	}
	unread := 0
	c.raw.Control(func(fd uintptr) { // fails only if the connection is closed
		unread, _ = socket.Peek(int(fd))
	})
	return unread > 0
}

// Close marks the connection as closed. A request may arrive on an idle connection just as it is
// closed; the mark lets the handler drop that request, so that it is not executed in addition to
// the copy that the client then sends on another connection.
func (c *framedConn) Close() error {
	c.closed.Store(true)
	err := c.Conn.Close()
	c.mu.Lock()
	c.releaseHead()
	c.releaseAhead()
	c.mu.Unlock()
	if c.releaseSlot != nil {
		c.releaseSlot()
	}
	return err
}

// clientGone returns whether the client has closed its sending side or the connection, or this
// process has closed the connection. Unread bytes hide that from a reader, but not from poll. Bytes
// that do not fit in the receive buffer hide it here as well, since the FIN comes after them.
func (c *framedConn) clientGone() bool {
	if c.closed.Load() {
		return true
	}
	if c.raw == nil {
		return false
	}
	gone := false
	err := c.raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := socket.RetryInterrupted(func() (int, error) { return unix.Poll(fds, 0) })
		gone = err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return gone || err != nil
}
