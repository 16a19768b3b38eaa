package bramblelock

import (
	"testing"
	"time"
)

// Answers are compared with the mean RTT of their class too, not only with its latency target.
// After a crash in a fleet of full size, hosts collapsed at a third of the latency target, long
// before any answer was late.
func TestRateLimitComparesWithMeanRTT(t *testing.T) {
	set := basicSettings()
	set.Instances = 100
	g := startGateway(t, set, testHosts(10)...)
	quick := func(HostID) time.Duration { return 40 * ms }
	g.serve(100, 0, quick)
	if ratio := g.b.rateRatio.mean; ratio > 1 || g.b.rateLimit != 0 {
		t.Fatalf("RTT ratio %v, rate limit %v at usual RTTs, want a ratio up to 1 and no limit", ratio, g.b.rateLimit)
	}
	g.serve(12, 0, func(HostID) time.Duration { return 100 * ms }) // a quarter of the latency target
	if g.b.rateLimit == 0 {
		t.Errorf("no rate limit at two and a half times the usual RTT, RTT ratio %v", g.b.rateRatio.mean)
	}
	if rtt := g.b.classes[0].rtt.mean; rtt > 0.05 {
		t.Errorf("mean RTT %v s of the class after a short congestion, want about 0.04", rtt)
	}
}

// An attempt without an answer for too long raises the RTT ratio of the send rate by itself. After
// a crash the other hosts were overloaded before a single late answer had come in.
func TestUnansweredAttemptRaisesRTTRatio(t *testing.T) {
	set := basicSettings()
	set.Instances = 100
	g := startGateway(t, set, testHosts(10)...)
	g.serve(60, 0, func(HostID) time.Duration { return 20 * ms })
	before := g.b.rateRatio.mean
	g.request(0, time.Second)
	g.onlyAction(Send)
	g.advance(300 * ms)
	if ratio := g.b.rateRatio.mean; ratio <= before {
		t.Errorf("RTT ratio %v after 300 ms without an answer, %v before, want it raised", ratio, before)
	}
}

// Where each instance has less than one attempt at a host, in-flight limits cannot bound the load
// from the fleet, so the rate of sends is limited. The highest priority is shed last.
func TestOverloadLimitsSendRate(t *testing.T) {
	set := basicSettings()
	set.Instances = 200
	g := startGateway(t, set, testHosts(20)...)
	run := func(targets float64) (low, high int) {
		for range 100 {
			for _, class := range []int{0, 2} {
				id := g.request(class, time.Second)
				if len(g.actions) == 1 && g.actions[0].Kind == Send {
					if class == 0 {
						low++
					} else {
						high++
					}
					g.outcome(id, 0, OK, Time(targets*400)*ms)
				}
				for _, h := range g.b.hosts { // takes the in-flight limits of the hosts out of the test
					h.limit, h.idleUntil = 10, 0
				}
				g.advance(400 * ms)
			}
		}
		return low, high
	}
	if low, high := run(0.1); low != 100 || high != 100 {
		t.Fatalf("%d and %d of 100 sent while answers are fast, want all", low, high)
	}
	low, high := run(0.9)
	if low > 50 || high < 2*low {
		t.Errorf("%d of low and %d of high priority sent while answers are slow, want at most 50 and at least twice as many", low, high)
	}
	run(0.1)
	if low, high := run(0.1); low != 100 || high != 100 {
		t.Errorf("%d and %d of 100 sent after the overload, want all", low, high)
	}
}

// Cuts of the rate limit must not accumulate while it has no effect. While few instances shared a
// host, the limit was cut round after round without any request held back. As traffic grew, more
// instances came to share a host, the limit took effect at almost zero, and all but one send in
// seven seconds was refused.
func TestRateLimitDoesNotAccumulateWithoutEffect(t *testing.T) {
	set := basicSettings()
	set.Instances = 40
	g := startGateway(t, set, testHosts(20)...)
	run := func(requests int, gap, took Time) (sent int) {
		for range requests {
			id := g.request(0, time.Second)
			if len(g.actions) == 1 && g.actions[0].Kind == Send {
				sent++
				g.outcome(id, 0, OK, took)
			}
			for _, h := range g.b.hosts { // takes the in-flight limits of the hosts out of the test
				h.limit, h.idleUntil = 10, 0
			}
			g.advance(gap)
		}
		return sent
	}
	run(100, 250*ms, 40*ms)
	if n := run(100, 250*ms, 360*ms); n != 100 || g.b.sharers() >= rateMinSharers {
		t.Fatalf("%d of 100 sent with %.1f instances that share a host, want all with fewer than %d", n, g.b.sharers(), rateMinSharers)
	}
	run(60, 50*ms, 40*ms) // more traffic at the usual RTT
	if s := g.b.sharers(); s < rateMinSharers {
		t.Fatalf("%.1f instances share a host, want %d", s, rateMinSharers)
	}
	if n := run(60, 50*ms, 40*ms); n < 50 {
		t.Errorf("%d of 60 sent after the rate limit took effect, limit %.2f a second", n, g.b.rateLimit)
	}
}
