package bramblelock

// The in-flight limit of a host: how many attempts the host may have from this instance at a time.
// A round is one RTT, in which a host answers the attempts in flight; a growth a round is spread over
// these answers. The units of the constants are explained in balancer.go.

const (
	initialFleetLimit = 4     // in-flight attempts that the whole fleet may have at a new host
	limitTargets      = 0.375 // RTT goal of a host's in-flight limit, in class targets
	limitFactor       = 2     // RTT goal of the limit in mean RTTs of the class, if below limitTargets
	aloneFactor       = 1.25  // RTT goal of the limit in RTTs of lone attempts, if above limitTargets
	maxLimitTargets   = 0.5   // highest RTT goal of the limit, in class targets
	recentTargets     = 0.5   // time constant of a host's mean RTT: a collapse of a host takes longer
	minFleetLimit     = 2     // least in-flight limit of the fleet at a host: one runs, the next arrives
	fleetLimitGrowth  = 0.3   // growth of the fleet's limit while requests wait, in attempts a round
	overdueTargets    = 0.5   // age of an attempt, in class targets, that blocks its host
)

// hostLimit is the state of the in-flight limit of a host.
type hostLimit struct {
	// limit is how many attempts in flight the host may have from this instance: its portion of the fleet's
	// limit there. 0 means that it is not set yet.
	limit      float64
	limitCutAt Time // time of the last cut of the limit
	// rttRatio is the mean of the RTT ratios (see ratioUnit): RTTs in latency targets of the class, scaled so
	// that the goal is limitTargets. A sample gets more weight the longer ago the last one is (addTimed);
	// the mean does not decay between samples.
	rttRatio  movingAverage
	idleUntil Time // time before which the host gets no attempts, after a refusal or with a limit below one
}

// atLimit reports whether a host is at its in-flight limit, idles or has an overdue attempt. A limit below
// one, at a host whose mean RTT is above the goal, means that it is used for that share of the time.
func (b *Balancer) atLimit(h *host) bool {
	oldest, n := h.notOvertaken()
	if h.ejections > 0 && !b.ejected(h) {
		// Its pending attempts caused the ejection; a trial shows whether only those are lost.
		oldest, n = nil, 0
	}
	return n > 0 && float64(n+1) > h.limit || b.now < h.idleUntil || b.overdue(oldest)
}

// overdue reports whether an attempt, which may be nil, has taken longer than overdueTargets.
func (b *Balancer) overdue(a *attempt) bool {
	return a != nil &&
		float64(b.now-a.sent) > overdueTargets*float64(a.request.class.LatencyTarget)
}

// ratioUnit is the RTT in seconds that has an RTT ratio of one: the latency target of the class, scaled so
// that the RTT goal of the limit is limitTargets.
func (b *Balancer) ratioUnit(c *class) float64 {
	target := c.LatencyTarget.Seconds()
	unit := target
	// limitFactor mean RTTs of the class are the goal where they are lower.
	if c.rtt.seen {
		unit = min(unit, limitFactor/limitTargets*c.rtt.mean)
	}
	// Where fewer than rateMinSharers instances share a host, a lone attempt seldom meets congestion, so the
	// usual RTT of lone attempts raises the goal. With more sharers, lone attempts meet those of others.
	if c.aloneRTT.seen && b.sharers() < rateMinSharers {
		unit *= min(max(1, aloneFactor*c.aloneRTT.mean/(limitTargets*target)), maxLimitTargets/limitTargets)
	}
	return unit
}

// adjustLimit adjusts a host's in-flight limit to keep the mean of its RTT ratios, in units of ratioUnit,
// at the goal, limitTargets. It guards against congestion, which wastes work on requests that are answered
// too late and can drive a host into a state in which it is slow. It cuts the limit when the mean exceeds
// the goal, and then once a round (one RTT): only an attempt sent after the last cut can show whether that
// was enough. With a limit below one, it also makes the host idle for a time. While the mean does not
// exceed the goal and requests are queued, it raises the limit of a host that is at its limit.
//
// ratioUnit is the RTT that a ratio of one stands for.
func (b *Balancer) adjustLimit(h *host, rttRatio float64, ratioUnit, sent Time) {
	h.rttRatio.addTimed(rttRatio, b.now, recentTargets*b.shortestTarget.Seconds())
	sharers := b.sharers()
	if h.rttRatio.mean > limitTargets {
		if sent >= h.limitCutAt {
			h.limit = max(minFleetLimit/sharers, h.limit*limitTargets/h.rttRatio.mean)
			h.limitCutAt = b.now
		}
		if h.limit < 1 {
			// The host is busy for about one mean RTT; with this idle time, busy/(busy+idle) is h.limit.
			h.idleUntil = b.now + Time(float64(ratioUnit)*h.rttRatio.mean*(1/h.limit-1))
		}
	} else if h.pending+1 >= int(h.limit) && b.queued > 0 { // +1: this attempt is not pending now
		h.limit += fleetLimitGrowth / (sharers * h.limit)
	}
}
