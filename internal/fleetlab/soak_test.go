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
			opt.Length, opt.Gateways, opt.Hosts, opt.Rate, opt.Overlap = 15*time.Second, 6, 6, 60, 2
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
	served := func(class *soakClass, attempts ...soakAttempt) *soakRequest {
		return &soakRequest{class: class, gateway: "g00", generation: 1, newConn: true, firstByteAt: at(20), sentAt: at(20), endedAt: at(20.1),
			status: http.StatusOK, attempts: attempts}
	}
	attempt := func(first float64) soakAttempt {
		return soakAttempt{host: "s-00", firstByteAt: at(first), receivedAt: at(first), timeout: time.Second}
	}
	for _, c := range []struct {
		name, rule string
		record     func(l *ledger, req *soakRequest)
	}{
		{"in order", "", func(*ledger, *soakRequest) {}},
		{"no answer", "lost", func(_ *ledger, req *soakRequest) { req.status, req.err = 0, errors.New("end") }},
		{"no answer, its process was killed", "", func(l *ledger, req *soakRequest) {
			req.status = 0
			l.exits = append(l.exits, processExit{gateway: "g00", generation: 1, killAt: at(20.05), endedAt: at(20.1)})
		}},
		{"no answer, its process ended in order", "lost", func(l *ledger, req *soakRequest) {
			req.status = 0
			l.exits = append(l.exits, processExit{gateway: "g00", generation: 1, termAt: at(19.9), endedAt: at(21)})
		}},
		{"a late answer", "lost", func(_ *ledger, req *soakRequest) { req.endedAt = at(23) }},
		{"run twice", "duplicate", func(_ *ledger, req *soakRequest) {
			req.class, req.attempts = book, append(req.attempts, attempt(20.02))
		}},
		{"run twice, turned away once", "", func(_ *ledger, req *soakRequest) {
			req.class, req.attempts = book, append(req.attempts, attempt(20.02))
			req.attempts[0].rejected = true
		}},
		{"a key run again too late", "duplicate", func(_ *ledger, req *soakRequest) {
			req.class, req.attempts = report, append(req.attempts, attempt(20.9))
			req.attempts[1].timeout = 100 * time.Millisecond
		}},
		{"refused after it ran", "refusal", func(_ *ledger, req *soakRequest) { req.class, req.status = book, http.StatusServiceUnavailable }},
		{"sent for a client that has gone", "lost", func(_ *ledger, req *soakRequest) {
			req.abandonedAt, req.attempts = at(20.1), []soakAttempt{attempt(20.5)}
		}},
		{"told too much", "deadline", func(_ *ledger, req *soakRequest) { req.attempts[0].timeout = 2 * time.Second }},
		{"sent to a server that drains", "drain", func(l *ledger, _ *soakRequest) {
			l.drains = append(l.drains, hostDrain{host: "s-00", ackedAt: at(17)})
		}},
		{"sent to a server that drains, discovery was away", "", func(l *ledger, _ *soakRequest) {
			l.drains = append(l.drains, hostDrain{host: "s-00", ackedAt: at(17)})
			l.outages = append(l.outages, outage{span: span{at(15), at(18)}})
		}},
		{"sent to a server that drains, an outage had begun within the usual time", "", func(l *ledger, _ *soakRequest) {
			l.drains = append(l.drains, hostDrain{host: "s-00", ackedAt: at(17)})
			l.outages = append(l.outages, outage{span: span{at(17.5), at(19)}})
		}},
		{"sent to a server that drains, an outage began later", "drain", func(l *ledger, _ *soakRequest) {
			l.drains = append(l.drains, hostDrain{host: "s-00", ackedAt: at(17)})
			l.outages = append(l.outages, outage{span: span{at(18.5), at(19)}})
		}},
		{"sent to a server that drains, outages in a row add up to nothing", "drain", func(l *ledger, req *soakRequest) {
			l.drains = append(l.drains, hostDrain{host: "s-00", ackedAt: at(8)})
			l.outages = append(l.outages, outage{span: span{at(7), at(9)}}, outage{span: span{at(14), at(16)}})
		}},
		{"sent to a server that drains, discovery was slow", "", func(l *ledger, _ *soakRequest) {
			l.drains = append(l.drains, hostDrain{host: "s-00", ackedAt: at(15)})
			l.outages = append(l.outages, outage{span: span{at(14), at(25)}, reachable: true})
		}},
		{"sent to a server that drains, discovery is slow for long", "drain", func(l *ledger, _ *soakRequest) {
			l.drains = append(l.drains, hostDrain{host: "s-00", ackedAt: at(12)})
			l.outages = append(l.outages, outage{span: span{at(11), at(25)}, reachable: true})
		}},
		{"sent to a server that drains by a new process", "", func(l *ledger, _ *soakRequest) {
			l.drains = append(l.drains, hostDrain{host: "s-00", ackedAt: at(17)})
			l.exits = append(l.exits, processExit{gateway: "g00", generation: 0, killAt: at(16), endedAt: at(16)})
		}},
		{"sent to a server that drains, a process of another gateway is new", "drain", func(l *ledger, _ *soakRequest) {
			l.drains = append(l.drains, hostDrain{host: "s-00", ackedAt: at(17)})
			l.exits = append(l.exits, processExit{gateway: "g01", generation: 0, killAt: at(16), endedAt: at(16)})
		}},
		{"crossed a close and was sent again", "", func(l *ledger, req *soakRequest) {
			req.status, req.newConn, req.attempts, l.resent[req.id] = 0, false, nil, true
		}},
		{"crossed a close and was not sent again", "lost", func(l *ledger, req *soakRequest) {
			req.status, req.newConn, req.attempts = 0, false, nil
		}},
		{"read, with no answer, and sent again", "lost", func(l *ledger, req *soakRequest) {
			req.status, req.newConn, l.resent[req.id] = 0, false, true
		}},
		{"read after the end was told, with no answer", "lost", func(l *ledger, req *soakRequest) {
			req.status, req.newConn = 0, false
			l.exits = append(l.exits, processExit{gateway: "g00", generation: 1, termAt: at(17), endedAt: at(20.5)})
		}},
		{"shut unread", "lost", func(l *ledger, req *soakRequest) { req.status, req.attempts = 0, nil }},
		{"shut unread in a crowd", "", func(l *ledger, req *soakRequest) {
			req.status, req.attempts = 0, nil
			l.connFloods = append(l.connFloods, connFlood{span: span{at(19), at(22)}, gateway: "g00"})
		}},
		{"read in a crowd, with no answer", "lost", func(l *ledger, op *soakRequest) {
			op.status = 0
			l.connFloods = append(l.connFloods, connFlood{span: span{at(19), at(22)}, gateway: "g00"})
		}},
		{"a bad client that is kept", "bad clients", func(l *ledger, _ *soakRequest) {
			l.badClients = append(l.badClients, badClient{kind: "nothing", gateway: "g00", generation: 1, sentAt: at(10)})
		}},
		{"a crash", "crash", func(l *ledger, _ *soakRequest) {
			l.exits = append(l.exits, processExit{gateway: "g00", generation: 1, endedAt: at(30), exitCode: 2})
		}},
		{"a counter of its own that moved", "audit", func(l *ledger, _ *soakRequest) {
			log := filepath.Join(t.TempDir(), "g00.1.log")
			os.WriteFile(log, []byte("msg=stopped sent_after_notification=0 timeouts_over_left=2\n"), 0o600)
			l.exits = append(l.exits, processExit{gateway: "g00", generation: 1, termAt: at(30), endedAt: at(31), logPath: log})
		}},
		{"a process that does not start", "start", func(l *ledger, _ *soakRequest) {
			l.startFailures = append(l.startFailures, "g05 (life 2) is not ready")
		}},
		{"no end in time", "end", func(l *ledger, _ *soakRequest) {
			l.exits = append(l.exits, processExit{gateway: "g00", generation: 1, termAt: at(30), killAt: at(34), endedAt: at(34)})
		}},
		{"a server pushed over", "failback", func(l *ledger, _ *soakRequest) {
			l.hostStarts = append(l.hostStarts, hostStart{host: "s-00", ackedAt: at(17)})
			for range 200 {
				l.requests["x"].attempts = append(l.requests["x"].attempts, attempt(20))
			}
		}},
		{"nobody's request", "duplicate", func(l *ledger, _ *soakRequest) {
			l.requests["y"], l.order = &soakRequest{id: "y", attempts: []soakAttempt{attempt(20)}}, append(l.order, "y")
		}},
	} {
		s := &soak{dir: t.TempDir(), loadStart: zero, ledger: newLedger(), gateways: []*soakGateway{{name: "g00"}}}
		req := served(look, attempt(20.01))
		req.id = "x"
		s.ledger.addRequest(req)
		c.record(s.ledger, req)
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
