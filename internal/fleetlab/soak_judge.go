package fleetlab

import (
	"fmt"
	"math"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"time"
)

// judgeSlack allows for the delay between an event and its record in this process, which shares the
// machine with all the others. The slack of a single rule stands with that rule.
const (
	judgeSlack     = 150 * time.Millisecond
	answerGrace    = 500 * time.Millisecond // an answer after its deadline has no value, but is a violation only after this time
	timeoutSlack   = 150 * time.Millisecond // the timeout sent to a host may exceed the time left by this much
	badClientLimit = 3 * time.Second        // a gateway has to close the connection of a bad client within this time
)

// judge checks the ledger against the rules and fills in the report.
func (s *soak) judge(r *SoakReport) {
	l := s.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	violated := func(req *soakRequest, rule, format string, args ...any) {
		v := SoakViolation{Rule: rule, Text: fmt.Sprintf(format, args...)}
		if req != nil {
			v.Trace = s.trace(req)
		}
		r.Violations = append(r.Violations, v)
	}
	for _, id := range l.order {
		req := l.requests[id]
		if req.class == nil {
			violated(req, "duplicate", "a host received a request that no client sent: %q", id)
			continue
		}
		r.Counts.Requests++
		r.Counts.Runs += len(req.attempts)
		s.judgeAnswer(req, r, violated)
		s.judgeDuplicates(req, violated)
		s.judgeAttempts(req, r, violated)
	}
	for _, client := range l.badClients {
		r.Counts.BadClients++
		if client.closedAfter > 0 && client.closedAfter <= badClientLimit+judgeSlack {
			continue
		}
		if s.exitedBetween(client.gateway, client.generation, client.sentAt, client.sentAt.Add(badClientLimit)) {
			r.exempt(exemptBadClientAtExit)
			continue
		}
		violated(nil, "bad clients", "%s: the connection of the bad client %q was closed after %v (0: not within 6 s)", client.gateway, client.kind, client.closedAfter)
	}
	r.Pauses = l.pauses
	for _, failure := range l.startFailures {
		violated(nil, "start", "%s", failure)
	}
	s.judgeExits(r, violated)
	s.judgeSlowStarts(r, violated)
}

// Exemptions are cases that would be violations but for something that the rules allow. A report
// counts them, because an exemption that covers most cases leaves a check that detects nothing.
const (
	exemptNotSent         = "requests whose last byte could not be written"
	exemptResent          = "requests that crossed the close of a resting connection and were sent again"
	exemptKilled          = "requests whose process was killed outright"
	exemptConnFlood       = "first requests on connections that were shut unread in a crowd"
	exemptBadClientAtExit = "bad clients whose process ended"
	exemptDisrupted       = "sends to draining servers beyond the usual time, within that of an outage or a new process"
	exemptLateStart       = "starts of servers that were notified too late to be judged"
)

// exempt counts a case that an exemption covers.
func (r *SoakReport) exempt(exemption string) {
	if r.Exemptions == nil {
		r.Exemptions = map[string]int{}
	}
	r.Exemptions[exemption]++
}

// violationFunc adds a violation to the report. The request is nil for a rule on something else.
type violationFunc func(req *soakRequest, rule, format string, args ...any)

// exitedBetween says whether a process of a gateway was killed or terminated between two times. What it
// held then is judged by the rules on its exit only.
func (s *soak) exitedBetween(gateway string, generation int, from, to time.Time) bool {
	for _, exit := range s.ledger.exits {
		if exit.gateway == gateway && exit.generation == generation && exit.endedAt.After(from.Add(-judgeSlack)) && exit.endedAt.Before(to.Add(judgeSlack)) {
			return true
		}
	}
	return false
}

// judgeAnswer requires one final answer in time.
func (s *soak) judgeAnswer(req *soakRequest, r *SoakReport, violated violationFunc) {
	counts := &r.Counts
	switch req.status {
	case http.StatusOK:
		counts.Served++
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		counts.Refused++
		for _, attempt := range req.attempts {
			if !attempt.rejected && req.class.effect != "idempotent" && req.class.effect != "deduplicated" {
				violated(req, "refusal", "%s was refused although host %s may have executed it", req.id, attempt.host)
			}
		}
	default:
		if req.status != 0 {
			counts.Failed++
		}
	}
	switch {
	case !req.abandonedAt.IsZero():
		counts.Left++
	case req.sentAt.IsZero() && req.status == 0 && len(req.attempts) == 0:
		r.exempt(exemptNotSent)
	case req.status != 0:
		if late := req.endedAt.Sub(req.sentAt) - req.class.deadline; late > answerGrace+judgeSlack {
			violated(req, "lost", "the answer to %s came %v after its deadline", req.id, late)
		}
	case !req.newConn && len(req.attempts) == 0 && s.ledger.resent[req.id]:
		// Its client sent it again, and the new request counts. A request that a host received had been
		// read by the gateway, and is not exempt.
		r.exempt(exemptResent)
	case s.killedBeforeAnswer(req):
		r.exempt(exemptKilled)
	case req.newConn && len(req.attempts) == 0 && s.connsExhausted(req):
		r.exempt(exemptConnFlood)
	default:
		violated(req, "lost", "%s (class %s, gateway %s, new connection: %t) got no answer: %v", req.id, req.class.name, req.gateway, req.newConn, req.err)
	}
}

