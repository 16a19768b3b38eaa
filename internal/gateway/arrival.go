package gateway

import (
	"time"

	"bramblelock/internal/gateway/socket"
)

// A client counts the time of its request from the request's last byte. The gateway may read that
// byte much later: it waits in the listener's backlog while no connection can be accepted, behind a
// pipelined request that is being answered, behind a host that takes a long body slowly, or while
// the process is stalled. So the time of a request runs from the last moment at which its last byte
// is known not to have arrived. That is never later than the true time. The following rules make it
// no earlier than necessary.
//
//   - A read that finds nothing proves that all bytes read later arrive later, and so does a reader
//     that is woken up; a wake-up is late only while the process is stalled.
//   - The kernel knows when data last arrived on a connection (TCP_INFO). Where available, that time
//     is used: it is exact to one kernel tick, for a connection in the backlog and for a stalled
//     process too. It is not used where a full receive window may have kept bytes back at the client.
//   - A client whose bytes were kept back may have written as many more as its own socket buffer
//     takes. Until those have been read, or nothing has arrived for a while, a read that finds
//     nothing proves nothing.
//
// To accept every connection at once and close silent ones to make room would empty the backlog
// sooner, but a new connection without a byte may belong to a client whose bytes are on their way.

const (
	// minReceiveWindow is a lower bound on the receive window of a connection, in bytes.
	minReceiveWindow = 32 << 10
	// maxClientSendBuffer is how many bytes a client's socket can hold that the gateway's socket
	// has not taken (the default limit of net.ipv4.tcp_wmem).
	maxClientSendBuffer = 4 << 20
	// blockedSenderUnread is the number of unread bytes from which on the client may be blocked.
	blockedSenderUnread = 64 << 10
	// sendBufferTransit is how long the contents of a client's send buffer take to arrive while
	// the receive window is open.
	sendBufferTransit = 50 * time.Millisecond
	// sendBoundInterval is how many bytes are read between two elements of sendBounds.
	sendBoundInterval = 256 << 10
	// maxSendBounds limits the length of sendBounds. It covers what both sockets can hold, with
	// a reserve.
	maxSendBounds = 64
)

// arrivalTracker keeps the earliest time at which the bytes of a stream that are read next can have
// arrived. It is not safe for concurrent use.
type arrivalTracker struct {
	emptyAt         time.Time   // last time at which nothing was waiting to be read and the sender was not blocked
	notBefore       time.Time   // emptyAt, or a later time at which a waiting reader was woken up
	readSinceEmpty  int         // bytes read since emptyAt
	totalRead       int64       // bytes read in all
	lastBoundOffset int64       // totalRead at the last element of sendBounds
	sendBounds      []sendBound // filled while the sender may be blocked; oldest first, none before notBefore
}

// sendBound says that the sender of a stream cannot have written any byte beyond the offset end by the
// time at.
type sendBound struct {
	at  time.Time
	end int64
}

// noteEmpty records that nothing was waiting to be read and that the sender was not blocked.
func (a *arrivalTracker) noteEmpty(now time.Time) {
	a.emptyAt = now
	a.notBefore = now
	a.readSinceEmpty = 0
	a.lastBoundOffset = a.totalRead
	a.sendBounds = a.sendBounds[:0]
}

// noteWakeup records that a reader which had waited since waitingSince has been woken up. While the
// sender may be blocked, that proves something only after a wait of sendBufferTransit.
func (a *arrivalTracker) noteWakeup(now, waitingSince time.Time) {
	switch {
	case !a.senderMayBeBlocked():
		a.notBefore = now
	case now.Sub(waitingSince) >= sendBufferTransit:
		a.noteEmpty(now.Add(-sendBufferTransit))
	}
}

// noteRead records that n bytes have been read.
func (a *arrivalTracker) noteRead(n int) {
	a.readSinceEmpty += n
	a.totalRead += int64(n)
}

// senderMayBeBlocked returns whether the next bytes may have been kept back at the sender.
func (a *arrivalTracker) senderMayBeBlocked() bool {
	n := len(a.sendBounds)
	return n > 0 && a.totalRead < a.sendBounds[n-1].end
}

// noteUnread records how many bytes wait to be read. If they are many, the sender may be blocked.
func (a *arrivalTracker) noteUnread(now time.Time, unread int) {
	if unread >= blockedSenderUnread {
		a.noteBlocked(now, unread)
	}
}

// noteBlocked records that the sender may be blocked, as a number of bytes waits to be read.
func (a *arrivalTracker) noteBlocked(now time.Time, unread int) {
	if a.senderMayBeBlocked() && a.totalRead-a.lastBoundOffset < sendBoundInterval {
		return
	}
	if len(a.sendBounds) == maxSendBounds {
		a.sendBounds = append(a.sendBounds[:0], a.sendBounds[1:]...)
	}
	a.lastBoundOffset = a.totalRead
	a.sendBounds = append(a.sendBounds, sendBound{now, a.totalRead + int64(unread) + maxClientSendBuffer})
}

// arrivedAfter returns the last time at which the byte before the offset end of the stream is known
// not to have arrived.
func (a *arrivalTracker) arrivedAfter(end int64) time.Time {
	at := a.notBefore
	for _, bound := range a.sendBounds {
		if bound.end >= end {
			break
		}
		at = laterOf(at, bound.at)
	}
	return at
}

// lastByteArrivedAfter returns the last time at which the byte that was read last is known not to have
// arrived. No unread byte may follow it. It asks the kernel, unless nothing was there to read a short
// time ago, or so much has been read since that a full receive window may have kept bytes back.
func (a *arrivalTracker) lastByteArrivedAfter(now time.Time, fd int) time.Time {
	at := a.arrivedAfter(a.totalRead)
	if a.readSinceEmpty > minReceiveWindow || now.Sub(a.emptyAt) <= socket.KernelTick {
		return at
	}
	age, ok := socket.LastDataAge(fd)
	if !ok {
		return at
	}
	byKernel := laterOf(a.emptyAt, now.Add(-age))
	if diff := at.Sub(byKernel); diff >= 0 && diff <= socket.KernelTick {
		return at
	}
	return byKernel
}

// laterOf returns the later of two times.
func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
