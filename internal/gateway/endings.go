package gateway

import (
	"log/slog"
	"maps"
	"sync"
	"time"

	"bramblelock"
)

// endings counts and logs the requests that end without the answer of a host, the attempts that are given up,
// and the streams that are cut short, each with its cause. It is safe for concurrent use.
type endings struct {
	requestLog, attemptLog, streamLog rateLimitedLog

	mu       sync.Mutex
	counters EndingCounters
}

// EndingCounters are the numbers of endings since the process started, by cause.
type EndingCounters struct {
	Refused         map[string]int64 `json:"refused"`           // requests that were refused
	Failed          map[string]int64 `json:"failed"`            // requests that failed
	GivenUp         map[string]int64 `json:"attempts_given_up"` // attempts that were canceled or timed out
	GivenUpAnswered map[string]int64 `json:"answers_given_up"`  // those of them whose answer had begun to arrive
	CutShort        map[string]int64 `json:"streams_cut_short"` // answers that were passed on in part
}

// Counters returns the present values of the counters.
func (e *endings) Counters() EndingCounters {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.counters
	for _, counts := range []*map[string]int64{&c.Refused, &c.Failed, &c.GivenUp, &c.GivenUpAnswered, &c.CutShort} {
		*counts = maps.Clone(*counts)
	}
	return c
}

// count adds one to the counter of a cause.
func (e *endings) count(counts *map[string]int64, cause string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if *counts == nil {
		*counts = map[string]int64{}
	}
	(*counts)[cause]++
}

// requestEnded records a request that is refused or fails.
func (e *endings) requestEnded(x *exchange, refused bool, why bramblelock.Reason, attempts []*attempt) {
	what, counts := "request failed", &e.counters.Failed
	if refused {
		what, counts = "request refused", &e.counters.Refused
	}
	e.count(counts, why.String())
	suppressed, ok := e.requestLog.admit()
	if !ok {
		return
	}
	args := []any{"id", x.requestID(), "why", why.String(), "class", x.className(), "after", x.age(), "attempts", len(attempts),
		suppressedKey, suppressed}
	if n := len(attempts); n > 0 {
		last := attempts[n-1]
		args = append(args, "host", last.hostID, "answer_bytes", last.answer.bytes.Load())
		if last.ended {
			args = append(args, "result", last.result.String())
		}
	}
	slog.Info(what, args...)
}

// attemptEnded records the end of an attempt if it was given up. The loop calls it.
func (e *endings) attemptEnded(x *exchange, att *attempt) {
	if att.result != bramblelock.Canceled && att.result != bramblelock.TimedOut {
		return
	}
	why := att.canceledFor
	if why == bramblelock.NoReason {
		why = bramblelock.DeadlineNear
	}
	e.count(&e.counters.GivenUp, why.String())
	if att.answer.bytes.Load() == 0 || att.streamStarted() {
		return
	}
	e.count(&e.counters.GivenUpAnswered, why.String())
	if why != bramblelock.ClientLeft && why != bramblelock.AnsweredByOther {
		e.attemptLog.warn("attempt given up while its host answered", "id", x.requestID(), "why", why.String(),
			"class", x.className(), "host", att.hostID, "after", time.Since(att.chargedFrom), "answer_bytes", att.answer.bytes.Load())
	}
}

// streamCutShort records an answer that was passed on in part.
func (e *endings) streamCutShort(x *exchange, att *attempt, st *stream, err error) {
	cause := st.endCause(err)
	e.count(&e.counters.CutShort, cause)
	e.streamLog.warn("answer cut short", "id", x.requestID(), "why", cause, "class", x.className(), "host", att.hostID,
		"after", time.Since(att.chargedFrom), "answer_bytes", att.answer.bytes.Load(), "length", st.length, "err", err)
}
