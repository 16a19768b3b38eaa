package bramblelock

import (
	"testing"
	"time"
)

// A host in maintenance gets no requests, whatever the list says of it and whether or not it was
// listed when maintenance began. Ending maintenance once is enough, even if it was begun twice.
func TestHostInMaintenanceGetsNoRequests(t *testing.T) {
	g := startGateway(t, basicSettings(), testHosts(2)...)
	setMaintenance := func(id HostID, on bool) {
		g.b.SetMaintenance(g.now, id, on)
		g.collectActions()
	}
	serve := func() map[HostID]int { return g.serve(100, 0, func(HostID) time.Duration { return 10 * ms }) }
	setMaintenance(1, true)
	setMaintenance(1, true)
	setMaintenance(3, true) // not listed yet
	if got := serve(); got[1] != 0 || got[2] != 100 {
		t.Errorf("requests by host %v, want all 100 at host 2", got)
	}
	g.updateHosts(ListChanges, Host{ID: 1, State: Removed})
	g.updateHosts(ListFull, testHosts(3)...)
	if got := serve(); got[1] != 0 || got[3] != 0 {
		t.Errorf("requests by host %v once listed again, want none at hosts 1 and 3", got)
	}
	setMaintenance(1, false)
	g.advance(basicSettings().WarmAfter)
	if got := serve(); got[1] == 0 || got[3] != 0 {
		t.Errorf("requests by host %v after the maintenance of host 1, want some there and none at host 3", got)
	}
}

// Requests that are queued while the only host is in maintenance are sent when its maintenance
// ends.
func TestMaintenanceEndServesQueue(t *testing.T) {
	set := basicSettings()
	set.ColdCapacity = 1 // no pacing
	g := startGateway(t, set, testHosts(1)...)
	g.b.SetMaintenance(g.now, 1, true)
	g.request(0, time.Second)
	if len(g.actions) != 0 {
		t.Fatalf("actions %v, want the request to be queued", g.actions)
	}
	g.b.SetMaintenance(g.now, 1, false)
	g.collectActions()
	g.onlyAction(Send)
}

// A host back from maintenance has been restarted: it is cold, its estimate and ejections are
// reset, and the outcome of an attempt sent before is ignored.
func TestMaintenanceEndResetsHost(t *testing.T) {
	g := startGateway(t, basicSettings(), testHosts(3)...)
	g.serve(600, 0, func(HostID) time.Duration { return 10 * ms })
	stale := g.sendTo(3, 10*ms)
	h := g.b.byID[3]
	g.b.eject(h, "connections fail")
	g.b.SetMaintenance(g.now, 3, true)
	g.advance(100 * ms)
	g.b.SetMaintenance(g.now, 3, false)
	g.collectActions()
	g.outcome(stale, 0, Failed, time.Second)
	if h.ejections != 0 || h.sampled || !h.cold || h.coldSince != g.now {
		t.Errorf("ejections %d, sampled %v, cold %v since %v; want a new host, cold since %v", h.ejections, h.sampled,
			h.cold, h.coldSince, g.now)
	}
	// The list may report the start, which was before the end of maintenance. The host has had no
	// requests since, so it counts as cold from the end of maintenance.
	entry := testHosts(3)[2]
	entry.Started = g.now - 50*ms
	coldSince := h.coldSince
	g.updateHosts(ListChanges, entry)
	if h.coldSince != coldSince {
		t.Errorf("cold since %v, want %v", h.coldSince, coldSince)
	}
	got := g.serve(200, 0, func(HostID) time.Duration { return 10 * ms }) // 2 s
	if got[3] == 0 || got[3] > 100 {
		t.Errorf("requests by host %v in the first 2 s, want 1 to 100 at host 3", got)
	}
}

// An instance without samples paces cold hosts at the lowest rate. A host back from maintenance
// must all the same be in use again within 5 s.
func TestHostBackFromMaintenanceIsUsedSoon(t *testing.T) {
	set := basicSettings()
	set.Instances, set.OverloadWindow = 8, 2*time.Second
	g := startGateway(t, set, testHosts(2)...)
	g.b.SetMaintenance(g.now, 1, true)
	g.b.SetMaintenance(g.now, 1, false)
	g.collectActions()
	if wait := g.b.byID[1].coldDeadline - g.now; wait <= 0 || wait > 4*time.Second {
		t.Errorf("the first send to the host is due in %v, want it above 0 and within 4 s", wait)
	}
}

// A host whose maintenance ended while another process of this instance served is cold since then,
// whether or not it is listed yet, unless WarmAfter has passed.
func TestMaintenanceEndedMarksHostCold(t *testing.T) {
	g := startGateway(t, basicSettings(), testHosts(1)...)
	since := g.now - time.Second
	g.b.MaintenanceEnded(g.now, 1, since)
	g.b.MaintenanceEnded(g.now, 2, since)
	g.b.MaintenanceEnded(g.now, 3, g.now-time.Hour)
	g.updateHosts(ListFull, testHosts(3)...)
	g.updateHosts(ListFull, testHosts(3)...)
	for id, want := range map[HostID]bool{1: true, 2: true, 3: false} {
		if h := g.b.byID[id]; h.cold != want || want && h.coldSince != since {
			t.Errorf("host %d: cold %v since %v, want %v since %v", id, h.cold, h.coldSince, want, since)
		}
	}
}

// The end of a maintenance is kept only while it can make a host cold: hosts come and go for as long
// as the process runs. A host that is listed within that time is cold.
func TestEndsOfMaintenanceAreForgotten(t *testing.T) {
	set := basicSettings()
	g := startGateway(t, set, testHosts(1)...)
	const last = HostID(1000)
	for id := HostID(2); id <= last; id++ {
		g.b.SetMaintenance(g.now, id, true)
		g.b.SetMaintenance(g.now, id, false)
		g.b.MaintenanceEnded(g.now, id+last, g.now)
		g.advance(set.WarmAfter / 5)
	}
	if n := len(g.b.returnedAt); n > 10 {
		t.Errorf("%d ends of maintenance kept, want at most 2 for each of the last 5 hosts", n)
	}
	g.updateHosts(ListChanges, Host{ID: last})
	if !g.b.byID[last].cold {
		t.Error("a host listed soon after the end of its maintenance is not cold")
	}
}
