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

	"bramblelock"
)

// notProcessedHeader with the value "1" proves that the attempt did not run.
const notProcessedHeader = "X-Not-Processed"

// attempt is one sending of a request to a host, as the loop sees it.
type attempt struct {
	cancel            context.CancelCauseFunc
	onUploadComplete  func() // reports to the loop that the host has the whole of a streamed body
	onResponseStarted func() // reports to the loop that the answer is being streamed to the client

	writeBy time.Time // the request must be written whole by then, or not at all; zero if there is no limit

	chargedFrom time.Time     // start of the time that is charged to the host
	chargedTime time.Duration // time charged to the host; zero if it runs until the attempt ends

	written   atomic.Bool // the request was written whole, and conn and writtenAt are set
	conn      *conn
	writtenAt time.Time

	mu        sync.Mutex
	ended     bool               // owned by the loop
	result    bramblelock.Result // set with ended; owned by the loop
	aborted   bool
	streaming bool // the answer is being streamed to the client, so the attempt cannot be canceled any more
}

// answerArrived returns whether part of the answer has arrived, read or not.
func (att *attempt) answerArrived() bool {
	return att.written.Load() && att.conn.answerArrived(att.writtenAt)
}

// abort cancels the attempt unless its answer is being streamed to the client.
func (att *attempt) abort(cause error) {
	att.mu.Lock()
	defer att.mu.Unlock()
	if !att.streaming {
		att.aborted = true
		att.cancel(cause)
	}
}

// startStreaming starts the client's answer and returns true, unless the attempt was aborted or the
// client has another answer.
func (att *attempt) startStreaming(x *exchange, a answer) bool {
	att.mu.Lock()
	won := !att.aborted && x.claimAnswer()
	att.streaming = won
	att.mu.Unlock()
	if won {
		att.chargedTime = time.Since(att.chargedFrom)
		x.answer <- a
		att.onResponseStarted()
	}
	return won
}

// runAttempt sends a request to a host once and returns the result. ctx ends when the attempt is to
// be given up, because of its deadline or a cancellation.
func (p *Pool) runAttempt(ctx context.Context, h *host, x *exchange, att *attempt) (bramblelock.Result, answer) {
	for {
		dialled := time.Now()
		c, err := p.getWithDeadline(ctx, h, att.writeBy)
		switch {
		case att.writeDeadlinePassed():
			if err == nil {
				p.put(c) // nothing was written to it
			}
			return bramblelock.NotSent, answer{}
		case ctx.Err() != nil:
			if err == nil {
				p.put(c) // nothing was written to it
			} else if context.Cause(ctx) == context.DeadlineExceeded && time.Since(dialled) > x.timeout/2 {
				// The dial used most of the time available: the host could not be connected to,
				// although the dial's own time-out is longer.
				return bramblelock.ConnectFailed, answer{}
			}
			return unsentResult(ctx), answer{}
		case err == errTooManyConns || isLocalFailure(err):
			return bramblelock.NotSent, answer{} // this machine lacks resources; it says nothing of the host
		case err != nil:
			return bramblelock.ConnectFailed, answer{}
		}
		// The dial may have taken long, so check again whether the request may be sent. The host
		// may have begun to drain, the request may have been answered, or its client may have left,
		// which unread bytes from it had hidden.
		p.awaitOverdueUpdate(ctx)
		if !p.permit(h, x) || att.writeDeadlinePassed() {
			p.put(c)
			return bramblelock.NotSent, answer{}
		}
		reused := c.reused
		result, a := p.roundTrip(ctx, c, x, att)
		if result == bramblelock.ConnectFailed && reused && ctx.Err() == nil && !x.bodyConsumed() {
			// The host closed the connection after the check and before the last byte: nothing ran,
			// and it says nothing of the host. Each iteration uses up one idle connection.
			continue
		}
		return result, a
	}
}

