package gateway

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"bramblelock"
	"bramblelock/internal/gateway/hostlist"
)

// largeList returns a list of n hosts that are ready.
func largeList(n int) hostlist.List {
	var list hostlist.List
	for i := range n {
		list.Servers = append(list.Servers, hostlist.Member{ID: fmt.Sprintf("s-%04d", i), Addr: "127.0.0.1:1", State: "ready"})
	}
	return list
}

// BenchmarkFirstList measures how long the first list of a process keeps the loop, by the number of hosts.
func BenchmarkFirstList(b *testing.B) {
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	for _, hosts := range []int{200, 3200, 10_000} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			cfg, list := testConfig(), largeList(hosts)
			b.ReportAllocs()
			for b.Loop() {
				l, err := NewLoop(cfg, NewPool(cfg), func() {})
				if err != nil {
					b.Fatal(err)
				}
				l.applyList(l.clock.now(), bramblelock.ListFull, list)
			}
		})
	}
}

// Hosts that come and go under new ids do not fill the memory. A host that left not long ago, and one in
// maintenance, stay known to operators' calls.
func TestFormerHostsAreBounded(t *testing.T) {
	const listed, lists = 10, 5
	g := startGateway(t, testConfig())
	g.loop.post(func(bramblelock.Time) { g.loop.formerHosts.limit = listed })
	g.loop.SetMaintenance("in maintenance", true)
	for n := range lists {
		list := largeList(listed)
		for i := range list.Servers {
			list.Servers[i].ID = fmt.Sprint(n, "-", i)
		}
		g.loop.HandleList(bramblelock.ListFull, list)
	}
	for id, want := range map[string]bool{"0-0": false, "3-0": true, "4-0": true, "in maintenance": true} {
		if known := g.loop.hostKnown(id); known != want {
			t.Errorf("host %s is known: %t, want %t", id, known, want)
		}
	}
}

// Zones and kinds with ever new names do not fill the memory. A zone that has hosts, or is in the settings,
// keeps its number, and no other zone ever gets it.
func TestUnusedNamesAreBounded(t *testing.T) {
	cfg := testConfig()
	cfg.Zones["configured"] = 0
	l, err := NewLoop(cfg, NewPool(cfg), func() {})
	if err != nil {
		t.Fatal(err)
	}
	list := largeList(2)
	list.Servers[0].Zone = "in use"
	l.applyList(l.clock.now(), bramblelock.ListFull, list)
	inUse := l.zones.number("in use")
	given := map[int]bool{inUse: true, l.zones.number("configured"): true}
	for n := range 3 * maxUnusedNames {
		list.Servers[1].Zone, list.Servers[1].Kind = fmt.Sprint("zone ", n), fmt.Sprint("kind ", n)
		l.applyList(l.clock.now(), bramblelock.ListFull, list)
		if number := l.hosts[hostID(list.Servers[1].ID)].zone; given[number] {
			t.Fatalf("zone %d has the number %d of another zone", n, number)
		} else {
			given[number] = true
		}
	}
	if zones, kinds := len(l.zones.numbers), len(l.kinds.numbers); max(zones, kinds) > maxUnusedNames+len(cfg.Zones) {
		t.Errorf("%d zones and %d kinds are kept", zones, kinds)
	}
	if l.zones.number("in use") != inUse || l.zones.number("configured") != 0 {
		t.Error("a zone in use or in the settings has another number")
	}
}

// The longest hold of the loop is at the operators' address.
func TestLongestHoldIsReported(t *testing.T) {
	const hold = 30 * time.Millisecond
	g := startGateway(t, testConfig())
	g.loop.post(func(bramblelock.Time) { time.Sleep(hold) })
	g.loop.Sync()
	resp, err := http.Get("http://" + g.startOperator(t.TempDir(), false) + pathLoop)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	var held float64
	if _, scanErr := fmt.Sscanf(strings.TrimSpace(string(body)), `{"longest_hold_ms":%f}`, &held); err != nil || scanErr != nil {
		t.Fatalf("answer %q: %v, %v", body, err, scanErr)
	}
	if held < hold.Seconds()*1000 {
		t.Errorf("longest hold %v ms, want at least %v", held, hold)
	}
}
