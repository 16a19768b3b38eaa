package bramblelock

import (
	"testing"
	"time"
)

func TestConnectFailureEjectsAndTrialReadmits(t *testing.T) {
	g := startGateway(t, basicSettings(), testHosts(4)...)
	fail := func() {
		id := g.sendTo(1, ms)
		g.outcome(id, 0, ConnectFailed, ms)
		g.outcome(id, 1, OK, ms)
	}
	fail()
	first := g.b.hosts[0].ejectUntil - g.now
	if got := g.serve(100, 0, func(HostID) time.Duration { return ms }); got[1] != 0 {
		t.Fatalf("%d sends to the ejected host", got[1])
	}
	g.now = g.b.hosts[0].ejectUntil
	fail()
	if second := g.b.hosts[0].ejectUntil - g.now; second <= first {
		t.Errorf("backoff %v after %v, want it to grow", second, first)
	}
	g.now = g.b.hosts[0].ejectUntil
	trial := g.sendTo(1, ms)
	for range 20 {
		id := g.request(0, time.Second)
		if g.onlyAction(Send).Host == 1 {
			t.Fatal("second request sent while the trial is in flight")
		}
		g.outcome(id, 0, OK, ms)
	}
	g.outcome(trial, 0, OK, ms)
	if h := g.b.hosts[0]; h.ejections != 0 {
		t.Error("still ejected after the answer to the trial")
	}
}

// One broken connection says little about a host that answers on others. Two in a row without an
// answer in between eject it.
func TestConsecutiveResetsEject(t *testing.T) {
	g := startGateway(t, basicSettings(), testHosts(1)...)
	h := g.b.hosts[0]
	took := func(HostID) time.Duration { return 10 * ms }
	for range 3 {
		g.outcome(g.request(2, time.Second), 0, Reset, ms)
		if h.ejections != 0 {
			t.Fatal("ejected although it has answered since the last reset")
		}
		g.serve(2, 0, took)
	}
	for range 2 {
		g.advance(ms)
		g.outcome(g.request(2, time.Second), 0, Reset, ms)
	}
	if h.ejections == 0 {
		t.Error("not ejected after two resets without an answer in between")
	}
}

// A host whose only attempt is lost is ejected as silent. Its trial must not wait for the deadline
// of that attempt, although the limit has room for one attempt only and no later answer shows that
// the first is lost.
func TestTrialIsSentDespiteLostAttempt(t *testing.T) {
	g := startGateway(t, basicSettings(), testHosts(1)...)
	h := g.b.hosts[0]
	took := func(HostID) time.Duration { return 10 * ms }
	g.serve(30, 0, took)
	h.limit = 1
	g.request(2, time.Second)
	g.advance(200 * ms)
	if !g.b.ejected(h) {
		t.Fatal("not ejected")
	}
	h.ejectUntil = g.now + ms
	g.advance(ms)
	trial := g.request(0, time.Second)
	g.onlyAction(Send)
	if !h.trialInFlight || !g.b.ejected(h) {
		t.Error("more than one trial may be sent")
	}
	g.outcome(trial, 0, OK, 10*ms)
	g.advance(ms)
	if g.serve(1, 0, took); h.ejections != 0 {
		t.Error("not readmitted after the answer to the trial")
	}
}
