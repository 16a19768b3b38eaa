package discovery

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"bramblelock/internal/gateway/socket"
	"bramblelock/internal/gateway/stall"
)

// watchConn is a connection to discovery that knows whether the lists that arrived on it have been
// applied by the loop. Data is delayed if it may have been unread for stall.Threshold or longer, as
// after a stall of the process. The caller of Read must have passed all whole lists that it read to
// the loop before it calls Read again.
type watchConn struct {
	net.Conn
	raw        syscall.RawConn // of Conn; nil if there is no socket, as in some tests
	reader     socket.Reader
	checkDelay func(fd uintptr) // argument of raw.Control in hasOverdueUpdate; sets unreadDelayed
	syncLists  func()           // returns once the loop has applied everything that was passed to it

	mu            sync.Mutex
	delayedReads  int       // reads of delayed data
	appliedReads  int       // the loop has applied the whole lists of the first appliedReads delayed reads; a list that was still incomplete when the data ran out may not be applied yet
	lastReadAt    time.Time // when data was last read
	emptyAt       time.Time // last time at which no data was known to be unread
	closed        bool
	unreadDelayed bool // result of checkDelay
}

func newWatchConn(c net.Conn, syncLists func()) *watchConn {
	w := &watchConn{Conn: c, raw: socket.Raw(c), syncLists: syncLists, emptyAt: time.Now()}
	w.reader.Init(w.raw, w.readAvailable)
	w.checkDelay = func(fd uintptr) { w.unreadDelayed = w.hasDelayedData(int(fd)) }
	return w
}

// Read reads data, and waits for it if there is none.
func (c *watchConn) Read(p []byte) (int, error) {
	if c.raw == nil {
		return c.Conn.Read(p)
	}
	n, err := c.reader.Read(p)
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

// readAvailable reads the available data and checks how long it has been unread. It holds c.mu for both,
// so that hasOverdueUpdate sees the data either as unread or as counted in delayedReads. It returns
// false for done if there is no data. It does not use its last parameter, which socket.Reader passes.
func (c *watchConn) readAvailable(fd int, p []byte, _ *time.Time) (n int, done bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delayed := c.hasDelayedData(fd)
	n, err = socket.RetryInterrupted(func() (int, error) { return syscall.Read(fd, p) })
	if err == syscall.EAGAIN {
		c.noteListsPassed()
		return 0, false, nil
	}
	if n > 0 {
		c.lastReadAt = time.Now()
	}
	if delayed && n > 0 {
		c.delayedReads++
	}
	return n, true, err
}

// noteListsPassed is called when all whole lists read so far have been passed to the loop. It waits in
// a goroutine until the loop has applied them and then sets appliedReads. The caller holds c.mu.
func (c *watchConn) noteListsPassed() {
	if c.delayedReads == c.appliedReads {
		return
	}
	delayed := c.delayedReads
	go func() { // the reader must not wait for the loop
		c.syncLists()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.appliedReads = max(c.appliedReads, delayed) // a later call may have finished before this one
	}()
}

// Close closes the connection. Unread data on it is lost, so from then on hasOverdueUpdate returns false.
func (c *watchConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	return c.Conn.Close()
}

// hasOverdueUpdate returns whether there is delayed data that is unread, or was read and is not counted
// in appliedReads yet. It returns false if the connection is closed or has no socket.
func (c *watchConn) hasOverdueUpdate() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.raw == nil || c.closed {
		return false
	}
	if c.delayedReads > c.appliedReads {
		return true
	}
	c.unreadDelayed = false
	c.raw.Control(c.checkDelay) // fails only if the connection is closed
	return c.unreadDelayed
}

// hasRecentData returns whether there is unread data, or data was read less than stall.Threshold
// ago.
func (c *watchConn) hasRecentData() (unread bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.raw == nil {
		return false
	}
	if time.Since(c.lastReadAt) < stall.Threshold {
		return true
	}
	c.raw.Control(func(fd uintptr) { // fails only if the connection is closed
		n, ok := socket.UnreadBytes(int(fd))
		unread = ok && n > 0
	})
	return unread
}

// hasDelayedData returns whether there is unread data that may have arrived stall.Threshold ago or
// earlier, so that the process may have been stalled. The kernel reports the age of the newest data
// only, and older data may be unread before it, so the age is counted from the last time at which
// nothing was unread. The result may therefore be true for recent data if nobody looked for a while,
// but not for long, as the reader is about to take that data. It is false on a system whose kernel
// reports no ages. The caller holds c.mu.
func (c *watchConn) hasDelayedData(fd int) bool {
	now := time.Now()
	unread, ok := socket.UnreadBytes(fd)
	if !ok {
		return false
	}
	if unread == 0 {
		c.emptyAt = now
		return false
	}
	_, supported := socket.LastDataAge(fd)
	return supported && now.Sub(c.emptyAt) >= stall.Threshold
}