// killedBeforeAnswer says whether the process that held a request was killed with SIGKILL alone before
// the request ended. A graceful termination exempts nothing: requests read after SIGTERM are owed an
// answer too.
func (s *soak) killedBeforeAnswer(req *soakRequest) bool {
	for _, exit := range s.ledger.exits {
		if exit.gateway == req.gateway && exit.generation == req.generation && exit.termAt.IsZero() && !req.endedAt.Before(exit.killAt.Add(-judgeSlack)) {
			return true
		}
	}
	return false
}

// connsExhausted says whether idle clients held all connections of the gateway when a request came.
func (s *soak) connsExhausted(req *soakRequest) bool {
	for _, flood := range s.ledger.connFloods {
		if flood.gateway == req.gateway && req.endedAt.After(flood.from) && req.firstByteAt.Before(flood.endOrNow().Add(time.Second)) {
			return true
		}
	}
	return false
}

// judgeDuplicates requires that a request is executed no more often than its class allows.
func (s *soak) judgeDuplicates(req *soakRequest, violated violationFunc) {
	var executed []soakAttempt
	for _, attempt := range req.attempts {
		if !attempt.rejected {
			executed = append(executed, attempt)
		}
	}
	slices.SortFunc(executed, func(a, b soakAttempt) int { return a.receivedAt.Compare(b.receivedAt) })
	switch {
	case len(executed) < 2 || req.class.effect == "idempotent":
	case req.class.effect == "at_most_once":
		violated(req, "duplicate", "%s was executed %d times", req.id, len(executed))
	default:
		if apart := executed[len(executed)-1].receivedAt.Sub(executed[0].receivedAt); apart > req.class.window+50*time.Millisecond {
			violated(req, "duplicate", "%s was executed again %v after its first execution, %v allowed", req.id, apart, req.class.window)
		}
	}
}

// judgeAttempts requires that every attempt goes to a host that may receive it, for a client that still
// waits, and with a timeout no longer than the time left.
func (s *soak) judgeAttempts(req *soakRequest, r *SoakReport, violated violationFunc) {
	for _, attempt := range req.attempts {
		if !req.abandonedAt.IsZero() && attempt.firstByteAt.Sub(req.abandonedAt) > 100*time.Millisecond+judgeSlack {
			violated(req, "lost", "%s was sent to %s %v after its client had closed its connection", req.id, attempt.host, attempt.firstByteAt.Sub(req.abandonedAt))
		}
		sentBy := attempt.receivedAt
		if attempt.stalled {
			sentBy = attempt.firstByteAt // the head was sent by then; the end of the body may have arrived at any time after it
		}
		if left := req.sentAt.Add(req.class.deadline).Sub(sentBy); attempt.timeout > left+timeoutSlack+judgeSlack && !req.sentAt.IsZero() {
			violated(req, "deadline", "%s gives host %s a timeout of %v where %v are left", req.id, attempt.host, attempt.timeout, left)
		}
		for _, drain := range s.ledger.drains {
			if drain.host != attempt.host || !attempt.firstByteAt.After(drain.ackedAt) || !drain.relistedAt.IsZero() && !attempt.firstByteAt.Before(drain.relistedAt) {
				continue
			}
			late := attempt.firstByteAt.Sub(drain.ackedAt)
			if late <= usualNotifyDelay+soakDrainGrace+judgeSlack {
				continue
			}
			by, _ := s.notifiedBy(drain.ackedAt, req.gateway)
			if by = by.Add(soakDrainGrace + judgeSlack); attempt.firstByteAt.After(by) {
				violated(req, "drain", "%s was sent to host %s %v after the host began to drain, %v too late", req.id, attempt.host,
					late, attempt.firstByteAt.Sub(by))
				continue
			}
			r.exempt(exemptDisrupted)
		}
	}
}

