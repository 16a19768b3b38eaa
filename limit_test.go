package bramblelock

import (
	"math"
	"testing"
	"time"
)

// In-flight attempts at a host are limited: without limits every host held more than it could serve
// in time. Queued requests are sent in order of priority.
func TestInFlightLimitAndPriorityOrder(t *testing.T) {
	g := startGateway(t, basicSettings(), testHosts(2)...)
	sent := map[RequestID]bool{}
	for range 30 {
		g.request(0, time.Second)
		for _, a := range g.actions {
			sent[a.Request] = true
		}
	}
	if maxInFlight := 2 * initialFleetLimit; len(sent) != maxInFlight {
		t.Fatalf("%d in flight at two new hosts, want %d", len(sent), maxInFlight)
	}
	urgent := g.request(2, time.Second)
	for id := range sent {
		g.now += 10 * ms
		g.outcome(id, 0, OK, 10*ms)
		break
	}
	if len(g.actions) == 0 || g.actions[0].Request != urgent {
		t.Errorf("actions %v, want the request of the highest priority sent first", g.actions)
	}
}

func TestLimitFollowsRTT(t *testing.T) {
	g := startGateway(t, basicSettings(), testHosts(1)...)
	h := g.b.hosts[0]
	for range 40 {
		g.b.now += 300 * ms
		g.b.adjustLimit(h, 0.8, g.b.shortestTarget, g.b.now)
	}
	if h.limit != minFleetLimit {
		t.Errorf("limit %v after slow answers, want the least limit", h.limit)
	}
	g.b.now += time.Second
	for range 20 {
		g.b.now += 300 * ms
		g.b.adjustLimit(h, 0.01, g.b.shortestTarget, g.b.now)
	}
	if h.limit != minFleetLimit {
		t.Errorf("limit %v, want no growth while no request is queued", h.limit)
	}
	g.b.queued = 1
	for range 60 {
		g.b.now += 300 * ms
		h.pending = int(h.limit) - 1
		g.b.adjustLimit(h, 0.01, g.b.shortestTarget, g.b.now)
	}
	if h.limit < 4 {
		t.Errorf("limit %v, want it to grow while requests are queued", h.limit)
	}
}

// In-flight limits compare answers with the mean RTT of their class too. With the generous latency
// target of each class alone, a crash loaded the remaining hosts to several times their usual RTT
// before any limit was cut.
func TestLimitComparesWithMeanRTT(t *testing.T) {
	set := basicSettings()
	set.Classes[0] = Class{LatencyTarget: 5 * time.Second, Deadline: 20 * time.Second}
	g := startGateway(t, set, testHosts(1)...)
	h := g.b.hosts[0]
	g.serve(100, 0, func(HostID) time.Duration { return 40 * ms })
	h.limit = 20
	id := g.request(0, 20*time.Second)
	g.advance(300 * ms)
	g.outcome(id, 0, OK, 300*ms) // far within its latency target
	if h.limit >= 20 {
		t.Errorf("limit %v after an answer at many times the usual RTT, want it cut", h.limit)
	}
}

// Ordinary answers of a class with a long latency target must not make hosts idle.
func TestLimitUsesLatencyTargetOfClass(t *testing.T) {
	set := basicSettings()
	set.Instances = 100
	set.Classes[0] = Class{LatencyTarget: 1500 * ms, Deadline: 5 * time.Second}
	g := startGateway(t, set, testHosts(2)...)
	for range 50 {
		id := g.request(0, 5*time.Second)
		g.onlyAction(Send)
		g.advance(250 * ms)
		g.outcome(id, 0, OK, 250*ms)
	}
	for _, h := range g.b.hosts {
		if h.idleUntil > 0 {
			t.Errorf("host %d idles after ordinary answers", h.ID)
		}
	}
}

// A class may be slow by itself, such as one whose answers are written slowly. The RTT of an
// attempt that is the only one of its instance at a host is not congestion and cuts no limit. An
// RTT beyond that is, and so is one above maxLimitTargets in any case.
func TestLimitAllowsRTTOfLoneAttempts(t *testing.T) {
	target := basicSettings().Classes[0].LatencyTarget
	instances := 1
	limit := func(aloneShare, loadedShare float64) float64 { // in shares of the latency target
		g := startGateway(t, basicSettings(), testHosts(1)...)
		h := g.b.byID[1]
		took := func(share float64) time.Duration { return time.Duration(share * float64(target)) }
		g.serve(50, 0, func(HostID) time.Duration { return took(aloneShare) })
		h.limit = 8 // as before any of these requests
		g.b.settings.Instances = instances
		first, others := g.request(0, time.Second), []RequestID{}
		for range 3 {
			others = append(others, g.request(0, time.Second))
		}
		g.advance(took(loadedShare))
		for _, id := range append(others, first) {
			g.outcome(id, 0, OK, took(loadedShare))
		}
		g.serve(1, 0, func(HostID) time.Duration { return took(loadedShare) })
		return h.limit
	}
	if got := limit(0.39, 0.42); got < 8 {
		t.Errorf("limit %.1f: cut by answers as slow as those to lone attempts", got)
	}
	if got := limit(0.2, 0.42); got >= 8 {
		t.Errorf("limit %.1f: not cut by answers twice as slow as those to lone attempts", got)
	}
	if got := limit(0.48, 0.7); got >= 8 {
		t.Errorf("limit %.1f: not cut by answers that take most of the latency target", got)
	}
	instances = rateMinSharers // each has only lone attempts there
	if got := limit(0.39, 0.42); got >= 8 {
		t.Errorf("limit %.1f: not cut by slow answers of a host that %d instances share", got, rateMinSharers)
	}
}

