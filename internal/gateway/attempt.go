package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lynxspool"
)

// headNotProcessed at "1" proves that the attempt never ran.
const headNotProcessed = "X-Not-Processed"

// try is one attempt as the loop sees it.
type try struct {
	cancel context.CancelCauseFunc
	whole  func() // tells the loop that a body sent as it comes is with the host
	begun  func() // ... that the answer is being passed on

	by time.Time // the request must be written whole by then or not at all; zero: at any time

	from time.Time     // what the host is charged with runs from here
	took time.Duration // ... for this long, if it does not run to the end

	sent   atomic.Bool // it was written whole, and the two below are set
	sentOn *conn
	sentAt time.Time

	mu     sync.Mutex
	ended  bool             // belongs to the loop
	result lynxspool.Result // ... as does this
	over   bool
	passes bool // the answer is being passed on: it cannot be called off any more
}

// answerCame says whether some of its answer has come, read or not.
func (t *try) answerCame() bool {
	return t.sent.Load() && t.sentOn.answerArrived(t.sentAt)
}

// end calls the attempt off.
func (t *try) end(cause error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.passes {
		t.over = true
		t.cancel(cause)
	}
}

// pass says that the client's answer begins, unless the attempt was called off or the
// client has another answer.
func (t *try) pass(x *exchange, a answer) bool {
	t.mu.Lock()
	won := !t.over && x.claimAnswer()
	t.passes = won
	t.mu.Unlock()
	if won {
		t.took = time.Since(t.from)
		x.answer <- a
		t.begun()
	}
	return won
}

// attempt sends a request to a host once and says how that ended. ctx ends when the
// attempt is to be given up, by its deadline or by being called off.
func (p *Pool) attempt(ctx context.Context, h *host, x *exchange, t *try) (lynxspool.Result, answer) {
	for {
		dialled := time.Now()
		c, err := p.getBy(ctx, h, t.by)
		switch {
		case t.late():
			if err == nil {
				p.put(c) // nothing was written to it
			}
			return lynxspool.NotSent, answer{}
		case ctx.Err() != nil:
			if err == nil {
				p.put(c) // nothing was written to it
			} else if context.Cause(ctx) == context.DeadlineExceeded && time.Since(dialled) > x.timeout/2 {
				// The dial had most of the time that there was: the host could not be
				// connected to, though the dial's own time-out is longer.
				return lynxspool.ConnectFailed, answer{}
			}
			return unsent(ctx), answer{}
		case err == errNoSockets || localFailure(err):
			return lynxspool.NotSent, answer{} // the want is ours, not the host's
		case err != nil:
			return lynxspool.ConnectFailed, answer{}
		}
		// The dial may have taken long: look again whether the request may go out. It
		// guards against sending to a host that drains by now, or what has its answer, or for
		// a client that has left while bytes that it had sent hid that.
		p.heedNews(ctx)
		if !p.permit(h, x) || t.late() {
			p.put(c)
			return lynxspool.NotSent, answer{}
		}
		reused := c.reused
		result, a := p.exchange(ctx, c, x, t)
		if result == lynxspool.ConnectFailed && reused && ctx.Err() == nil && !x.bodyConsumed() {
			// It closed after the look and before the last byte: nothing ran, and
			// that tells nothing of the host. Each round uses up one idle connection.
			continue
		}
		return result, a
	}
}

// permit is the last look before the first byte of an attempt: whether the server still takes
// requests, and whether the request still wants an answer and has a client to give it to.
func (p *Pool) permit(h *host, x *exchange) bool {
	if x.clientGone != nil && x.clientGone() {
		x.markClientGone()
		x.finish(answer{kind: answerFailed})
	}
	return !x.finished.Load() && h.usable.Load()
}

// localFailure says that a call to the system failed for want of something on this machine:
// descriptors, ports, buffers, memory, or its network as a whole. It tells nothing of the host.
// A network that has no way to a host (ENETUNREACH, EHOSTUNREACH) is the host's failure: others
// can be reached.
func localFailure(err error) bool {
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return false
	}
	switch errno {
	case syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE,
		syscall.EAGAIN, syscall.ENETDOWN:
		return true
	}
	return false
}

// late says whether it is too late to write the request.
func (t *try) late() bool { return !t.by.IsZero() && !time.Now().Before(t.by) }

// getBy gets a connection that is up in time for the request to be written to it.
func (p *Pool) getBy(ctx context.Context, h *host, by time.Time) (*conn, error) {
	if by.IsZero() {
		return p.get(ctx, h)
	}
	ctx, cancel := context.WithDeadline(ctx, by)
	defer cancel()
	return p.get(ctx, h)
}

// unsent is the result of an attempt that was given up before its last byte.
func unsent(ctx context.Context) lynxspool.Result {
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return lynxspool.Canceled
	}
	return lynxspool.NotSent
}

