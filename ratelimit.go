package bramblelock

// The rate limit of this instance: how many attempts a second it may send to all hosts together.
// The units of the constants are explained in balancer.go.

import "math"

const (
	rateSpanWindows  = 4       // time constant of the event rates, in OverloadWindows
	rateTargets      = 0.45    // RTT goal of the send rate, in class targets: the rest is for variation
	rateFactor       = 1.5     // RTT goal of the send rate in mean RTTs of the class, if below rateTargets
	maxRateRatio     = 3       // highest ratio of an answer to its RTT goal: it may be an outlier
	rateRatioWeight  = 1.0 / 8 // weight of an answer in the mean RTT ratio, which has few samples
	rateMinSharers   = 8       // least sharers of a host for a rate limit: each has under one attempt
	rateGrowthDecays = 2       // time in which the rate limit grows by a factor of e, in decay times
	rateBurst        = 4       // sends that may be saved up under the rate limit
)

// sendRate is the state of the limit on the send rate.
type sendRate struct {
	sends eventRate // attempts that this instance sends, a second
	// rateRatio is the mean ratio of the RTTs of the last attempts at warm hosts to the RTT goal of
	// adjustRate.
	rateRatio    movingAverage
	rateLimit    float64 // sends a second; 0: not limited
	rateCutAt    Time    // time of the last cut of the rate limit
	rateGrownAt  Time    // time of the last growth of the rate limit
	rateTokens   float64 // sends saved up under the rate limit
	rateFilledAt Time    // time of the last refill of rateTokens
}

// adjustRate adjusts the limit on this instance's send rate to keep the RTT of its last answers at a goal,
// which follows from the mean RTT and the latency target of their class. It guards the fleet against
// overload, once a round, where rateMinSharers instances or more share a host and have less than one attempt
// each there. A cold host is guarded by its pacing; its answers only let the limit grow.
func (b *Balancer) adjustRate(a *attempt, rtt float64) {
	rttGoal := rateTargets * a.request.class.LatencyTarget.Seconds()
	if l := &a.request.class.rtt; l.seen {
		rttGoal = min(rttGoal, rateFactor*l.mean)
	}
	if !a.host.cold {
		b.rateRatio.blend(min(rtt/rttGoal, maxRateRatio), rateRatioWeight)
	}
	switch {
	case b.sharers() < rateMinSharers:
		b.rateLimit = 0 // without effect here: cuts must not accumulate
	case b.rateRatio.mean > 1 && a.sent >= b.rateCutAt && !a.host.cold:
		b.cutRate()
	case b.rateLimit > 0 && b.rateRatio.mean <= 1:
		b.growRate()
	}
}

// cutRate cuts the rate limit, or the present rate of sends if that is lower, by the mean RTT ratio.
func (b *Balancer) cutRate() {
	if sends := b.sends.value(b.now, b.rateSpan()); b.rateLimit == 0 || sends < b.rateLimit {
		b.rateLimit = sends
	}
	b.rateLimit = max(b.rateLimit/b.rateRatio.mean, 1/b.rateSpan())
	b.rateRatio.mean = 1
	b.rateCutAt = b.now
	b.rateGrownAt = b.now
}

// growRate lets the rate limit grow, and ends it where it is far above the rate of requests.
func (b *Balancer) growRate() {
	b.rateLimit *= math.Exp((b.now - b.rateGrownAt).Seconds() / (rateGrowthDecays * b.decay))
	b.rateGrownAt = b.now
	if b.rateLimit > 2*b.arrivals.value(b.now, b.rateSpan()) {
		b.rateLimit = 0
	}
}

// admit reports whether the rate limit lets a request be sent now. Requests of low priority leave
// tokens in the bucket for those of higher priority, so that the lowest are shed first.
func (b *Balancer) admit(r *request) bool {
	if b.rateLimit == 0 || b.sharers() < rateMinSharers {
		return true
	}
	b.rateTokens = min(b.rateTokens+b.rateLimit*(b.now-b.rateFilledAt).Seconds(), rateBurst)
	b.rateFilledAt = b.now
	return b.rateTokens >= 1+(rateBurst-1)*float64(r.queue().position)/float64(len(b.queues))
}

// rateSpan is the time constant of the event rates in seconds.
func (b *Balancer) rateSpan() float64 { return rateSpanWindows * b.settings.OverloadWindow.Seconds() }
