package bramblelock

import (
	"math"
	"testing"
	"time"
)

func TestEstimateFollowsSamplesAndDecays(t *testing.T) {
	g := startGateway(t, basicSettings(), testHosts(1)...)
	h := g.b.hosts[0]
	decay := g.b.decay
	steps := []struct {
		name  string
		after time.Duration
		rtt   float64
		want  float64
	}{
		{"a sample above the estimate replaces it", 0, 0.5, 0.5},
		{"a sample below is blended in by the time since the last one", 800 * ms, 0.1, 0.5*math.Exp(-0.8/decay) + 0.1*(1-math.Exp(-0.8/decay))},
		{"a lower sample without time in between leaves the estimate", 0, 0.01, 0.5*math.Exp(-0.8/decay) + 0.1*(1-math.Exp(-0.8/decay))},
		{"a sample above the decayed estimate replaces it", 100 * time.Second, 0.02, 0.02},
	}
	for _, s := range steps {
		g.b.now += s.after
		g.b.addSample(h, s.rtt)
		if math.Abs(h.rtt-s.want) > 1e-12 {
			t.Errorf("%s: estimate %v, want %v", s.name, h.rtt, s.want)
		}
	}
	g.b.now += Time(decay * 1e9)
	if got, want := g.b.estimate(h), 0.02/math.E; math.Abs(got-want) > 1e-9 {
		t.Errorf("estimate one decay time later: %v, want %v", got, want)
	}
	if h.rtt != 0.02 {
		t.Errorf("reading the estimate changed it to %v", h.rtt)
	}
}

// A host without samples starts with the RTT that others of its kind have, not with a fixed guess.
func TestNewHostStartsWithEstimateOfItsKind(t *testing.T) {
	list := testHosts(4)
	for i := range list {
		list[i].Kind = i % 2
	}
	set := basicSettings()
	g := startGateway(t, set, list...)
	if e := g.b.estimate(g.b.hosts[0]); e != initialRTTShare*0.4 {
		t.Errorf("estimate %v without any samples, want the default initial RTT", e)
	}
	g.serve(60, 0, func(h HostID) time.Duration { return Time(20+60*(h%2)) * ms })
	g.updateHosts(ListChanges, Host{ID: 11, Kind: 0}, Host{ID: 12, Kind: 1}, Host{ID: 13, Kind: -1})
	n := len(g.b.hosts)
	slow, fast, unknown := g.b.estimate(g.b.hosts[n-3]), g.b.estimate(g.b.hosts[n-2]), g.b.estimate(g.b.hosts[n-1])
	if math.Abs(slow-0.08) > 0.02 || math.Abs(fast-0.02) > 0.01 || unknown <= fast || unknown >= slow {
		t.Errorf("initial estimates %v, %v and %v (of no known kind), want about 0.08, 0.02 and a value between", slow, fast, unknown)
	}
}

// A host that last served a request of a slow class must not look slow.
func TestEstimateIsNormalizedByClass(t *testing.T) {
	g := startGateway(t, basicSettings(), testHosts(2)...)
	for range 60 {
		for class, took := range []time.Duration{20 * ms, 0, 200 * ms} {
			if took > 0 {
				id := g.request(class, time.Second)
				g.onlyAction(Send)
				g.advance(took)
				g.outcome(id, 0, OK, took)
			}
		}
	}
	if x, y := g.b.hosts[0].rtt, g.b.hosts[1].rtt; x > 1.3*y || y > 1.3*x {
		t.Errorf("estimates %v and %v of two equal hosts, want them within 30%% of each other", x, y)
	}
}
