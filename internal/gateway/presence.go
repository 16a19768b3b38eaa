package gateway

import (
	"context"
	"time"

	"bramblelock/internal/gateway/socket"
)

// A client that has closed its connection gets no attempt. The end of a connection arrives behind all that
// the client has written: of a long body, or of many requests at once, more than the receive buffer takes may
// still be in the client's socket, and the end with it. So before an attempt begins, the client must be known
// to have been there a short time ago. Where unread bytes hide it, they are read ahead into memory, until
// they show that the client is there, or that it has left.

// maxPresenceAge is how long ago a client may last have been known to be there when an attempt begins.
const maxPresenceAge = goneClientSlack / 2

// awaitPresence returns once the client is known to have been there less than maxPresenceAge ago, or to have
// left, which clientGone shows. It returns false if neither can be found out, or ctx ends.
func (c *framedConn) awaitPresence(ctx context.Context, memory *memoryBudget) bool {
	var emptySince time.Time
	for ctx.Err() == nil {
		now := time.Now()
		seenAt, unread := c.lastSeen(now)
		switch {
		case now.Sub(seenAt) <= maxPresenceAge || c.clientGone():
			return true
		case unread > 0:
			emptySince = time.Time{}
			if !c.readAhead(memory) {
				return false
			}
			yieldTurn()
			continue
		case emptySince.IsZero():
			emptySince = now
		case now.Sub(emptySince) >= sendBufferTransit:
			c.noteDrained(emptySince)
			return true
		}
		time.Sleep(readAheadInterval)
	}
	return false
}

// lastSeen returns the last time at which the client is known to have been there, and how many bytes are
// unread. That time is now if nothing can hide the end of the connection from clientGone.
func (c *framedConn) lastSeen(now time.Time) (at time.Time, unread int) {
	if c.raw == nil {
		return now, 0
	}
	at = now
	c.raw.Control(func(fd uintptr) { // fails only if the connection is closed, which clientGone returns as well
		c.mu.Lock()
		defer c.mu.Unlock()
		n, ok := socket.UnreadBytes(int(fd))
		if !ok || n < minReceiveWindow && !c.arrivals.senderMayBeBlocked() {
			return
		}
		unread = n
		if n >= minReceiveWindow {
			c.arrivals.noteBlocked(now, n)
		}
		at = c.arrivals.arrivedAfter(c.arrivals.totalRead + int64(n))
	})
	return at, unread
}

// noteDrained records that nothing has arrived since the given time although the receive window was open.
func (c *framedConn) noteDrained(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivals.noteEmpty(since)
}
