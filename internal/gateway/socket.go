package gateway

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// retryInterrupted repeats a system call while it fails with EINTR.
func retryInterrupted[T any](call func() (T, error)) (result T, err error) {
	for {
		if result, err = call(); err != syscall.EINTR {
			return result, err
		}
	}
}

// peek looks for an unread byte without waiting. It returns 1 if there is one, 0 if the peer has
// closed its sending side, and an error otherwise: EAGAIN if the connection is open.
func peek(fd int) (int, error) {
	return retryInterrupted(func() (int, error) {
		var b [1]byte
		n, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return n, err
	})
}

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
