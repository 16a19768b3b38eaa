package gateway

import (
	"time"

	"lynxspool"
)

// heldUp is a time after the process was held up (stopped, or starved of its core) in which timers
// wait: what has come meanwhile is read first.
type heldUp struct {
	since   time.Time
	until   time.Time // timers wait at least until then
	answers []*try    // whose answers had come; timers wait for their ends, readMost at the most
}

// yieldsTimers says whether timers wait, as one of them was much too late.
func (l *Loop) yieldsTimers(now lynxspool.Time) bool {
	if len(l.timers) == 0 {
		return false
	}
	wall := time.Now()
	if l.heldUp == nil {
		if now-l.timers[0].at <= heldUpLeast {
			return false
		}
		l.heldUp = &heldUp{since: wall, until: wall.Add(readFirst), answers: l.answersThatCame()}
		return true
	}
	if wall.Before(l.heldUp.until) || l.heldUp.waitsFor() && wall.Sub(l.heldUp.since) < readMost {
		l.heldUp.until = later(l.heldUp.until, wall.Add(time.Millisecond))
		return true
	}
	l.heldUp = nil
	return false
}

// answersThatCame are the attempts that have an answer whose end the loop has not heard of.
func (l *Loop) answersThatCame() (answers []*try) {
	for _, x := range l.open {
		for _, t := range x.attempts {
			if !t.ended && t.answerCame() {
				answers = append(answers, t)
			}
		}
	}
	return answers
}

// waitsFor says whether an answer has yet to be heard of.
func (h *heldUp) waitsFor() bool {
	for _, t := range h.answers {
		if !t.ended {
			return true
		}
	}
	return false
}

// nextRing is how long it is until the next timer rings.
func (l *Loop) nextRing() time.Duration {
	next := time.Until(l.clock.time(l.timers[0].at))
	if l.heldUp != nil {
		next = max(next, time.Until(l.heldUp.until))
	}
	return next
}
