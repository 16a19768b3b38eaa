package bramblelock

// What the end of an attempt says about its host and its class.

// Outcome reports the end of an attempt.
func (b *Balancer) Outcome(now Time, o Outcome) {
	b.now = now
	r := b.requests[o.Request]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].ended {
		return
	}
	a := r.attempts[o.Attempt]
	a.ended, a.result = true, o.Result
	r.inFlight--
	a.host.openAttempts--
	b.removePending(a)
	r.notReplayable = r.notReplayable || o.NotReplayable
	if !a.expired {
		b.observe(a, max(o.Elapsed, 0).Seconds())
	}
	b.afterAttempt(r, a, o.Answered)
	b.dropIfRemoved(a.host)
	b.processQueues()
}

// observe updates the statistics of a host and its class with the end of an attempt.
func (b *Balancer) observe(a *attempt, rtt float64) {
	h := a.host
	if a.sent < h.resetAt {
		return // it ran on a former process of that host
	}
	if a.trial {
		h.trialInFlight = false
	}
	switch a.result {
	case OK:
		b.observeAnswer(a, rtt)
	case Full:
		b.observeRefusal(a, rtt)
		b.observeError(h, rtt)
	case Failed:
		b.observeError(h, rtt)
	case Rejected:
		b.readmit(h) // an answer, but too early to be a sample of the RTT
	case Canceled:
		// An attempt canceled at the deadline or as lost has timed out. One whose client is
		// gone, or whose request another attempt answered, says nothing about the host.
		if a.request.unserved || a.request.attemptLost {
			b.observeTimeout(a, rtt)
		}
	case TimedOut:
		b.observeTimeout(a, rtt)
	case ConnectFailed, Reset:
		b.observeBrokenConnection(a, rtt)
	}
}

// observeAnswer handles a good answer.
func (b *Balancer) observeAnswer(a *attempt, rtt float64) {
	h, unit := a.host, b.ratioUnit(a.request.class)
	if a.alone {
		a.request.class.aloneRTT.addLongTerm(rtt)
	}
	h.servedSentAt = max(h.servedSentAt, a.sent)
	normalized := b.normalize(a, rtt)
	b.addSample(h, normalized)
	if h.cold {
		b.addColdSample(h, normalized)
	}
	b.adjustLimit(h, rtt/unit, seconds(unit), a.sent)
	b.adjustRate(a, rtt)
	if !h.cold {
		b.addWarmAnswer()
	}
	b.readmit(h)
}

// observeRefusal handles a refusal. It comes at once but is taken as an RTT of at least the latency target.
// By its true RTT, a host that only refuses would attract all queued requests.
func (b *Balancer) observeRefusal(a *attempt, rtt float64) {
	h, latencyTarget := a.host, a.request.class.LatencyTarget
	b.adjustLimit(h, max(rtt/b.ratioUnit(a.request.class), 1), latencyTarget, a.sent)
	// The limit does not act on a host without pending attempts. Such a host idles until some of its work
	// can have ended (one that drains but is not listed as draining takes no more requests), but not too
	// long to retry requests that are bound to it.
	idle := min(b.initialRTT(h), queueShare/2*b.shortestTarget.Seconds())
	h.idleUntil = max(h.idleUntil, b.now+seconds(idle))
	b.adjustRate(a, max(rtt, latencyTarget.Seconds()))
}

// observeError handles an answer that is an error or a refusal.
func (b *Balancer) observeError(h *host, rtt float64) {
	b.addSample(h, max(rtt, b.penalty))
	b.readmit(h)
}

// observeTimeout handles an attempt that was not answered in time.
func (b *Balancer) observeTimeout(a *attempt, rtt float64) {
	h, unit := a.host, b.ratioUnit(a.request.class)
	b.addSample(h, rtt)
	if a.sent < h.servedSentAt {
		return // the host lost this one but answers others: it is not congested
	}
	b.adjustLimit(h, rtt/unit, seconds(unit), a.sent)
	b.adjustRate(a, rtt)
}

// observeBrokenConnection handles an attempt whose connection could not be made or broke. A single
// connection may break. The host is at fault if another one breaks before it has answered anything, or if
// no connection can be made.
func (b *Balancer) observeBrokenConnection(a *attempt, rtt float64) {
	h := a.host
	b.addSample(h, rtt)
	if a.result == ConnectFailed || h.connFailedAt > h.answeredAt {
		b.eject(h, "connections fail")
	}
	h.connFailedAt = b.now
}
