package lynxspool

import (
	"testing"
	"time"
)

// Ranks that are absent in a run, or every second, left a run of hosts undrawn, or with
// half of the sharers of the others. Each host keeps sharers near the mean.
func TestAbsentRanksThinAllDrawsAlike(t *testing.T) {
	const instances = 300
	for _, n := range []int{200, 40, 173} {
		list := testHosts(n)
		for name, absent := range map[string]func(rank int) bool{
			"none":           func(int) bool { return false },
			"third in a run": func(rank int) bool { return rank >= 70 && rank < 170 },
			"half in a run":  func(rank int) bool { return rank >= 150 },
			"every second":   func(rank int) bool { return rank%2 == 1 },
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
				t.Errorf("%d hosts, absent %s: %d to %d sharers a host, mean %.1f", n, name, least, most, mean)
			}
		}
	}
}
