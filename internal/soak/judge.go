package soak

import (
	"fmt"
	"net/http"
	"os"
	"regexp"
	"slices"
	"time"
)

// judgeSlack is the tolerance for the time from an event until this process, which shares the machine
// with all gateways and catalogs, records it. A rule may add a tolerance of its own.
const (
	judgeSlack     = 150 * time.Millisecond
	answerGrace    = 500 * time.Millisecond // an answer after its deadline has no value, but is a violation only when it is later than this
	timeoutSlack   = 150 * time.Millisecond // the timeout sent to a host may exceed the time left by this much
	badClientLimit = 3 * time.Second        // a gateway has to answer a bad client or close its connection within this time
)

// judge checks the ledger against the rules and adds violations, exemptions, pauses and the counts of
// requests, bad clients and exits to the report. It holds the lock of the ledger throughout; the functions
// that it calls expect that.
func (s *soak) judge(r *Report) {
	l := s.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	violated := func(req *request, rule Rule, format string, args ...any) {
		v := Violation{Rule: rule, Text: fmt.Sprintf(format, args...)}
		if req != nil {
			v.Trace = s.trace(req)
		}
		r.Violations = append(r.Violations, v)
	}
	for _, id := range l.order {
		req := l.requests[id]
		if req.class == nil {
			violated(req, RuleDuplicate, "a host received a request that no client sent: %q", id)
			continue
		}
		r.Counts.Requests++
		r.Counts.Runs += len(req.attempts)
		s.judgeAnswer(req, r, violated)
		s.judgeLongAnswers(req, r, violated)
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
		violated(nil, RuleBadClients, "%s: the connection of the bad client %q was closed after %v (0: not within 6 s)", client.gateway, client.kind, client.closedAfter)
	}
	r.Pauses = l.pauses
	for _, failure := range l.startFailures {
		violated(nil, RuleStart, "%s", failure)
	}
	s.judgeExits(r, violated)
	s.judgeSlowStarts(r, violated)
}

// exitedBetween says whether a process of a gateway exited between two times, or up to judgeSlack outside
// of them. Whether that exit was allowed is for judgeExits to check.
func (s *soak) exitedBetween(gateway string, generation int, from, to time.Time) bool {
	for _, exit := range s.ledger.exits {
		if exit.gateway == gateway && exit.generation == generation && exit.endedAt.After(from.Add(-judgeSlack)) && exit.endedAt.Before(to.Add(judgeSlack)) {
			return true
		}
	}
	return false
}

