package gateway

import (
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"bramblelock"
	"bramblelock/internal/gateway/config"
	"bramblelock/internal/gateway/framing"
)

// exchange is one request of a client and its one final answer. The handler creates it; the loop
// owns id, attempts and inFlight.
type exchange struct {
	method, uri, host string
	url               *url.URL
	header            http.Header
	body              []byte  // the buffered part of the body: all of it, unless there is an upload
	upload            *upload // the rest of the body, streamed to a host; nil if there is none
	memoryHeld        int     // bytes of the budget that the body holds, buffered or read ahead; owned by the handler

	uploadCounted bool // the request is one of Pool.uploads; owned by the handler

	rules         *config.Rules // rules under which class and tenant were looked up
	class, tenant int
	clientRetry   bool                      // the client marked the request as a retry
	answerLead    time.Duration             // how long before the deadline the module gives its final answer
	capDeadline   func(time.Time) time.Time // returns the earlier of a deadline and the time by which all answers are due at shutdown
	clientConn    *framedConn               // connection of the client; nil in tests without one
	head          *framing.Head             // framing of the request on clientConn
	timeout       time.Duration             // how long the client waits from the last byte of its request on, less answerMargin
	deadline      time.Time                 // when the answer is due; for an upload it is set again once the body is complete

	clientGone   func() bool               // whether the client has left, as far as its connection shows; may be nil
	clientGoneAt atomic.Pointer[time.Time] // when the client was seen to have left; nil if it was not

	idHeld   atomic.Bool // the id is among Pool.sentIDs for this request
	finished atomic.Bool // answered or abandoned; set once, by claimAnswer
	answer   chan answer // receives the one final answer

	id       bramblelock.RequestID
	attempts []*attempt
	inFlight int // attempts that have not ended
}

// requestID returns the id that the client gave.
func (x *exchange) requestID() string { return x.header.Get(requestIDHeader) }

// className returns the name that the settings give to the class.
func (x *exchange) className() string { return x.rules.Settings.Classes[x.class].Name }

// age returns how much of the client's time has passed.
func (x *exchange) age() time.Duration { return time.Since(x.receivedAt()) }

// receivedAt returns the time from which the client's timeout runs: when the last byte of the request
// arrived or, if that has not, the last time at which the request was known to be incomplete. All
// that depends on the time of a request is counted from here: the time stated to a host, the deadline,
// when it is shed, and the audit.
func (x *exchange) receivedAt() time.Time {
	if x.clientConn == nil {
		return x.deadline.Add(-x.timeout)
	}
	return x.clientConn.receivedAt(x.head)
}

// clientDeadline returns when the answer is due, without the limit that a shutdown sets.
func (x *exchange) clientDeadline() time.Time { return x.receivedAt().Add(x.timeout) }

// markClientGone records that the client has left, unless that was recorded before.
func (x *exchange) markClientGone() {
	now := time.Now()
	x.clientGoneAt.CompareAndSwap(nil, &now)
}

// bodyConsumed returns whether part of the body has been read without being buffered, so that the
// body cannot be sent again.
func (x *exchange) bodyConsumed() bool { return x.upload != nil && x.upload.consumed }

// answer is the final answer to a request.
type answer struct {
	kind       answerKind
	header     http.Header   // set for answerServed
	body       []byte        // set for answerServed without a stream
	stream     *stream       // set for answerServed in place of body
	release    func()        // returns the memory of body to the budget; may be nil
	err        error         // set for answerRejected
	retryAfter time.Duration // set for answerRefused; 0 if the answer states none
}

// discard releases the memory of an answer that nobody receives, and ends its stream.
func (a *answer) discard() {
	if a.release != nil {
		a.release()
	}
	if a.stream != nil {
		a.stream.dropPrefix()
		a.stream.done <- errClientGone
	}
}

// answerKind says how a request ended.
type answerKind int

const (
	answerFailed   answerKind = iota // the request got no answer that can be passed on, and may have run
	answerServed                     // the answer of a host
	answerRefused                    // the request was refused, and a retry is harmless
	answerRejected                   // the request is invalid
)

// claimAnswer marks the exchange as finished and returns whether it was not finished before. The one
// caller to which it returns true gives the answer or abandons the request, so that no request gets
// two answers.
func (x *exchange) claimAnswer() bool { return x.finished.CompareAndSwap(false, true) }

// finish gives the answer if the exchange is not finished yet, and discards it otherwise.
func (x *exchange) finish(a answer) {
	if x.claimAnswer() {
		x.answer <- a
	} else {
		a.discard()
	}
}
