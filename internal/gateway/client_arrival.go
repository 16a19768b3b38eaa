package gateway

import (
	"time"

	"bramblelock/internal/gateway/framing"
	"bramblelock/internal/gateway/socket"
)

// When the requests on the connection of a client arrived, as far as reads and the kernel show it.

// noteNothingUnread records that no bytes were left to read, unless the client's socket may still
// hold some back. After a whole request it holds none if the client waits for its answer.
func (c *framedConn) noteNothingUnread(now time.Time) {
	if c.parser.InHead() && !c.pipelining() || !c.arrivals.senderMayBeBlocked() {
		c.arrivals.noteEmpty(now)
	}
}

// pipelining returns whether more than one request of the client is known that has not been answered.
func (c *framedConn) pipelining() bool {
	requests := c.parser.PendingHeads()
	if c.serving {
		requests++
	}
	return requests > 1 || requests == 1 && c.parser.HasPartialHead()
}

// boundCompletionTime bounds the arrival time of a request that ends with the byte that was read last.
func (c *framedConn) boundCompletionTime(now time.Time, fd int) {
	last := c.parser.LastHead()
	if last == nil || last.CompleteAt.IsZero() || !c.parser.InHead() || !c.parser.HeadStartedAt().IsZero() {
		return
	}
	last.CompleteAt = c.arrivals.lastByteArrivedAfter(now, fd)
}

// noteUnreadBody records how many bytes of a body wait to be read.
func (c *framedConn) noteUnreadBody(now time.Time, fd int) {
	if unread, ok := socket.UnreadBytes(fd); ok {
		c.arrivals.noteUnread(now, unread)
	}
}

// receivedAt returns the earliest time at which the last byte of the request with head h can have
// arrived. If the request is still arriving, that is the last time at which it is known to have been
// incomplete.
func (c *framedConn) receivedAt(h *framing.Head) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !h.CompleteAt.IsZero() {
		return h.CompleteAt
	}
	now := time.Now()
	if c.raw == nil || h != c.parser.LastHead() {
		return now
	}
	at := now // a closed connection receives nothing more
	c.raw.Control(func(fd uintptr) { at = c.lastKnownIncomplete(now, int(fd)) })
	return at
}

// lastKnownIncomplete returns the last time at which the body that is arriving is known to have
// been incomplete.
func (c *framedConn) lastKnownIncomplete(now time.Time, fd int) time.Time {
	unread, ok := socket.UnreadBytes(fd)
	if !ok {
		return now
	}
	if unread == 0 {
		c.noteNothingUnread(now)
	}
	remaining, ok := c.parser.RemainingBody()
	if !ok { // how much is missing of a chunked body is unknown
		return c.arrivals.arrivedAfter(c.arrivals.totalRead + int64(unread))
	}
	// The body is incomplete if more is missing than the client's socket can hold, or if bytes are
	// missing although no full receive window keeps them back.
	unsent := remaining - int64(unread)
	if unsent > maxClientSendBuffer || unsent > 0 && unread < minReceiveWindow && !c.arrivals.senderMayBeBlocked() {
		return now
	}
	return c.arrivals.arrivedAfter(c.arrivals.totalRead + remaining)
}