// judgeAnswer counts the result of a request and requires a final answer in time. It accepts a refusal
// only if no host may have executed the request or the class allows another execution.
func (s *soak) judgeAnswer(req *request, r *Report, violated violationFunc) {
	counts := &r.Counts
	switch req.status {
	case http.StatusOK:
		counts.Served++
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		counts.Refused++
		for _, attempt := range req.attempts {
			if !attempt.rejected && req.class.effect != idempotent && req.class.effect != deduplicated {
				violated(req, RuleRefusal, "%s was refused although host %s may have executed it", req.id, attempt.host)
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
		if late := req.timedAt().Sub(req.sentAt) - req.class.deadline; late > answerGrace+judgeSlack {
			violated(req, RuleLost, "the answer to %s came %v after its deadline", req.id, late)
		}
	case !req.newConn && len(req.attempts) == 0 && s.ledger.resent[req.id]:
		// Its client sent it again under another id, and that request has to be answered. A request that a
		// host received had been read by the gateway, and is not exempt.
		r.exempt(exemptResent)
	case s.killedBeforeAnswer(req):
		r.exempt(exemptKilled)
	case s.longAnswerBroke(req):
		r.exempt(exemptBroken)
	case req.newConn && len(req.attempts) == 0 && s.connsExhausted(req):
		r.exempt(exemptConnFlood)
	default:
		violated(req, RuleLost, "%s (class %s, gateway %s, new connection: %t) got no answer: %v", req.id, req.class.name, req.gateway, req.newConn, req.err)
	}
}

// killedBeforeAnswer says whether a request has no answer because the process that held it was killed with
// SIGKILL alone or exited by itself, which is a violation of its own. The exit explains only a request whose
// connection was open and whose answer was not overdue then. A graceful termination exempts nothing:
// requests read after SIGTERM are owed an answer too.
func (s *soak) killedBeforeAnswer(req *request) bool {
	for _, exit := range s.ledger.exits {
		if exit.gateway != req.gateway || exit.generation != req.generation || !exit.termAt.IsZero() {
			continue
		}
		exitAt := exit.killAt
		if exitAt.IsZero() {
			exitAt = exit.endedAt
		}
		overdue := !req.sentAt.IsZero() && exitAt.Sub(req.sentAt) > req.class.deadline+answerGrace+judgeSlack
		if !overdue && !req.endedAt.Before(exitAt.Add(-judgeSlack)) {
			return true
		}
	}
	return false
}

// connsExhausted says whether idle clients held all connections of the gateway at some time between the
// first byte of a request and its end, or until at most 1 s before that first byte.
func (s *soak) connsExhausted(req *request) bool {
	for _, flood := range s.ledger.connFloods {
		if flood.gateway == req.gateway && req.endedAt.After(flood.from) && req.firstByteAt.Before(flood.endOrNow().Add(time.Second)) {
			return true
		}
	}
	return false
}

// judgeDuplicates requires that a request of class effect at_most_once is executed at most once, and a
// deduplicated one again only within the window of its class. A rejected attempt is no execution.
func (s *soak) judgeDuplicates(req *request, violated violationFunc) {
	var executed []attempt
	for _, attempt := range req.attempts {
		if !attempt.rejected {
			executed = append(executed, attempt)
		}
	}
	slices.SortFunc(executed, func(a, b attempt) int { return a.receivedAt.Compare(b.receivedAt) })
	switch {
	case len(executed) < 2 || req.class.effect == idempotent:
	case req.class.effect == atMostOnce:
		violated(req, RuleDuplicate, "%s was executed %d times", req.id, len(executed))
	default:
		if apart := executed[len(executed)-1].receivedAt.Sub(executed[0].receivedAt); apart > req.class.window+50*time.Millisecond {
			violated(req, RuleDuplicate, "%s was executed again %v after its first execution, %v allowed", req.id, apart, req.class.window)
		}
	}
}

// judgeAttempts requires that every attempt goes to a host that is not draining, for a client that still
// waits, and with a timeout no longer than the time left until the deadline of the request.
func (s *soak) judgeAttempts(req *request, r *Report, violated violationFunc) {
	for _, attempt := range req.attempts {
		if !req.abandonedAt.IsZero() && attempt.firstByteAt.Sub(req.abandonedAt) > 100*time.Millisecond+judgeSlack {
			violated(req, RuleLost, "%s was sent to %s %v after its client had closed its connection", req.id, attempt.host, attempt.firstByteAt.Sub(req.abandonedAt))
		}
		sentBy := attempt.receivedAt
		if attempt.stalled {
			sentBy = attempt.firstByteAt // the head was sent by then; the end of the body may have arrived at any time after it
		}
		if left := req.sentAt.Add(req.class.deadline).Sub(sentBy); attempt.timeout > left+timeoutSlack+judgeSlack && !req.sentAt.IsZero() {
			violated(req, RuleDeadline, "%s gives host %s a timeout of %v where %v are left", req.id, attempt.host, attempt.timeout, left)
		}
		for i := range s.ledger.drains {
			s.judgeDrain(&s.ledger.drains[i], req, &attempt, r, violated)
		}
	}
}

// judgeDrain requires that an attempt does not go to a host while it drains, once its gateway counts as
// notified and the grace has passed.
func (s *soak) judgeDrain(drain *hostDrain, req *request, attempt *attempt, r *Report, violated violationFunc) {
	relisted := !drain.relistedAt.IsZero() && !attempt.firstByteAt.Before(drain.relistedAt)
	if drain.host != attempt.host || !attempt.firstByteAt.After(drain.ackedAt) || relisted {
		return
	}
	sinceAck := attempt.firstByteAt.Sub(drain.ackedAt)
	if sinceAck <= usualNotifyDelay+drainGrace+judgeSlack {
		return
	}
	by, _ := s.notifiedBy(drain.ackedAt, req.gateway)
	by = by.Add(drainGrace + judgeSlack)
	if !attempt.firstByteAt.After(by) {
		r.exempt(exemptDisrupted)
		return
	}
	violated(req, RuleDrain, "%s was sent to host %s %v after the host began to drain, %v too late", req.id, attempt.host,
		sinceAck, attempt.firstByteAt.Sub(by))
}

// auditViolation matches those of a gateway's audit counters that are not zero, as the gateway logs them.
// Each counter holds how often the gateway broke one rule.
var auditViolation = regexp.MustCompile(`(sent_after_notification|sent_for_gone_clients|second_runs|timeouts_over_left|closed_owing_an_answer|slow_start_over_budget)=([1-9]\d*)`)

// judgeExits requires that gateway processes exit only when the soak ends them, after SIGTERM with code 0
// and before the SIGKILL, and that their own audit has found nothing.
func (s *soak) judgeExits(r *Report, violated violationFunc) {
	for _, exit := range s.ledger.exits {
		r.Counts.Restarts++
		text, _ := os.ReadFile(exit.logPath)
		switch {
		case exit.termAt.IsZero() && exit.killAt.IsZero():
			violated(nil, RuleCrash, "%s (process %d) exited by itself with code %d:\n%s", exit.gateway, exit.generation, exit.exitCode, lastLines(string(text), 30))
		case !exit.termAt.IsZero() && !exit.killAt.IsZero() && s.passesOnLongAnswer(&exit, exit.killAt):
			r.exempt(exemptLongAnswerAtKill)
		case !exit.termAt.IsZero() && !exit.killAt.IsZero():
			violated(nil, RuleEnd, "%s (process %d) had not exited %v after SIGTERM:\n%s", exit.gateway, exit.generation, exit.killAt.Sub(exit.termAt), lastLines(string(text), 10))
		case !exit.termAt.IsZero() && exit.exitCode != 0:
			violated(nil, RuleEnd, "%s (process %d) exited with code %d:\n%s", exit.gateway, exit.generation, exit.exitCode, lastLines(string(text), 30))
		}
		broken, counters := linesWith(string(text), "rule broken", 10), auditViolation.FindAllString(string(text), -1)
		for _, counter := range counters {
			violated(nil, RuleAudit, "%s (process %d) logged %s:\n%s", exit.gateway, exit.generation, counter, broken)
		}
		if len(counters) == 0 && broken != "" { // a process that is killed or crashes does not log its counters
			violated(nil, RuleAudit, "%s (process %d) logged, without counters:\n%s", exit.gateway, exit.generation, broken)
		}
	}
}
