package bramblelock

// Hosts that accept requests and do not answer, and attempts that a host has lost.

import (
	"cmp"
	"slices"
)

const silenceDeviations = 4 // deviations above the mean RTT from which a host is silent

// silenceTimeout is how long an attempt may take before checkSilence takes its host to be silent.
func (b *Balancer) silenceTimeout(r *request) Time {
	if l := &r.class.rtt; l.seen {
		return seconds(l.mean + silenceDeviations*l.dev)
	}
	return r.class.LatencyTarget / 2
}

// checkSilence ejects silent hosts: those that have answered nothing since their oldest pending
// attempt was sent, for longer than such a request should take. The ejection ends with an answer. It
// guards against hosts that accept requests and answer none; a host that is only slow, or has one
// costly request, answers others meanwhile. Attempts there are not canceled: most are still answered,
// and sending them again costs more than it saves.
func (b *Balancer) checkSilence() {
	b.inFlight = 0
	// Of thousands of hosts, few have pending attempts. They are taken in the order of hosts.
	b.sweptHosts = append(b.sweptHosts[:0], b.busyHosts...)
	slices.SortFunc(b.sweptHosts, func(x, y *host) int { return cmp.Compare(x.listedIndex, y.listedIndex) })
	for _, h := range b.sweptHosts {
		b.inFlight += h.pending
		b.cancelLost(h)
		a := h.oldestSentSince(h.answeredAt)
		if a == nil || b.now-a.sent < b.silenceTimeout(a.request) {
			continue
		}
		if h.ejections == 0 {
			// The RTT is at least this long: overload shows before the answers arrive.
			b.adjustRate(a, (b.now - a.sent).Seconds())
		}
		b.eject(h, "silent")
	}
}

// cancelLost cancels attempts that a host has lost: later ones were answered, nothing has arrived of the
// answers to these, and they are older than the latency target, after which an answer has no value. Each
// occupies one of the few connections that the host accepts. An idempotent request goes elsewhere while
// there is time, as soon as its attempt seems lost; only once, as a request that is slow on any host gains
// nothing from a restart.
func (b *Balancer) cancelLost(h *host) {
	for n := h.pendingList.head; n != nil && n.item.sent < h.servedSentAt; {
		a, r := n.item, n.item.request
		n = n.next
		switch {
		case r.done || r.streaming || !b.settings.CancelAllowed:
		case !a.answer.begun && b.now-a.sent >= r.class.LatencyTarget:
			b.answerUnserved(r, AttemptLost)
		case r.class.Effect == Idempotent && !r.attemptLost && b.seemsLost(a) && b.mayRetry(r):
			r.attemptLost = true
			b.cancelAttempts(r, -1, AttemptLost)
		}
	}
}

// seemsLost reports whether an attempt, at a host that has answered later ones, should have been answered by
// now. One whose answer has begun is given a latency target for each further part of it, unless the answer is
// streamable: its host may take any time for its body, and a repeat would begin from its start.
func (b *Balancer) seemsLost(a *attempt) bool {
	if a.answer.begun {
		return !a.answer.streamable && b.now-a.answer.progressAt >= a.request.class.LatencyTarget
	}
	return b.overdue(a) && b.now-a.sent >= b.silenceTimeout(a.request)
}
