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

func (s *Scenario) rng(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(s.Seed, stream)) }

// choose picks a share of n things: consecutive ones from a random start (run), evenly
// spaced (every), or any (random). The same generator state gives the same choice.
func choose(rng *rand.Rand, n int, share float64, how string) []int {
	k := int(math.Round(share * float64(n)))
	if share == 0 || k >= n {
		k = n
	}
	out := make([]int, 0, k)
	switch how {
	case "run":
		from := rng.IntN(n)
		for i := range k {
			out = append(out, (from+i)%n)
		}
	case "every":
		for i := range k {
			out = append(out, i*n/max(k, 1))
		}
	default:
		out = append(out, rng.Perm(n)[:k]...)
	}
	return out
}

// Present are the ranks that start at all.
func (s *Scenario) Present() []bool {
	n := s.Gateways.Count
	here := make([]bool, n)
	for i := range here {
		here[i] = true
	}
	if s.Gateways.Absent > 0 {
		for _, i := range choose(s.rng(streamAbsent), n, s.Gateways.Absent, s.Gateways.AbsentHow) {
			here[i] = false
		}
	}
	return here
}

// Weights are each gateway's part of the load: 1-skew + skew x an exponential; a rank that
// never starts has none.
func (s *Scenario) Weights() []float64 {
	rng, here := s.rng(streamWait), s.Present()
	w := make([]float64, s.Gateways.Count)
	for i := range w {
		w[i] = 1 - s.Load.Skew + s.Load.Skew*rng.ExpFloat64()
		if !here[i] {
			w[i] = 0
		}
	}
	return w
}

// Arrival is one request of a client, drawn ahead: it does not wait for answers.
type Arrival struct {
	At    Time
	Class int
	Front float64 // which gateway the front gives it to, as a place among their weights
	Work  float64 // times the mean work of its class
	Waits float64 // times the mean wait
	Tries int     // that the client made before this one
}

// arrivals draws the load one request at a time, in the order of time: exponential gaps,
// work of 0.5 + half an exponential of the mean.
type arrivals struct {
	rng   *rand.Rand
	s     *Scenario
	next  Time
	total float64
}

func newArrivals(s *Scenario) *arrivals {
	a := &arrivals{rng: s.rng(streamLoad), s: s, next: s.Load.From.std()}
	for _, c := range s.Classes {
		a.total += c.Share
	}
	return a
}

func (a *arrivals) draw() (Arrival, bool) {
	if a.s.Load.Rate <= 0 {
		return Arrival{}, false
	}
	l := &a.s.Load
	rate := l.Rate
	if a.next >= l.BurstAt.std() && a.next < l.BurstAt.std()+l.BurstFor.std() {
		rate *= l.Burst
	}
	a.next += Time(a.rng.ExpFloat64() / rate * 1e9)
	x := Arrival{At: a.next, Front: a.rng.Float64(), Work: 0.5 + 0.5*a.rng.ExpFloat64(), Waits: 0.5 + 0.5*a.rng.ExpFloat64()}
	at := a.rng.Float64() * a.total
	for i, c := range a.s.Classes {
		if x.Class = i; at < c.Share {
			break
		}
		at -= c.Share
	}
	return x, a.next < a.s.Length.std()
}