// exchange writes the request to the connection and reads its answer. What fails before
// the last byte is written never ran, after it it may have.
func (p *Pool) exchange(ctx context.Context, c *conn, x *exchange, t *try) (lynxspool.Result, answer) {
	// Giving up an attempt is closing its connection. An answer that waits there at its deadline came
	// in time, and is read first.
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			c.awaitUnreadAnswer()
		}
		c.Conn.Close()
	})
	keep := false
	defer func() {
		if stop() && keep {
			p.put(c)
		} else {
			p.drop(c)
		}
	}()
	if !t.by.IsZero() {
		c.SetWriteDeadline(t.by)
		defer c.SetWriteDeadline(time.Time{}) // ahead of the put below, as it is set later
	}
	head, stated := x.encodeHead()
	p.audit.checkSent(c.host, x, time.Now(), stated, p.grace)
	early, err := c.write(x, head)
	if err != nil {
		switch {
		case errors.Is(err, errClient):
			// Answered by whoever reads the client; nothing ran, and the host is not to blame.
			x.finish(answer{kind: answerRejected, err: err})
			return lynxspool.NotSent, answer{}
		case ctx.Err() != nil:
			return unsent(ctx), answer{}
		}
		if localFailure(err) {
			return lynxspool.NotSent, answer{}
		}
		if x.upload != nil {
			t.took = max(1, c.since.Sub(t.from)) // the rest is the client's time
		}
		return lynxspool.ConnectFailed, answer{}
	}
	wrote := time.Now()
	t.sentOn, t.sentAt = c, wrote
	t.sent.Store(true)
	if x.upload != nil && !early {
		t.from = wrote
		t.whole()
	}
	status, a, keep, err := c.read(x.method, p.kept)
	if early {
		keep = false // what it did not read of the request would follow
	}
	if err == nil && a.stream == nil {
		t.took = c.answerDuration(t.from, wrote)
	}
	if err != nil && ctx.Err() != nil {
		p.unheard(c.host, wrote)
	}
	switch {
	case err == nil:
		p.mu.Lock()
		c.host.heard = time.Now()
		p.mu.Unlock()
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return lynxspool.TimedOut, answer{}
	case ctx.Err() != nil:
		return lynxspool.Canceled, answer{}
	case localFailure(err):
		return lynxspool.Canceled, answer{} // it may have run, and nothing is known of the host
	case early && broken(err):
		return lynxspool.ConnectFailed, answer{}
	case broken(err):
		return lynxspool.Reset, answer{}
	default:
		return lynxspool.Failed, answer{} // the host has answered, if not as it should
	}
	switch {
	case status == http.StatusOK && early:
		a.discard()
		return lynxspool.Failed, answer{} // it cannot have run what it has not got
	case status == http.StatusOK && a.stream != nil:
		var result lynxspool.Result
		result, keep = c.pass(x, t, a, keep)
		return result, answer{}
	case status == http.StatusOK:
		return lynxspool.OK, a
	}
	a.discard()
	switch {
	case (status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout) &&
		a.header.Get(headNotProcessed) == "1":
		return lynxspool.Full, answer{}
	case status == http.StatusBadRequest || status == http.StatusNotFound:
		return lynxspool.Rejected, answer{} // of the answers to a fault of the client, hosts give these
	}
	return lynxspool.Failed, answer{}
}

// pass hands an answer that is still coming to the client's side, and waits for its end.
func (c *conn) pass(x *exchange, t *try, a answer, keep bool) (lynxspool.Result, bool) {
	if !t.pass(x, a) {
		return lynxspool.Canceled, false
	}
	err := <-a.stream.done
	c.SetReadDeadline(time.Time{})
	switch {
	case err == nil:
		return lynxspool.OK, keep && c.in.Buffered() == 0
	case err == errClientGone:
		return lynxspool.Canceled, false
	case broken(err):
		return lynxspool.Reset, false
	}
	return lynxspool.Failed, false
}

// errClient marks what went wrong on the client's side while its body was passed on.
var errClient = errors.New("the body did not arrive")

// write sends the request, its last byte last. A body that is too long to be kept is
// passed on as it comes; early says that the host has answered ahead of its end.
func (c *conn) write(x *exchange, head []byte) (early bool, err error) {
	out := net.Buffers{head}
	up := x.upload
	if up == nil {
		if len(x.body) > 0 {
			out = append(out, x.body)
		}
		_, err := out.WriteTo(c.Conn)
		return false, err
	}
	piece := func(p []byte) error {
		if len(p) > 0 && up.length < 0 {
			out = append(out, strconv.AppendInt(nil, int64(len(p)), 16), crlf, p, crlf)
		} else if len(p) > 0 {
			out = append(out, p)
		}
		c.SetWriteDeadline(time.Now().Add(hostStall))
		defer c.SetWriteDeadline(time.Time{})
		_, err := out.WriteTo(c.Conn)
		out = nil
		return err
	}
	if err := piece(x.body); err != nil {
		return false, err
	}
	buf := pieces.Get().(*[pieceSize]byte)
	defer pieces.Put(buf)
	for {
		if !c.quiet() {
			return true, nil
		}
		up.spent = true
		n, err := up.Read(buf[:])
		if err == nil && up.got == up.length {
			err = io.EOF // the host will not wait for it to be told
		}
		if err != nil && err != io.EOF {
			return false, fmt.Errorf("%w: %w", errClient, err)
		}
		if err == io.EOF {
			// All of it has been read. It may have come long before: the server took it late.
			x.deadline = x.capDeadline(x.clientDeadline())
		}
		if err == io.EOF && up.length < 0 {
			if err := piece(buf[:n]); err != nil {
				return false, err
			}
			out = net.Buffers{lastChunk}
			n = 0
		}
		if err := piece(buf[:n]); err != nil {
			return false, err
		}
		if err == io.EOF {
			close(up.whole)
			return false, nil
		}
	}
}

var (
	crlf      = []byte("\r\n")
	lastChunk = []byte("0\r\n\r\n")
)
