package lynxspool

import "math"

// Slow start: limits what a host that has just started is sent, so that the fleet as a whole does
// not overload it.

const (
	coldMargin     = 0.5 // share of the cold budget that is used: rates are estimates and work varies
	maxColdSharers = 16  // most instances that use a cold host: its connection table is small
)

// markCold marks a host as cold since its start. Its first send is paced too, as a host that leaves
// the list and returns may have been sent to just before.
func (b *Balancer) markCold(h *host, since Time) {
	if b.settings.ColdCapacity < 1 && b.now-since < b.settings.WarmAfter {
		h.cold, h.coldSince, h.warmRTT = true, max(h.coldSince, since), movingAverage{}
		h.coldSent, h.coldAllowed = 0, 0
		// The first send of each instance is spread over its mean gap, so that the sends of the
		// fleet are even from the start, however long the gap of one instance is.
		h.coldSentAt, h.coldGap, h.coldDeadline = b.now, b.randFloat(), 0
	}
}

// coldLimited paces sends to a cold host so that the fleet as a whole stays within the host's budget.
// The gap follows the rate as it is measured, so that a long gap from a time without samples is not
// waited out.
func (b *Balancer) coldLimited(h *host) bool {
	if h.cold && b.now-h.coldSince >= b.settings.WarmAfter {
		h.cold = false
	}
	if !h.cold || h.coldDeadline > 0 && b.now >= h.coldDeadline {
		return false
	}
	return (b.now-h.coldSentAt).Seconds()*b.coldRate(h) < h.coldGap
}

// recordColdSend records a send to a cold host and draws the gap to the next one at random, so that
// instances that are notified at the same time do not send at the same time.
func (b *Balancer) recordColdSend(h *host) {
	h.coldSent++
	h.coldAllowed += b.coldRate(h) * (b.now - h.coldSentAt).Seconds()
	if h.coldDeadline == 0 && h.coldSent > coldBudget(h.coldAllowed) {
		b.emit(Action{Kind: ColdOver, Host: h.ID})
	}
	h.coldSentAt, h.coldGap, h.coldDeadline = b.now, 0.5+b.randFloat(), 0
}

// coldBudget is the highest number of sends that may occur by chance where n are allowed in the mean:
// the tolerance of the rule on cold hosts.
func coldBudget(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// coldRate is how many requests a second this instance may send to a cold host: OverloadFactor,
// less the margin, times this instance's part of what the host can certainly serve now.
//   - The rate that this instance gets from a warm host, summed over the instances that share it,
//     is within a warm host's capacity; a cold host has its cold share of that.
//   - A host that answers a request in some time serves at least one in that time. Its own RTT is
//     used, whatever its cold share is, and shows congestion at once; without samples it is assumed
//     to have the default initial RTT once warm. This bound is that of the whole host, so each
//     instance that uses it has a part.
//   - With almost no data, all instances that use the host send one in an OverloadWindow together.
func (b *Balancer) coldRate(h *host) float64 {
	share := b.coldShare(h)
	hostRate := share / (initialRTTShare * b.shortestTarget.Seconds())
	if h.warmRTT.seen {
		hostRate = share / h.warmRTT.mean
	}
	sharers := max(b.sharers(), b.instances()*float64(len(b.subset))/max(float64(len(b.hosts)), 1))
	return max(b.settings.OverloadFactor*max(coldMargin*b.warmRate.mean*share, hostRate/sharers),
		1/(sharers*b.settings.OverloadWindow.Seconds()))
}

// coldShare is the least share of its capacity that a cold host has now.
func (b *Balancer) coldShare(h *host) float64 {
	return b.settings.ColdCapacity +
		(1-b.settings.ColdCapacity)*float64(b.now-h.coldSince)/float64(b.settings.WarmAfter)
}
