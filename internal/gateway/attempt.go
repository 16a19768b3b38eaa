package gateway

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"bramblelock"
)

// attempt is one sending of a request to a host. The loop creates it, and runAttempt carries it out in
// its own goroutine.
type attempt struct {
	number            int // of the attempts of its request, from 0
	hostID            string
	cancel            context.CancelCauseFunc
	onUploadComplete  func() // reports to the loop that the host has the whole of a streamed body
	onHeadForwarded   func() // reports to the loop that the client gets the head of an answer whose body has not begun
	onResponseStarted func() // reports to the loop that the answer is being streamed to the client

	writeBy time.Time // the request must be written whole by then, or not at all; zero if there is no limit

	chargedFrom time.Time     // start of the time that is charged to the host: the start of the attempt, or the end of sending an upload
	chargedTime time.Duration // time charged to the host; zero if that is the time from chargedFrom until the attempt ends

	clientUnconfirmed bool // the client may have left, and the request must not be sent; set before the attempt ends

	answer   answerProgress
	reported answerState // the progress that the Balancer knows of; owned by the loop

	written   atomic.Bool // the request was written whole, and conn and writtenAt are set
	conn      *conn
	writtenAt time.Time

	mu          sync.Mutex         // guards aborted and streaming
	ended       bool               // owned by the loop
	canceledFor bramblelock.Reason // why it was canceled, if it was; owned by the loop
	result      bramblelock.Result // set with ended; owned by the loop
	aborted     bool
	streaming   bool // the answer is being streamed to the client, so the attempt cannot be canceled any more
}

// answerArrived returns whether part of the answer has arrived, read or not.
func (att *attempt) answerArrived() bool {
	return att.written.Load() && att.conn.answerArrived(att.writtenAt)
}

// streamStarted returns whether the answer is or was streamed to the client.
func (att *attempt) streamStarted() bool {
	att.mu.Lock()
	defer att.mu.Unlock()
	return att.streaming
}

// abort cancels the attempt unless its answer is being streamed to the client. The cause is
// context.DeadlineExceeded or context.Canceled; the result of the attempt depends on it.
func (att *attempt) abort(cause error) {
	att.mu.Lock()
	defer att.mu.Unlock()
	if !att.streaming {
		att.aborted = true
		att.cancel(cause)
	}
}

// startStreaming makes a the final answer of the request, so that it is streamed to the client. It
// returns false, and does nothing, if the attempt was aborted or the request is finished already.
func (att *attempt) startStreaming(x *exchange, a answer) bool {
	att.mu.Lock()
	won := !att.aborted && x.claimAnswer()
	att.streaming = won
	att.mu.Unlock()
	switch {
	case won && a.stream.bodyBegun:
		att.bodyBegins()
		x.answer <- a
	case won:
		a.stream.onBody = att.bodyBegins
		att.onHeadForwarded()
		x.answer <- a
	}
	return won
}

// bodyBegins records that the body of an answer that is streamed has begun: the rest of its time depends on
// the client.
func (att *attempt) bodyBegins() {
	att.chargedTime = time.Since(att.chargedFrom)
	att.onResponseStarted()
}

// runAttempt sends a request to a host once and returns the result. The answer is set only if the
// result is OK and the answer was not streamed to the client. ctx ends when the attempt is to be given
// up, because of its deadline or a cancellation.
func (p *Pool) runAttempt(ctx context.Context, h *host, x *exchange, att *attempt) (bramblelock.Result, answer) {
	for {
		dialStart := time.Now()
		c, err := p.getWithDeadline(ctx, h, att.writeBy)
		if err != nil {
			return dialFailure(ctx, x, att, time.Since(dialStart), err), answer{}
		}
		if result, sendable := p.checkSendable(ctx, h, x, att); !sendable {
			p.put(c) // nothing was written to it
			return result, answer{}
		}
		reused := c.reused
		result, a := p.roundTrip(ctx, c, x, att)
		if result == bramblelock.ConnectFailed && reused && ctx.Err() == nil && !x.bodyConsumed() {
			// The host closed the idle connection after get had checked it and before the last byte
			// was written: nothing ran, and it says nothing of the host. Each iteration uses up one
			// idle connection.
			continue
		}
		return result, a
	}
}

// dialFailure returns the result of an attempt that got no connection.
func dialFailure(ctx context.Context, x *exchange, att *attempt, took time.Duration, err error) bramblelock.Result {
	switch {
	case att.writeDeadlinePassed():
		return bramblelock.NotSent
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded) && took > x.timeout/2:
		// The dial used most of the time available: the host could not be connected to, although the
		// dial's own time-out is longer.
		return bramblelock.ConnectFailed
	case ctx.Err() != nil:
		return unsentResult(ctx)
	case errors.Is(err, errTooManyConns) || isLocalFailure(err):
		return bramblelock.NotSent // this machine lacks resources; it says nothing of the host
	}
	return bramblelock.ConnectFailed
}

// checkSendable returns whether the request may be sent and, if not, the result of the attempt. The dial
// may have taken long: the host may have begun to drain, the request may have been answered, or its
// client may have left, which the HTTP server does not notice while bytes from the client are unread. A
// request whose client may have left is not sent at all.
func (p *Pool) checkSendable(ctx context.Context, h *host, x *exchange, att *attempt) (result bramblelock.Result, sendable bool) {
	switch {
	case att.writeDeadlinePassed():
		return bramblelock.NotSent, false
	case ctx.Err() != nil:
		return unsentResult(ctx), false
	}
	p.awaitOverdueUpdate(ctx)
	if x.clientConn != nil && !x.clientConn.awaitPresence(ctx, p.memory) {
		att.clientUnconfirmed = ctx.Err() == nil
		return unsentResult(ctx), false
	}
	if !p.permit(h, x) || att.writeDeadlinePassed() {
		return bramblelock.NotSent, false
	}
	return 0, true
}

// permit is the last check before the first byte of an attempt. It returns whether the host still
// takes requests, the request still needs an answer, its client is still there, and it is not one that was sent
// before with the same id. If the client has left, or the request was sent before, permit finishes the request.
func (p *Pool) permit(h *host, x *exchange) bool {
	if x.clientGone != nil && x.clientGone() {
		x.markClientGone()
		x.finish(answer{kind: answerFailed})
	}
	if x.finished.Load() || !h.usable.Load() {
		return false
	}
	if !p.holdID(x) {
		p.repeatLog.warn("request not sent: another one with its id may have run", "id", x.requestID())
		x.finish(answer{kind: answerFailed})
		return false
	}
	return true
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

// getWithDeadline returns a connection, as get does, but gives up a dial at the deadline unless that
// is zero.
func (p *Pool) getWithDeadline(ctx context.Context, h *host, deadline time.Time) (*conn, error) {
	if deadline.IsZero() {
		return p.get(ctx, h)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return p.get(ctx, h)
}

// unsentResult returns the result of an attempt that was given up before its last byte was written:
// Canceled if it was canceled, and NotSent if its deadline passed.
func unsentResult(ctx context.Context) bramblelock.Result {
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return bramblelock.Canceled
	}
	return bramblelock.NotSent
}