// maxByChance returns how many requests the rule on slow start accepts where n are allowed on average,
// since random arrivals exceed the average.
func maxByChance(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// auditViolation matches the counters of broken rules that a gateway logs, where they are not zero.
var auditViolation = regexp.MustCompile(`(sent_after_notification|sent_for_gone_clients|second_runs|timeouts_over_left|closed_owing_an_answer|slow_start_over_budget)=([1-9]\d*)`)

// judgeExits requires that processes exit only when the soak ends them, with code 0 and in time, and
// that their own audit counters are zero.
func (s *soak) judgeExits(r *SoakReport, violated violationFunc) {
	for _, exit := range s.ledger.exits {
		r.Counts.Restarts++
		text, _ := os.ReadFile(exit.logPath)
		switch {
		case exit.termAt.IsZero() && exit.killAt.IsZero():
			violated(nil, "crash", "%s (process %d) exited by itself with code %d:\n%s", exit.gateway, exit.generation, exit.exitCode, lastLines(string(text), 30))
		case !exit.termAt.IsZero() && !exit.killAt.IsZero():
			violated(nil, "end", "%s (process %d) had not exited %v after SIGTERM:\n%s", exit.gateway, exit.generation, exit.killAt.Sub(exit.termAt), lastLines(string(text), 10))
		case !exit.termAt.IsZero() && exit.exitCode != 0:
			violated(nil, "end", "%s (process %d) exited with code %d:\n%s", exit.gateway, exit.generation, exit.exitCode, lastLines(string(text), 30))
		}
		for _, m := range auditViolation.FindAllString(string(text), -1) {
			violated(nil, "audit", "%s (process %d) logged %s:\n%s", exit.gateway, exit.generation, m, linesWith(string(text), "rule broken", 10))
		}
	}
}

// judgeSlowStarts requires that a host that has just started is sent no more than its slow start budget.
// Requests are counted from one soakOverloadPeriod after the last gateway counts as notified of the start.
func (s *soak) judgeSlowStarts(r *SoakReport, violated violationFunc) {
	for _, start := range s.ledger.hostStarts {
		by, _ := s.allNotifiedBy(start.ackedAt)
		from := by.Add(soakOverloadPeriod)
		if !from.Before(start.ackedAt.Add(soakWarmAfter)) {
			r.exempt(exemptLateStart)
			continue
		}
		var received []time.Time
		for _, req := range s.ledger.requests {
			for _, attempt := range req.attempts {
				if attempt.host == start.host && attempt.receivedAt.After(from) && attempt.receivedAt.Before(start.ackedAt.Add(soakWarmAfter)) {
					received = append(received, attempt.receivedAt)
				}
			}
		}
		slices.SortFunc(received, time.Time.Compare)
		for i := range received {
			n := 0
			for n < len(received)-i && received[i+n].Sub(received[i]) < soakOverloadPeriod {
				n++
			}
			share := soakColdFrom + (1-soakColdFrom)*float64(received[i].Sub(start.ackedAt))/float64(soakWarmAfter)
			limit := soakOverloadFactor * share * soakWarmRate * soakOverloadPeriod.Seconds()
			if float64(n) > maxByChance(limit) {
				violated(nil, "failback", "host %s received %d requests in %v, %v after its start; %.0f plus random variation allowed", start.host, n, soakOverloadPeriod,
					received[i].Sub(start.ackedAt), limit)
				break
			}
		}
	}
}

// trace describes the path of a request through every process.
func (s *soak) trace(req *soakRequest) []string {
	at := func(t time.Time) string {
		if t.IsZero() {
			return "-"
		}
		return fmt.Sprintf("%.3f", t.Sub(s.loadStart).Seconds())
	}
	out := []string{fmt.Sprintf("client: to %s.%d, first byte %s, whole %s, left %s, ended %s, status %d, %v, in place of %q", req.gateway, req.generation,
		at(req.firstByteAt), at(req.sentAt), at(req.abandonedAt), at(req.endedAt), req.status, req.err, req.retryOf)}
	for _, attempt := range req.attempts {
		out = append(out, fmt.Sprintf("server %s: first byte %s, whole %s, told %v, turned away %t", attempt.host, at(attempt.firstByteAt), at(attempt.receivedAt), attempt.timeout, attempt.rejected))
	}
	logs, _ := filepath.Glob(filepath.Join(s.dir, req.gateway+".*.log"))
	for _, name := range logs {
		text, _ := os.ReadFile(name)
		if lines := linesWith(string(text), req.id, 30); lines != "" {
			out = append(out, filepath.Base(name)+": "+lines)
		}
	}
	return out
}

// linesWith returns the first lines of a text that contain a word.
func linesWith(text, word string, limit int) string {
	var out []string
	for line := range strings.SplitSeq(text, "\n") {
		if strings.Contains(line, word) && len(out) < limit {
			out = append(out, line)
		}
	}
	return strings.Join(out, "\n        ")
}

// lastLines returns the last n lines of a text.
func lastLines(text string, n int) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return strings.Join(lines[max(0, len(lines)-n):], "\n")
}
