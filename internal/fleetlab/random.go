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

// chooseShare returns the indices of a share of n items. SelectRun is a block of consecutive indices
// from a random start, which wraps around to index 0, SelectEvery is evenly spaced indices, and
// SelectRandom or the empty string is distinct random indices. A share of 0 selects all items, as it stands
// for a field that a scenario does not set; callers for which 0 means no items check for that first. The
// same state of the generator gives the same indices in the same order. The order matters, as
// faultTargets divides the indices of a fault into its steps in this order.
func chooseShare(rng *rand.Rand, n int, share float64, selection Selection) []int {
	count := int(math.Round(share * float64(n)))
	if share == 0 || count >= n {
		count = n
	}
	chosen := make([]int, 0, count)
	switch selection {
	case SelectRun:
		first := rng.IntN(n)
		for i := range count {
			chosen = append(chosen, (first+i)%n)
		}
	case SelectEvery:
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
