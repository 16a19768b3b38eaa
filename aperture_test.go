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
