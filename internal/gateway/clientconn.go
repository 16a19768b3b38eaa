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

	"bramblelock/internal/gateway/framing"
	"bramblelock/internal/gateway/socket"
)

// This file implements the connection of a client: reading, writing and read deadlines. Package framing parses
// the bytes that are read; client_arrival.go and arrival.go bound the time at which they arrived, and
// client_close.go closes a connection without losing a request.

// framedListener accepts connections as framedConns.
type framedListener struct{ net.Listener }

func (l framedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newFramedConn(c), nil
}

// newFramedConn returns a framedConn over c. A queuedConn passes on its bounds on the arrival of data.
func newFramedConn(c net.Conn) *framedConn {
	now := time.Now()
	framed := &framedConn{Conn: c, parser: framing.NewParser(now)}
	framed.arrivals.noteEmpty(now)
	if queued, ok := c.(queuedConn); ok {
		framed.Conn = queued.Conn
		framed.arrivals = queued.arrivals
	}
	framed.raw = socket.Raw(framed.Conn)
	framed.reader.Init(framed.raw, framed.readAvailable)
	return framed
}

// framedConn is a connection that parses the framing of the requests that are read from it.
type framedConn struct {
	net.Conn
	raw         syscall.RawConn // of Conn; nil for a connection without a socket, as in tests
	closed      atomic.Bool     // Close was called, even if a request was read before
	releaseSlot func()          // called by each Close; the first call frees the connection's slot; may be nil
	rejectLog   *rateLimitedLog // logs heads that are not read to their end; may be nil
	progress    sendProgress    // of the piece of a stream that is being written; owned by the writer

	mu           sync.Mutex     // guards the fields below but reader; net/http reads ahead while the handler runs
	closing      bool           // the connection is about to be closed, and nothing more is read
	idle         bool           // a request has been answered, and the next bytes belong to a new one
	serving      bool           // net/http has read a whole head whose request has not been answered yet
	ahead        []aheadChunk   // bytes that were read and parsed before net/http asked for them, in their order
	headBudget   *memoryBudget  // pays for the heads that are read; nil if they are not counted
	headCharge   int            // bytes of headBudget that the present head has taken
	idleSince    time.Time      // when idle became true last
	arrivals     arrivalTracker // bounds the arrival time of the bytes that are read next
	lastReadAt   time.Time      // when bytes were last read from the socket
	readDeadline time.Time      // current deadline of reads
	reader       socket.Reader  // used by Read alone, without mu
	parser       framing.Parser
}

// Read reads what has arrived and parses it in one step under c.mu, so that closeIf knows of all
// that has been read when it closes a connection.
func (c *framedConn) Read(p []byte) (n int, err error) {
	defer func() {
		if headDeadline := c.idleHeadDeadline(); !headDeadline.IsZero() {
			c.setReadDeadline(headDeadline)
		}
	}()
	if c.raw == nil {
		n, err = c.readWithoutSocket(p)
	} else {
		n, err = c.reader.Read(p)
		if !c.reader.Waited() {
			yieldTurn()
		}
	}
	if c.raw != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		n, err = c.readAfterDeadline(p, err)
	}
	var syscallErr *os.SyscallError
	switch {
	case err == errTooManyFields || err == errHeadMemory:
		return 0, c.rejectHead(err)
	case c.raw == nil:
		return n, err
	case errors.As(err, &syscallErr) || err == net.ErrClosed:
		return 0, c.readError(err)
	case err != nil:
		return 0, err
	case n == 0 && len(p) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// trackProgress makes the writes until untrackProgress go on past their deadline while the client takes something within
// each clientStallTimeout. The writer calls it whenever it sets the deadline.
func (c *framedConn) trackProgress() { c.progress = newSendProgress(c.raw) }

// untrackProgress ends trackProgress.
func (c *framedConn) untrackProgress() { c.progress = sendProgress{} }

// Write writes as a net.Conn does, but see trackProgress.
func (c *framedConn) Write(p []byte) (written int, err error) {
	for {
		n, err := c.Conn.Write(p[written:])
		written += n
		if !c.progress.mayContinue(n, err) {
			return written, err
		}
		c.SetWriteDeadline(time.Now().Add(clientStallTimeout))
	}
}

// readWithoutSocket reads and parses, as Read does, from a connection without a socket.
func (c *framedConn) readWithoutSocket(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivals.noteEmpty(time.Now())
	c.arrivals.noteRead(n)
	c.parse(p[:n])
	if headErr := c.admitHead(); headErr != nil {
		return 0, headErr
	}
	return n, err
}

// readError returns the error of a read that failed for the given cause. net/http sends nothing after it.
func (c *framedConn) readError(cause error) error {
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: cause}
}

