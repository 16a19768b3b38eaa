package fleetlab

import (
	"os"
	"strings"
	"sync"
	"testing"

	"lynxspool/internal/faultnet"
)

var binaries struct {
	once sync.Once
	dir  string
	err  error
}

func TestMain(m *testing.M) {
	code := m.Run()
	if binaries.dir != "" {
		os.RemoveAll(binaries.dir)
	}
	os.Exit(code)
}

// runReal plays a scenario with real processes, built once without the race detector.
func runReal(t *testing.T, s *Scenario) *Result {
	t.Helper()
	bin := buildBinaries(t)
	r, err := Real(t.Context(), s, RealOptions{Bin: bin, Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("ready %+v, catalogs %+v, connections %+v, falls %+v, requests %+v", r.Ready, r.Catalogs, r.Conns, r.Falls, r.Requests)
	return r
}

// buildBinaries builds gateway and catalog once, without the race detector, and names their folder.
func buildBinaries(t *testing.T) string {
	t.Helper()
	if testing.Short() {
		t.Skip("starts a hundred processes")
	}
	binaries.once.Do(func() {
		if binaries.dir, binaries.err = os.MkdirTemp("", "fleetlab-bin"); binaries.err != nil {
			return
		}
		_, binaries.err = faultnet.Build(binaries.dir, "lynxspool/cmd/dunemoor", "lynxspool/cmd/catalog")
	})
	if binaries.err != nil {
		t.Fatal(binaries.err)
	}
	return binaries.dir
}

// 100 real gateways and 20 hosts start cold in the same moment, under load from the first
// second: each becomes ready by one call, none turned away, no host pushed over, and half
// of what the oracle serves is served. The bounds count; they time nothing.
func TestRealColdStart(t *testing.T) {
	s := loadScenario(t, "start-cold", 1)
	s.Gateways.Count, s.Gateways.Configured, s.Hosts[0].Count, s.Load.Rate = 100, 100, 20, 300
	s.Length /= 2
	r, o := runReal(t, s), Oracle(s)
	if r.Ready.Starts != 100 || r.Ready.Never > 0 || r.Catalogs[0].Calls > 120 || r.Conns.TurnedAway > 0 || r.Falls.Hosts > 0 {
		t.Error("want 100 ready, 120 calls at most, none turned away, no host fallen")
	}
	if r.Requests.Served < o.Requests.Served/2 {
		t.Errorf("%d served, the oracle serves %d", r.Requests.Served, o.Requests.Served)
	}
}

// Seven in ten of 100 real gateways are killed under load and start again: all become
// ready, no host falls, and nine in ten of what reaches a live gateway is served in time.
func TestRealRestartStorm(t *testing.T) {
	s := loadScenario(t, "restart-storm", 1)
	s.Gateways.Count, s.Gateways.Configured, s.Hosts[0].Count, s.Load.Rate = 100, 100, 60, 300
	s.Length /= 2
	s.Faults = s.Faults[:1]
	s.Faults[0].Start /= 2
	r := runReal(t, s)
	if r.Ready.Starts != 170 || r.Ready.Never > 0 || r.Falls.Hosts > 0 || r.Conns.TurnedAway > 0 {
		t.Error("want 170 starts to end ready, no host fallen, none turned away")
	}
	if r.Requests.ServedPart < 0.9 {
		t.Errorf("%.2f of what reached a live gateway was served in time", r.Requests.ServedPart)
	}
}

// What no machine has is refused before anything starts, and so is a fault that only the
// virtual engine can make.
func TestRealRejectsWhatItCannotRun(t *testing.T) {
	s := loadScenario(t, "start-warm", 1)
	s.Gateways.Count = 10_000
	if err := s.preflight(); err == nil || !strings.Contains(err.Error(), "too large for this machine") {
		t.Errorf("10,000 gateways: %v", err)
	}
	s = parse(t, allFaultsScenario)
	if err := s.preflight(); err == nil || !strings.Contains(err.Error(), "virtual engine") {
		t.Errorf("a fault of links: %v", err)
	}
}

// No list service at all, and one in ten of 60 gateways has a list from before: through
// their peers all become ready and serve, with not one call answered.
func TestRealStartThroughPeers(t *testing.T) {
	s := loadScenario(t, "start-peers", 1)
	s.Gateways.Count, s.Gateways.Configured, s.Hosts[0].Count, s.Load.Rate = 60, 60, 20, 120
	s.Length = s.Length / 5 * 3
	s.Faults[0].Length = 0 // it stays
	r := runReal(t, s)
	if r.Ready.Starts != 60 || r.Ready.Never > 0 || r.Catalogs[0].Bytes > 0 {
		t.Errorf("%d of 60 ready; the catalog answered %d bytes", r.Ready.Starts, r.Catalogs[0].Bytes)
	}
	if r.Requests.Served < r.Requests.Sent/2 {
		t.Errorf("%d of %d served", r.Requests.Served, r.Requests.Sent)
	}
}

// Two fifths of 100 ranks are not there, in a run, and traffic is skewed: with membership no
// host is left under a third of the mean, and each gateway's place says who is there.
func TestRealSpreadWithAbsentRanks(t *testing.T) {
	s := loadScenario(t, "spread-view", 1)
	s.Gateways.Count, s.Gateways.Configured, s.Gateways.AbsentShare, s.Gateways.AbsentSelection = 100, 100, 0.4, "run"
	s.Hosts[0].Count, s.Load.Rate, s.Length, s.MeasureFrom = 40, 200, s.Length/2, s.MeasureFrom/2
	r := runReal(t, s)
	t.Logf("spread %+v", r.Spread)
	if r.Ready.Starts != 60 || r.Requests.ServedPart < 0.9 {
		t.Errorf("%d of 60 ready, %.2f served in time", r.Ready.Starts, r.Requests.ServedPart)
	}
	if float64(r.Spread.Min) < r.Spread.Mean/3 || r.Spread.MaxMean > 2 {
		t.Errorf("a host got %d, the most %.2f times the mean of %.0f", r.Spread.Min, r.Spread.MaxMean, r.Spread.Mean)
	}
}
