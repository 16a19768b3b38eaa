package gateway

import (
	"container/heap"

	"bramblelock"
)

// runTimers handles at most as many due timers as there are timers now. A timer that is set meanwhile
// may have to wait for the next call, so that timers cannot keep events from being handled. After the
// process was stalled, timers wait until what arrived meanwhile has been handled: an unread answer does
// not mean that its host is silent.
func (l *Loop) runTimers() {
	now := l.clock.now()
	if l.deferTimers(now) {
		return
	}
	if len(l.timers) > 0 && l.timers[0].at <= now {
		l.reportAnswerProgress(now)
	}
	for n := len(l.timers); n > 0 && len(l.timers) > 0 && l.timers[0].at <= now; n-- {
		w := heap.Pop(&l.timers).(balancerTimer)
		began := l.clock.now()
		l.balancer.Timer(now, w.token)
		l.performActions()
		l.recordHold(began)
	}
}

// balancerTimer is a timer of the Balancer.
type balancerTimer struct {
	at    bramblelock.Time
	token uint64
}

// timerHeap is a heap with the earliest timer first.
type timerHeap []balancerTimer

func (t timerHeap) Len() int           { return len(t) }
func (t timerHeap) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timerHeap) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timerHeap) Push(w any)        { *t = append(*t, w.(balancerTimer)) }
func (t *timerHeap) Pop() any {
	last := len(*t) - 1
	w := (*t)[last]
	*t = (*t)[:last]
	return w
}
