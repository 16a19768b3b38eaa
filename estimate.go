package bramblelock

// RTT estimates of hosts: a peak EWMA of the RTTs of each host, scaled to the mean over all classes.

import "math"

const (
	decayTargets    = 8    // decay time of an RTT estimate: it outlasts a gap between samples
	decayGaps       = 4    // decay time in gaps between samples of a host, where that is longer
	decayMaxFactor  = 8    // longest decay time, in multiples of that from decayTargets
	maxKinds        = 255  // highest kind of host with an RTT mean of its own
	initialRTTShare = 0.25 // RTT of an unknown host, in shortest targets: it must not look idle
	penaltyTargets  = 1    // least RTT of an error, in longest targets: above ordinary answers
)

// rttEstimate is the RTT estimate of a host.
type rttEstimate struct {
	rtt     float64 // peak EWMA of the RTT in seconds, as of rttAt
	rttAt   Time    // time of the last RTT sample or reset
	sampled bool    // rtt has samples; otherwise initialRTT is used
}

// rttStatistics is what all RTT estimates of an instance have in common.
type rttStatistics struct {
	decay   float64         // decay time of RTT estimates in seconds
	penalty float64         // least RTT in seconds that is recorded for an error
	meanRTT movingAverage   // RTT in seconds of good answers of any class
	kindRTT []movingAverage // RTT in seconds by kind of host, scaled to the mean over all classes
}

// estimate is the RTT estimate, decayed toward zero so that a penalized and then idle host is used again.
func (b *Balancer) estimate(h *host) float64 {
	if !h.sampled {
		return b.initialRTT(h) * b.decayWeight(h)
	}
	return h.rtt * b.decayWeight(h)
}

// initialRTT is the RTT assumed of a host without samples: the mean of its kind, or of all hosts, so
// that it does not look idle. An instance without any samples has a default.
func (b *Balancer) initialRTT(h *host) float64 {
	if h.Kind >= 0 && h.Kind < len(b.kindRTT) && b.kindRTT[h.Kind].seen {
		return b.kindRTT[h.Kind].mean
	}
	if b.meanRTT.seen {
		return b.meanRTT.mean
	}
	return initialRTTShare * b.shortestTarget.Seconds()
}

// normalize adds a good answer to the means of its class and kind of host, and returns its RTT scaled
// to the mean over all classes: a host that last served a slow class must not look slow.
func (b *Balancer) normalize(a *attempt, rtt float64) float64 {
	a.request.class.rtt.addLongTerm(rtt)
	b.meanRTT.add(rtt)
	rtt *= b.meanRTT.mean / a.request.class.rtt.mean
	if k := a.host.Kind; k >= 0 && k <= maxKinds {
		for len(b.kindRTT) <= k {
			b.kindRTT = append(b.kindRTT, movingAverage{})
		}
		b.kindRTT[k].add(rtt)
	}
	return rtt
}

// addSample adds an RTT sample. One above the decayed estimate replaces it, one below is blended in.
func (b *Balancer) addSample(h *host, rtt float64) {
	w := b.decayWeight(h)
	if old := b.estimate(h); rtt > old {
		h.rtt = rtt
	} else {
		h.rtt = old + rtt*(1-w)
	}
	h.rttAt, h.sampled = b.now, true
}

// decayWeight is the weight that a host's estimate has kept since its last sample.
func (b *Balancer) decayWeight(h *host) float64 {
	return math.Exp(-(b.now - h.rttAt).Seconds() / b.effectiveDecay(h))
}

// effectiveDecay is the decay time of the RTT estimates in seconds. With little traffic it follows the
// gap between two samples of a host, or every estimate would fade before the next sample.
func (b *Balancer) effectiveDecay(h *host) float64 {
	rate := b.arrivals.value(b.now, b.rateSpan())
	if rate == 0 {
		return b.decay
	}
	gap := float64(b.subsetSize()) / rate
	if b.peers != nil {
		gap = 1 / (rate * b.trafficShare(h)) // a host that is seldom sampled must not look fast
	}
	return max(b.decay, min(decayGaps*gap, decayMaxFactor*b.decay))
}
