package gateway

import (
	"container/heap"
	"context"
	"log/slog"
	"time"

	"bramblelock"
)

// performActions performs the actions that the Balancer has decided on.
func (l *Loop) performActions() {
	l.actions = l.balancer.TakeActions(l.actions[:0])
	for i := range l.actions {
		a := &l.actions[i]
		switch a.Kind {
		case bramblelock.Send:
			l.startAttempt(a)
		case bramblelock.Cancel:
			if x := l.openRequests[a.Request]; x != nil && a.Attempt < len(x.attempts) {
				x.attempts[a.Attempt].canceledFor = a.Why
				x.attempts[a.Attempt].abort(context.Canceled)
			}
		case bramblelock.Refuse:
			l.finishRequest(a, answer{kind: answerRefused, retryAfter: a.RetryAfter})
		case bramblelock.Fail:
			l.finishRequest(a, answer{kind: answerFailed})
		case bramblelock.Wake:
			heap.Push(&l.timers, balancerTimer{a.At, a.Token})
		case bramblelock.Close:
			if h := l.hosts[a.Host]; h != nil {
				l.pool.closeIdle(h)
			}
		case bramblelock.Watch:
			l.requestWatch()
		case bramblelock.Log:
			slog.Info(a.Text)
		case bramblelock.ColdOver:
			recordViolation(&l.Audit.slowStartOverBudget, "cold host sent more than its budget", "host", l.nameOf(a.Host))
		}
	}
}

// nameOf returns the id of a host for the log, or an empty string for an unknown host.
func (l *Loop) nameOf(id bramblelock.HostID) string {
	if h := l.hosts[id]; h != nil {
		return h.id
	}
	return ""
}

// startAttempt starts an attempt. When the attempt ends, exactly one event is posted, which calls
// attemptEnded.
func (l *Loop) startAttempt(a *bramblelock.Action) {
	x, h := l.openRequests[a.Request], l.hosts[a.Host]
	if x == nil || h == nil {
		// The Balancer names only hosts and requests that the loop passed to it, and the loop keeps
		// each request for at least as long as the Balancer does.
		panic("gateway: attempt of an unknown request or host")
	}
	ctx, cancel := context.WithCancelCause(l.ctx)
	n := len(x.attempts)
	att := &attempt{number: n, hostID: h.id, cancel: cancel, chargedFrom: time.Now()}
	if a.WriteBy > 0 {
		att.writeBy = l.clock.timeOf(a.WriteBy)
	}
	l.Audit.checkAttempt(x, att.chargedFrom)
	slog.Debug("attempt begins", "id", x.requestID(), "attempt", n, "host", h.id)
	x.attempts = append(x.attempts, att)
	x.inFlight++
	l.inFlight[att] = x.id
	timeOut := func() { att.abort(context.DeadlineExceeded) }
	var timer *time.Timer
	if x.upload == nil { // the time of an upload runs from its last byte
		timer = time.AfterFunc(time.Until(l.attemptDeadline(x, a)), timeOut)
	}
	att.onUploadComplete = func() {
		timer = time.AfterFunc(time.Until(x.deadline), timeOut)
		l.post(func(now bramblelock.Time) { l.balancer.UploadComplete(now, x.id, max(0, l.clock.at(x.deadline)-now)) })
	}
	att.onHeadForwarded = func() {
		l.post(func(now bramblelock.Time) { l.balancer.HeadForwarded(now, x.id, n) })
	}
	att.onResponseStarted = func() {
		l.post(func(now bramblelock.Time) { l.balancer.ResponseStarted(now, x.id, n) })
	}
	go func() {
		result, body := l.pool.runAttempt(ctx, h, x, att)
		cancel(nil)
		if timer != nil {
			timer.Stop()
		}
		l.post(func(now bramblelock.Time) { l.attemptEnded(now, x, n, result, body) })
	}()
}

// attemptDeadline returns when an attempt is given up: at the time that the Balancer states or at the
// deadline of the request, whichever is earlier.
func (l *Loop) attemptDeadline(x *exchange, a *bramblelock.Action) time.Time {
	if at := l.clock.timeOf(a.At); a.At > 0 && at.Before(x.deadline) {
		return at
	}
	return x.deadline
}

// attemptEnded handles the end of an attempt and reports its outcome to the Balancer. The first
// attempt with the result OK gives the final answer of the request.
func (l *Loop) attemptEnded(now bramblelock.Time, x *exchange, n int, result bramblelock.Result, good answer) {
	x.inFlight--
	att := x.attempts[n]
	att.ended = true
	delete(l.inFlight, att)
	att.result = result
	slog.Debug("attempt ended", "id", x.requestID(), "attempt", n, "result", result.String())
	l.pool.endings.attemptEnded(x, att)
	if result == bramblelock.OK {
		x.finish(good)
	}
	if result.ProvesNotRun() {
		l.pool.releaseID(x)
	}
	took := att.chargedTime
	if took == 0 {
		took = max(0, now-l.clock.at(att.chargedFrom))
	}
	l.balancer.Outcome(now, bramblelock.Outcome{
		Request: x.id, Attempt: n, Result: result, Elapsed: took, Answered: x.finished.Load(),
		NotReplayable: x.bodyConsumed() || att.clientUnconfirmed,
	})
	l.releaseIfDone(x)
}

// finishRequest gives a request the final answer that the Balancer decided on.
func (l *Loop) finishRequest(action *bramblelock.Action, a answer) {
	if x := l.openRequests[action.Request]; x != nil {
		slog.Debug("request ended by the module", "id", x.requestID(), "why", action.Why.String(),
			"refused", a.kind == answerRefused, "attempts", len(x.attempts))
		if !x.finished.Load() {
			l.pool.endings.requestEnded(x, a.kind == answerRefused, action.Why, x.attempts)
		}
		x.finish(a)
		l.releaseIfDone(x)
	}
}

// releaseIfDone removes a request from openRequests if it is finished and has no attempt in flight.
func (l *Loop) releaseIfDone(x *exchange) {
	if x.finished.Load() && x.inFlight == 0 {
		delete(l.openRequests, x.id)
	}
}
