package gateway

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// watchConn is a connection to discovery that knows whether what came on it is in force. Its reader
// asks for more only once all whole lists have gone to the loop.
type watchConn struct {
	net.Conn
	raw     syscall.RawConn // of Conn; nil where there is none, as in tests without sockets
	reader  connReader
	look    func(fd uintptr) // of overdue
	inForce func()           // returns once all that has gone to the loop is in force

	mu     sync.Mutex
	late   int       // reads of what had waited for long
	heeded int       // ... of which all is in force
	readAt time.Time // something was read last
	closed bool
	waited bool // what look has found
}

func newWatchConn(c net.Conn, inForce func()) *watchConn {
	w := &watchConn{Conn: c, raw: rawConn(c), inForce: inForce}
	w.reader.init(w.raw, w.readNow)
	w.look = func(fd uintptr) { w.waited = waitedLong(int(fd)) }
	return w
}

// Read reads what has come.
func (c *watchConn) Read(p []byte) (int, error) {
	if c.raw == nil {
		return c.Conn.Read(p)
	}
	n, err := c.reader.read(p)
	var call syscall.Errno
	switch {
	case errors.As(err, &call):
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: call}
	case err != nil:
		return 0, err
	case n == 0 && len(p) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// readNow reads what there is, and looks how long that has waited in one step under c.mu.
func (c *watchConn) readNow(fd int, p []byte, _ *time.Time) (n int, done bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	waited := waitedLong(fd)
	n, err = retryInterrupted(func() (int, error) { return syscall.Read(fd, p) })
	if err == syscall.EAGAIN {
		c.handedOn()
		return 0, false, nil
	}
	if n > 0 {
		c.readAt = time.Now()
	}
	if waited && n > 0 {
		c.late++
	}
	return n, true, err
}

// handedOn notes that all that was read has gone to the loop; c.mu is held.
func (c *watchConn) handedOn() {
	if c.late == c.heeded {
		return
	}
	late := c.late
	go func() { // the reader must not wait for the loop
		c.inForce()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.heeded = late
	}()
}

// Close ends the connection; what it brought and nobody read is lost, so nothing waits for it.
func (c *watchConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	return c.Conn.Close()
}

// overdue says whether something has come long ago that is not in force yet.
func (c *watchConn) overdue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.raw == nil || c.closed {
		return false
	}
	if c.late > c.heeded {
		return true
	}
	c.waited = false
	c.raw.Control(c.look) // an error is that of a closed connection
	return c.waited
}

// hasNews says whether something has come that nobody has read, or that was read just now.
func (c *watchConn) hasNews() (unread bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.raw == nil {
		return false
	}
	if time.Since(c.readAt) < stallThreshold {
		return true
	}
	c.raw.Control(func(fd uintptr) { // an error is that of a closed connection
		n, ok := unreadBytes(int(fd))
		unread = ok && n > 0
	})
	return unread
}

// waitedLong says whether what waits to be read came longer ago than a process takes that is not
// held up.
func waitedLong(fd int) bool {
	if n, ok := unreadBytes(fd); !ok || n == 0 {
		return false
	}
	age, ok := lastDataAge(fd)
	return ok && age >= stallThreshold
}
