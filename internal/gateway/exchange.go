package gateway

import (
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"bramblelock"
)

// exchange is one request of a client and its one final answer. The handler creates it; the loop
// owns attempts and inFlight.
type exchange struct {
	method, uri, host string
	url               *url.URL
	header            http.Header
	body              []byte  // the part of the body that is kept: all of it, unless there is an upload
	upload            *upload // the rest of the body, streamed to a host; nil if there is none
	releaseBody       func()  // returns the memory of the kept part to the budget

	rules         *Rules // rules under which class and tenant were looked up
	class, tenant int
	clientRetry   bool                      // the client marked the request as a retry
	capDeadline   func(time.Time) time.Time // returns a deadline, or the end of the process if that is earlier
	clientConn    *framedConn               // connection of the client; nil in tests without one
	head          *requestHead              // framing of the request on clientConn
	timeout       time.Duration             // how long the client waits from its last byte on, less answerMargin
	deadline      time.Time                 // when the answer is due; for an upload it is set once the body is complete

	clientGone   func() bool               // whether the client has left, as far as its connection shows; may be nil
	clientGoneAt atomic.Pointer[time.Time] // when the client was seen to have left; nil if it was not

	finished atomic.Bool // answered or abandoned; set once, by claimAnswer
	answer   chan answer // receives the one final answer

	id       bramblelock.RequestID
	attempts []*attempt
	inFlight int // attempts that have not ended
}

// requestID returns the id that the client gave.
func (x *exchange) requestID() string { return x.header.Get(requestIDHeader) }

// receivedAt returns when the time of the client started to run: when its last byte arrived or, if
// that has not, the last time at which the request was known to be incomplete. All that depends on
// the time of a request is counted from here: the time stated to a host, the deadline, when it is
// shed, and the audit.
func (x *exchange) receivedAt() time.Time {
	if x.clientConn == nil {
		return x.deadline.Add(-x.timeout)
	}
	return x.clientConn.receivedAt(x.head)
}

// clientDeadline returns when the answer is due by the client's own time alone.
func (x *exchange) clientDeadline() time.Time { return x.receivedAt().Add(x.timeout) }

// markClientGone records that the client has left.
func (x *exchange) markClientGone() {
	now := time.Now()
	x.clientGoneAt.CompareAndSwap(nil, &now)
}

// bodyConsumed returns whether part of the body is no longer there, so that it cannot be sent again.
func (x *exchange) bodyConsumed() bool { return x.upload != nil && x.upload.consumed }

// answer is the final answer to a request.
type answer struct {
	kind       answerKind
	header     http.Header // set for answerServed
	body       []byte      // set for answerServed without a stream
	stream     *stream     // set for answerServed in place of body
	release    func()      // returns the memory of body to the budget; may be nil
	err        error       // set for answerRejected
	retryAfter time.Duration
}

// discard releases an answer that nobody receives.
func (a *answer) discard() {
	if a.release != nil {
		a.release()
	}
	if a.stream != nil {
		a.stream.done <- errClientGone
	}
}

// answerKind says how a request ended.
type answerKind int

const (
	answerFailed answerKind = iota
	answerServed
	answerRefused
	answerRejected // the request is invalid
)

// claimAnswer closes an exchange and returns whether it was still open. The caller that closes it
// gives the answer, so that there is exactly one.
func (x *exchange) claimAnswer() bool { return x.finished.CompareAndSwap(false, true) }

// finish gives the answer if there is none yet.
func (x *exchange) finish(a answer) {
	if x.claimAnswer() {
		x.answer <- a
	} else {
		a.discard()
	}
}
