package fleetlab

import "testing"

// runSpread runs 120 gateways with uneven traffic, for 150 requests per host after membership has settled.
func runSpread(t *testing.T, seed uint64, configure func(*Scenario)) *Result {
	s := loadScenario(t, "spread-view", seed)
	s.Gateways.Count, s.Gateways.Configured, s.Hosts[0].Count, s.Load.Rate = 120, 120, 60, 360
	s.Length = s.MeasureFrom + Duration(25e9)
	configure(s)
	return Virtual(s)
}

// With membership, the hosts get equal numbers of requests up to random variation, though the traffic of
// the gateways is uneven and ranks are absent. Without it, absent ranks leave no host idle.
func TestSpread(t *testing.T) {
	for _, c := range []struct {
		name       string
		membership bool
		absent     float64
		selection  Selection
		cv         float64 // upper bound, as a multiple of random variation
		maxMean    float64
		underHalf  int
		underFifth int
	}{
		{"all there", true, 0, "random", 1.6, 1.35, 0, 0},
		{"a third absent in a run", true, 0.33, "run", 1.4, 1.35, 0, 0},
		{"half absent, every second", true, 0.5, "every", 1.7, 1.35, 0, 0},
		{"a third absent in a run, no membership", false, 0.33, "run", 3.5, 1.8, 0, 0},
		{"half absent in a run, no membership", false, 0.5, "run", 4.5, 1.9, 4, 0},
	} {
		r := runSpread(t, 1, func(s *Scenario) {
			s.Gateways.Membership, s.Gateways.AbsentShare, s.Gateways.AbsentSelection = c.membership, c.absent, c.selection
		})
		spread := r.Spread
		t.Logf("%s: %+v, open at a host %.1f", c.name, spread, r.Conns.MeanOpen)
		if spread.CV > c.cv*spread.Poisson || spread.MaxMean > c.maxMean || spread.UnderHalf > c.underHalf || spread.UnderFifth > c.underFifth {
			t.Errorf("%s: CV %.2f times that of random variation, max/mean %.2f, %d hosts under half of the mean and %d under a fifth",
				c.name, spread.CV/spread.Poisson, spread.MaxMean, spread.UnderHalf, spread.UnderFifth)
		}
	}
}
