package gateway

import (
	"time"

	"bramblelock"
	"bramblelock/internal/gateway/stall"
)

// processStall describes the time after the process was stalled (stopped, or without its CPU core),
// during which timers wait until what arrived during the stall has been read.
type processStall struct {
	since    time.Time  // when the stall was detected
	until    time.Time  // timers wait at least until then
	attempts []*attempt // attempts whose answers had arrived; timers wait for their ends, for up to stall.MaxReadTime
}

// deferTimers returns whether timers have to wait because the process was stalled. A timer that is
// late by more than stall.Threshold shows a stall.
func (l *Loop) deferTimers(now bramblelock.Time) bool {
	if len(l.timers) == 0 {
		return false
	}
	wall := time.Now()
	if l.stall == nil {
		if now-l.timers[0].at <= stall.Threshold {
			return false
		}
		l.stall = &processStall{since: wall, until: wall.Add(stall.ReadTime), attempts: l.attemptsWithAnswer()}
		return true
	}
	if wall.Before(l.stall.until) || l.stall.awaitsAttempt() && wall.Sub(l.stall.since) < stall.MaxReadTime {
		l.stall.until = laterOf(l.stall.until, wall.Add(time.Millisecond))
		return true
	}
	l.stall = nil
	return false
}

// attemptsWithAnswer returns the attempts whose answer has arrived and whose end the loop has not
// handled yet.
func (l *Loop) attemptsWithAnswer() (attempts []*attempt) {
	for _, x := range l.openRequests {
		for _, att := range x.attempts {
			if !att.ended && att.answerArrived() {
				attempts = append(attempts, att)
			}
		}
	}
	return attempts
}

// awaitsAttempt returns whether the end of one of the attempts has not been handled yet.
func (s *processStall) awaitsAttempt() bool {
	for _, att := range s.attempts {
		if !att.ended {
			return true
		}
	}
	return false
}

// untilNextTimer returns how long it is until the next timer is due or, after a stall, until the wait
// has to be checked again, whichever is later. There must be a timer.
func (l *Loop) untilNextTimer() time.Duration {
	next := time.Until(l.clock.timeOf(l.timers[0].at))
	if l.stall != nil {
		next = max(next, time.Until(l.stall.until))
	}
	return next
}
