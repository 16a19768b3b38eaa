package bramblelock

// Answers that have begun and not ended.

// attemptAnswer is what has arrived of the answer to an attempt.
type attemptAnswer struct {
	begun      bool // some of it has arrived: the host has not lost the attempt
	streamable bool // it will be streamed once its body begins
	progressAt Time // time at which more of it arrived last
}

// AnswerProgress reports that more of the answer to attempt n has arrived, which is not being streamed yet.
// streamable says that it will be, as soon as its body begins: it is too long to be kept, or its length is
// unknown.
func (b *Balancer) AnswerProgress(now Time, id RequestID, n int, streamable bool) {
	b.now = now
	r := b.requests[id]
	if r == nil || r.done || r.streaming || n < 0 || n >= len(r.attempts) || r.attempts[n].ended {
		return
	}
	a := r.attempts[n]
	a.answer = attemptAnswer{begun: true, streamable: streamable, progressAt: now}
	b.readmit(a.host)
}

// HeadForwarded reports that the client has the head of a response from attempt n, whose body has not
// begun: no other may answer. The attempt stays pending until ResponseStarted, the deadline of the request
// or its end, as its host has yet to answer.
func (b *Balancer) HeadForwarded(now Time, id RequestID, n int) {
	b.now = now
	if a := b.chooseResponse(id, n); a != nil {
		b.readmit(a.host)
	}
}

// ResponseStarted reports that a response is being streamed from attempt n: no other may answer.
func (b *Balancer) ResponseStarted(now Time, id RequestID, n int) {
	b.now = now
	if a := b.chooseResponse(id, n); a != nil {
		// The host has answered; the rest of the time depends on the client.
		a.host.servedSentAt = max(a.host.servedSentAt, a.sent)
		b.removePending(a)
		b.readmit(a.host)
	}
}

// chooseResponse makes the response from attempt n the answer to a request, and returns the attempt, or nil
// if the request needs no answer any more.
func (b *Balancer) chooseResponse(id RequestID, n int) *attempt {
	r := b.requests[id]
	if r == nil || r.done || n < 0 || n >= len(r.attempts) {
		return nil
	}
	r.streaming = true
	b.cancelAttempts(r, n, AnsweredByOther)
	return r.attempts[n]
}

// expirePendingBody is called at the deadline of a request whose response is being streamed. If its body has
// not begun, the host has not answered in time. The stream goes on, but it keeps no other request waiting.
func (b *Balancer) expirePendingBody(r *request) {
	for _, a := range r.attempts {
		if !a.pending {
			continue
		}
		b.removePending(a)
		a.result, a.expired = TimedOut, true
		b.observe(a, (b.now - a.sent).Seconds())
	}
	b.processQueues()
}
