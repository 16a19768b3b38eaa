package bramblelock

import (
	"math"
	"testing"
	"time"
)

func TestOutcomesUpdateEstimate(t *testing.T) {
	tests := []struct {
		result Result
		took   time.Duration
		want   float64 // -1: the initial estimate stays
	}{
		{OK, 300 * ms, 0.3},
		{Failed, 2 * ms, 0.4}, // the least RTT of an error: one latency target
		{Full, 2 * ms, 0.4},
		{Failed, 700 * ms, 0.7},
		{TimedOut, 600 * ms, 0.6},
		{Reset, 500 * ms, 0.5},
		{ConnectFailed, 250 * ms, 0.25},
		{Canceled, 900 * ms, -1},
		{NotSent, 900 * ms, -1},
		{Rejected, 2 * ms, -1}, // the request is at fault, not the host
	}
	for _, tt := range tests {
		g := startGateway(t, basicSettings(), testHosts(1)...)
		h := g.b.hosts[0]
		initial := h.rtt
		if tt.want < 0 {
			tt.want = initial
		}
		id := g.request(0, time.Second)
		g.outcome(id, 0, tt.result, tt.took)
		if math.Abs(h.rtt-tt.want) > 1e-9 {
			t.Errorf("result %d after %v: estimate %v, want %v", tt.result, tt.took, h.rtt, tt.want)
		}
	}
}

// An attempt that is canceled at the deadline of its request counts as timed out. When it did not
// count, hosts that answered nothing in time went on getting as many requests as before. An attempt
// whose client is gone says nothing about its host.
func TestCancelAtDeadlineCountsAsTimeout(t *testing.T) {
	set := basicSettings()
	set.Instances = 100
	for _, clientGone := range []bool{false, true} {
		g := startGateway(t, set, testHosts(2)...)
		id := g.request(2, 600*ms)
		h := g.b.byID[g.onlyAction(Send).Host]
		if clientGone {
			g.now += 30 * ms
			g.b.ClientGone(g.now, id)
			g.collectActions()
		} else {
			g.advance(600 * ms)
		}
		g.outcome(id, 0, Canceled, 600*ms)
		if h.sampled == clientGone || (h.idleUntil > g.now) == clientGone || (g.b.rateRatio.seen) == clientGone {
			t.Errorf("client gone %v: sampled %v, idle until %v at %v, RTT ratio %+v",
				clientGone, h.sampled, h.idleUntil, g.now, g.b.rateRatio)
		}
	}
}
