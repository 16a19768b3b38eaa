package fleetlab

import (
	"math"
	"math/rand/v2"
)

// Streams of random numbers, each of its own so that a change of one part of a play
// leaves the others' draws as they were.
const (
	streamLoad = iota + 1
	streamNet
	streamFaults
	streamSeeds
	streamWait
	streamAbsent
)

func (s *Scenario) newRand(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(s.Seed, stream)) }

// chooseShare picks a share of n things: consecutive ones from a random start (run), evenly
// spaced (every), or any (random). The same generator state gives the same choice.
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

// PresentRanks are the ranks that start at all.
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

// GatewayWeights are each gateway's part of the load: 1-skew + skew x an exponential; a rank that
// never starts has none.
func (s *Scenario) GatewayWeights() []float64 {
	rng, present := s.newRand(streamWait), s.PresentRanks()
	weights := make([]float64, s.Gateways.Count)
	for i := range weights {
		weights[i] = 1 - s.Load.Skew + s.Load.Skew*rng.ExpFloat64()
		if !present[i] {
			weights[i] = 0
		}
	}
	return weights
}

// Arrival is one request of a client, drawn ahead: it does not wait for answers.
type Arrival struct {
	At              Time
	Class           int
	GatewayQuantile float64 // which gateway the front gives it to, as a place among their weights
	WorkFactor      float64 // times the mean work of its class
	WaitFactor      float64 // times the mean wait
	Retries         int     // that the client made before this one
}

// arrivals draws the load one request at a time, in the order of time: exponential gaps,
// work of 0.5 + half an exponential of the mean.
type arrivals struct {
	rng        *rand.Rand
	scenario   *Scenario
	latest     Time
	totalShare float64
}

func newArrivals(s *Scenario) *arrivals {
	a := &arrivals{rng: s.newRand(streamLoad), scenario: s, latest: s.Load.Start.std()}
	for _, c := range s.Classes {
		a.totalShare += c.Share
	}
	return a
}

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
