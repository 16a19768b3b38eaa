package fleetlab

import (
	"errors"
	"fmt"
	"maps"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// A short soak of two seeds breaks no rule. Its load is low, so that a busy machine does not make
// anybody late.
func TestSoakBreaksNoRule(t *testing.T) {
	bin := realBinaries(t)
	faulty := filepath.Join(bin, FaultyGateway)
	if out, err := exec.Command("go", "build", "-tags", "faultinject", "-o", faulty, "lynxspool/cmd/dunemoor").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	defer os.Remove(faulty)
	for _, seed := range []uint64{3, 4} {
		t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) {
			opt := SoakDefaults()
			opt.Bin, opt.Dir, opt.Seed = bin, t.TempDir(), seed
			opt.Length, opt.Gateways, opt.Servers, opt.Rate, opt.Overlap = 15*time.Second, 6, 6, 60, 2
			r, err := Soak(t.Context(), opt)
			if err != nil {
				t.Fatal(err)
			}
			if r.Counts.Served == 0 || r.Counts.Troubles == 0 {
				t.Errorf("the soak has exercised nothing: %+v", r.Counts)
			}
			if len(r.Violations) > 0 {
				var text strings.Builder
				r.Print(&text)
				t.Error(text.String())
			}
		})
	}
}

// The judge finds each break in what was noted, and none in what is in order.
func TestSoakJudgeFindsEachBreak(t *testing.T) {
	zero := time.Now().Add(-time.Minute)
	at := func(seconds float64) time.Time { return zero.Add(time.Duration(seconds * float64(time.Second))) }
	look, book, report := &soakClasses[0], &soakClasses[1], &soakClasses[2]
	served := func(class *soakClass, runs ...soakRun) *soakOp {
		return &soakOp{class: class, gateway: "g00", life: 1, fresh: true, began: at(20), whole: at(20), ended: at(20.1),
			status: http.StatusOK, runs: runs}
	}
	run := func(first float64) soakRun {
		return soakRun{server: "s-00", first: at(first), whole: at(first), told: time.Second}
	}
	for _, c := range []struct {
		name, rule string
		note       func(l *ledger, op *soakOp)
	}{
		{"in order", "", func(*ledger, *soakOp) {}},
		{"no answer", "lost", func(_ *ledger, op *soakOp) { op.status, op.err = 0, errors.New("end") }},
		{"no answer, its process was killed", "", func(l *ledger, op *soakOp) {
			op.status = 0
			l.deaths = append(l.deaths, death{gateway: "g00", life: 1, kill: at(20.05), ended: at(20.1)})
		}},
		{"no answer, its process ended in order", "lost", func(l *ledger, op *soakOp) {
			op.status = 0
			l.deaths = append(l.deaths, death{gateway: "g00", life: 1, term: at(19.9), ended: at(21)})
		}},
		{"a late answer", "lost", func(_ *ledger, op *soakOp) { op.ended = at(23) }},
		{"run twice", "duplicate", func(_ *ledger, op *soakOp) { op.class, op.runs = book, append(op.runs, run(20.02)) }},
		{"run twice, turned away once", "", func(_ *ledger, op *soakOp) {
			op.class, op.runs = book, append(op.runs, run(20.02))
			op.runs[0].turned = true
		}},
		{"a key run again too late", "duplicate", func(_ *ledger, op *soakOp) {
			op.class, op.runs = report, append(op.runs, run(20.9))
			op.runs[1].told = 100 * time.Millisecond
		}},
		{"refused after it ran", "refusal", func(_ *ledger, op *soakOp) { op.class, op.status = book, http.StatusServiceUnavailable }},
		{"sent for a client that has gone", "lost", func(_ *ledger, op *soakOp) { op.left, op.runs = at(20.1), []soakRun{run(20.5)} }},
		{"told too much", "deadline", func(_ *ledger, op *soakOp) { op.runs[0].told = 2 * time.Second }},
		{"sent to a server that drains", "drain", func(l *ledger, _ *soakOp) {
			l.drains = append(l.drains, soakDrain{server: "s-00", at: at(17)})
		}},
		{"sent to a server that drains, discovery was away", "", func(l *ledger, _ *soakOp) {
			l.drains = append(l.drains, soakDrain{server: "s-00", at: at(17)})
			l.outages = append(l.outages, outage{span: span{at(15), at(18)}})
		}},
		{"sent to a server that drains, an outage had begun within the usual time", "", func(l *ledger, _ *soakOp) {
			l.drains = append(l.drains, soakDrain{server: "s-00", at: at(17)})
			l.outages = append(l.outages, outage{span: span{at(17.5), at(19)}})
		}},
		{"sent to a server that drains, an outage began later", "drain", func(l *ledger, _ *soakOp) {
			l.drains = append(l.drains, soakDrain{server: "s-00", at: at(17)})
			l.outages = append(l.outages, outage{span: span{at(18.5), at(19)}})
		}},
		{"sent to a server that drains, outages in a row add up to nothing", "drain", func(l *ledger, op *soakOp) {
			l.drains = append(l.drains, soakDrain{server: "s-00", at: at(8)})
			l.outages = append(l.outages, outage{span: span{at(7), at(9)}}, outage{span: span{at(14), at(16)}})
		}},
		{"sent to a server that drains, discovery was slow", "", func(l *ledger, _ *soakOp) {
			l.drains = append(l.drains, soakDrain{server: "s-00", at: at(15)})
			l.outages = append(l.outages, outage{span: span{at(14), at(25)}, reachable: true})
		}},
		{"sent to a server that drains, discovery is slow for long", "drain", func(l *ledger, _ *soakOp) {
			l.drains = append(l.drains, soakDrain{server: "s-00", at: at(12)})
			l.outages = append(l.outages, outage{span: span{at(11), at(25)}, reachable: true})
		}},
		{"sent to a server that drains by a new process", "", func(l *ledger, _ *soakOp) {
			l.drains = append(l.drains, soakDrain{server: "s-00", at: at(17)})
			l.deaths = append(l.deaths, death{gateway: "g00", life: 0, kill: at(16), ended: at(16)})
		}},
		{"sent to a server that drains, a process of another gateway is new", "drain", func(l *ledger, _ *soakOp) {
			l.drains = append(l.drains, soakDrain{server: "s-00", at: at(17)})
			l.deaths = append(l.deaths, death{gateway: "g01", life: 0, kill: at(16), ended: at(16)})
		}},
		{"crossed a close and was sent again", "", func(l *ledger, op *soakOp) {
			op.status, op.fresh, op.runs, l.again[op.id] = 0, false, nil, true
		}},
		{"crossed a close and was not sent again", "lost", func(l *ledger, op *soakOp) {
			op.status, op.fresh, op.runs = 0, false, nil
		}},
		{"read, with no answer, and sent again", "lost", func(l *ledger, op *soakOp) {
			op.status, op.fresh, l.again[op.id] = 0, false, true
		}},
		{"read after the end was told, with no answer", "lost", func(l *ledger, op *soakOp) {
			op.status, op.fresh = 0, false
			l.deaths = append(l.deaths, death{gateway: "g00", life: 1, term: at(17), ended: at(20.5)})
		}},
		{"shut unread", "lost", func(l *ledger, op *soakOp) { op.status, op.runs = 0, nil }},
		{"shut unread in a crowd", "", func(l *ledger, op *soakOp) {
			op.status, op.runs = 0, nil
			l.crowds = append(l.crowds, crowd{span: span{at(19), at(22)}, gateway: "g00"})
		}},
		{"read in a crowd, with no answer", "lost", func(l *ledger, op *soakOp) {
			op.status = 0
			l.crowds = append(l.crowds, crowd{span: span{at(19), at(22)}, gateway: "g00"})
		}},
		{"a bad client that is kept", "bad clients", func(l *ledger, _ *soakOp) {
			l.bad = append(l.bad, badClient{kind: "nothing", gateway: "g00", life: 1, from: at(10)})
		}},
		{"a crash", "crash", func(l *ledger, _ *soakOp) {
			l.deaths = append(l.deaths, death{gateway: "g00", life: 1, ended: at(30), code: 2})
		}},
		{"a counter of its own that moved", "audit", func(l *ledger, _ *soakOp) {
			log := filepath.Join(t.TempDir(), "g00.1.log")
			os.WriteFile(log, []byte("msg=stopped sent_after_notification=0 timeouts_over_left=2\n"), 0o600)
			l.deaths = append(l.deaths, death{gateway: "g00", life: 1, term: at(30), ended: at(31), log: log})
		}},
		{"a process that does not start", "start", func(l *ledger, _ *soakOp) {
			l.failures = append(l.failures, "g05 (life 2) is not ready")
		}},
		{"no end in time", "end", func(l *ledger, _ *soakOp) {
			l.deaths = append(l.deaths, death{gateway: "g00", life: 1, term: at(30), kill: at(34), ended: at(34)})
		}},
		{"a server pushed over", "failback", func(l *ledger, _ *soakOp) {
			l.starts = append(l.starts, soakStart{server: "s-00", at: at(17)})
			for range 200 {
				l.ops["x"].runs = append(l.ops["x"].runs, run(20))
			}
		}},
		{"nobody's request", "duplicate", func(l *ledger, _ *soakOp) {
			l.ops["y"], l.order = &soakOp{id: "y", runs: []soakRun{run(20)}}, append(l.order, "y")
		}},
	} {
		s := &soak{dir: t.TempDir(), zero: zero, ledger: newLedger(), gateways: []*soakGateway{{name: "g00"}}}
		op := served(look, run(20.01))
		op.id = "x"
		s.ledger.begin(op)
		c.note(s.ledger, op)
		r := &SoakReport{}
		s.judge(r)
		rules := map[string]bool{}
		for _, v := range r.Violations {
			rules[v.Rule] = true
		}
		if c.rule == "" && len(rules) > 0 || c.rule != "" && (!rules[c.rule] || len(rules) != 1) {
			t.Errorf("%s: the judge finds %v, want %q", c.name, slices.Sorted(maps.Keys(rules)), c.rule)
		}
	}
}
