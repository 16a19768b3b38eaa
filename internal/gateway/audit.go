package gateway

import (
	"log/slog"
	"sync/atomic"
	"time"

	"lynxspool"
)

// Slack of the rules that are checked as they are kept.
const (
	goneSlack    = 100 * time.Millisecond // an attempt may begin so long after its client has gone
	timeoutSlack = 150 * time.Millisecond // a server may be told so much more than the client has left
)

// Audit counts breaks of rules that the gateway sees itself, one counter a rule. Each is zero in
// a gateway that works; what decides is elsewhere (the module, and permit before a first byte).
// It is safe for concurrent use.
type Audit struct {
	sentAfterNotice atomic.Int64
	sentForGone     atomic.Int64
	secondRuns      atomic.Int64
	timeoutsOver    atomic.Int64
	closedOwing     atomic.Int64
	coldOver        atomic.Int64
}

// AuditFigures are the counters of an Audit, in breaks since the process started.
type AuditFigures struct {
	SentAfterNotice int64 `json:"sent_after_notification"` // attempts begun beyond the grace after a server left
	SentForGone     int64 `json:"sent_for_gone_clients"`   // ... beyond 0.1 s after the client had gone
	SecondRuns      int64 `json:"second_runs"`             // ... of what may have run, beyond what its class allows
	TimeoutsOver    int64 `json:"timeouts_over_left"`      // ... that told a server more than the client had left
	ClosedOwing     int64 `json:"closed_owing_an_answer"`  // requests read whose connection closed with no answer
	ColdOver        int64 `json:"slow_start_over_budget"`  // sends to a cold server beyond its budget, from here alone
}

// Figures returns the counters as they are.
func (a *Audit) Figures() AuditFigures {
	return AuditFigures{
		SentAfterNotice: a.sentAfterNotice.Load(), SentForGone: a.sentForGone.Load(), SecondRuns: a.secondRuns.Load(),
		TimeoutsOver: a.timeoutsOver.Load(), ClosedOwing: a.closedOwing.Load(), ColdOver: a.coldOver.Load(),
	}
}

// Log writes the counters as one line.
func (a *Audit) Log(msg string) {
	f := a.Figures()
	slog.Info(msg, "sent_after_notification", f.SentAfterNotice, "sent_for_gone_clients", f.SentForGone,
		"second_runs", f.SecondRuns, "timeouts_over_left", f.TimeoutsOver, "closed_owing_an_answer", f.ClosedOwing,
		"slow_start_over_budget", f.ColdOver)
}

// count adds a break to a counter and logs it.
func count(counter *atomic.Int64, rule string, args ...any) {
	counter.Add(1)
	slog.Error("rule broken: "+rule, args...)
}

// sent checks an attempt whose first byte went out at began, and which stated a time-out to its server.
func (a *Audit) sent(h *host, x *exchange, began time.Time, stated time.Duration, grace time.Duration) {
	if left := h.leftAt.Load(); left != nil && began.Sub(*left) > grace {
		count(&a.sentAfterNotice, "sent after notification", "id", x.requestID(), "host", h.id, "after", began.Sub(*left))
	}
	if gone := x.goneAt.Load(); gone != nil && began.Sub(*gone) > goneSlack {
		count(&a.sentForGone, "sent for a client that has gone", "id", x.requestID(), "after", began.Sub(*gone))
	}
	if left := x.dueAt().Add(answerMargin).Sub(began); stated > left+timeoutSlack {
		count(&a.timeoutsOver, "server told more time than is left", "id", x.requestID(), "told", stated, "left", left)
	}
}

// attempt checks a further attempt of a request against the ones before it.
func (a *Audit) attempt(x *exchange, now time.Time) {
	class := &x.rules.Settings.Classes[x.class]
	if class.Effect == lynxspool.Idempotent {
		return
	}
	for _, t := range x.attempts {
		if t.ended && t.result.ProvesNotRun() {
			continue
		}
		if class.Effect == lynxspool.AtMostOnce || now.Sub(t.from) > class.DedupWindow {
			count(&a.secondRuns, "sent again though it may have run", "id", x.requestID(), "attempts", len(x.attempts))
			return
		}
	}
}
