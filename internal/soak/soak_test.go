package soak

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"bramblelock/internal/faultnet"
	"bramblelock/internal/loopback"
)

// A short soak breaks no rule with either of two seeds. Its load is low, so that a busy machine does
// not delay the processes.
func TestSoakBreaksNoRule(t *testing.T) {
	if testing.Short() {
		t.Skip("starts dozens of processes")
	}
	bin := t.TempDir()
	if _, err := faultnet.Build(bin, "bramblelock/cmd/gateway", "bramblelock/cmd/catalog"); err != nil {
		t.Fatal(err)
	}
	faulty := filepath.Join(bin, FaultyGateway)
	if out, err := exec.Command("go", "build", "-tags", "faultinject", "-o", faulty, "bramblelock/cmd/gateway").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	for _, seed := range []uint64{3, 4} {
		t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) {
			opt := Defaults()
			opt.Bin, opt.Dir, opt.Seed = bin, t.TempDir(), seed
			opt.Length, opt.Gateways, opt.Hosts, opt.Rate, opt.Overlap = 15*time.Second, 6, 6, 60, 2
			r, err := Run(t.Context(), opt)
			if err != nil {
				t.Fatal(err)
			}
			if r.Counts.Served == 0 || r.Counts.Troubles == 0 {
				t.Errorf("the soak exercised nothing: %+v", r.Counts)
			}
			if len(r.Violations) > 0 {
				var text strings.Builder
				r.Print(&text)
				t.Error(text.String())
			}
		})
	}
}

