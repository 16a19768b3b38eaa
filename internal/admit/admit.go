// Package admit implements admission control for a service: it decides which calls are in flight,
// which wait in a queue, and which are shed with a retry delay. It does no I/O and reads no clock.
// The service passes in arrivals and completions with the present time, so a real service and a
// simulation of it decide alike.
package admit

import (
	"time"
)

// Class is the priority of a call. Waiting calls of a numerically lower Class are admitted first.
type Class int

// Classes of the calls that ask for a list.
const (
	NoList     Class = iota // the caller has no list and cannot serve any client
	Resume                  // the caller resumes from its version, which costs the service little
	FullList                // the caller wants the full list again but can go on with the one it has
	classCount              // number of classes
)

// averageWeight is the weight of the latest duration in the moving average of a Gate.
const averageWeight = 1.0 / 16

// Options are the limits of a Gate. All of them must be greater than 0, which New does not check.
type Options struct {
	Work  int           // maximum number of calls in flight
	Queue int           // maximum number of waiting calls
	Wait  time.Duration // maximum waiting time; a call that has waited this long is shed
	Least time.Duration // minimum time between the retry times of two shed calls, until these start over after Most
	Most  time.Duration // maximum retry delay
}

// Decision is the outcome of a call: it is admitted or shed.
type Decision struct {
	ID         uint64 // ID of the call, as passed to Arrive
	Admitted   bool
	RetryAfter time.Duration // retry delay of a shed call; 0 if the call is admitted
}

// Gate limits the calls in flight and the waiting calls of one service. Create it with New. It is
// not safe for concurrent use.
type Gate struct {
	opt             Options
	now             time.Duration      // latest time passed in, since the caller's origin
	inFlight        int                // calls in flight
	queues          [classCount][]call // waiting calls by Class, oldest first
	queued          int                // calls in all queues
	averageDuration float64            // moving average of the time in seconds that a call is in flight; 0 before the first Done
	lastRetryAt     time.Duration      // latest retry time given to a shed call
}

// call is a waiting call.
type call struct {
	id    uint64
	since time.Duration // when it arrived
}

// New returns a Gate without any calls.
func New(opt Options) *Gate { return &Gate{opt: opt} }

// Arrive adds a call that arrives at the time now, counted on a monotonic clock from an origin that is
// the same for all methods. The id must differ from those of the waiting calls. Arrive returns the
// decisions made: on this call unless it waits, on a call that it displaced, and on expired calls.
// When the queue is full, a call displaces the youngest waiting call of the highest Class above its
// own, or is shed if there is none.
func (g *Gate) Arrive(now time.Duration, id uint64, class Class) (decisions []Decision) {
	decisions = g.Expire(now)
	if g.inFlight < g.opt.Work && g.queued == 0 {
		g.inFlight++
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
		g.queues[displacedClass] = queue[:len(queue)-1]
		g.queued--
	}
	g.queues[class] = append(g.queues[class], call{id, now})
	g.queued++
	return decisions
}

// Done ends an admitted call that was in flight for the given duration and admits waiting calls in its
// place. It returns the decisions made: on the admitted calls and on expired calls.
func (g *Gate) Done(now, duration time.Duration) (decisions []Decision) {
	decisions = g.Expire(now)
	g.inFlight--
	if g.averageDuration == 0 {
		g.averageDuration = duration.Seconds()
	}
	g.averageDuration += (duration.Seconds() - g.averageDuration) * averageWeight
	for class := range g.queues {
		for len(g.queues[class]) > 0 && g.inFlight < g.opt.Work {
			decisions = append(decisions, Decision{ID: g.popOldest(class).id, Admitted: true})
			g.inFlight++
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
			decisions = append(decisions, g.shed(g.queues[class][0].id)) // counts the call as waiting
			g.popOldest(class)
		}
	}
	return decisions
}

// popOldest removes the oldest waiting call of a class, of which there must be one, and returns it.
func (g *Gate) popOldest(class int) call {
	oldest := g.queues[class][0]
	g.queues[class] = g.queues[class][1:]
	g.queued--
	return oldest
}

// shed returns the decision that sheds a call; the caller removes the call from its queue. Each shed
// call gets its own retry time, so that callers do not all return at once: one gap after the last
// retry time given, and at least one gap after the calls that wait now would be admitted at one per
// gap. The gap is the average time between two completions while the Gate is full, but at least
// Options.Least.
func (g *Gate) shed(id uint64) Decision {
	gap := max(g.opt.Least, time.Duration(g.averageDuration/float64(g.opt.Work)*1e9))
	g.lastRetryAt = max(g.lastRetryAt, g.now+time.Duration(g.queued)*gap) + gap
	if g.lastRetryAt-g.now > g.opt.Most {
		g.lastRetryAt = g.now + gap // the range up to Options.Most is used up: start over, so times can repeat
	}
	return Decision{ID: id, RetryAfter: g.lastRetryAt - g.now}
}

// Waiting returns the number of waiting calls.
func (g *Gate) Waiting() int { return g.queued }

// InFlight returns the number of calls in flight.
func (g *Gate) InFlight() int { return g.inFlight }
