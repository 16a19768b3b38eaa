package bramblelock

// Retries: whether a request is sent again after an attempt, where and until when, and which final
// answer it gets otherwise.

import "time"

const answerIntervals = 2 // EventIntervals before the deadline by which a request is answered

// AnswerLead is how long before its deadline a request that nothing has answered gets its final answer.
func (s *Settings) AnswerLead() time.Duration { return answerIntervals * s.EventInterval }

// afterAttempt decides what follows the end of an attempt: nothing if the request has its answer,
// another attempt if class and time allow it, and else the final answer.
func (b *Balancer) afterAttempt(r *request, a *attempt, answered bool) {
	switch {
	case r.done:
		b.release(r)
	case answered || a.result == OK && r.streaming:
		b.finish(r, AnsweredByOther)
	case r.inFlight > 0 || r.queued:
	case b.mayRetry(r):
		b.dispatch(r, true)
	default:
		b.answerUnserved(r, NoFurtherTry)
	}
}

// mayRetry reports whether the request gets another attempt. The in-flight limits keep retries from
// adding to an overload.
func (b *Balancer) mayRetry(r *request) bool {
	if r.streaming || r.notReplayable || r.rejected() || len(r.attempts) >= r.maxAttempts ||
		b.now+2*b.settings.AnswerLead() >= r.deadline {
		return false
	}
	return b.repeatable(&r.class.Class, r.firstMayHaveRun())
}

// allows reports whether the effect rules let the request go to the host now: nothing runs twice, and
// a deduplicated request is repeated only where and while repeats are dropped.
func (b *Balancer) allows(r *request, h *host) bool {
	first := r.firstMayHaveRun()
	switch c := r.class; {
	case !b.repeatable(&c.Class, first):
		return false
	case first == nil || c.Effect == Idempotent:
		return true
	case c.DedupScope == DedupZone:
		return h.Zone == first.host.Zone
	case c.DedupScope == DedupCell:
		return h.Cell == first.host.Cell
	}
	return true
}

// repeatable reports whether a request of the class may be sent (again) somewhere, given its first
// attempt that may have run: an at-most-once request never, a deduplicated one only while repeats are
// sure to be dropped.
func (b *Balancer) repeatable(c *Class, first *attempt) bool {
	if first == nil || c.Effect == Idempotent {
		return true
	}
	return c.Effect == Deduplicated && b.now <= b.repeatDeadline(c, first)
}

// repeatDeadline is the time until which a deduplicated request may be sent again after its first
// attempt that may have run: a repeat that reaches its host later would run. 0 means no limit.
func (b *Balancer) repeatDeadline(c *Class, first *attempt) Time {
	if first == nil || c.Effect != Deduplicated {
		return 0
	}
	return first.sent + c.DedupWindow - b.settings.AnswerLead()
}

// answerUnserved gives the final answer to a request that will not be served: a refusal only where
// another request of the client is known to be harmless.
func (b *Balancer) answerUnserved(r *request, why Reason) {
	r.unserved = true
	harmless := r.class.Effect == Idempotent ||
		r.class.Effect == Deduplicated && r.class.DedupScope == DedupAll
	if r.firstMayHaveRun() == nil || harmless && !r.rejected() {
		b.emit(Action{Kind: Refuse, Request: r.ID, Why: why,
			RetryAfter: min(b.shortestTarget/4, b.settings.MaxRetryAfter)})
	} else {
		b.emit(Action{Kind: Fail, Request: r.ID, Why: why})
	}
	b.finish(r, why)
}
