// Package admit implements admission control for a service: it decides which calls are worked on,
// which wait in a queue, and which are shed with a retry delay. It does no I/O and reads no clock.
// The service passes in arrivals and completions with the present time, so a real service and a
// simulation of it decide alike.
package admit

import (
	"time"
)

// Class is the priority of a waiting call. Calls of a lower Class are admitted first.
type Class int

// Classes of the calls that ask for a list.
const (
	NoList     Class = iota // the caller has no list and cannot serve anybody
	Resume                  // the caller resumes from its version, which costs the service little
	FullList                // the caller wants the full list again but can go on with the one it has
	classCount              // number of classes
)

// Options are the limits of a Gate. All of them must be greater than 0.
type Options struct {
	Work  int           // maximum number of calls in work
	Queue int           // maximum number of waiting calls
	Wait  time.Duration // a call that has waited this long is shed
	Least time.Duration // minimum time between the retries of two shed calls
	Most  time.Duration // maximum retry delay
}

// Decision is the outcome of a call: it is admitted or shed.
type Decision struct {
	ID         uint64 // ID of the call, as passed to Arrive
	Admitted   bool
	RetryAfter time.Duration // retry delay of a shed call; 0 if the call is admitted
}

// Gate limits the calls in work and the waiting calls of one service. Create it with New. It is
// not safe for concurrent use.
type Gate struct {
	opt         Options
	now         time.Duration // latest time passed in
	working     int           // calls in work
	queues      [classCount][]call
	queued      int           // calls in all queues
	averageWork float64       // moving average of the seconds that a call is in work
	lastRetryAt time.Duration // latest retry time given to a shed call
}

// call is a waiting call.
type call struct {
	id    uint64
	since time.Duration // when it arrived
}

// New returns a Gate without any calls.
func New(opt Options) *Gate { return &Gate{opt: opt} }

// Arrive adds a call that arrives now, on any monotonic clock. It returns the decisions made: on
// this call unless it waits, on a call that it displaced, and on expired calls. When the queue is
// full, a call displaces the youngest waiting call of the highest Class above its own.
func (g *Gate) Arrive(now time.Duration, id uint64, class Class) (decisions []Decision) {
	decisions = g.Expire(now)
	if g.working < g.opt.Work && g.queued == 0 {
		g.working++
		return append(decisions, Decision{ID: id, Admitted: true})
	}
	if g.queued >= g.opt.Queue {
		displacedClass := classCount - 1
		for displacedClass > class && len(g.queues[displacedClass]) == 0 {
			displacedClass--
		}
		if displacedClass <= class {
			return append(decisions, g.shed(id))
		}
		queue := g.queues[displacedClass]
		decisions = append(decisions, g.shed(queue[len(queue)-1].id))
		g.queues[displacedClass], g.queued = queue[:len(queue)-1], g.queued-1
	}
	g.queues[class] = append(g.queues[class], call{id, now})
	g.queued++
	return decisions
}

// Done ends the work of an admitted call, which took the given time, and admits waiting calls in
// its stead. It returns the decisions made.
func (g *Gate) Done(now, took time.Duration) (decisions []Decision) {
	decisions = g.Expire(now)
	g.working--
	if g.averageWork == 0 {
		g.averageWork = took.Seconds()
	}
	g.averageWork += (took.Seconds() - g.averageWork) / 16
	for class := range g.queues {
		for len(g.queues[class]) > 0 && g.working < g.opt.Work {
			decisions = append(decisions, Decision{ID: g.queues[class][0].id, Admitted: true})
			g.queues[class] = g.queues[class][1:]
			g.queued--
			g.working++
		}
	}
	return decisions
}

// Cancel removes a waiting call that its caller has given up. It returns false if the call does
// not wait.
func (g *Gate) Cancel(id uint64) bool {
	for class, queue := range g.queues {
		for i, c := range queue {
			if c.id == id {
				g.queues[class] = append(queue[:i:i], queue[i+1:]...)
				g.queued--
				return true
			}
		}
	}
	return false
}

// Expire sheds the calls that have waited for Options.Wait and returns the decisions on them.
func (g *Gate) Expire(now time.Duration) (decisions []Decision) {
	g.now = max(g.now, now)
	for class := range g.queues {
		for len(g.queues[class]) > 0 && g.now-g.queues[class][0].since >= g.opt.Wait {
			decisions = append(decisions, g.shed(g.queues[class][0].id))
			g.queues[class] = g.queues[class][1:]
			g.queued--
		}
	}
	return decisions
}

// shed returns the decision that sheds a call. Each shed call gets its own retry time, one call's
// work after the last one given and after the calls that wait now, so that callers do not all
// return at once.
func (g *Gate) shed(id uint64) Decision {
	gap := max(g.opt.Least, time.Duration(g.averageWork/float64(g.opt.Work)*1e9))
	g.lastRetryAt = max(g.lastRetryAt, g.now+time.Duration(g.queued)*gap) + gap
	if g.lastRetryAt-g.now > g.opt.Most {
		g.lastRetryAt = g.now + gap // the range up to Options.Most is used up: start over
	}
	return Decision{ID: id, RetryAfter: g.lastRetryAt - g.now}
}

// Waiting returns the number of waiting calls.
func (g *Gate) Waiting() int { return g.queued }

// Working returns the number of calls in work.
func (g *Gate) Working() int { return g.working }
