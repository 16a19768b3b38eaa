// Package admit decides which calls a service works on, which wait, and which it turns away
// and for how long. It does no I/O and reads no clock: the service tells it of arrivals and
// ends with the present time, so a real service and a model of it decide alike.
package admit

import (
	"time"
)

// Class orders the calls that wait: a lower one goes first.
type Class int

// Classes of a call for a list. A caller without a list can serve nobody; one that resumes
// costs little; one that wants the whole list anew has one to go on with.
const (
	NoList Class = iota
	Resume
	FullList
	classes
)

// Options bound a Gate. All must be above 0.
type Options struct {
	Work  int           // calls in work at most
	Queue int           // calls that wait at most
	Wait  time.Duration // a call that waited this long is turned away
	Least time.Duration // least time between two calls that were told to come back
	Most  time.Duration // longest time that a caller is told to stay away
}

// Decision is what becomes of a call.
type Decision struct {
	ID         uint64
	Admitted   bool
	RetryAfter time.Duration // turned away: come back after this
}

// Gate keeps the calls of one service. The zero value is not usable; see New. It is not
// safe for concurrent use.
type Gate struct {
	opt    Options
	now    time.Duration
	work   int
	lines  [classes][]call
	queued int
	took   float64       // seconds a call is in work, a moving average
	booked time.Duration // the last time that a caller was told to come back at
}

type call struct {
	id    uint64
	since time.Duration
}

// New returns a Gate for a service that begins idle.
func New(opt Options) *Gate { return &Gate{opt: opt} }

// Arrive is a call that comes now, on any clock that does not go back. It returns the
// verdicts that are due: on this call unless it waits, and on one that it displaced. When
// the queue is full, the youngest of the last class makes room for one of an earlier class.
func (g *Gate) Arrive(now time.Duration, id uint64, class Class) (due []Decision) {
	due = g.Expire(now)
	if g.work < g.opt.Work && g.queued == 0 {
		g.work++
		return append(due, Decision{ID: id, Admitted: true})
	}
	if g.queued >= g.opt.Queue {
		last := classes - 1
		for last > class && len(g.lines[last]) == 0 {
			last--
		}
		if last <= class {
			return append(due, g.shed(id))
		}
		line := g.lines[last]
		due = append(due, g.shed(line[len(line)-1].id))
		g.lines[last], g.queued = line[:len(line)-1], g.queued-1
	}
	g.lines[class] = append(g.lines[class], call{id, now})
	g.queued++
	return due
}

// Done is the end of a call's work, which took so long; those that it makes room for are
// let in.
func (g *Gate) Done(now, took time.Duration) (due []Decision) {
	due = g.Expire(now)
	g.work--
	if g.took == 0 {
		g.took = took.Seconds()
	}
	g.took += (took.Seconds() - g.took) / 16
	for class := range g.lines {
		for len(g.lines[class]) > 0 && g.work < g.opt.Work {
			due = append(due, Decision{ID: g.lines[class][0].id, Admitted: true})
			g.lines[class] = g.lines[class][1:]
			g.queued--
			g.work++
		}
	}
	return due
}

// Cancel is the end of a call that waits, by its caller; false says that it does not wait.
func (g *Gate) Cancel(id uint64) bool {
	for class, line := range g.lines {
		for i, c := range line {
			if c.id == id {
				g.lines[class] = append(line[:i:i], line[i+1:]...)
				g.queued--
				return true
			}
		}
	}
	return false
}

// Expire turns away the calls that have waited too long by now.
func (g *Gate) Expire(now time.Duration) (due []Decision) {
	g.now = max(g.now, now)
	for class := range g.lines {
		for len(g.lines[class]) > 0 && g.now-g.lines[class][0].since >= g.opt.Wait {
			due = append(due, g.shed(g.lines[class][0].id))
			g.lines[class] = g.lines[class][1:]
			g.queued--
		}
	}
	return due
}

// shed turns a call away. Each is told a time of its own, one call's work after the last
// one told and after what waits now, so that they do not come back together.
func (g *Gate) shed(id uint64) Decision {
	gap := max(g.opt.Least, time.Duration(g.took/float64(g.opt.Work)*1e9))
	g.booked = max(g.booked, g.now+time.Duration(g.queued)*gap) + gap
	if g.booked-g.now > g.opt.Most {
		g.booked = g.now + gap // the times to tell are used up: begin anew
	}
	return Decision{ID: id, RetryAfter: g.booked - g.now}
}

// Waiting is how many calls wait, and Working how many are in work.
func (g *Gate) Waiting() int { return g.queued }

// Working is how many calls are in work.
func (g *Gate) Working() int { return g.work }
