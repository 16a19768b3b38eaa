// Package socket reports what has arrived on the socket of a connection and has not been read, and what was written and
// its peer has not taken, and reads it.
package socket

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// KernelTick is the accuracy of the age that LastDataAge returns: a tick of up to 10 ms.
const KernelTick = 10 * time.Millisecond

// RetryInterrupted repeats a system call while it fails with EINTR, and returns its result.
func RetryInterrupted[T any](call func() (T, error)) (result T, err error) {
	for {
		if result, err = call(); err != syscall.EINTR {
			return result, err
		}
	}
}

// Peek looks for an unread byte without waiting. It returns 1 if there is one, 0 if the peer has
// closed its sending side, and an error otherwise: EAGAIN if the connection is open and has none.
func Peek(fd int) (int, error) {
	return RetryInterrupted(func() (int, error) {
		var b [1]byte
		n, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return n, err
	})
}

// LastDataAge returns how long ago data last arrived on a connection, to KernelTick, as the kernel
// reports it, or false if it does not. Systems that only emulate TCP report a segment size of 0 and no ages.
func LastDataAge(fd int) (time.Duration, bool) {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil || info.Snd_mss == 0 {
		return 0, false
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, true
}

// UnreadBytes returns how many bytes wait to be read from a connection, or false if the kernel does
// not report it.
func UnreadBytes(fd int) (int, bool) {
	n, err := unix.IoctlGetInt(fd, unix.TIOCINQ)
	return n, err == nil
}

// UnacknowledgedBytes returns how many bytes that were written to a connection its peer has not acknowledged, or false
// if the kernel does not report it.
func UnacknowledgedBytes(fd int) (int, bool) {
	n, err := unix.IoctlGetInt(fd, unix.TIOCOUTQ)
	return n, err == nil
}

// Raw returns access to the socket of a connection, or nil if it has none, as in tests.
func Raw(c net.Conn) syscall.RawConn {
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

// Reader reads a connection through a function that is called whenever there may be something
// to read, until it is done. It has one reader at a time and allocates nothing per read. Init sets it
// up before the first Read.
type Reader struct {
	raw        syscall.RawConn
	onReadable func(fd uintptr) bool // argument of raw.Read

	buf          []byte
	waitingSince time.Time // when the present read last found nothing to read; zero if it has not
	n            int       // result of the present read
	err          error     // result of the present read
}

// Init sets the reader up for the socket raw, which may be nil if Read is never called. read reads what
// is available into p. If there is nothing, it returns false for done and stores in waitingSince when
// its reader began to wait.
func (r *Reader) Init(raw syscall.RawConn, read func(fd int, p []byte, waitingSince *time.Time) (n int, done bool, err error)) {
	r.raw = raw
	r.onReadable = func(fd uintptr) (done bool) {
		r.n, done, r.err = read(int(fd), r.buf, &r.waitingSince)
		return done
	}
}

// Waited returns whether the last read had to wait for something to read.
func (r *Reader) Waited() bool { return !r.waitingSince.IsZero() }

// Read waits until there is something to read and reads it into p. It returns 0 and no error at the end
// of the stream. An error is that of the system call, or says that the connection is closed or its
// deadline has passed.
func (r *Reader) Read(p []byte) (int, error) {
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
