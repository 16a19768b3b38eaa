package fleetlab

import (
	"math"
	"math/rand/v2"
)

// Streams of random numbers. Each use has a stream of its own, so that a change of one part of a run does
// not alter the random numbers of the others. Offsets on these numbers give further streams.
const (
	streamLoad    = iota + 1 // arrivals
	streamNet                // latencies
	streamFaults             // targets of faults
	streamSeeds              // seeds of the Balancers; with an offset: start times of the gateways
	streamWeights            // weights of the gateways; with an offset: retry delays
	streamAbsent             // ranks that never start; with an offset: gateways with a saved list
)

// newRand returns a generator for a stream.
func (s *Scenario) newRand(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(s.Seed, stream)) }

// chooseShare returns the indices of a share of n items. The selection "run" is a block of consecutive
// indices from a random start, which wraps around to index 0, "every" is evenly spaced indices, and
// "random" or the empty string is distinct random indices. A share of 0 selects all items, as it stands
// for a field that a scenario does not set; callers for which 0 means no items check for that first. The
// same state of the generator gives the same indices in the same order. The order matters, as
// faultTargets divides the indices of a fault into its steps in this order.
func chooseShare(rng *rand.Rand, n int, share float64, selection string) []int {
	count := int(math.Round(share * float64(n)))
	if share == 0 || count >= n {
		count = n
	}
	chosen := make([]int, 0, count)
	switch selection {
	case "run":
		first := rng.IntN(n)
		for i := range count {
			chosen = append(chosen, (first+i)%n)
		}
	case "every":
		for i := range count {
			chosen = append(chosen, i*n/max(count, 1))
		}
	default:
		chosen = append(chosen, rng.Perm(n)[:count]...)
	}
	return chosen
}

// PresentRanks returns, by rank, whether the gateway ever starts.
func (s *Scenario) PresentRanks() []bool {
	n := s.Gateways.Count
	present := make([]bool, n)
	for i := range present {
		present[i] = true
	}
	if s.Gateways.AbsentShare > 0 {
		for _, i := range chooseShare(s.newRand(streamAbsent), n, s.Gateways.AbsentShare, s.Gateways.AbsentSelection) {
			present[i] = false
		}
	}
	return present
}

// GatewayWeights returns the weight of each gateway in the distribution of the load: 1-Skew + Skew * X,
// with X exponentially distributed of mean 1. A rank that never starts has the weight 0.
func (s *Scenario) GatewayWeights() []float64 {
	rng, present := s.newRand(streamWeights), s.PresentRanks()
	weights := make([]float64, s.Gateways.Count)
	for i := range weights {
		weights[i] = 1 - s.Load.Skew + s.Load.Skew*rng.ExpFloat64()
		if !present[i] {
			weights[i] = 0
		}
	}
	return weights
}

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
