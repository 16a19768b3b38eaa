package fleetlab

import "testing"

// runSpread is 150 requests a host over skewed gateways, once the view has settled.
func runSpread(t *testing.T, seed uint64, change func(*Scenario)) *Result {
	s := loadScenario(t, "spread-view", seed)
	s.Gateways.Count, s.Gateways.Configured, s.Hosts[0].Count, s.Load.Rate = 120, 120, 60, 360
	s.Length = s.MeasureFrom + Duration(25e9)
	change(s)
	return Virtual(s)
}

// With a view of the bank hosts get the same but for chance, though traffic is skewed over
// gateways and ranks are absent; without one, absent ranks leave no host idle.
func TestSpread(t *testing.T) {
	for _, c := range []struct {
		name       string
		view       bool
		absent     float64
		how        string
		cv         float64 // times what chance gives, at most
		maxMean    float64
		underHalf  int
		underFifth int
	}{
		{"all there", true, 0, "random", 1.6, 1.35, 0, 0},
		{"a third absent in a run", true, 0.33, "run", 1.4, 1.35, 0, 0},
		{"half absent, every second", true, 0.5, "every", 1.7, 1.35, 0, 0},
		{"a third absent in a run, no view", false, 0.33, "run", 3.5, 1.8, 0, 0},
		{"half absent in a run, no view", false, 0.5, "run", 4.5, 1.9, 4, 0},
	} {
		r := runSpread(t, 1, func(s *Scenario) {
			s.Gateways.Membership, s.Gateways.AbsentShare, s.Gateways.AbsentSelection = c.view, c.absent, c.how
		})
		p := r.Spread
		t.Logf("%s: %+v, open at a host %.1f", c.name, p, r.Conns.MeanOpen)
		if p.CV > c.cv*p.Poisson || p.MaxMean > c.maxMean || p.UnderHalf > c.underHalf || p.UnderFifth > c.underFifth {
			t.Errorf("%s: CV %.2f times that of chance, max/mean %.2f, %d hosts under half of the mean and %d under a fifth",
				c.name, p.CV/p.Poisson, p.MaxMean, p.UnderHalf, p.UnderFifth)
		}
	}
}
