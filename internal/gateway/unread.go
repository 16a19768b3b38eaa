package gateway

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
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

// lastDataAge returns how long ago data last arrived on a connection, as the kernel reports it, or
// false if it does not. Systems that only emulate TCP report a segment size of 0 and no ages.
func lastDataAge(fd int) (time.Duration, bool) {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil || info.Snd_mss == 0 {
		return 0, false
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, true
}

// unreadBytes returns how many bytes wait to be read from a connection, or false if the kernel does
// not report it.
func unreadBytes(fd int) (int, bool) {
	n, err := unix.IoctlGetInt(fd, unix.TIOCINQ)
	return n, err == nil
}

// rawConn returns access to the socket of a connection, or nil if it has none, as in tests.
func rawConn(c net.Conn) syscall.RawConn {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil // the connection is closed, which a read reports as well
	}
	return raw
}

// connReader reads a connection through a function that is called whenever there may be something
// to read, until it is done. It has one reader at a time and allocates nothing per read.
type connReader struct {
	raw        syscall.RawConn
	onReadable func(fd uintptr) bool // argument of raw.Read

	buf          []byte
	waitingSince time.Time // when the present read last found nothing to read; zero if it has not
	n            int       // result of the present read
	err          error     // result of the present read
}

// init sets the reader up. read reads what is available into p. If there is nothing, it returns
// false for done and stores in waitingSince when its reader began to wait.
func (r *connReader) init(raw syscall.RawConn, read func(fd int, p []byte, waitingSince *time.Time) (n int, done bool, err error)) {
	r.raw = raw
	r.onReadable = func(fd uintptr) (done bool) {
		r.n, done, r.err = read(int(fd), r.buf, &r.waitingSince)
		return done
	}
}

// read reads into p. It returns 0 and no error at the end of the stream.
func (r *connReader) read(p []byte) (int, error) {
	r.buf = p
	r.waitingSince = time.Time{}
	r.n = 0
	r.err = nil
	err := r.raw.Read(r.onReadable)
	r.buf = nil
	if err != nil {
		return 0, err
	}
	return r.n, r.err
}

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
