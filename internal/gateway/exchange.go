package gateway

import (
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"lynxspool"
)

// exchange is one request of a client and its one final answer. The handler creates
// it; attempts and out belong to the loop.
type exchange struct {
	method, uri, host string
	url               *url.URL
	header            http.Header
	body              []byte  // what is kept of it: all, but for an upload
	upload            *upload // the rest is sent as it comes; nil: there is none
	give              func()  // gives back what is kept

	rules         *Rules // under which class and tenant are looked up
	class, tenant int
	repeat        bool
	due           func(time.Time) time.Time // the same, or when the process ends
	from          *framedConn               // its client's connection; nil in tests without one
	head          *requestHead              // as from has seen it
	left          time.Duration             // that the client waits from its last byte on, less answerMargin
	deadline      time.Time                 // when its answer is due; of an upload, once it is whole

	gone   func() bool               // whether the client has left, as far as its connection tells; may be nil
	goneAt atomic.Pointer[time.Time] // when that was noticed; nil: not yet

	over   atomic.Bool // it is answered or nobody waits: set once, by finish
	answer chan answer // holds the answer that finish was won with

	id       lynxspool.RequestID
	attempts []*try
	out      int
}

// requestID is the id that the client gave.
func (x *exchange) requestID() string { return x.header.Get(headRequestID) }

// began is from when on its client's time runs: when its last byte came or, while that has not, the
// last moment at which it was known not to have. All that a request's time decides is counted from
// here: the time told to a server, the deadline, when it is shed, and the audit.
func (x *exchange) began() time.Time {
	if x.from == nil {
		return x.deadline.Add(-x.left)
	}
	return x.from.wholeAt(x.head)
}

// dueAt is when its answer is due by its client's time alone.
func (x *exchange) dueAt() time.Time { return x.began().Add(x.left) }

// leave notes that its client has gone.
func (x *exchange) leave() {
	now := time.Now()
	x.goneAt.CompareAndSwap(nil, &now)
}

// spent says that part of the body is gone, so that it cannot be sent again.
func (x *exchange) spent() bool { return x.upload != nil && x.upload.spent }

// answer is the final answer to a request.
type answer struct {
	kind       answerKind
	header     http.Header // served
	body       []byte      // served
	stream     *stream     // served, in place of body
	give       func()      // gives back what is kept; may be nil
	err        error       // rejected
	retryAfter time.Duration
}

// drop lets go of an answer that nobody gets.
func (a *answer) drop() {
	if a.give != nil {
		a.give()
	}
	if a.stream != nil {
		a.stream.done <- errClientGone
	}
}

type answerKind int

const (
	failed answerKind = iota
	served
	refused
	rejected // as no proper request
)

// close ends an exchange and says whether it was still open: whoever closes it
// gives the answer, so that there is one.
func (x *exchange) close() bool { return x.over.CompareAndSwap(false, true) }

// finish gives the answer if there is none yet.
func (x *exchange) finish(a answer) {
	if x.close() {
		x.answer <- a
	} else {
		a.drop()
	}
}