// The judge reports each kind of violation in a ledger, and none where the rules are kept.
func TestSoakJudgeFindsEachBreak(t *testing.T) {
	zero := time.Now().Add(-time.Minute)
	at := func(seconds float64) time.Time { return zero.Add(time.Duration(seconds * float64(time.Second))) }
	look, book, report := &requestClasses[0], &requestClasses[1], &requestClasses[2]
	served := func(class *requestClass, attempts ...attempt) *request {
		return &request{class: class, gateway: "g00", generation: 1, newConn: true, firstByteAt: at(20), sentAt: at(20), endedAt: at(20.1),
			status: http.StatusOK, attempts: attempts}
	}
	attemptAt := func(first float64) attempt {
		return attempt{host: "s-00", firstByteAt: at(first), receivedAt: at(first), timeout: time.Second}
	}
	for _, c := range []struct {
		name, rules string // the broken rules in alphabetical order, separated by spaces
		record      func(l *ledger, req *request)
	}{
		{"no violation", "", func(*ledger, *request) {}},
		{"no answer", "lost", func(_ *ledger, req *request) { req.status, req.err = 0, errors.New("end") }},
		{"no answer, its process was killed", "", func(l *ledger, req *request) {
			req.status = 0
			l.exits = append(l.exits, processExit{gateway: "g00", generation: 1, killAt: at(20.05), endedAt: at(20.1)})
		}},
		{"no answer, overdue before its process was killed", "lost", func(l *ledger, req *request) {
			req.status, req.endedAt = 0, at(23)
			l.exits = append(l.exits, processExit{gateway: "g00", generation: 1, killAt: at(22.9), endedAt: at(23)})
		}},
		{"no answer, its process crashed", "crash", func(l *ledger, req *request) {
			req.status = 0
			l.exits = append(l.exits, processExit{gateway: "g00", generation: 1, endedAt: at(20.1)})
		}},
		{"no answer, overdue before its process crashed", "crash lost", func(l *ledger, req *request) {
			req.status, req.endedAt = 0, at(23)
			l.exits = append(l.exits, processExit{gateway: "g00", generation: 1, endedAt: at(23)})
		}},
		{"no answer, its connection ended before its process crashed", "crash lost", func(l *ledger, req *request) {
			req.status = 0
			l.exits = append(l.exits, processExit{gateway: "g00", generation: 1, endedAt: at(20.5)})
		}},
		{"no answer, its process was terminated", "lost", func(l *ledger, req *request) {
			req.status = 0
			l.exits = append(l.exits, processExit{gateway: "g00", generation: 1, termAt: at(19.9), endedAt: at(21)})
		}},
		{"a late answer", "lost", func(_ *ledger, req *request) { req.endedAt = at(23) }},
		{"executed twice", "duplicate", func(_ *ledger, req *request) {
			req.class, req.attempts = book, append(req.attempts, attemptAt(20.02))
		}},
		{"received twice, rejected once", "", func(_ *ledger, req *request) {
			req.class, req.attempts = book, append(req.attempts, attemptAt(20.02))
			req.attempts[0].rejected = true
		}},
		{"executed again after the idempotency window", "duplicate", func(_ *ledger, req *request) {
			req.class, req.attempts = report, append(req.attempts, attemptAt(20.9))
			req.attempts[1].timeout = 100 * time.Millisecond
		}},
		{"refused after execution", "refusal", func(_ *ledger, req *request) { req.class, req.status = book, http.StatusServiceUnavailable }},
		{"sent after the client closed its connection", "lost", func(_ *ledger, req *request) {
			req.abandonedAt, req.attempts = at(20.1), []attempt{attemptAt(20.5)}
		}},
		{"timeout above the time left", "deadline", func(_ *ledger, req *request) { req.attempts[0].timeout = 2 * time.Second }},
		{"sent to a draining host", "drain", func(l *ledger, _ *request) {
			l.drains = append(l.drains, hostDrain{host: "s-00", ackedAt: at(17)})
		}},
		{"sent to a draining host, discovery was unreachable", "", func(l *ledger, _ *request) {
			l.drains = append(l.drains, hostDrain{host: "s-00", ackedAt: at(17)})
			l.outages = append(l.outages, outage{span: span{at(15), at(18)}})
		}},
		{"sent to a draining host, an outage began within the usual delay", "", func(l *ledger, _ *request) {
			l.drains = append(l.drains, hostDrain{host: "s-00", ackedAt: at(17)})
			l.outages = append(l.outages, outage{span: span{at(17.5), at(19)}})
		}},
		{"sent to a draining host, an outage began later", "drain", func(l *ledger, _ *request) {
			l.drains = append(l.drains, hostDrain{host: "s-00", ackedAt: at(17)})
			l.outages = append(l.outages, outage{span: span{at(18.5), at(19)}})
		}},
		{"sent to a draining host, separate outages do not add up", "drain", func(l *ledger, req *request) {
			l.drains = append(l.drains, hostDrain{host: "s-00", ackedAt: at(8)})
			l.outages = append(l.outages, outage{span: span{at(7), at(9)}}, outage{span: span{at(14), at(16)}})
		}},
		{"sent to a draining host, discovery was slow", "", func(l *ledger, _ *request) {
			l.drains = append(l.drains, hostDrain{host: "s-00", ackedAt: at(15)})
			l.outages = append(l.outages, outage{span: span{at(14), at(25)}, reachable: true})
		}},
		{"sent to a draining host, discovery was slow for long", "drain", func(l *ledger, _ *request) {
			l.drains = append(l.drains, hostDrain{host: "s-00", ackedAt: at(12)})
			l.outages = append(l.outages, outage{span: span{at(11), at(25)}, reachable: true})
		}},
		{"sent to a draining host by a new process", "", func(l *ledger, _ *request) {
			l.drains = append(l.drains, hostDrain{host: "s-00", ackedAt: at(17)})
			l.exits = append(l.exits, processExit{gateway: "g00", generation: 0, killAt: at(16), endedAt: at(16)})
		}},
		{"sent to a draining host, another gateway has a new process", "drain", func(l *ledger, _ *request) {
			l.drains = append(l.drains, hostDrain{host: "s-00", ackedAt: at(17)})
			l.exits = append(l.exits, processExit{gateway: "g01", generation: 0, killAt: at(16), endedAt: at(16)})
		}},
		{"crossed a close and was sent again", "", func(l *ledger, req *request) {
			req.status, req.newConn, req.attempts, l.resent[req.id] = 0, false, nil, true
		}},
		{"crossed a close and was not sent again", "lost", func(l *ledger, req *request) {
			req.status, req.newConn, req.attempts = 0, false, nil
		}},
		{"received by a host, no answer, sent again", "lost", func(l *ledger, req *request) {
			req.status, req.newConn, l.resent[req.id] = 0, false, true
		}},
		{"received by a host after SIGTERM, no answer", "lost", func(l *ledger, req *request) {
			req.status, req.newConn = 0, false
			l.exits = append(l.exits, processExit{gateway: "g00", generation: 1, termAt: at(17), endedAt: at(20.5)})
		}},
		{"connection closed unread", "lost", func(l *ledger, req *request) { req.status, req.attempts = 0, nil }},
		{"connection closed unread in a connection flood", "", func(l *ledger, req *request) {
			req.status, req.attempts = 0, nil
			l.connFloods = append(l.connFloods, connFlood{span: span{at(19), at(22)}, gateway: "g00"})
		}},
		{"received by a host in a connection flood, no answer", "lost", func(l *ledger, req *request) {
			req.status = 0
			l.connFloods = append(l.connFloods, connFlood{span: span{at(19), at(22)}, gateway: "g00"})
		}},
		{"a bad client whose connection is kept", "bad clients", func(l *ledger, _ *request) {
			l.badClients = append(l.badClients, badClient{kind: "nothing", gateway: "g00", generation: 1, sentAt: at(10)})
		}},
		{"a crash", "crash", func(l *ledger, _ *request) {
			l.exits = append(l.exits, processExit{gateway: "g00", generation: 1, endedAt: at(30), exitCode: 2})
		}},
		{"an audit counter above zero", "audit", func(l *ledger, _ *request) {
			log := filepath.Join(t.TempDir(), "g00.1.log")
			os.WriteFile(log, []byte("msg=stopped sent_after_notification=0 timeouts_over_left=2\n"), 0o600)
			l.exits = append(l.exits, processExit{gateway: "g00", generation: 1, termAt: at(30), endedAt: at(31), logPath: log})
		}},
		{"a broken rule in the log of a process that was killed", "audit", func(l *ledger, _ *request) {
			log := filepath.Join(t.TempDir(), "g00.1.log")
			os.WriteFile(log, []byte("level=ERROR msg=\"rule broken: sent after notification\" id=x host=s-00\n"), 0o600)
			l.exits = append(l.exits, processExit{gateway: "g00", generation: 1, killAt: at(30), endedAt: at(30), logPath: log})
		}},
		{"a process that does not start", "start", func(l *ledger, _ *request) {
			l.startFailures = append(l.startFailures, "g05 (process 2) is not ready")
		}},
		{"no exit in time", "end", func(l *ledger, _ *request) {
			l.exits = append(l.exits, processExit{gateway: "g00", generation: 1, termAt: at(30), killAt: at(34), endedAt: at(34)})
		}},
		{"a long answer cut off by its gateway", "lost", func(_ *ledger, req *request) {
			req.status, req.longAnswer, req.attempts[0].longAnswer = http.StatusBadGateway, true, &longAnswer{begun: true, endedAt: at(20.2), closedBy: endedByGateway}
		}},
		{"a long answer whose first byte came late", "lost", func(_ *ledger, req *request) {
			req.longAnswer, req.answeredAt = true, at(23)
		}},
		{"a long answer that takes longer than its deadline", "", func(_ *ledger, req *request) {
			req.longAnswer, req.answeredAt, req.endedAt = true, at(20.1), at(25)
		}},
		{"a long answer broken by its host", "", func(_ *ledger, req *request) {
			req.status, req.longAnswer, req.attempts[0].longAnswer = 0, true, &longAnswer{begun: true, endedAt: at(20.2), closedBy: endedByHost}
		}},
		{"a long answer cut off by a process that exits", "lost", func(l *ledger, req *request) {
			req.status, req.longAnswer, req.attempts[0].longAnswer = 0, true, &longAnswer{begun: true, endedAt: at(24), closedBy: endedByGateway}
			l.exits = append(l.exits, processExit{gateway: "g00", generation: 1, termAt: at(20.05), endedAt: at(23.7)})
		}},
		{"a long answer cut off by a SIGKILL", "", func(l *ledger, req *request) {
			req.status, req.longAnswer, req.attempts[0].longAnswer = 0, true, &longAnswer{begun: true, endedAt: at(24), closedBy: endedByGateway}
			req.endedAt = at(23.75)
			l.exits = append(l.exits, processExit{gateway: "g00", generation: 1, termAt: at(20.05), killAt: at(23.75), endedAt: at(23.75)})
		}},
		{"a starting host above its budget", "failback", func(l *ledger, _ *request) {
			l.hostStarts = append(l.hostStarts, hostStart{host: "s-00", ackedAt: at(17)})
			for range 200 {
				l.requests["x"].attempts = append(l.requests["x"].attempts, attemptAt(20))
			}
		}},
		{"a request that no client sent", "duplicate", func(l *ledger, _ *request) {
			l.requests["y"], l.order = &request{id: "y", attempts: []attempt{attemptAt(20)}}, append(l.order, "y")
		}},
	} {
		s := &soak{dir: t.TempDir(), loadStart: zero, ledger: newLedger(), gateways: []*gateway{{name: "g00"}}}
		req := served(look, attemptAt(20.01))
		req.id = "x"
		s.ledger.addRequest(req)
		c.record(s.ledger, req)
		r := &Report{}
		s.judge(r)
		rules := map[string]bool{}
		for _, v := range r.Violations {
			rules[string(v.Rule)] = true
		}
		if found := strings.Join(slices.Sorted(maps.Keys(rules)), " "); found != c.rules {
			t.Errorf("%s: the judge found violations of %q, want %q", c.name, found, c.rules)
		}
	}
}

