package bramblelock

import (
	"testing"
	"time"
)

// startAllCold starts an instance of a fleet that starts together with its n hosts.
func startAllCold(t *testing.T, instances, rank, n int) *gateway {
	set := basicSettings()
	set.Instances, set.Rank = instances, rank
	g := startGateway(t, set)
	list := testHosts(n)
	for i := range list {
		list[i].Started = g.now
	}
	g.updateHosts(ListFull, list...)
	return g
}

// Few instances use a host while all hosts are cold. When each of the 200 instances used all hosts,
// there were 200 connections to each, whose connection table holds some tens.
func TestColdHostsHaveFewSharers(t *testing.T) {
	const instances, n = 200, 40
	sharers := map[HostID]int{}
	for rank := range instances {
		g := startAllCold(t, instances, rank, n)
		g.request(0, 0)
		g.request(0, time.Second)
		for _, h := range g.b.subset {
			sharers[h.ID]++
		}
	}
	for id, count := range sharers {
		if count > maxColdSharers+minSubset {
			t.Errorf("%d instances use cold host %d", count, id)
		}
	}
	if len(sharers) < n {
		t.Errorf("only %d of %d hosts are used", len(sharers), n)
	}
}

// While all hosts are cold, the sends to a host stay within its budget and use at least a quarter
// of it. The hosts answer in 100 ms, one request at a time, so the budget is 2.5 x 10 sends a
// second. In a large fleet the mean gap between two sends of one instance is many OverloadWindows
// long. It was waited out although the first answers had shown by then what the hosts can serve.
func TestColdStartOfAllHostsUsesBudget(t *testing.T) {
	const instances, n = 100, 20
	sent := map[HostID]int{}
	for rank := range instances {
		g := startAllCold(t, instances, rank, n)
		startedAt := g.now
		for g.now-startedAt < 4*time.Second {
			g.request(0, time.Second)
			for _, a := range append(append([]Action(nil), g.actions...), g.advance(50*ms)...) {
				if a.Kind == Send {
					g.now += 100 * ms
					g.outcome(a.Request, 0, OK, 100*ms)
					if g.now-startedAt > 3*time.Second {
						sent[a.Host]++
					}
				}
			}
		}
	}
	for id, count := range sent {
		if count > 25+5*3 { // three standard deviations of 5, the root of 25
			t.Errorf("%d sends to host %d in the fourth second, more than its budget of 25 allows", count, id)
		}
	}
	sum := 0
	for _, count := range sent {
		sum += count
	}
	if sum < n*25/4 {
		t.Errorf("%d sends to %d hosts in the fourth second, want at least a quarter of the budget of %d", sum, n, n*25)
	}
}

// A cold host is slow by itself. That is no overload of the fleet, so slow answers of cold hosts do
// not cut the rate limit. The same answers of warm hosts do.
func TestColdAnswersDoNotCutRateLimit(t *testing.T) {
	for _, cold := range []bool{true, false} {
		g := startAllCold(t, 8, 0, 2)
		if !cold {
			g.advance(g.b.settings.WarmAfter)
		}
		for range 200 {
			g.request(0, time.Second)
			for _, a := range append(append([]Action(nil), g.actions...), g.advance(50*ms)...) {
				if a.Kind == Send {
					g.now += 300 * ms
					g.outcome(a.Request, 0, OK, 300*ms) // of a latency target of 400 ms
				}
			}
			if g.now-g.b.hosts[0].Started > g.b.settings.WarmAfter && cold {
				break
			}
		}
		if limited := g.b.rateLimit > 0; limited == cold {
			t.Errorf("cold %v: rate limit %v a second, want none for cold hosts and one for warm hosts", cold, g.b.rateLimit)
		}
	}
}

// The rate limit grows on fast answers of cold hosts. When only answers of warm hosts changed it,
// it stayed as low as it had been cut for as long as all hosts were cold.
func TestRateLimitGrowsOnColdAnswers(t *testing.T) {
	g := startAllCold(t, 8, 0, 2)
	g.b.rateLimit, g.b.rateGrownAt, g.b.rateRatio.mean = 0.5, g.now, 1
	for range 60 {
		g.request(0, time.Second)
		for _, a := range append(append([]Action(nil), g.actions...), g.advance(50*ms)...) {
			if a.Kind == Send {
				g.now += 50 * ms
				g.outcome(a.Request, 0, OK, 50*ms)
			}
		}
	}
	if g.b.rateLimit > 0 && g.b.rateLimit < 0.7 {
		t.Errorf("rate limit %.2f a second after %v of fast answers from cold hosts, want at least 0.7 or none", g.b.rateLimit, g.now-g.b.hosts[0].Started)
	}
}
