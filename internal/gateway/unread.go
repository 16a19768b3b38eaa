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

// connReader reads a connection by a function that is called whenever there may be something to
// read, until it is done. It has one reader at a time, and allocates nothing by the read.
type connReader struct {
	raw   syscall.RawConn
	ready func(fd uintptr) bool // of raw.Read

	p     []byte
	waits time.Time // since when the reader has found nothing; zero: it has not looked, or found some
	n     int
	err   error
}

// init makes a reader. read reads what there is into p; where that is nothing, it is not done and
// notes since when its reader waits.
func (r *connReader) init(raw syscall.RawConn, read func(fd int, p []byte, waits *time.Time) (n int, done bool, err error)) {
	r.raw = raw
	r.ready = func(fd uintptr) (done bool) {
		r.n, done, r.err = read(int(fd), r.p, &r.waits)
		return done
	}
}

// read reads into p.
func (r *connReader) read(p []byte) (int, error) {
	r.p, r.waits, r.n, r.err = p, time.Time{}, 0, nil
	err := r.raw.Read(r.ready)
	r.p = nil
	if err != nil {
		return 0, err
	}
	return r.n, r.err
}

// answerWaits says whether some of an answer has come that nobody has read.
func (c *conn) answerWaits() bool {
	if c.raw == nil {
		return false
	}
	waits := false
	c.raw.Control(func(fd uintptr) { // an error is that of a closed connection
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
	if c.raw == nil {
		return false
	}
	came := false
	c.raw.Control(func(fd uintptr) { // an error is that of a closed connection
		age, ok := dataAge(int(fd))
		came = ok && time.Now().Add(-age).After(wrote)
	})
	return came
}

// answeredAfter is how long after the beginning of an attempt its answer had come whole, which has
// just been read: how long it waited unread is not the server's time. 0 says that it did not wait.
func (c *conn) answeredAfter(began, wrote time.Time) time.Duration {
	now := time.Now()
	if c.raw == nil || now.Sub(wrote) <= kernelTick {
		return 0
	}
	took := time.Duration(0)
	c.raw.Control(func(fd uintptr) { // an error is that of a closed connection
		if age, ok := dataAge(int(fd)); ok && age > kernelTick {
			took = max(now.Add(-age).Sub(began), wrote.Sub(began), 1)
		}
	})
	return took
}
