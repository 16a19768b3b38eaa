package gateway

import (
	"time"
)

const (
	// kernelTick is the accuracy of the age of data that the kernel reports: a tick of up to 10 ms.
	kernelTick = 10 * time.Millisecond
	// stallThreshold is how late a timer must fire, or how long data from discovery must have been
	// unread, for the process to count as stalled.
	stallThreshold = 100 * time.Millisecond
	// stallReadTime is how long unread data is read after a stall before a timer is handled, as
	// timers act on the absence of data. It is also the interval of checks in
	// awaitUnreadAnswer.
	stallReadTime = 20 * time.Millisecond
	// maxStallReadTime is the upper limit on the wait for unread answers to be read.
	maxStallReadTime = 250 * time.Millisecond
)

// hasUnreadAnswer returns whether part of an answer has arrived that nobody has read.
func (c *conn) hasUnreadAnswer() bool {
	if c.raw == nil {
		return false
	}
	unread := false
	c.raw.Control(func(fd uintptr) { // fails only if the connection is closed
		n, ok := unreadBytes(int(fd))
		unread = ok && n > 0
	})
	return unread
}

// awaitUnreadAnswer waits until another goroutine has read what has arrived of an answer, for
// maxStallReadTime at most.
func (c *conn) awaitUnreadAnswer() {
	for end := time.Now().Add(maxStallReadTime); c.hasUnreadAnswer() && time.Now().Before(end); {
		time.Sleep(stallReadTime)
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
		age, ok := lastDataAge(int(fd))
		arrived = ok && time.Now().Add(-age).After(wrote)
	})
	return arrived
}

// answerDuration returns the time from the beginning of an attempt to the arrival of the whole
// answer, which has just been read: the time that the answer waited unread is not charged to the
// host. 0 means that the answer did not wait, or that the kernel does not report its arrival.
func (c *conn) answerDuration(began, wrote time.Time) time.Duration {
	now := time.Now()
	if c.raw == nil || now.Sub(wrote) <= kernelTick {
		return 0
	}
	took := time.Duration(0)
	c.raw.Control(func(fd uintptr) { // fails only if the connection is closed
		if age, ok := lastDataAge(int(fd)); ok && age > kernelTick {
			took = max(now.Add(-age).Sub(began), wrote.Sub(began), 1)
		}
	})
	return took
}
