package fleetlab

import (
	"context"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"bramblelock/internal/faultnet"
	"bramblelock/internal/loopback"
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

// runReal runs a scenario with real processes and logs its figures.
func runReal(t *testing.T, s *Scenario) *Result {
	t.Helper()
	bin := buildBinaries(t)
	r, err := Real(t.Context(), s, RealOptions{Bin: bin, Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("ready %+v, catalogs %+v, connections %+v, falls %+v, requests %+v", r.Ready, r.Catalogs, r.Conns, r.OverloadFailures, r.Requests)
	return r
}

// buildBinaries builds the gateway and the catalog once, without the race detector, and returns their
// directory.
func buildBinaries(t *testing.T) string {
	t.Helper()
	if testing.Short() {
		t.Skip("starts about a hundred processes")
	}
	binaries.once.Do(func() {
		if binaries.dir, binaries.err = os.MkdirTemp("", "fleetlab-bin"); binaries.err != nil {
			return
		}
		_, binaries.err = faultnet.Build(binaries.dir, "bramblelock/cmd/gateway", "bramblelock/cmd/catalog")
	})
	if binaries.err != nil {
		t.Fatal(binaries.err)
	}
	return binaries.dir
}

// 100 real gateways and 20 hosts start cold at the same time, under load from the first second. Each gateway
// becomes ready with about one call, no connection is rejected, no host fails by overload, and half as many
// requests are served as by the oracle. The bounds are on counts and not on times.
func TestRealColdStart(t *testing.T) {
	s := loadScenario(t, "start-cold", 1)
	s.Gateways.Count, s.Gateways.Configured, s.Hosts[0].Count, s.Load.Rate = 100, 100, 20, 300
	s.Length /= 2
	r, o := runReal(t, s), Oracle(s)
	if r.Ready.Starts != 100 || r.Ready.Never > 0 || r.Catalogs[0].Calls > 120 || r.Conns.TurnedAway > 0 || r.OverloadFailures.Hosts > 0 {
		t.Error("want 100 ready gateways, at most 120 calls, no rejected connection and no failed host")
	}
	if r.Requests.Served < o.Requests.Served/2 {
		t.Errorf("%d requests served, the oracle serves %d", r.Requests.Served, o.Requests.Served)
	}
}

// Of 100 real gateways, 70 % are killed under load and restart. All become ready, no host fails by overload,
// and 90 % of the requests that reach a live gateway are served in time.
func TestRealRestartStorm(t *testing.T) {
	s := loadScenario(t, "restart-storm", 1)
	s.Gateways.Count, s.Gateways.Configured, s.Hosts[0].Count, s.Load.Rate = 100, 100, 60, 300
	s.Length /= 2
	s.Faults = s.Faults[:1]
	s.Faults[0].Start /= 2
	r := runReal(t, s)
	if r.Ready.Starts != 170 || r.Ready.Never > 0 || r.OverloadFailures.Hosts > 0 || r.Conns.TurnedAway > 0 {
		t.Error("want 170 starts that became ready, no failed host and no rejected connection")
	}
	if r.Requests.ServedPart < 0.9 {
		t.Errorf("%.2f of the requests that reached a live gateway were served in time, want at least 0.9", r.Requests.ServedPart)
	}
}

// A scenario that is too large for any machine, or has a fault that only the virtual engine supports, is
// rejected before a process starts.
func TestRealRejectsWhatItCannotRun(t *testing.T) {
	s := loadScenario(t, "start-warm", 1)
	s.Gateways.Count = 10_000
	if err := s.preflight(); err == nil || !strings.Contains(err.Error(), "too large for this machine") {
		t.Errorf("10,000 gateways: got %v", err)
	}
	s = parse(t, allFaultsScenario)
	if err := s.preflight(); err == nil || !strings.Contains(err.Error(), "virtual engine") {
		t.Errorf("a fault of links: got %v", err)
	}
}

// There is no list service, and one in ten of 60 gateways has a saved list. All become ready through their
// peers and serve requests, without an answer to any call.
func TestRealStartThroughPeers(t *testing.T) {
	s := loadScenario(t, "start-peers", 1)
	s.Gateways.Count, s.Gateways.Configured, s.Hosts[0].Count, s.Load.Rate = 60, 60, 20, 120
	s.Length = s.Length / 5 * 3
	s.Faults[0].Length = 0 // the fault stays
	r := runReal(t, s)
	if r.Ready.Starts != 60 || r.Ready.Never > 0 || r.Catalogs[0].Bytes > 0 {
		t.Errorf("%d of 60 gateways ready; the catalog answered %d bytes", r.Ready.Starts, r.Catalogs[0].Bytes)
	}
	if r.Requests.Served < r.Requests.Sent/2 {
		t.Errorf("%d of %d requests served", r.Requests.Served, r.Requests.Sent)
	}
}

// Of 100 ranks a run of 40 % is absent, and the traffic is uneven. With membership, no host gets less than a
// third of the mean, because every gateway selects its hosts by its position among the present ranks.
func TestRealSpreadWithAbsentRanks(t *testing.T) {
	s := loadScenario(t, "spread-view", 1)
	s.Gateways.Count, s.Gateways.Configured, s.Gateways.AbsentShare, s.Gateways.AbsentSelection = 100, 100, 0.4, "run"
	s.Hosts[0].Count, s.Load.Rate, s.Length, s.MeasureFrom = 40, 200, s.Length/2, s.MeasureFrom/2
	r := runReal(t, s)
	t.Logf("spread %+v", r.Spread)
	if r.Ready.Starts != 60 || r.Requests.ServedPart < 0.9 {
		t.Errorf("%d of 60 gateways ready, %.2f of the requests served in time", r.Ready.Starts, r.Requests.ServedPart)
	}
	if float64(r.Spread.Min) < r.Spread.Mean/3 || r.Spread.MaxMean > 2 {
		t.Errorf("the least loaded host got %d requests, the most loaded %.2f times the mean of %.0f", r.Spread.Min, r.Spread.MaxMean, r.Spread.Mean)
	}
}

// newScriptedRun returns a run without hosts and catalogs whose gateway processes run a shell script.
func newScriptedRun(t *testing.T, script string) *realRun {
	t.Helper()
	bin := t.TempDir()
	if err := os.WriteFile(filepath.Join(bin, "gateway"), []byte("#!/bin/sh\n"+script+"\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	s := parse(t, smallScenario)
	return &realRun{scenario: s, options: RealOptions{Bin: bin, Progress: io.Discard}, dir: t.TempDir(), ctx: t.Context(), startedAt: time.Now(),
		recorder: NewRecorder(s), edge: newEdgeBalancer(s)}
}

// observedStarter is a starter that calls a function before each start.
type observedStarter struct {
	*loopback.Starter
	beforeStart func()
}

func (s observedStarter) Start(dir, name, bin string, args []string, env ...string) (*faultnet.Proc, time.Time, error) {
	s.beforeStart()
	return s.Starter.Start(dir, name, bin, args, env...)
}

// A restart without a length starts the new process only when the old one has exited, and so always starts
// one. Twenty restarts, as the old process may exit in time by chance.
func TestRealRestartAtOnce(t *testing.T) {
	run := newScriptedRun(t, "exec sleep 60")
	var old *faultnet.Proc
	run.starter = observedStarter{loopback.NewStarter(), func() {
		if old == nil {
			return
		}
		if exited, _ := old.Exited(); !exited {
			t.Error("the new process is started beside the old one")
		}
	}}
	defer run.starter.End()
	g := &realGateway{run: run, addr: "127.0.0.1:1"}
	defer g.kill()
	g.start()
	for range 20 {
		old = presentProcess(g)
		run.applyGatewayFault(&Fault{Action: "restart"}, g)
	}
	presentProcess(g)
}

// A start whose time comes while the run ends starts nothing.
func TestRealStartsNothingAfterItsEnd(t *testing.T) {
	run := newScriptedRun(t, "exec sleep 60")
	run.starter = observedStarter{loopback.NewStarter(), func() { t.Error("a process is started after the end of the run") }}
	defer run.starter.End()
	ctx, cancel := context.WithCancel(run.ctx)
	cancel()
	run.ctx = ctx
	g, c := &realGateway{run: run}, &realCatalog{run: run}
	defer g.kill()
	defer c.kill()
	g.start()
	c.start()
}

// presentProcess returns the process of a gateway, which has one.
func presentProcess(g *realGateway) (present *faultnet.Proc) {
	for present == nil {
		g.withProcess(func(p *faultnet.Proc) { present = p })
	}
	return present
}

// Faults that make catalogs busy at the same time share one server, which close finds.
func TestRealBusyServerIsShared(t *testing.T) {
	run := newScriptedRun(t, "")
	addrs := make(chan string, 2)
	for range cap(addrs) {
		go func() { addrs <- run.busyAddr() }()
	}
	first, second := <-addrs, <-addrs
	run.close()
	if _, err := net.Dial("tcp", first); first != second || err == nil {
		t.Errorf("servers at %s and %s; connect after close: %v", first, second, err)
	}
}

// A fault of all gateways restarts those that run, and does not start those that the scenario says never
// start.
func TestRealRestartLeavesAbsentGateways(t *testing.T) {
	s := loadScenario(t, "start-warm", 1)
	s.Gateways.Count, s.Gateways.Configured, s.Gateways.AbsentShare, s.Gateways.StartSpread = 8, 8, 0.5, 0
	s.Hosts = s.Hosts[:1]
	s.Hosts[0].Count, s.Load.Rate, s.Length = 4, 20, Duration(8*time.Second)
	s.Faults = []Fault{{Start: Duration(3 * time.Second), Length: Duration(500 * time.Millisecond), Target: TargetGateways, Action: FaultRestart}}
	if r := runReal(t, s); r.Ready.Starts != 8 || r.Ready.Never != 0 || r.GatewayUsage.Gateways != 4 {
		t.Errorf("%+v, %+v; want 4 gateways that were started twice each", r.Ready, r.GatewayUsage)
	}
}
