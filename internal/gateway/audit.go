package gateway

import (
	"log/slog"
	"sync/atomic"
	"time"

	"bramblelock"
)

// Tolerances of the audit.
const (
	goneClientSlack = 100 * time.Millisecond // how long after its client was seen to have gone an attempt may begin
	timeoutSlack    = 150 * time.Millisecond // how much more time may be stated to a host than its client will still wait
)

// Audit counts violations of invariants that the gateway can observe itself, one counter for each
// invariant. The log calls them rules; they have nothing to do with Rules, which is configuration.
// All counters are zero in a correct gateway. The invariants are enforced elsewhere: in the decision
// module, and in Pool.permit before the first byte of an attempt. Audit is safe for concurrent use.
type Audit struct {
	sentAfterNotification atomic.Int64
	sentForGoneClients    atomic.Int64
	secondRuns            atomic.Int64
	timeoutsOverLeft      atomic.Int64
	closedOwingAnswer     atomic.Int64
	slowStartOverBudget   atomic.Int64
}

// AuditCounters are the counters of an Audit: the violations since the process started.
type AuditCounters struct {
	SentAfterNotification int64 `json:"sent_after_notification"` // attempts begun later than the drain grace after their host became unusable
	SentForGoneClients    int64 `json:"sent_for_gone_clients"`   // attempts begun more than 0.1 s after their client was seen to have gone
	SecondRuns            int64 `json:"second_runs"`             // attempts of requests that may have run before, beyond what their class allows
	TimeoutsOverLeft      int64 `json:"timeouts_over_left"`      // attempts that stated over 0.15 s more time to a host than the client would still wait
	ClosedOwingAnswer     int64 `json:"closed_owing_an_answer"`  // requests read whose connection closed without an answer
	SlowStartOverBudget   int64 `json:"slow_start_over_budget"`  // attempts sent to a cold host beyond its budget, counting those of this gateway alone
}

// Counters returns the present values of the counters.
func (a *Audit) Counters() AuditCounters {
	return AuditCounters{
		SentAfterNotification: a.sentAfterNotification.Load(),
		SentForGoneClients:    a.sentForGoneClients.Load(),
		SecondRuns:            a.secondRuns.Load(),
		TimeoutsOverLeft:      a.timeoutsOverLeft.Load(),
		ClosedOwingAnswer:     a.closedOwingAnswer.Load(),
		SlowStartOverBudget:   a.slowStartOverBudget.Load(),
	}
}

// Log logs the counters in one line with the message msg.
func (a *Audit) Log(msg string) {
	c := a.Counters()
	slog.Info(msg, "sent_after_notification", c.SentAfterNotification, "sent_for_gone_clients", c.SentForGoneClients,
		"second_runs", c.SecondRuns, "timeouts_over_left", c.TimeoutsOverLeft, "closed_owing_an_answer", c.ClosedOwingAnswer,
		"slow_start_over_budget", c.SlowStartOverBudget)
}

// recordViolation increments a counter and logs the violation.
func recordViolation(counter *atomic.Int64, rule string, args ...any) {
	counter.Add(1)
	slog.Error("rule broken: "+rule, args...)
}

// checkSent is called before the first byte of an attempt. It checks that the attempt, which begins to
// write its request at began and states statedTimeout to its host, does not come too late for the host
// or the client, and does not state more time than the client will still wait. Notification means that
// this process has applied the change by which the host takes no new requests, such as a drain, a
// removal from the list or maintenance. For the time grace, the drain grace, after that, an attempt may
// still begin. The client waits for answerMargin beyond clientDeadline, so answerMargin is
// added to the time that remains.
func (a *Audit) checkSent(h *host, x *exchange, began time.Time, statedTimeout time.Duration, grace time.Duration) {
	if unusableSince := h.unusableSince.Load(); unusableSince != nil && began.Sub(*unusableSince) > grace {
		recordViolation(&a.sentAfterNotification, "sent after notification", "id", x.requestID(), "host", h.id, "after", began.Sub(*unusableSince))
	}
	if goneAt := x.clientGoneAt.Load(); goneAt != nil && began.Sub(*goneAt) > goneClientSlack {
		recordViolation(&a.sentForGoneClients, "sent for a client that has gone", "id", x.requestID(), "after", began.Sub(*goneAt))
	}
	if remaining := x.clientDeadline().Add(answerMargin).Sub(began); statedTimeout > remaining+timeoutSlack {
		recordViolation(&a.timeoutsOverLeft, "host given more time than is left", "id", x.requestID(), "given", statedTimeout, "left", remaining)
	}
}

// checkAttempt checks a further attempt of a request, which begins at now and is not in x.attempts yet,
// against its earlier ones.
func (a *Audit) checkAttempt(x *exchange, now time.Time) {
	class := &x.rules.Settings.Classes[x.class]
	if class.Effect == bramblelock.Idempotent {
		return
	}
	for _, att := range x.attempts {
		if att.ended && att.result.ProvesNotRun() {
			continue
		}
		if class.Effect == bramblelock.AtMostOnce || now.Sub(att.chargedFrom) > class.DedupWindow {
			recordViolation(&a.secondRuns, "sent again though it may have run", "id", x.requestID(), "attempts", len(x.attempts))
			return
		}
	}
}
