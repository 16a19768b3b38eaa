package bramblelock

import (
	"testing"
	"time"
)

func TestDrainingAndRemovedHostsGetNoRequests(t *testing.T) {
	for _, state := range []HostState{Draining, Removed} {
		g := startGateway(t, basicSettings(), testHosts(3)...)
		g.updateHosts(ListChanges, Host{ID: 2, State: state})
		if got := g.serve(50, 0, func(HostID) time.Duration { return ms }); got[2] != 0 {
			t.Errorf("state %d: %d sends", state, got[2])
		}
	}
	g := startGateway(t, basicSettings(), testHosts(3)...)
	g.updateHosts(ListFull, testHosts(2)...) // a host that is not on a whole list is gone
	if got := g.serve(50, 0, func(HostID) time.Duration { return ms }); got[3] != 0 {
		t.Errorf("dropped host: %d sends", got[3])
	}
	g.updateHosts(ListFailed)
	if len(g.b.hosts) != 2 {
		t.Errorf("%d hosts after a failed call, want the 2 of the last list", len(g.b.hosts))
	}
}

func TestRemovedHostIsDroppedOnceIdle(t *testing.T) {
	g := startGateway(t, basicSettings(), testHosts(1)...)
	id := g.request(0, time.Second)
	g.updateHosts(ListChanges, Host{ID: 1, State: Removed})
	if len(g.b.hosts) != 1 {
		t.Fatal("host dropped with an attempt in flight")
	}
	g.outcome(id, 0, OK, ms)
	if len(g.b.hosts) != 0 || len(g.b.byID) != 0 || len(g.b.requests) != 0 {
		t.Error("host or request kept after the last attempt ended")
	}
}
