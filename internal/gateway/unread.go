package gateway

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// kernelTick is how exact the kernel's word on the age of data is: a tick of up to 10 ms.
	kernelTick = 10 * time.Millisecond
	// heldUpLeast is how late something has to be for the process to have been held up.
	heldUpLeast = 100 * time.Millisecond
	// readFirst is how long what waits unread has to be read before anything is judged by its absence.
	readFirst = 20 * time.Millisecond
	// readMost is how long at the most.
	readMost = 250 * time.Millisecond
)

// dataAge is how long ago data came last on a connection, by the kernel. Systems that only stand
// in for its TCP report no segment size, and no ages.
func dataAge(fd int) (time.Duration, bool) {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil || info.Snd_mss == 0 {
		return 0, false
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, true
}

// unreadBytes is how many bytes wait to be read from a connection.
func unreadBytes(fd int) (int, bool) {
	n, err := unix.IoctlGetInt(fd, unix.TIOCINQ)
	return n, err == nil
}

// rawConn gives access to the socket of a connection; nil where there is none, as in tests.
func rawConn(c net.Conn) syscall.RawConn {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil // it is closed, which reading it tells as well
	}
	return raw
}

// readWhenReady calls read whenever there may be something to read, until it is done.
func readWhenReady(raw syscall.RawConn, read func(fd int) (n int, done bool, err error)) (n int, err error) {
	var failed error
	err = raw.Read(func(fd uintptr) (done bool) {
		n, done, failed = read(int(fd))
		return done
	})
	if err != nil {
		return 0, err
	}
	return n, failed
}

// answerWaits says whether some of an answer has come that nobody has read.
func (c *conn) answerWaits() bool {
	raw := rawConn(c.Conn)
	if raw == nil {
		return false
	}
	waits := false
	raw.Control(func(fd uintptr) { // an error is that of a closed connection
		n, ok := unreadBytes(int(fd))
		waits = ok && n > 0
	})
	return waits
}

// awaitRead waits until what has come of an answer has been read.
func (c *conn) awaitRead() {
	for end := time.Now().Add(readMost); c.answerWaits() && time.Now().Before(end); {
		time.Sleep(readFirst)
	}
}

// answerCame says whether some of an answer has come to a request that was written at a time, read or
// not, by the kernel's word.
func (c *conn) answerCame(wrote time.Time) bool {
	raw := rawConn(c.Conn)
	if raw == nil {
		return false
	}
	came := false
	raw.Control(func(fd uintptr) { // an error is that of a closed connection
		age, ok := dataAge(int(fd))
		came = ok && time.Now().Add(-age).After(wrote)
	})
	return came
}

// answeredAfter is how long after the beginning of an attempt its answer had come whole, which has
// just been read: how long it waited unread is not the server's time. 0 says that it did not wait.
func (c *conn) answeredAfter(began, wrote time.Time) time.Duration {
	now := time.Now()
	raw := rawConn(c.Conn)
	if raw == nil || now.Sub(wrote) <= kernelTick {
		return 0
	}
	took := time.Duration(0)
	raw.Control(func(fd uintptr) { // an error is that of a closed connection
		if age, ok := dataAge(int(fd)); ok && age > kernelTick {
			took = max(now.Add(-age).Sub(began), wrote.Sub(began), 1)
		}
	})
	return took
}
