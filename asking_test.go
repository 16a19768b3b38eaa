package lynxspool

import (
	"slices"
	"testing"
	"time"
)

// 300 instances that start together while discovery fails for 20 s: at most 100 calls in
// any second after the first calls, a tenth of the bank in any 100 ms, and each asks within
// 3 s of the return. One that is alone asks at once.
func TestBankSparesDiscovery(t *testing.T) {
	const instances = 300
	set := basicSettings()
	set.WatchHosts, set.Instances, set.MaxWatchGap = true, instances, 10*time.Second
	var calls []Time // since the start of all
	for rank := range instances {
		set.Rank = rank
		g := startGateway(t, set)
		startedAt, lastCall := g.now, Time(0)
		for g.now-startedAt < 23*time.Second {
			for _, a := range g.advance(10 * ms) {
				if a.Kind == Watch {
					lastCall = g.now - startedAt
					calls = append(calls, lastCall)
					g.updateHosts(ListFailed)
				}
			}
		}
		if lastCall < 20*time.Second {
			t.Errorf("rank %d asks last %v after the start, not within 3 s of the return at 20 s", rank, lastCall)
		}
	}
	slices.Sort(calls)
	maxCallsWithin := func(width, from Time) (n int) {
		for i, at := range calls {
			k := i
			for k < len(calls) && calls[k]-at < width {
				k++
			}
			if at >= from {
				n = max(n, k-i)
			}
		}
		return n
	}
	if n := maxCallsWithin(100*ms, 0); n > instances/10 {
		t.Errorf("%d calls in 100 ms", n)
	}
	if n := maxCallsWithin(time.Second, 6*time.Second); n > 110 { // what is told here is told 10 ms late at most
		t.Errorf("%d calls in a second, want 100 and a few at the edges", n)
	}
	set.Instances, set.Rank = 1, 0
	if acts := startGateway(t, set).advance(ms); len(acts) != 1 {
		t.Errorf("one alone does %v at its start", acts)
	}
}

// However large the bank and however long a list may go unasked, a call that failed is made
// again within half of the clock of notifications, so that two fit into it; and the calls of a
// bank that keep failing stay at 100 a second, or one an instance in half of the clock or, if
// that is shorter, in the time that a list may go unasked.
func TestTwoCallsFitIntoTheClock(t *testing.T) {
	for _, n := range []int{1, 2, 3, 6, 60, 300, 350, 1024} {
		for _, maxGap := range []Time{time.Second, 10 * time.Second, 60 * time.Second} {
			set := Settings{Instances: n, MaxWatchGap: maxGap}
			calls, span := 0, 120*time.Second
			for rank := range n {
				set.Rank = rank
				rng := &Balancer{rng: uint64(rank)}
				now, fails := firstCallDelay(&set), 1
				for now < span {
					next := NextWatchCall(&set, now, fails, true, rng.randFloat())
					if wait := next - now; wait <= 0 || wait > MaxWatchBackoff+MaxWatchBackoff/Time(n) {
						t.Fatalf("%d instances, %v unasked: rank %d waits %v after %d fails", n, maxGap, rank, wait, fails)
					}
					if wait := NextWatchCall(&set, now, 0, true, rng.randFloat()) - now; wait > MaxWatchBackoff+MaxWatchBackoff/Time(n)+maxGap/32 {
						t.Fatalf("%d instances, %v unasked: rank %d waits %v after its watch broke", n, maxGap, rank, wait)
					}
					now, fails, calls = next, fails+1, calls+1
				}
			}
			maxRate := max(100, float64(n)/min(maxGap, MaxWatchBackoff).Seconds())
			if rate := float64(calls) / span.Seconds(); rate > maxRate*1.05 {
				t.Errorf("%d instances, %v unasked: %.0f calls a second", n, maxGap, rate)
			}
		}
	}
}
