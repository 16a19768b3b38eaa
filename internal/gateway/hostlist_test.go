package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"bramblelock"
	"bramblelock/internal/gateway/hostlist"
)

// No new request is sent to a host that is draining or gone, or to the old address of one that has
// moved.
func TestListChangesAreApplied(t *testing.T) {
	first, second := newHost(t, answerWith(okAnswer)), newHost(t, answerWith(okAnswer))
	g := startGateway(t, testConfig(first, second))
	member := func(id string, h *testHost, state string) hostlist.Member {
		return hostlist.Member{ID: id, Addr: h.addr(), State: state}
	}
	applyList := func(what string, kind bramblelock.ListKind, want *testHost, list ...hostlist.Member) {
		g.loop.HandleList(kind, hostlist.List{Servers: list})
		a, _, _ := first.counts()
		b, _, _ := second.counts()
		for range 8 {
			if resp, _ := g.request("look", "/api/1", ""); resp.StatusCode != 200 {
				t.Errorf("%s: status %d", what, resp.StatusCode)
			}
		}
		x, _, _ := first.counts()
		y, _, _ := second.counts()
		if x-a > 0 && want != first || y-b > 0 && want != second {
			t.Errorf("%s: %d and %d requests", what, x-a, y-b)
		}
	}
	applyList("draining", bramblelock.ListChanges, second, member("s-0", first, "draining"))
	applyList("an unknown state", bramblelock.ListChanges, first, member("s-1", second, "asleep"), member("s-0", first, "ready"))
	applyList("gone", bramblelock.ListChanges, second, member("s-0", first, "gone"), member("s-1", second, "ready"))
	applyList("absent from a full list", bramblelock.ListFull, first, member("s-0", first, "ready"))
	applyList("moved", bramblelock.ListChanges, second, member("s-0", second, "ready"))
	applyList("gone, then ready", bramblelock.ListChanges, second, member("s-0", second, "gone"), member("s-0", second, "ready"))
	applyList("ready, then gone twice", bramblelock.ListFull, first, member("s-1", first, "ready"),
		member("s-0", second, "ready"), member("s-0", second, "gone"), member("s-0", second, "gone"))
}

// An entry that removes a host may state nothing else. A request that may have run there is still repeated
// only in the zone or cell in which the host was listed.
func TestRemovalKeepsScopeOfRepeats(t *testing.T) {
	for _, tt := range []struct {
		scope bramblelock.DedupScope
		other hostlist.Member
		want  int
	}{
		{bramblelock.DedupZone, hostlist.Member{Zone: "a"}, 1},
		{bramblelock.DedupZone, hostlist.Member{Cell: 1}, 0},
		{bramblelock.DedupCell, hostlist.Member{Cell: 1}, 1},
		{bramblelock.DedupCell, hostlist.Member{Zone: "a"}, 0},
	} {
		var g *testGateway
		other := newHost(t, answerWith(okAnswer))
		tt.other.ID, tt.other.Addr, tt.other.State = "s-1", other.addr(), "ready"
		first := newHost(t, func(c net.Conn, r *http.Request, n int) bool {
			g.loop.HandleList(bramblelock.ListChanges, hostlist.List{Servers: []hostlist.Member{{ID: "s-0", State: "gone"}, tt.other}})
			g.loop.Sync()
			return resetConn(c, r, n)
		})
		cfg := testConfig(first)
		cfg.Known.Servers[0].Zone, cfg.Known.Servers[0].Cell = "a", 1
		cfg.Settings.Classes[2].DedupScope = tt.scope
		g = startGateway(t, cfg)
		resp, _ := g.request("report", "/api/1", "body", "Idempotency-Key", "k")
		if requests, _, _ := other.counts(); requests != tt.want || (resp.StatusCode == 200) != (tt.want > 0) {
			t.Errorf("%+v: status %d, the other host got %d requests:%s", tt, resp.StatusCode, requests, other.describeRequests())
		}
	}
}

// An id must have the same number at every gateway and after a restart, and different ids different
// numbers.
func TestHostIDs(t *testing.T) {
	seen := map[bramblelock.HostID]string{}
	for i := range 1000 {
		id := fmt.Sprintf("s-%08x", i)
		if hostID(id) != hostID(strings.Clone(id)) || seen[hostID(id)] != "" {
			t.Fatalf("%s maps to %x, as does %q", id, hostID(id), seen[hostID(id)])
		}
		seen[hostID(id)] = id
	}
	// The published FNV-1a hash of "a": another build must agree.
	if got := hostID("a"); got != 0xaf63dc4c8601ec8c {
		t.Errorf("%x is not the published hash", got)
	}
}

// A process that shares its listener accepts connections once discovery has sent a list: what it
// knew before may be old.
func TestListedAfterListFromDiscovery(t *testing.T) {
	g := startGateway(t, testConfig(newHost(t, answerWith(okAnswer))))
	listed := func() bool {
		g.loop.Sync()
		select {
		case <-g.loop.Listed():
			return true
		default:
			return false
		}
	}
	g.loop.HandleList(bramblelock.ListFailed, hostlist.List{})
	if listed() {
		t.Error("a saved list, or a failed call, counts as a list from discovery")
	}
	g.loop.HandleList(bramblelock.ListChanges, hostlist.List{})
	g.loop.HandleList(bramblelock.ListChanges, hostlist.List{})
	if !listed() {
		t.Error("a list from discovery does not count")
	}
}

// Two ids may have the same hash, which is the number that the module has for a host. The maintenance
// of one must not take the other out of use, whichever becomes known first.
func TestMaintenanceOfCollidingID(t *testing.T) {
	const listed, other = "8yn0iYCKYHlIj4-BwPqk", "GReLUrM4wMqfg9yzV3KQ"
	if hostID(listed) != hostID(other) {
		t.Fatal("the ids have different hashes")
	}
	known := testConfig(newHost(t, answerWith(okAnswer))).Known
	known.Servers[0].ID = listed
	for _, listFirst := range []bool{true, false} {
		g := startGateway(t, testConfig())
		if listFirst {
			g.loop.HandleList(bramblelock.ListFull, known)
		}
		g.loop.SetMaintenance(other, true)
		g.loop.HandleList(bramblelock.ListFull, known)
		if resp, _ := g.request("look", "/api/1", ""); resp.StatusCode != 200 {
			t.Errorf("list first %t: status %d while the other host is in maintenance", listFirst, resp.StatusCode)
		}
		g.loop.SetMaintenance(listed, true)
		g.loop.SetMaintenance(other, false)
		if resp, _ := g.request("look", "/api/1", ""); resp.StatusCode == 200 {
			t.Errorf("list first %t: the host is in use after the end of the other's maintenance", listFirst)
		}
	}
}
