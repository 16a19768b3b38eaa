package fleetlab

import "math/rand/v2"

// Arrival is one request of a client. Arrivals are drawn ahead of time and do not depend on answers.
type Arrival struct {
	At              Time
	Class           int
	GatewayQuantile float64 // selects the gateway, as a quantile of their weights
	WorkFactor      float64 // factor on the mean work of the class
	WaitFactor      float64 // factor on the mean wait time of the class
	Retries         int     // number of the client's earlier requests that were refused
}

// arrivals draws the requests of the load in the order of time. The gaps are exponentially distributed;
// the work and wait factors are 0.5 + 0.5 * X, with X exponentially distributed of mean 1.
type arrivals struct {
	rng        *rand.Rand
	scenario   *Scenario
	latest     Time    // of the last arrival drawn
	totalShare float64 // sum of the shares of all classes
}

// newArrivals returns the arrivals of a scenario, from the start of its load.
func newArrivals(s *Scenario) *arrivals {
	a := &arrivals{rng: s.newRand(streamLoad), scenario: s, latest: s.Load.Start.std()}
	for _, c := range s.Classes {
		a.totalShare += c.Share
	}
	return a
}

// draw returns the next arrival. The result is false if it is after the end of the run.
func (a *arrivals) draw() (Arrival, bool) {
	if a.scenario.Load.Rate <= 0 {
		return Arrival{}, false
	}
	load := &a.scenario.Load
	rate := load.Rate
	if a.latest >= load.BurstStart.std() && a.latest < load.BurstStart.std()+load.BurstLength.std() {
		rate *= load.BurstFactor
	}
	a.latest += Time(a.rng.ExpFloat64() / rate * 1e9)
	arrival := Arrival{At: a.latest, GatewayQuantile: a.rng.Float64(), WorkFactor: 0.5 + 0.5*a.rng.ExpFloat64(), WaitFactor: 0.5 + 0.5*a.rng.ExpFloat64()}
	point := a.rng.Float64() * a.totalShare
	for i, c := range a.scenario.Classes {
		if arrival.Class = i; point < c.Share {
			break
		}
		point -= c.Share
	}
	return arrival, a.latest < a.scenario.Length.std()
}
