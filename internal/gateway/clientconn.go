package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// This file is the client's connection: reading it, its deadlines, and closing it with nothing lost.
// What it brings is followed in framing.go, when that came in arrival.go.

// framedListener watches the framing of what its connections bring.
type framedListener struct{ net.Listener }

func (l framedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newFramedConn(c), nil
}

func newFramedConn(c net.Conn) *framedConn {
	now := time.Now()
	framed := &framedConn{Conn: c, head: requestHead{began: now}}
	framed.unread.sawNothing(now)
	if queued, ok := c.(queuedConn); ok {
		c, framed.Conn, framed.unread = queued.Conn, queued.Conn, queued.queue
	}
	framed.raw = rawConn(c)
	framed.reader.init(framed.raw, framed.readNow)
	return framed
}

// framedConn follows the framing of what its connection brings, from head to head.
type framedConn struct {
	net.Conn
	raw     syscall.RawConn // of Conn; nil where there is none, as in tests without sockets
	closed  atomic.Bool     // by us, whatever may have been read from it
	release func()          // gives back its place at the first Close; may be nil

	mu     sync.Mutex     // net/http reads ahead while the handler runs
	ended  bool           // nothing more is read, as the connection is about to be closed
	heads  []*requestHead // of requests that no handler has yet, in their order
	idle   bool           // no request is being served, so what comes in begins one
	due    time.Time      // a head that has begun to come in while idle has to be whole; zero: none has
	unread arrival        // of what has not been read
	readBy time.Time      // deadline of reads
	reader connReader
	at     place
	left   int64        // bytes of the body or chunk still to come
	line   []byte       // start of the line that is coming in
	long   bool         // ... which has been cut
	head   requestHead  // that is coming in
	latest *requestHead // of the request whose head came whole last
}

// Read reads and takes in what came in one step under c.mu, so that whoever closes the
// connection for bringing nothing knows of all that was read.
func (c *framedConn) Read(p []byte) (n int, err error) {
	defer func() {
		if due := c.headDue(); !due.IsZero() {
			c.readUntil(due)
		}
	}()
	if c.raw == nil {
		n, err = c.Conn.Read(p)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.unread.sawNothing(time.Now())
		c.unread.took(n)
		c.follow(p[:n])
		return n, err
	}
	n, err = c.reader.read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		n, err = c.readLate(p, err)
	}
	var call *os.SyscallError
	switch {
	case errors.As(err, &call) || err == net.ErrClosed:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
	case err != nil:
		return 0, err
	case n == 0 && len(p) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// readLate reads what came before the deadline of reads though that has passed: the process may
// have been held up, and a request that has come whole is owed an answer.
func (c *framedConn) readLate(p []byte, overdue error) (n int, err error) {
	err = overdue
	c.raw.Control(func(fd uintptr) { // an error is that of a closed connection
		unread, _ := unreadBytes(int(fd))
		age, ok := dataAge(int(fd))
		c.mu.Lock()
		inTime := ok && unread > 0 && time.Now().Add(-age).Before(c.readBy)
		c.mu.Unlock()
		if inTime {
			n, _, err = c.readNow(int(fd), p, &time.Time{})
		}
	})
	if n == 0 && err == nil {
		err = overdue
	}
	return n, err
}

// SetReadDeadline sets the deadline of reads, or the time at which a head is due that has begun
// to come in, if that is sooner: net/http waits for its first bytes as long as for a new request.
func (c *framedConn) SetReadDeadline(t time.Time) error {
	if due := c.headDue(); !due.IsZero() && (t.IsZero() || due.Before(t)) {
		t = due
	}
	return c.readUntil(t)
}

// readUntil sets the deadline of reads and notes it.
func (c *framedConn) readUntil(t time.Time) error {
	c.mu.Lock()
	c.readBy = t
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// headDue is when a head that has begun to come in on an idle connection has to be whole; zero:
// none has.
func (c *framedConn) headDue() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle {
		return time.Time{}
	}
	return c.due
}

// setIdle says whether a request is being served. The time of a head of which some came in
// meanwhile begins when nothing is.
func (c *framedConn) setIdle(idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = idle
	if idle && !c.due.IsZero() {
		c.due = time.Now().Add(headerTimeout)
	}
}

// readNow reads what there is; it is not done where there is nothing yet, and notes since when its
// reader waits.
func (c *framedConn) readNow(fd int, p []byte, waits *time.Time) (n int, done bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return 0, true, net.ErrClosed
	}
	now := time.Now()
	n, err = retryInterrupted(func() (int, error) { return syscall.Read(fd, p) })
	if err == syscall.EAGAIN {
		c.drained(now)
		*waits = now
		return 0, false, nil
	}
	if err != nil {
		return 0, true, os.NewSyscallError("read", err)
	}
	if !waits.IsZero() {
		c.unread.woken(now, *waits)
	}
	c.unread.took(n)
	c.follow(p[:n])
	if n < len(p) { // that was all
		c.dateLast(now, fd)
		c.drained(now)
	} else if c.at != inHead {
		c.press(now, fd)
	}
	return n, true, nil
}

