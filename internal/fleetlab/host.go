package fleetlab

import (
	"math"
	"time"
)

// Time is an instant as the time since the play began.
type Time = time.Duration

// Condition is what a host does with what reaches it.
type Condition uint8

// Conditions of a host.
const (
	Serving  Condition = iota
	Dead               // connections are reset and new ones refused
	Silent             // takes everything, says nothing
	Refusing           // resets and refuses at once though its process runs
	Failing            // answers each request with an error within fastError
)

// fastError is how long a failing host takes for an error.
const fastError = time.Millisecond

// Job is one attempt at a host.
type Job struct {
	Work  time.Duration // on a core at speed 1, a new connection's cost included
	Waits time.Duration // on others, after the work
	Told  bool          // its sender had been told of the host's present start
	Done  func(ok bool) // called by the engine when the answer leaves; ok is false for an error

	host    *Host
	left    time.Duration // work not yet done, at speed 1
	since   Time          // when a core last took it up
	running bool
	ended   bool
}

// Host is the model of one host, the same in both engines: it is told the time with each
// call and does no I/O. It is not safe for concurrent use.
type Host struct {
	Index   int
	ID      string
	Spec    *Hosts
	Started Time // negative: long ago
	Inc     int  // raised at each start: connections do not outlive it
	Cond    Condition
	Slow    float64 // times slower; 1 is usual
	Fell    bool    // it was pushed over
	FellBy  float64 // ... of that, the share from gateways that had been told

	rules   *Rules
	mean    time.Duration // mean work of a request at speed 1
	queue   []*Job        // those that wait for a core, then those that run, are in work
	running []*Job
	held    int // in work, waiting, or waiting on others
	conns   int
	pushes  []push // what reached it in the last Fall while cold

	// Counted for the figures.
	NewConns, TurnedAway, Taken int
	MostConns                   int
}

type push struct {
	at   Time
	work float64 // in requests of mean work
	told bool
}

// NewHost returns a host of a group; cold hosts start at 0.
func NewHost(i int, id string, spec *Hosts, s *Scenario) *Host {
	h := &Host{Index: i, ID: id, Spec: spec, Slow: 1, Started: -time.Hour, rules: &s.Rules, mean: s.meanWork()}
	if spec.Cold {
		h.Started = 0
	}
	return h
}

func (s *Scenario) meanWork() time.Duration {
	sum, shares := 0.0, 0.0
	for _, c := range s.Classes {
		sum += c.Share * float64(c.Work)
		shares += c.Share
	}
	return time.Duration(sum / shares)
}

// Capacity is the share of its full speed that a host has now: it rises evenly from
// ColdFrom to 1 over WarmAfter (BRIEF, drains and cold starts).
func (h *Host) Capacity(now Time) float64 {
	age := float64(now-h.Started) / float64(h.rules.WarmAfter)
	return min(1, h.rules.ColdFrom+(1-h.rules.ColdFrom)*max(age, 0))
}

// Cold says whether the host started less than WarmAfter ago.
func (h *Host) Cold(now Time) bool { return now-h.Started < h.rules.WarmAfter.std() }

// Rate is the requests of mean work a second that it can do now.
func (h *Host) Rate(now Time) float64 {
	return h.Capacity(now) * float64(h.Spec.Cores) * h.Spec.Speed / h.Slow / h.mean.Seconds()
}

// budget is how many requests of mean work a cold host stands within any Fall: what the
// settings allow and a little slack for chance (STANDING: N + 2 x root of N + 2).
func (h *Host) budget(now Time) float64 {
	n := h.rules.OverloadFactor * h.Rate(now) * h.Slow * h.rules.Fall.std().Seconds()
	return n + 2*math.Sqrt(n) + 2
}

// Room is how many more requests of mean work a cold host stands now.
func (h *Host) Room(now Time) float64 {
	h.trim(now)
	used := 0.0
	for _, p := range h.pushes {
		used += p.work
	}
	return h.budget(now) - used
}

func (h *Host) trim(now Time) {
	n := 0
	for n < len(h.pushes) && now-h.pushes[n].at >= h.rules.Fall.std() {
		n++
	}
	h.pushes = h.pushes[n:]
}

// Connect opens a connection: false means that the table is full and it is turned away.
// The caller looks at Cond first.
func (h *Host) Connect() bool {
	h.NewConns++
	if h.conns >= h.rules.ConnCap {
		h.TurnedAway++
		return false
	}
	h.conns++
	h.MostConns = max(h.MostConns, h.conns)
	return true
}

