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

func TestColdHostIsPaced(t *testing.T) {
	set := basicSettings()
	g := startGateway(t, set, testHosts(3)...)
	// Two warm hosts serve 50 requests a second each when the third restarts. It answers in
	// 10 ms, so it can serve at least 100 a second: that sets its budget here.
	serve := func(n int) map[HostID]int { return g.serve(n, 0, func(HostID) time.Duration { return 10 * ms }) }
	serve(600)
	h := testHosts(3)[2]
	h.Started = g.now
	g.updateHosts(ListChanges, h)
	got := serve(100) // one second
	maxSends := 100*set.OverloadFactor*coldMargin + 2
	if n := float64(got[3]); n > maxSends || n == 0 {
		t.Errorf("%v sends in the first second, want 1 to %.0f", n, maxSends)
	}
	serve(900)
	if got := serve(300); got[3] < 60 {
		t.Errorf("requests by host %v once it is warm, want an even share at host 3", got)
	}
}

// The sends of a whole fleet stay within the budget of a cold host. When each instance sent it at
// least one attempt in an OverloadWindow, hundreds of instances overloaded it.
func TestColdBudgetHoldsForFleet(t *testing.T) {
	for _, instances := range []int{1, 30, 300, 1200} {
		for _, rateKnown := range []bool{false, true} {
			set := basicSettings()
			set.Instances = instances
			list := testHosts(max(2, instances/6))
			cold := list[0].ID
			users, sends, capacity := 0, 0, 60.0 // the capacity of a warm host is in answers a second
			for rank := range instances {
				set.Rank = rank
				g := startGateway(t, set, list...)
				if rateKnown {
					g.b.warmRate.add(capacity / g.b.sharers())
				}
				g.updateHosts(ListChanges, Host{ID: cold, Cell: list[0].Cell, Zone: list[0].Zone, Started: g.now})
				for range 40 { // one OverloadWindow, with more requests than the cold host can serve
					id := g.request(0, time.Second)
					if len(g.actions) == 1 && g.actions[0].Kind == Send {
						if g.actions[0].Host == cold {
							sends++
						}
						g.outcome(id, 0, Full, ms)
					}
					g.advance(set.OverloadWindow / 40)
				}
				if g.b.byID[cold].inSubset {
					users++
				}
			}
			if users == 0 {
				t.Errorf("%d instances: none uses the cold host", instances)
			}
			if budget := capacity * set.ColdCapacity * set.OverloadFactor; float64(sends) > budget {
				t.Errorf("%d instances, warm rate known %v: %d sends in an OverloadWindow, budget %.0f", instances, rateKnown, sends, budget)
			}
		}
	}
}

func TestColdBudgetCountsRefusedAttempts(t *testing.T) {
	set := basicSettings()
	list := testHosts(1)
	list[0].Started = time.Hour - time.Second
	g := startGateway(t, set, list...)
	g.advance(set.OverloadWindow * 3 / 2)
	id := g.request(0, time.Second)
	g.onlyAction(Send)
	g.outcome(id, 0, Full, ms)
	if len(g.actions) != 0 {
		t.Errorf("sent %v again at once, with no answers from warm hosts", g.actions)
	}
}

// A cold host is paced after a long time without requests too. Fuzzing found that a warm rate
// decayed to almost zero gave a negative gap, so that the cold host was not paced at all.
func TestColdHostIsPacedAfterALongIdleTime(t *testing.T) {
	g := startGateway(t, basicSettings(), Host{ID: 1})
	g.serve(20, 0, func(HostID) time.Duration { return 10 * ms })
	for _, idle := range []time.Duration{time.Minute, 10 * time.Minute, time.Hour} {
		g.now += idle
		g.updateHosts(ListFull, Host{ID: 1}, Host{ID: 2, Started: g.now})
		h := g.b.byID[2]
		if gap := h.coldGap / g.b.coldRate(h); !(gap > 0 && gap <= 1.5*g.b.settings.OverloadWindow.Seconds()) {
			t.Errorf("next send to the cold host in %v s after %v without requests, want it above 0 and within one and a half OverloadWindows", gap, idle)
		}
		g.updateHosts(ListFull, Host{ID: 1})
	}
}

// A lone host that returns cold is paced by the rate that it served while warm. It got one request
// in an OverloadWindow when the rate was taken from the other hosts, of which there were none.
func TestLoneColdHostIsPacedByEarlierRate(t *testing.T) {
	g := startGateway(t, basicSettings(), testHosts(1)...)
	g.serve(300, 0, func(HostID) time.Duration { return 10 * ms })
	h := testHosts(1)[0]
	g.updateHosts(ListFull)
	h.Started = g.now
	g.updateHosts(ListFull, h)
	sends := 0
	for end := g.now + time.Second; g.now < end; {
		g.request(0, 500*ms)
		sent := g.actions
		for _, a := range append(append([]Action(nil), sent...), g.advance(10*ms)...) {
			if a.Kind == Send {
				sends++
				g.outcome(a.Request, 0, OK, 10*ms)
			}
		}
	}
	// A warm host served 100 requests a second, and this one answers in 10 ms, which is 100
	// a second too. The budget is 2.5 times that, of which half is used.
	if sends < 10 || sends > 125 {
		t.Errorf("%d sends in the first second, want 10 to 125", sends)
	}
}

// The pacing of a cold host is kept when it leaves the list and returns. Fuzzing found that it was
// lost.
func TestColdPacingSurvivesListFlapping(t *testing.T) {
	list := testHosts(1)
	list[0].Started = time.Hour - time.Second
	g := startGateway(t, basicSettings(), list...)
	g.advance(1500 * ms)
	id := g.request(0, time.Second)
	g.onlyAction(Send)
	g.outcome(id, 0, OK, ms)
	g.updateHosts(ListFull)
	g.updateHosts(ListFull, list...)
	if g.request(0, time.Second); len(g.actions) != 0 {
		t.Errorf("sent %v at once after the host returned", g.actions)
	}
}

// Soon after its start an instance knows the rate of its warm hosts, by which it paces cold ones.
func TestWarmRateSoonAfterStart(t *testing.T) {
	set := basicSettings()
	set.OverloadWindow = 4 * time.Second
	g := startGateway(t, set, testHosts(2)...)
	g.serve(300, 0, func(HostID) time.Duration { return 10 * ms }) // 3 s, while the time constant of the rate is 16 s
	if got := g.b.warmRate.mean; got < 40 {
		t.Errorf("warm rate %.0f a second, want about 50", got)
	}
}
