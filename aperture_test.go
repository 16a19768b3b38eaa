package bramblelock

import (
	"testing"
	"time"
)

// Each host is used by nearly the mean number of instances, whichever ranks are absent. When a run
// of ranks or every second rank was absent, a run of hosts was used by no instance, or by half as
// many as the others.
func TestSubsetsStayEvenWithAbsentRanks(t *testing.T) {
	const instances = 300
	for _, n := range []int{200, 40, 173} {
		list := testHosts(n)
		for name, absent := range map[string]func(rank int) bool{
			"none":             func(int) bool { return false },
			"a third in a run": func(rank int) bool { return rank >= 70 && rank < 170 },
			"half in a run":    func(rank int) bool { return rank >= 150 },
			"every second":     func(rank int) bool { return rank%2 == 1 },
		} {
			sharers, sum := map[HostID]int{}, 0
			for rank := range instances {
				if absent(rank) {
					continue
				}
				set := basicSettings()
				set.Instances, set.Rank = instances, rank
				g := startGateway(t, set, list...)
				g.request(0, time.Second)
				for _, h := range g.b.subset {
					sharers[h.ID]++
					sum++
				}
			}
			least, most := sum, 0
			for _, h := range list {
				least, most = min(least, sharers[h.ID]), max(most, sharers[h.ID])
			}
			if mean := float64(sum) / float64(n); least == 0 || float64(least) < mean/2-1 || float64(most) > 1.5*mean+1 {
				t.Errorf("%d hosts, absent ranks %s: %d to %d instances use a host, mean %.1f", n, name, least, most, mean)
			}
		}
	}
}

// Many instances with little traffic must not each open a connection to every host. Each uses a
// subset with hosts of every kind, and all hosts are used by nearly as many instances.
func TestLowTrafficInstancesUseSubsets(t *testing.T) {
	const instances, n = 60, 30
	list := testHosts(n)
	for i := range list {
		list[i].Kind = i % 3
	}
	users := map[HostID]int{} // instances that use the host
	for rank := range instances {
		set := basicSettings()
		set.Instances, set.Rank = instances, rank
		g := startGateway(t, set, list...)
		kinds := map[int]bool{}
		got := g.serve(40, 0, func(HostID) time.Duration { return 200 * ms })
		for h := range got {
			users[h]++
			kinds[list[h-1].Kind] = true
		}
		if len(got) < minSubset || len(got) > n*2/3 {
			t.Errorf("instance %d uses %d of %d hosts", rank, len(got), n)
		}
		if len(kinds) != 3 {
			t.Errorf("instance %d uses hosts of %d kinds, want 3", rank, len(kinds))
		}
	}
	least, most := instances, 0
	for _, h := range list {
		least, most = min(least, users[h.ID]), max(most, users[h.ID])
	}
	if most-least > 4 {
		t.Errorf("hosts are used by %d to %d instances", least, most)
	}
}

// An instance keeps the hosts of its subset when others are removed, replaces one at a time, and
// closes the connections to those that it stops using. When the fleet shrank, every instance moved
// to other hosts, and the connections that it left open filled their connection tables.
func TestSubsetIsStableAndClosesUnusedHosts(t *testing.T) {
	set := basicSettings()
	set.Instances, set.Rank = 60, 17
	list := testHosts(30)
	g := startGateway(t, set, list...)
	quick := func(HostID) time.Duration { return 100 * ms }
	before := g.serve(40, 0, quick)
	removed := list[:0:0]
	for _, h := range list {
		if before[h.ID] == 0 && len(removed) < 12 {
			removed = append(removed, Host{ID: h.ID, State: Removed})
		}
	}
	g.updateHosts(ListChanges, removed...)
	g.closed = nil
	after := g.serve(5, 0, quick)
	moved := 0
	for h := range after {
		if before[h] == 0 {
			moved++
		}
	}
	if moved > 1 {
		t.Errorf("%d hosts are new after hosts outside the subset were removed, want at most one at a time", moved)
	}
	g.serve(100, 0, quick) // long enough to replace hosts by preferred ones, one at a time
	for _, h := range g.closed {
		if before[h] == 0 {
			t.Errorf("closed host %d, which was not in the subset", h)
		}
	}
	if n := len(g.b.subset); n != g.b.subsetSize() {
		t.Errorf("%d hosts in the subset, want %d", n, g.b.subsetSize())
	}
	drained := g.b.subset[0]
	g.closed = nil
	g.updateHosts(ListChanges, Host{ID: drained.ID, State: Draining})
	g.serve(5, 0, quick)
	if len(g.closed) == 0 || g.closed[0] != drained.ID || drained.inSubset {
		t.Errorf("closed %v, want the draining host %d first", g.closed, drained.ID)
	}
}

func TestBusyInstanceUsesAllHosts(t *testing.T) {
	set := basicSettings()
	set.Instances = 60
	g := startGateway(t, set, testHosts(12)...)
	if got := g.serve(400, 0, func(HostID) time.Duration { return 10 * ms }); len(got) != 12 {
		t.Errorf("it uses %d of 12 hosts, want all", len(got))
	}
}
