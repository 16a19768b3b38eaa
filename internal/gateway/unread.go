package gateway

import (
	"time"

	"bramblelock/internal/gateway/socket"
	"bramblelock/internal/gateway/stall"
)

// hasUnreadAnswer returns whether part of an answer has arrived that nobody has read.
func (c *conn) hasUnreadAnswer() bool {
	if c.raw == nil {
		return false
	}
	unread := false
	c.raw.Control(func(fd uintptr) { // fails only if the connection is closed
		n, ok := socket.UnreadBytes(int(fd))
		unread = ok && n > 0
	})
	return unread
}

// awaitUnreadAnswer waits until another goroutine has read what has arrived of an answer, for
// stall.MaxReadTime at most.
func (c *conn) awaitUnreadAnswer() {
	for end := time.Now().Add(stall.MaxReadTime); c.hasUnreadAnswer() && time.Now().Before(end); {
		time.Sleep(stall.ReadTime)
	}
}

// answerArrived returns whether part of an answer has arrived since the request was written at wrote,
// read or not, as the kernel reports it.
func (c *conn) answerArrived(wrote time.Time) bool {
	if c.raw == nil {
		return false
	}
	arrived := false
	c.raw.Control(func(fd uintptr) { // fails only if the connection is closed
		age, ok := socket.LastDataAge(int(fd))
		arrived = ok && time.Now().Add(-age).After(wrote)
	})
	return arrived
}

// answerDuration returns the time from the beginning of an attempt to the arrival of the whole
// answer, which has just been read: the time that the answer waited unread is not charged to the
// host. 0 means that the answer did not wait, or that the kernel does not report its arrival.
func (c *conn) answerDuration(began, wrote time.Time) time.Duration {
	now := time.Now()
	if c.raw == nil || now.Sub(wrote) <= socket.KernelTick {
		return 0
	}
	took := time.Duration(0)
	c.raw.Control(func(fd uintptr) { // fails only if the connection is closed
		if age, ok := socket.LastDataAge(int(fd)); ok && age > socket.KernelTick {
			took = max(now.Add(-age).Sub(began), wrote.Sub(began), 1)
		}
	})
	return took
}