// A limit is cut in proportion to the RTT, once a round. A small cut for each answer came too late
// to keep hosts from collapsing, and a full cut for each answer of a round would be too much.
func TestLimitIsCutOncePerRound(t *testing.T) {
	g := startGateway(t, basicSettings(), testHosts(1)...)
	h := g.b.hosts[0]
	h.limit = 40
	target := limitTargets
	sent := g.b.now
	g.b.now += 300 * ms
	for range 5 { // the answers of one round
		g.b.adjustLimit(h, 2*target, g.b.shortestTarget, sent)
	}
	if math.Abs(h.limit-20) > 1e-9 {
		t.Fatalf("limit %v after a round at twice the target, want half of 40", h.limit)
	}
	g.b.now += 300 * ms
	g.b.adjustLimit(h, 2*target, g.b.shortestTarget, g.b.now-300*ms)
	if math.Abs(h.limit-10) > 1e-9 {
		t.Errorf("limit %v after the next round, want a quarter of 40", h.limit)
	}
}

// A host that refuses a request gets less. Hosts that refused everything at once, while the others
// were at their limits, attracted all queued requests.
func TestFullHostIsLimited(t *testing.T) {
	set := basicSettings()
	set.Instances = 4
	g := startGateway(t, set, testHosts(1)...)
	id := g.request(0, time.Second)
	g.onlyAction(Send)
	g.now += ms
	g.outcome(id, 0, Full, ms)
	if len(g.actions) != 0 {
		t.Fatalf("actions %v right after the refusal, want the request to be queued", g.actions)
	}
	if h := g.b.hosts[0]; h.limit >= 1 || h.idleUntil <= g.now {
		t.Errorf("limit %v, idle until %v at %v, want a limit below one and a later time", h.limit, h.idleUntil, g.now)
	}
}

// A host that refuses everything at once, such as one that drains before the list says so, has no
// attempts in flight, so its limit does not act. It idles after a refusal, or it would attract all
// queued requests.
func TestFullHostIdles(t *testing.T) {
	set := basicSettings()
	set.Instances = 2 // the limits of both together leave room for one attempt each
	g := startGateway(t, set, testHosts(1)...)
	g.serve(30, 0, func(HostID) time.Duration { return 20 * ms })
	refused := 0
	for range 100 {
		id := g.request(0, time.Second)
		actions := append([]Action(nil), g.actions...)
		actions = append(actions, g.advance(ms)...)
		for i := 0; i < len(actions); i++ {
			if actions[i].Kind == Send {
				refused++
				g.outcome(actions[i].Request, len(g.b.requests[actions[i].Request].attempts)-1, Full, 0)
				actions = append(actions, g.actions...)
			}
		}
		g.b.ClientGone(g.now, id)
		g.collectActions()
	}
	if refused == 0 || refused > 10 {
		t.Errorf("%d attempts refused within 100 ms, want 1 to 10: a host takes 20 ms for a request", refused)
	}
}

// A host whose limit is below one idles between attempts: with 17 instances, one attempt from each
// can make a host collapse.
func TestLimitBelowOneIdlesHost(t *testing.T) {
	set := basicSettings()
	set.Instances = 16
	g := startGateway(t, set, testHosts(1)...)
	id := g.request(0, time.Second)
	g.onlyAction(Send)
	g.advance(40 * ms)
	g.outcome(id, 0, OK, 40*ms)
	id = g.request(0, time.Second)
	g.onlyAction(Send) // no idle time after a fast answer
	g.advance(350 * ms)
	g.outcome(id, 0, OK, 350*ms)
	g.request(0, time.Second)
	if len(g.actions) != 0 {
		t.Fatalf("sent %v at once to a congested host with a limit below a quarter", g.actions)
	}
	g.advance(3 * time.Second)
	g.request(0, time.Second)
	g.onlyAction(Send)
}

// With a limit below one, a host is used for that share of the time: after an answer, it idles for
// 1/limit - 1 times its mean RTT, whether the latency target or the usual RTT of the class sets the goal.
func TestIdleTimeFollowsRTT(t *testing.T) {
	for _, target := range []time.Duration{400 * ms, 5 * time.Second} {
		set := basicSettings()
		set.Instances = 16
		set.Classes[0] = Class{LatencyTarget: target, Deadline: 20 * time.Second}
		g := startGateway(t, set, testHosts(1)...)
		h := g.b.hosts[0]
		g.serve(100, 0, func(HostID) time.Duration { return 40 * ms })
		h.rttRatio, h.limit = movingAverage{}, 0.8
		const rtt = 300 * ms
		g.serve(1, 0, func(HostID) time.Duration { return rtt }) // beyond the goal in both cases
		idle := h.idleUntil - g.now
		if want := Time(float64(rtt) * (1/h.limit - 1)); h.limit >= 0.8 || idle < want*95/100 || idle > want*105/100 {
			t.Errorf("latency target %v, limit %.3f: idle for %v after an RTT of %v, want %v", target, h.limit, idle, rtt, want)
		}
	}
}