// permit is the last check before the first byte of an attempt. It returns whether the host still
// takes requests, the request still needs an answer and its client is still there.
func (p *Pool) permit(h *host, x *exchange) bool {
	if x.clientGone != nil && x.clientGone() {
		x.markClientGone()
		x.finish(answer{kind: answerFailed})
	}
	return !x.finished.Load() && h.usable.Load()
}

// isLocalFailure returns whether a system call failed because this machine lacked something:
// descriptors, ports, buffers, memory, or its network as a whole. Such a failure says nothing of
// the host. A network without a route to a host (ENETUNREACH, EHOSTUNREACH) counts as the host's
// failure, as other hosts can be reached.
func isLocalFailure(err error) bool {
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

// writeDeadlinePassed returns whether it is too late to write the request.
func (att *attempt) writeDeadlinePassed() bool {
	return !att.writeBy.IsZero() && !time.Now().Before(att.writeBy)
}

// getWithDeadline returns a connection, as get does, but gives up a dial at writeBy unless that is
// zero.
func (p *Pool) getWithDeadline(ctx context.Context, h *host, by time.Time) (*conn, error) {
	if by.IsZero() {
		return p.get(ctx, h)
	}
	ctx, cancel := context.WithDeadline(ctx, by)
	defer cancel()
	return p.get(ctx, h)
}

// unsentResult returns the result of an attempt that was given up before its last byte was written.
func unsentResult(ctx context.Context) bramblelock.Result {
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return bramblelock.Canceled
	}
	return bramblelock.NotSent
}

// roundTrip writes the request to a connection and reads the answer. If it fails before the last
// byte is written, the request did not run; after that it may have.
func (p *Pool) roundTrip(ctx context.Context, c *conn, x *exchange, att *attempt) (bramblelock.Result, answer) {
	// An attempt is given up by closing its connection. An answer that is unread at the deadline
	// has arrived in time, and is read first.
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
			p.discard(c)
		}
	}()
	if !att.writeBy.IsZero() {
		c.SetWriteDeadline(att.writeBy)
		defer c.SetWriteDeadline(time.Time{}) // runs before the deferred put above
	}
	head, stated := x.encodeHead()
	p.audit.checkSent(c.host, x, time.Now(), stated, p.drainGrace)
	early, err := c.writeRequest(x, head)
	if err != nil {
		switch {
		case errors.Is(err, errClientBody):
			// Nothing ran, and the host is not to blame.
			x.finish(answer{kind: answerRejected, err: err})
			return bramblelock.NotSent, answer{}
		case ctx.Err() != nil:
			return unsentResult(ctx), answer{}
		}
		if isLocalFailure(err) {
			return bramblelock.NotSent, answer{}
		}
		if x.upload != nil {
			att.chargedTime = max(1, c.acquiredAt.Sub(att.chargedFrom)) // the rest is time that the client took
		}
		return bramblelock.ConnectFailed, answer{}
	}
	wrote := time.Now()
	att.conn, att.writtenAt = c, wrote
	att.written.Store(true)
	if x.upload != nil && !early {
		att.chargedFrom = wrote
		att.onUploadComplete()
	}
	status, a, keep, err := c.readAnswer(x.method, p.memory)
	if early {
		keep = false // the rest of the request would follow on the connection
	}
	if err == nil && a.stream == nil {
		att.chargedTime = c.answerDuration(att.chargedFrom, wrote)
	}
	if err != nil && ctx.Err() != nil {
		p.closeIdleIfSilent(c.host, wrote)
	}
	switch {
	case err == nil:
		p.mu.Lock()
		c.host.lastAnswerAt = time.Now()
		p.mu.Unlock()
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return bramblelock.TimedOut, answer{}
	case ctx.Err() != nil:
		return bramblelock.Canceled, answer{}
	case isLocalFailure(err):
		return bramblelock.Canceled, answer{} // it may have run, and the failure says nothing of the host
	case early && isConnError(err):
		return bramblelock.ConnectFailed, answer{}
	case isConnError(err):
		return bramblelock.Reset, answer{}
	default:
		return bramblelock.Failed, answer{} // the host sent an invalid answer
	}
	switch {
	case status == http.StatusOK && early:
		a.discard()
		return bramblelock.Failed, answer{} // the host has not received the whole request that it claims to have served
	case status == http.StatusOK && a.stream != nil:
		var result bramblelock.Result
		result, keep = c.streamToClient(x, att, a, keep)
		return result, answer{}
	case status == http.StatusOK:
		return bramblelock.OK, a
	}
	a.discard()
	switch {
	case (status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout) &&
		a.header.Get(notProcessedHeader) == "1":
		return bramblelock.Full, answer{}
	case status == http.StatusBadRequest || status == http.StatusNotFound:
		return bramblelock.Rejected, answer{} // the only statuses with which hosts reject an invalid request
	}
	return bramblelock.Failed, answer{}
}

