package bramblelock

// Slow start: limits what a host that has just started is sent, so that the fleet as a whole does
// not overload it.

import "math"

const (
	coldMargin     = 0.5  // share used of a rate measured at warm hosts: it is an estimate, and work varies
	maxColdSharers = 16   // most instances that use a cold host: its connection table is small
	minWarmRTT     = 1e-6 // least sample of hostSlowStart.warmRTT in seconds, as coldRate divides by it
)

// hostSlowStart is the state of the slow start of a host.
type hostSlowStart struct {
	cold         bool    // the host started less than WarmAfter ago
	coldSince    Time    // last start of the host or end of its maintenance
	coldSentAt   Time    // time of the last send while cold, or at which the host became known as cold
	coldGap      float64 // gap between coldSentAt and the next send, in mean gaps of 1/coldRate, not a time
	coldDeadline Time    // time from which the next send is not paced; 0: it is paced at any time
	coldSent     float64 // sends while cold
	coldAllowed  float64 // mean number of sends that the pacing allowed while cold
	// warmRTT is the RTT in seconds of good answers, scaled to the mean class and, by the cold share, to a
	// warm host.
	warmRTT movingAverage
}

// warmHostRate is the rate of good answers that this instance gets of warm hosts.
type warmHostRate struct {
	served   eventRate     // good answers of all warm hosts, a second
	warmRate movingAverage // good answers of one warm host, a second
}

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
// coldGap is not a time: it is in mean gaps of 1/coldRate, and the time since the last send is compared
// with it at the present rate. When the first answers raise the rate, a gap that began without samples
// becomes shorter at once.
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
	// This compares all sends of this instance since the host became cold with those that were allowed.
	// A host back from maintenance has a coldDeadline, from which its first send is made even if the
	// pacing does not allow it yet. That send is intended, so it is no fault to report.
	if h.coldDeadline == 0 && h.coldSent > coldBudget(h.coldAllowed) {
		b.emit(Action{Kind: ColdOver, Host: h.ID})
	}
	h.coldSentAt, h.coldGap, h.coldDeadline = b.now, 0.5+b.randFloat(), 0
}

// coldBudget is the highest number of sends to a cold host in a time in which n are allowed on average.
// A cold host fails when it gets more requests of mean work than that in an OverloadWindow, where n is
// OverloadFactor times what it can serve in that time. Random arrivals with the mean n have a standard
// deviation of sqrt(n), so the budget leaves room for two deviations and two requests. For n below 30,
// it leaves room for three deviations and three requests.
func coldBudget(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// coldRate is how many requests a second this instance may send to a cold host. It is OverloadFactor
// times the higher of two rates that the host can certainly serve now, and no lower than a floor.
//   - The first rate is taken from warm hosts. The rate that this instance gets from one, summed over
//     the instances that share it, is within its capacity. A cold host has its cold share of that
//     capacity, of which coldMargin is used.
//   - The second rate is taken from the host's own RTT: a host that answers a request in some time
//     serves at least one in that time. warmRTT is the RTT times the cold share at the time of the
//     answer (see addColdSample), so the present cold share divided by it is about one over the present
//     RTT. This rate falls at once when the host is congested. Without samples, the host is assumed
//     to have the default initial RTT once warm. All instances that use the host share this rate.
//   - The floor is one request in an OverloadWindow from all instances that use the host together.
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

// addColdSample adds the RTT in seconds of a good answer of a cold host, scaled to the mean class.
func (b *Balancer) addColdSample(h *host, normalized float64) {
	h.warmRTT.addTimed(max(normalized, minWarmRTT)*b.coldShare(h), b.now, b.settings.OverloadWindow.Seconds())
}

// addWarmAnswer counts a good answer of a warm host.
func (b *Balancer) addWarmAnswer() {
	if b.activeHosts == 0 {
		return
	}
	b.served.add(b.now, b.rateSpan())
	if served, ok := b.served.corrected(b.now, b.rateSpan()); ok {
		b.warmRate.add(served / float64(b.activeHosts))
	}
}

// coldShare is the least share of its capacity that a cold host has now.
func (b *Balancer) coldShare(h *host) float64 {
	return b.settings.ColdCapacity +
		(1-b.settings.ColdCapacity)*float64(b.now-h.coldSince)/float64(b.settings.WarmAfter)
}
