package bramblelock

// Moving averages and event rates.

import "math"

const (
	meanWeight      = 0.1       // weight of a sample in a mean of about the last ten
	longTermWeight  = 1.0 / 256 // weight in a long-term mean: congestion must not become usual
	maxRecentWeight = 0.5       // highest weight of a sample in addTimed: it may be an outlier
)

// movingAverage is a moving mean with deviation. The first sample sets it.
type movingAverage struct {
	mean, dev float64
	seen      bool
	samples   int  // number of samples that addLongTerm has added
	updatedAt Time // time of the last sample of addTimed
}

// add gives a sample a weight of about one tenth.
func (m *movingAverage) add(x float64) { m.blend(x, meanWeight) }

// addLongTerm gives each sample the same weight at first, and later longTermWeight.
func (m *movingAverage) addLongTerm(x float64) {
	m.samples++
	m.blend(x, max(1/float64(m.samples), longTermWeight))
}

// addTimed gives a sample more weight the longer ago the last one is, so that the mean has the time
// constant span, in seconds, even where samples are rare. No weight exceeds maxRecentWeight.
func (m *movingAverage) addTimed(x float64, now Time, span float64) {
	weight := 1 - math.Exp(-(now-m.updatedAt).Seconds()/span)
	m.updatedAt = now
	m.blend(x, min(max(weight, meanWeight), maxRecentWeight))
}

// blend gives a sample the given weight.
func (m *movingAverage) blend(x, weight float64) {
	if !m.seen {
		m.mean, m.dev, m.seen = x, x/2, true
		return
	}
	m.dev += weight * (math.Abs(x-m.mean) - m.dev)
	m.mean += weight * (x - m.mean)
}

// minEvents is the number of events from which a rate is known to within about a third.
const minEvents = 10

// eventRate is an exponentially decaying rate of events a second.
type eventRate struct {
	perSecond float64
	updatedAt Time
	firstAt   Time // time of the first event
}

// value is the rate decayed to now, with the time constant span in seconds.
func (r *eventRate) value(now Time, span float64) float64 {
	return r.perSecond * math.Exp(-(now-r.updatedAt).Seconds()/span)
}

func (r *eventRate) add(now Time, span float64) {
	if r.perSecond == 0 {
		r.firstAt = now
	}
	r.perSecond, r.updatedAt = r.value(now, span)+1/span, now
}

// corrected is the rate corrected for the short time since the first event. It reports false while
// there are fewer events than minEvents.
func (r *eventRate) corrected(now Time, span float64) (float64, bool) {
	age, counted := (now-r.firstAt).Seconds()/span, r.value(now, span)
	return counted / (1 - math.Exp(-age)), counted*span >= minEvents
}