// streamToClient streams an answer to the client, and waits for its end.
func (c *conn) streamToClient(x *exchange, att *attempt, a answer, keep bool) (bramblelock.Result, bool) {
	if !att.startStreaming(x, a) {
		return bramblelock.Canceled, false
	}
	err := <-a.stream.done
	c.SetReadDeadline(time.Time{})
	switch {
	case err == nil:
		return bramblelock.OK, keep && c.reader.Buffered() == 0
	case err == errClientGone:
		return bramblelock.Canceled, false
	case isConnError(err):
		return bramblelock.Reset, false
	}
	return bramblelock.Failed, false
}

// errClientBody marks a failure to read the body from the client while it was streamed to a host.
var errClientBody = errors.New("the body did not arrive")

// writeRequest writes the request, the last byte last. It streams a body that is too long to be
// buffered. early means that the host answered before the end of the request.
func (c *conn) writeRequest(x *exchange, head []byte) (early bool, err error) {
	out := net.Buffers{head}
	upload := x.upload
	if upload == nil {
		if len(x.body) > 0 {
			out = append(out, x.body)
		}
		_, err := out.WriteTo(c.Conn)
		return false, err
	}
	writePiece := func(p []byte) error {
		if len(p) > 0 && upload.length < 0 {
			out = append(out, strconv.AppendInt(nil, int64(len(p)), 16), crlf, p, crlf)
		} else if len(p) > 0 {
			out = append(out, p)
		}
		c.SetWriteDeadline(time.Now().Add(hostStallTimeout))
		defer c.SetWriteDeadline(time.Time{})
		_, err := out.WriteTo(c.Conn)
		out = nil
		return err
	}
	if err := writePiece(x.body); err != nil {
		return false, err
	}
	buf := streamBuffers.Get().(*[streamBufferBytes]byte)
	defer streamBuffers.Put(buf)
	for {
		if !c.quiet() {
			return true, nil
		}
		upload.consumed = true
		n, err := upload.Read(buf[:])
		if err == nil && upload.received == upload.length {
			err = io.EOF // the host does not need the end of the body to be signalled
		}
		if err != nil && err != io.EOF {
			return false, fmt.Errorf("%w: %w", errClientBody, err)
		}
		if err == io.EOF {
			// The whole body has been read. It may have arrived long before, if the host read it
			// slowly.
			x.deadline = x.capDeadline(x.clientDeadline())
		}
		if err == io.EOF && upload.length < 0 {
			if err := writePiece(buf[:n]); err != nil {
				return false, err
			}
			out = net.Buffers{lastChunk}
			n = 0
		}
		if err := writePiece(buf[:n]); err != nil {
			return false, err
		}
		if err == io.EOF {
			close(upload.sent)
			return false, nil
		}
	}
}

var (
	crlf      = []byte("\r\n")
	lastChunk = []byte("0\r\n\r\n")
)