// readAfterDeadline reads the unread data if all of it arrived before the read deadline, although the
// deadline has passed: the process may have been stalled, and a request that has arrived whole is
// owed an answer. Otherwise it returns timeoutErr.
func (c *framedConn) readAfterDeadline(p []byte, timeoutErr error) (n int, err error) {
	err = timeoutErr
	c.raw.Control(func(fd uintptr) { // fails only if the connection is closed
		unread, _ := socket.UnreadBytes(int(fd))
		age, ok := socket.LastDataAge(int(fd))
		c.mu.Lock()
		inTime := len(c.ahead) > 0 || ok && unread > 0 && time.Now().Add(-age).Before(c.readDeadline)
		c.mu.Unlock()
		if inTime {
			n, _, err = c.readAvailable(int(fd), p, &time.Time{})
		}
	})
	if n == 0 && err == nil {
		err = timeoutErr
	}
	return n, err
}

// SetReadDeadline sets the deadline of reads to t, or to the deadline of a head that has begun to
// arrive on an idle connection, if that is sooner: net/http gives the first bytes of a request as
// much time as it waits for a new request.
func (c *framedConn) SetReadDeadline(t time.Time) error {
	if headDeadline := c.idleHeadDeadline(); !headDeadline.IsZero() && (t.IsZero() || headDeadline.Before(t)) {
		t = headDeadline
	}
	return c.setReadDeadline(t)
}

// setReadDeadline sets the deadline of reads and stores it.
func (c *framedConn) setReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.readDeadline = t
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// idleHeadDeadline returns the deadline of a head that has begun to arrive on an idle connection,
// or the zero time if there is none. A head that has begun to arrive during a request gets its time
// from the end of that request on.
func (c *framedConn) idleHeadDeadline() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	headStart := c.parser.HeadStartedAt()
	if !c.idle || headStart.IsZero() {
		return time.Time{}
	}
	return laterOf(headStart, c.idleSince).Add(headerTimeout)
}

// setState records the state that net/http reports for the connection.
func (c *framedConn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = state == http.StateActive
	c.idle = state == http.StateIdle
	if c.idle {
		c.idleSince = time.Now()
		c.releaseHead()
	}
}

// parse parses bytes that have been read. The caller holds c.mu.
func (c *framedConn) parse(in []byte) {
	c.parser.Parse(in, time.Now(), c.arrivals.arrivedAfter(c.arrivals.totalRead))
}

// readAvailable returns bytes that were read ahead or, if there are none, reads those that have arrived, as
// readSocket does. It returns net.ErrClosed if the connection is about to be closed.
func (c *framedConn) readAvailable(fd int, p []byte, waitingSince *time.Time) (n int, done bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return 0, true, net.ErrClosed
	}
	if len(c.ahead) > 0 && len(p) > 0 {
		if err := c.admitHead(); err != nil {
			return 0, true, err
		}
		return c.takeAhead(p), true, nil
	}
	return c.readSocket(fd, p, waitingSince)
}

// readSocket reads the bytes that have arrived. If there are none it returns false for done and stores in
// waitingSince when its caller began to wait. If waitingSince is not zero when it is called, its caller has
// been woken up. The caller holds c.mu.
func (c *framedConn) readSocket(fd int, p []byte, waitingSince *time.Time) (n int, done bool, err error) {
	now := time.Now()
	n, err = socket.RetryInterrupted(func() (int, error) { return syscall.Read(fd, p) })
	if err == syscall.EAGAIN {
		c.noteNothingUnread(now)
		*waitingSince = now
		return 0, false, nil
	}
	if err != nil {
		return 0, true, os.NewSyscallError("read", err)
	}
	if !waitingSince.IsZero() {
		c.arrivals.noteWakeup(now, *waitingSince)
	}
	c.lastReadAt = now
	c.arrivals.noteRead(n)
	c.parse(p[:n])
	if err := c.admitHead(); err != nil {
		return 0, true, err
	}
	if n < len(p) { // nothing is left unread
		c.boundCompletionTime(now, fd)
		c.noteNothingUnread(now)
	} else if !c.parser.InHead() {
		c.noteUnreadBody(now, fd)
	}
	return n, true, nil
}

// setReadBuffer has the kernel receive up to n bytes ahead of the reader, so that a FIN behind them
// arrives and clientGone sees it.
func (c *framedConn) setReadBuffer(n int) {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetReadBuffer(n) // if the buffer is smaller, the bytes arrive later
	}
}

// framedConnKey is the context key of the connection of a request.
type framedConnKey struct{}

// withFramedConn returns the context for the requests of a connection.
func withFramedConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, framedConnKey{}, c)
}

// connOf returns the connection of a request, or nil in tests without one.
func connOf(r *http.Request) *framedConn {
	c, _ := r.Context().Value(framedConnKey{}).(*framedConn)
	return c
}

// connClosed returns whether this process has closed the connection of a request.
func connClosed(r *http.Request) bool {
	c := connOf(r)
	return c != nil && c.closed.Load()
}

// takeRequestHead removes the oldest pending head from the connection of r, which is the head of r,
// and returns it and whether sender and gateway agree on where the request ends. It is called once
// for each request, in their order.
func takeRequestHead(r *http.Request) (h *framing.Head, unambiguous bool) {
	c := connOf(r)
	if c == nil {
		return nil, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	h = c.parser.TakeHead()
	if h == nil {
		return nil, false // net/http has found a head where the parser has found none
	}
	return h, h.Unambiguous(r)
}