// startScript starts a shell script as the process of a gateway of a soak that has no other parts. The
// script file is named gateway and is in the folder s.opt.Bin.
func startScript(t *testing.T, script string) *gateway {
	t.Helper()
	bin := t.TempDir()
	if err := os.WriteFile(filepath.Join(bin, "gateway"), []byte("#!/bin/sh\n"+script+"\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	s := &soak{opt: Options{Bin: bin}, dir: t.TempDir(), netPrefix: "127.63.", starter: loopback.NewStarter(),
		startLimit: 100 * time.Millisecond, ctx: t.Context(), ledger: newLedger(), catalogs: &catalogs{}, hosts: []*host{{}},
		loadStart: time.Now(), planRand: rand.New(rand.NewPCG(1, 1))}
	g := newGateway(s, 0)
	s.gateways = []*gateway{g}
	t.Cleanup(func() { s.close(); s.starter.End() })
	if err := g.startProcess(); err != nil {
		t.Fatal(err)
	}
	return g
}

// The record of a process that crashes has the time of the crash, not that at which the soak ends the process.
func TestCrashIsRecordedAtItsTime(t *testing.T) {
	g := startScript(t, "exit 3")
	for ended := false; !ended; ended, _ = g.proc.Exited() {
		time.Sleep(time.Millisecond)
	}
	seenAt := time.Now()
	time.Sleep(judgeSlack)
	g.terminate()
	if exit := g.s.ledger.exits[0]; exit.endedAt.Sub(seenAt) >= judgeSlack || exit.exitCode != 3 {
		t.Errorf("recorded %v after the crash, with code %d", exit.endedAt.Sub(seenAt), exit.exitCode)
	}
}

// failedStarts are the ways in which a start of a process fails, with the end of the report.
var failedStarts = []struct {
	name    string
	spoil   func(*gateway)
	wantEnd string
}{
	{"not ready", func(*gateway) {}, "<nil>"},
	{"cannot be started", func(g *gateway) { g.s.opt.Bin = "" }, "executable file not found in $PATH"},
}

// A process that a disruption starts and that does not become ready, or cannot be started, is reported.
func TestFailedRestartIsReported(t *testing.T) {
	for _, c := range failedStarts {
		g := startScript(t, "exec sleep 60")
		c.spoil(g)
		var kill disruption
		for kill.name != "kill" {
			kill = g.s.drawDisruption()
		}
		kill.run(&kill)
		if failures := g.s.ledger.startFailures; len(failures) != 1 || !strings.HasSuffix(failures[0], c.wantEnd) {
			t.Errorf("%s: reported %q", c.name, failures)
		}
	}
}

// After a failed upgrade the old process is the present one again and its end is judged, and so is that of
// the new process if it was started.
func TestFailedUpgradeKeepsOldProcess(t *testing.T) {
	for _, c := range failedStarts {
		g := startScript(t, "exec sleep 60")
		old := g.proc
		old.readyAt = time.Now()
		c.spoil(g)
		g.upgrade()
		if exited, _ := old.Exited(); exited || g.proc != old {
			t.Errorf("%s: the old process exited (%t) or is not the present one", c.name, exited)
		}
		g.terminate()
		generations := map[int]bool{}
		for _, exit := range g.s.ledger.exits {
			generations[exit.generation] = true
		}
		if started := c.wantEnd == "<nil>"; !generations[1] || generations[2] != started || len(g.s.ledger.startFailures) != 1 {
			t.Errorf("%s: exits of processes %v, reported %q", c.name, generations, g.s.ledger.startFailures)
		}
	}
}