// drained notes that nothing was left to read. Behind a whole request a client waits for its
// answer, so that nothing is kept back.
func (c *framedConn) drained(now time.Time) {
	if c.at == inHead || !c.unread.keptBack() {
		c.unread.sawNothing(now)
	}
}

// dateLast asks when the request came whose last byte was read last, if one ends there.
func (c *framedConn) dateLast(now time.Time, fd int) {
	if c.latest != nil && !c.latest.whole.IsZero() && c.at == inHead && c.head.began.IsZero() {
		c.latest.whole = c.unread.last(now, fd)
	}
}

// press notes how much of a body waits to be read.
func (c *framedConn) press(now time.Time, fd int) {
	if unread, ok := unreadBytes(fd); ok {
		c.unread.press(now, unread)
	}
}

// wholeAt is when the last byte of a request came, at the earliest. Of one that is still coming in
// it is the last moment at which it is known not to have been whole.
func (c *framedConn) wholeAt(h *requestHead) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !h.whole.IsZero() {
		return h.whole
	}
	now := time.Now()
	if c.raw == nil || h != c.latest {
		return now
	}
	at := now // a closed connection brings nothing more
	c.raw.Control(func(fd uintptr) { at = c.notWhole(now, int(fd)) })
	return at
}

// notWhole is the last moment at which the body that comes in is known not to have been whole.
func (c *framedConn) notWhole(now time.Time, fd int) time.Time {
	unread, ok := unreadBytes(fd)
	if !ok {
		return now
	}
	if unread == 0 {
		c.drained(now)
	}
	if c.at != inBody {
		return c.unread.since(c.unread.total + int64(unread))
	}
	owed := c.left - int64(unread)
	if owed > senderBuffer || owed > 0 && unread < leastWindow && !c.unread.keptBack() {
		return now
	}
	return c.unread.since(c.unread.total + c.left)
}

// retryInterrupted makes a system call until no signal interrupts it.
func retryInterrupted[T any](call func() (T, error)) (result T, err error) {
	for {
		if result, err = call(); err != syscall.EINTR {
			return result, err
		}
	}
}

// closeResting closes a connection without a request if nothing of one has come in.
func (c *framedConn) closeResting() bool {
	return c.closeIf(func() bool { return len(c.heads) == 0 && c.at == inHead && !c.head.started && len(c.line) == 0 })
}

// closeWithoutHead closes a connection without a request unless the head of one has come whole.
func (c *framedConn) closeWithoutHead() bool {
	return c.closeIf(func() bool { return len(c.heads) == 0 && c.at == inHead })
}

// closeWithoutBody closes a connection whose request is being read unless it has come whole.
func (c *framedConn) closeWithoutBody() bool {
	return c.closeIf(func() bool { return c.at != inHead })
}

// closeIf closes the connection if that may be and no bytes wait to be read; what was read
// after that is not taken in. It says whether it did.
func (c *framedConn) closeIf(may func() bool) bool {
	c.mu.Lock()
	close := !c.ended && may() && !c.hasUnread()
	c.ended = c.ended || close
	c.mu.Unlock()
	if close {
		c.Close() // not under c.mu: it waits for the reader
	}
	return close
}

// hasUnread says whether bytes have come in that nobody has read; c.mu is held.
func (c *framedConn) hasUnread() bool {
	if c.raw == nil {
		return false
	}
	waiting := 0
	c.raw.Control(func(fd uintptr) { // an error is that of a closed connection
		waiting, _ = peek(int(fd))
	})
	return waiting > 0
}

// peek looks for a byte that has come in, without waiting: 1 there is one, 0 the other side has
// ended its sending, EAGAIN neither.
func peek(fd int) (int, error) {
	return retryInterrupted(func() (int, error) {
		var b [1]byte
		n, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return n, err
	})
}

// Close marks the connection closed. One that is closed as idle may bring a request at
// that moment; the mark tells the handler, which must not let both it and the one that
// the client then sends in its place go on.
func (c *framedConn) Close() error {
	c.closed.Store(true)
	err := c.Conn.Close()
	if c.release != nil {
		c.release()
	}
	return err
}

// gone says whether the client has ended its sending or its connection, which bytes that
// nobody has read yet hide from a reader. What the receive buffer cannot take hides it here
// as well: the end comes behind it.
func (c *framedConn) gone() bool {
	if c.closed.Load() {
		return true
	}
	if c.raw == nil {
		return false
	}
	gone := false
	err := c.raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := retryInterrupted(func() (int, error) { return unix.Poll(fds, 0) })
		gone = err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return gone || err != nil
}

// holdAhead has the system take so much ahead of who reads the connection, so that an end
// behind it comes in.
func (c *framedConn) holdAhead(n int) {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetReadBuffer(n) // what it takes less, it takes later
	}
}

type framedKey struct{}

func withFraming(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, framedKey{}, c)
}

// closed says whether the connection of a request was closed before its handler began.
func closed(r *http.Request) bool {
	c, ok := r.Context().Value(framedKey{}).(*framedConn)
	return ok && c.closed.Load()
}
