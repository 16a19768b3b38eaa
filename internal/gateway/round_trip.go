package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"bramblelock"
)

// notProcessedHeader is a header of a host's answer. In an answer with status 503 or 504, the value
// "1" proves that the attempt did not run.
const notProcessedHeader = "X-Not-Processed"

// roundTrip writes the request to a connection and reads the answer. If it fails before the last
// byte is written, the request did not run; after that it may have. roundTrip returns the connection
// to the pool or closes it.
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
	c.limited.progress = &att.answer
	head, stated := x.encodeHead()
	p.audit.checkSent(c.host, x, time.Now(), stated, time.Duration(p.drainGrace.Load()))
	early, err := c.writeRequest(x, head)
	if err != nil {
		return c.writeFailure(ctx, x, att, err), answer{}
	}
	wrote := time.Now()
	att.conn, att.writtenAt = c, wrote
	att.written.Store(true)
	if x.upload != nil && !early {
		att.chargedFrom = wrote
		att.onUploadComplete()
	}
	status, a, keep, err := c.readAnswer(x, p.memory)
	if err != nil {
		if ctx.Err() != nil {
			p.closeIdleIfSilent(c.host, wrote)
		}
		return readFailure(ctx, early, err), answer{}
	}
	if a.stream == nil {
		att.chargedTime = c.answerDuration(att.chargedFrom, wrote)
	}
	p.recordAnswer(c.host)
	if early {
		keep = false // the host would take the next request for the missing part of this one
	}
	switch {
	case status == http.StatusOK && early:
		a.discard()
		return bramblelock.Failed, answer{} // the host has not received the whole request that it claims to have served
	case status == http.StatusOK && a.stream != nil:
		var result bramblelock.Result
		result, keep = p.streamToClient(c, x, att, a, keep)
		return result, answer{}
	case status == http.StatusOK:
		return bramblelock.OK, a
	}
	a.discard()
	return errorResult(status, a.header), answer{}
}

// writeFailure returns the result of an attempt whose request was not written whole.
func (c *conn) writeFailure(ctx context.Context, x *exchange, att *attempt, err error) bramblelock.Result {
	switch {
	case errors.Is(err, errClientBody):
		// Nothing ran, and the host is not to blame.
		x.finish(answer{kind: answerRejected, err: err})
		return bramblelock.NotSent
	case ctx.Err() != nil:
		return unsentResult(ctx)
	case isLocalFailure(err):
		return bramblelock.NotSent
	}
	if x.upload != nil {
		att.chargedTime = max(1, c.acquiredAt.Sub(att.chargedFrom)) // the time since then was the client's, whose body was being sent
	}
	return bramblelock.ConnectFailed
}

// readFailure returns the result of an attempt whose answer was not read whole. early means that the
// request was not written whole.
func readFailure(ctx context.Context, early bool, err error) bramblelock.Result {
	switch {
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return bramblelock.TimedOut
	case ctx.Err() != nil:
		return bramblelock.Canceled
	case isLocalFailure(err):
		return bramblelock.Canceled // it may have run, and the failure says nothing of the host
	case early && isConnError(err):
		return bramblelock.ConnectFailed
	case isConnError(err):
		return bramblelock.Reset
	}
	return bramblelock.Failed // the host sent an invalid answer
}

// errorResult returns the result of an attempt whose answer has another status than 200.
func errorResult(status int, header http.Header) bramblelock.Result {
	switch status {
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if header.Get(notProcessedHeader) == "1" {
			return bramblelock.Full
		}
	case http.StatusBadRequest, http.StatusNotFound: // the only statuses with which hosts reject an invalid request
		return bramblelock.Rejected
	}
	return bramblelock.Failed
}

// recordAnswer records that a host has answered.
func (p *Pool) recordAnswer(h *host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h.lastAnswerAt = time.Now()
}

// streamToClient streams an answer to the client and waits for its end. It returns the result of the
// attempt, and whether the connection can carry another request; keep says whether it could after the
// head of the answer.
func (p *Pool) streamToClient(c *conn, x *exchange, att *attempt, a answer, keep bool) (bramblelock.Result, bool) {
	p.streams.add(a.stream)
	defer p.streams.remove(a.stream)
	if !att.startStreaming(x, a) {
		a.stream.dropPrefix()
		return bramblelock.Canceled, false
	}
	err := <-a.stream.done
	c.SetReadDeadline(time.Time{})
	if err != nil {
		p.endings.streamCutShort(x, att, a.stream, err)
	}
	switch {
	case err == nil:
		return bramblelock.OK, keep && !a.stream.hasSurplus()
	case errors.Is(err, errClientGone):
		return bramblelock.Canceled, false
	case isConnError(err):
		return bramblelock.Reset, false
	}
	return bramblelock.Failed, false
}

// writeRequest writes the request, the last byte last. early means that the host sent something or
// closed the connection before the request was written whole.
func (c *conn) writeRequest(x *exchange, head []byte) (early bool, err error) {
	if x.upload != nil {
		return c.streamRequest(x, head)
	}
	request := net.Buffers{head}
	if len(x.body) > 0 {
		request = append(request, x.body)
	}
	_, err = request.WriteTo(c.Conn)
	return false, err
}
