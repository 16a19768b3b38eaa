package lynxspool

import (
	"testing"
	"time"
)

// startAllCold is an instance of a bank that starts together with its hosts.
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

// With every host cold, each instance drew from all of them: 200 connections a host, whose
// table holds some tens.
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
	for id, k := range sharers {
		if k > maxColdSharers+minSubset {
			t.Errorf("%d instances draw from cold host %d", k, id)
		}
	}
	if len(sharers) < n {
		t.Errorf("only %d of %d hosts are drawn", len(sharers), n)
	}
}

// The mean gap between two sends of one instance is many OverloadWindows where a bank is large: it
// was waited out, though the bank's first answers had told what the hosts can do by then.
// All that the bank sends a host stays within the budget of hosts that answer in 100 ms,
// each one request at a time: 2.5 x 10 a second.
func TestColdStartOfAllUsesTheBudget(t *testing.T) {
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
	for id, k := range sent {
		if k > 25+5*3 { // root of 25 is 5
			t.Errorf("%d sends to host %d in the fourth second, over its budget of 25", k, id)
		}
	}
	sum := 0
	for _, k := range sent {
		sum += k
	}
	if sum < n*25/4 {
		t.Errorf("%d sends to %d hosts in the fourth second, want a quarter of the %d allowed at least", sum, n, n*25)
	}
}

// A cold host takes long by itself: that is no overload of the fleet, and the bound on the
// rate of all sends is not cut for it. The same answers from warm hosts do cut it.
func TestColdAnswersDoNotBoundTheRate(t *testing.T) {
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
					g.outcome(a.Request, 0, OK, 300*ms) // of an aim of 400
				}
			}
			if g.now-g.b.hosts[0].Started > g.b.settings.WarmAfter && cold {
				break
			}
		}
		if limited := g.b.rateLimit > 0; limited == cold {
			t.Errorf("cold %v: the rate is bounded to %v", cold, g.b.rateLimit)
		}
	}
}

// While all hosts are cold the bound on the rate stayed as it had been cut, as only answers
// of warm hosts moved it.
func TestBoundGrowsOnColdAnswers(t *testing.T) {
	g := startAllCold(t, 8, 0, 2)
	g.b.rateLimit, g.b.rateGrownAt, g.b.rttRatio.mean = 0.5, g.now, 1
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
		t.Errorf("the bound is %.2f after %v of answers from cold hosts", g.b.rateLimit, g.now-g.b.hosts[0].Started)
	}
}