// Disconnect ends a connection made in the present incarnation.
func (h *Host) Disconnect(inc int) {
	if inc == h.Inc && h.conns > 0 {
		h.conns--
	}
}

// Pending is how many requests it holds.
func (h *Host) Pending() int { return h.held }

// Verdict is what a host does with an attempt that arrives.
type Verdict uint8

// Verdicts.
const (
	Accepted Verdict = iota
	TurnAway         // proves that it never ran
	NoAnswer         // silent
	FastError
	Broken // the connection is reset
)

// Arrive takes an attempt whose last byte has come; Advance(now) comes before it. All work
// that reaches a cold host adds to the push, what it turns away too.
func (h *Host) Arrive(now Time, j *Job) Verdict {
	switch h.Cond {
	case Dead, Refusing:
		return Broken
	case Silent:
		return NoAnswer
	}
	h.Taken++
	if h.Cold(now) {
		h.pushes = append(h.pushes, push{now, float64(j.Work) / float64(h.mean), j.Told})
		if h.Room(now) < 0 {
			h.fall()
			return Broken
		}
	}
	if h.Cond == Failing {
		return FastError
	}
	if h.held >= h.rules.Queue {
		return TurnAway
	}
	j.host, j.left = h, j.Work
	h.held++
	h.queue = append(h.queue, j)
	h.start(now)
	return Accepted
}

func (h *Host) fall() {
	told, all := 0.0, 0.0
	for _, p := range h.pushes {
		all += p.work
		if p.told {
			told += p.work
		}
	}
	h.Fell, h.FellBy = true, told/all
	h.Kill()
}

// Kill ends the process: what it held is lost.
func (h *Host) Kill() {
	h.Cond = Dead
	for _, j := range append(h.queue, h.running...) {
		j.ended = true
	}
	h.queue, h.running, h.held, h.conns, h.pushes = nil, nil, 0, 0, nil
}

// Restart starts the process anew, cold.
func (h *Host) Restart(now Time) {
	h.Kill()
	h.Cond, h.Started, h.Slow = Serving, now, 1
	h.Inc++
}

// Mute makes it silent: what it held goes unanswered.
func (h *Host) Mute() {
	h.Kill()
	h.Cond = Silent
}

// speed is the work a core does in a second of time, at speed 1.
func (h *Host) speed(now Time) float64 { return h.Spec.Speed * h.Capacity(now) / h.Slow }

// start lets free cores take up what waits.
func (h *Host) start(now Time) {
	for len(h.running) < h.Spec.Cores && len(h.queue) > 0 {
		j := h.queue[0]
		h.queue = h.queue[1:]
		j.running, j.since = true, now
		h.running = append(h.running, j)
	}
}

// Next is when the next running job ends its work, or 0 with none.
func (h *Host) Next() (at Time) {
	for _, j := range h.running {
		if t := j.since + time.Duration(float64(j.left)/h.speed(j.since)) + 1; at == 0 || t < at {
			at = t
		}
	}
	return at
}

// Advance brings the host up to now and returns the jobs whose work has ended; their
// answers leave after their Waits, and Release follows then.
func (h *Host) Advance(now Time) (done []*Job) {
	for {
		var first *Job
		var at Time
		for _, j := range h.running {
			if t := j.since + time.Duration(float64(j.left)/h.speed(j.since)) + 1; first == nil || t < at {
				first, at = j, t
			}
		}
		if first == nil || at > now {
			return done
		}
		h.drop(first)
		done = append(done, first)
		h.start(at)
	}
}

func (h *Host) drop(j *Job) {
	for _, list := range []*[]*Job{&h.running, &h.queue} {
		for i, o := range *list {
			if o == j {
				*list = append((*list)[:i:i], (*list)[i+1:]...)
				return
			}
		}
	}
}

// Cancel stops the work of an attempt whose connection was closed (BRIEF: work stops when
// its request is cancelled or timed out).
func (h *Host) Cancel(now Time, j *Job) {
	if j.ended || j.host != h {
		return
	}
	j.ended = true
	h.held--
	h.drop(j)
	h.start(now)
}

// Release ends a job whose answer has left; false means that it was lost before.
func (h *Host) Release(j *Job) bool {
	if j.ended {
		return false
	}
	j.ended = true
	h.held--
	return true
}
