package bramblelock

import (
	"slices"
	"testing"
	"time"
)

// 300 instances start together while discovery fails for 20 s. After their first calls they make at
// most 100 calls in any second, and never more than a tenth of the fleet calls within 100 ms. Each
// calls within 3 s of the return of discovery. A single instance calls at once.
func TestFleetLimitsCallsToDiscovery(t *testing.T) {
	const instances = 300
	set := basicSettings()
	set.WatchHosts, set.Instances, set.MaxWatchGap = true, instances, 10*time.Second
	var calls []Time // times since the start of the instances
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
			t.Errorf("the last call of rank %d is %v after the start, want one within 3 s of the return at 20 s", rank, lastCall)
		}
	}
	slices.Sort(calls)
	maxCallsWithin := func(width, from Time) (n int) {
		for i, at := range calls {
			end := i
			for end < len(calls) && calls[end]-at < width {
				end++
			}
			if at >= from {
				n = max(n, end-i)
			}
		}
		return n
	}
	if n := maxCallsWithin(100*ms, 0); n > instances/10 {
		t.Errorf("%d calls in 100 ms, want at most a tenth of the fleet", n)
	}
	if n := maxCallsWithin(time.Second, 6*time.Second); n > 110 { // the test notices calls up to 10 ms late
		t.Errorf("%d calls in a second, want 100 and a few more at its edges", n)
	}
	set.Instances, set.Rank = 1, 0
	if actions := startGateway(t, set).advance(ms); len(actions) != 1 {
		t.Errorf("actions %v at the start of a single instance, want one call", actions)
	}
}

// Whatever the size of the fleet and MaxWatchGap, a call that failed is made again within half of
// NotifiedAfter, so that two calls fit into it. While the calls of a fleet keep failing, it makes
// at most 100 a second, or one an instance in the shorter of half of NotifiedAfter and MaxWatchGap.
func TestTwoCallsFitIntoNotificationTime(t *testing.T) {
	for _, n := range []int{1, 2, 3, 6, 60, 300, 350, 1024} {
		for _, maxGap := range []Time{time.Second, 10 * time.Second, 60 * time.Second} {
			set := Settings{Instances: n, MaxWatchGap: maxGap}
			calls, duration := 0, 120*time.Second
			for rank := range n {
				set.Rank = rank
				rng := &Balancer{rng: uint64(rank)}
				now, fails := firstCallDelay(&set), 1
				for now < duration {
					next := NextWatchCall(&set, now, fails, true, rng.randFloat())
					if wait := next - now; wait <= 0 || wait > MaxWatchBackoff+MaxWatchBackoff/Time(n) {
						t.Fatalf("%d instances, MaxWatchGap %v: rank %d waits %v after %d failures", n, maxGap, rank, wait, fails)
					}
					if wait := NextWatchCall(&set, now, 0, true, rng.randFloat()) - now; wait > MaxWatchBackoff+MaxWatchBackoff/Time(n)+maxGap/32 {
						t.Fatalf("%d instances, MaxWatchGap %v: rank %d waits %v after its watch broke", n, maxGap, rank, wait)
					}
					now, fails, calls = next, fails+1, calls+1
				}
			}
			maxRate := max(100, float64(n)/min(maxGap, MaxWatchBackoff).Seconds())
			if rate := float64(calls) / duration.Seconds(); rate > maxRate*1.05 {
				t.Errorf("%d instances, MaxWatchGap %v: %.0f calls a second", n, maxGap, rate)
			}
		}
	}
}

func TestWatchSchedule(t *testing.T) {
	set := basicSettings()
	set.WatchHosts, set.Instances, set.Rank, set.MaxWatchGap = true, 4, 2, 8*time.Second
	g := startGateway(t, set, testHosts(1)...)
	countWatches := func(d time.Duration) int { return len(g.advance(d)) }
	if n := countWatches(11 * ms); n != 0 {
		t.Errorf("%d watches before the time of its rank", n)
	}
	if n := countWatches(2 * ms); n != 1 {
		t.Fatalf("%d watches at the time of its rank, want 1", n)
	}
	g.updateHosts(ListFailed)
	if n := countWatches(time.Second); n != 1 {
		t.Errorf("%d watches within a second of a failure, want 1", n)
	}
	g.updateHosts(ListChanges)
	if n := countWatches(time.Minute); n != 0 {
		t.Errorf("%d watches while one is open", n)
	}
	g.updateHosts(ListFailed)
	gaps := []int{}
	for range 5 {
		failedAt := g.now
		for countWatches(10*ms) == 0 {
		}
		gaps = append(gaps, int((g.now-failedAt)/ms))
		g.updateHosts(ListFailed)
	}
	if gaps[4] <= gaps[0] || gaps[4] > 8000 {
		t.Errorf("gaps %v ms between calls, want them to grow and stay within MaxWatchGap", gaps)
	}
	set.WatchHosts = false
	if g := startGateway(t, set, testHosts(1)...); len(g.advance(time.Minute)) != 0 {
		t.Error("watch opened where the list is pushed")
	}
}
