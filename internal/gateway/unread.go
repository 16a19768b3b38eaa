package gateway

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// kernelTick is how exact the kernel's word on the age of data is: a tick of up to 10 ms.
const kernelTick = 10 * time.Millisecond

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
