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

// fastErrorDelay is how long a failing host takes for an error.
const fastErrorDelay = time.Millisecond

// Job is one attempt at a host.
type Job struct {
	Work     time.Duration // on a core at speed 1, a new connection's cost included
	WaitTime time.Duration // on others, after the work
	Notified bool          // its sender had been told of the host's present start
	Done     func(ok bool) // called by the engine when the answer leaves; ok is false for an error

	host      *Host
	remaining time.Duration // work not yet done, at speed 1
	startedAt Time          // when a core last took it up
	running   bool
	ended     bool
}

// Host is the model of one host, the same in both engines: it is told the time with each
// call and does no I/O. It is not safe for concurrent use.
type Host struct {
	Index         int
	ID            string
	Spec          *HostGroup
	Started       Time // negative: long ago
	Incarnation   int  // raised at each start: connections do not outlive it
	Condition     Condition
	SlowFactor    float64 // times slower; 1 is usual
	Overloaded    bool    // it was pushed over
	NotifiedShare float64 // ... of that, the share from gateways that had been told

	rules      *Rules
	meanWork   time.Duration // mean work of a request at speed 1
	queue      []*Job        // those that wait for a core, then those that run, are in work
	running    []*Job
	pending    int // in work, waiting, or waiting on others
	openConns  int
	recentWork []recentWork // what reached it in the last Fall while cold

	// Counted for the figures.
	NewConns, RejectedConns, ReceivedRequests int
	MaxOpenConns                              int
}

type recentWork struct {
	at       Time
	work     float64 // in requests of mean work
	notified bool
}

// NewHost returns a host of a group; cold hosts start at 0.
func NewHost(i int, id string, spec *HostGroup, s *Scenario) *Host {
	h := &Host{Index: i, ID: id, Spec: spec, SlowFactor: 1, Started: -time.Hour, rules: &s.Rules, meanWork: s.meanWork()}
	if spec.Cold {
		h.Started = 0
	}
	return h
}

func (s *Scenario) meanWork() time.Duration {
	work, shares := 0.0, 0.0
	for _, c := range s.Classes {
		work += c.Share * float64(c.Work)
		shares += c.Share
	}
	return time.Duration(work / shares)
}

// Capacity is the share of its full speed that a host has now: it rises evenly from
// ColdFrom to 1 over WarmAfter (BRIEF, drains and cold starts).
func (h *Host) Capacity(now Time) float64 {
	age := float64(now-h.Started) / float64(h.rules.WarmAfter)
	return min(1, h.rules.ColdCapacity+(1-h.rules.ColdCapacity)*max(age, 0))
}

// Cold says whether the host started less than WarmAfter ago.
func (h *Host) Cold(now Time) bool { return now-h.Started < h.rules.WarmAfter.std() }

// Rate is the requests of mean work a second that it can do now.
func (h *Host) Rate(now Time) float64 {
	return h.Capacity(now) * float64(h.Spec.Cores) * h.Spec.Speed / h.SlowFactor / h.meanWork.Seconds()
}

// workBudget is how many requests of mean work a cold host stands within any Fall: what the
// settings allow and a little slack for chance (STANDING: N + 2 x root of N + 2).
func (h *Host) workBudget(now Time) float64 {
	n := h.rules.OverloadFactor * h.Rate(now) * h.SlowFactor * h.rules.OverloadWindow.std().Seconds()
	return n + 2*math.Sqrt(n) + 2
}

// Headroom is how many more requests of mean work a cold host stands now.
func (h *Host) Headroom(now Time) float64 {
	h.dropOldWork(now)
	used := 0.0
	for _, p := range h.recentWork {
		used += p.work
	}
	return h.workBudget(now) - used
}

func (h *Host) dropOldWork(now Time) {
	n := 0
	for n < len(h.recentWork) && now-h.recentWork[n].at >= h.rules.OverloadWindow.std() {
		n++
	}
	h.recentWork = h.recentWork[n:]
}

// Connect opens a connection: false means that the table is full and it is turned away.
// The caller looks at Cond first.
func (h *Host) Connect() bool {
	h.NewConns++
	if h.openConns >= h.rules.MaxConns {
		h.RejectedConns++
		return false
	}
	h.openConns++
	h.MaxOpenConns = max(h.MaxOpenConns, h.openConns)
	return true
}

// Disconnect ends a connection made in the present incarnation.
func (h *Host) Disconnect(incarnation int) {
	if incarnation == h.Incarnation && h.openConns > 0 {
		h.openConns--
	}
}

// Pending is how many requests it holds.
func (h *Host) Pending() int { return h.pending }

// Verdict is what a host does with an attempt that arrives.
type Verdict uint8

// Verdicts.
const (
	Accepted Verdict = iota
	Rejected         // proves that it never ran
	NoAnswer         // silent
	FastError
	ConnectionReset // the connection is reset
)

// Arrive takes an attempt whose last byte has come; Advance(now) comes before it. All work
// that reaches a cold host adds to the push, what it turns away too.
func (h *Host) Arrive(now Time, j *Job) Verdict {
	switch h.Condition {
	case Dead, Refusing:
		return ConnectionReset
	case Silent:
		return NoAnswer
	}
	h.ReceivedRequests++
	if h.Cold(now) {
		h.recentWork = append(h.recentWork, recentWork{now, float64(j.Work) / float64(h.meanWork), j.Notified})
		if h.Headroom(now) < 0 {
			h.overload()
			return ConnectionReset
		}
	}
	if h.Condition == Failing {
		return FastError
	}
	if h.pending >= h.rules.QueueLimit {
		return Rejected
	}
	j.host, j.remaining = h, j.Work
	h.pending++
	h.queue = append(h.queue, j)
	h.startJobs(now)
	return Accepted
}

func (h *Host) overload() {
	notified, total := 0.0, 0.0
	for _, p := range h.recentWork {
		total += p.work
		if p.notified {
			notified += p.work
		}
	}
	h.Overloaded, h.NotifiedShare = true, notified/total
	h.Kill()
}

// Kill ends the process: what it held is lost.
func (h *Host) Kill() {
	h.Condition = Dead
	for _, j := range append(h.queue, h.running...) {
		j.ended = true
	}
	h.queue, h.running, h.pending, h.openConns, h.recentWork = nil, nil, 0, 0, nil
}

// Restart starts the process anew, cold.
func (h *Host) Restart(now Time) {
	h.Kill()
	h.Condition, h.Started, h.SlowFactor = Serving, now, 1
	h.Incarnation++
}

// Silence makes it silent: what it held goes unanswered.
func (h *Host) Silence() {
	h.Kill()
	h.Condition = Silent
}

// speed is the work a core does in a second of time, at speed 1.
func (h *Host) speed(now Time) float64 { return h.Spec.Speed * h.Capacity(now) / h.SlowFactor }

// startJobs lets free cores take up what waits.
func (h *Host) startJobs(now Time) {
	for len(h.running) < h.Spec.Cores && len(h.queue) > 0 {
		j := h.queue[0]
		h.queue = h.queue[1:]
		j.running, j.startedAt = true, now
		h.running = append(h.running, j)
	}
}

// NextCompletion is when the next running job ends its work, or 0 with none.
func (h *Host) NextCompletion() (at Time) {
	for _, j := range h.running {
		if t := j.startedAt + time.Duration(float64(j.remaining)/h.speed(j.startedAt)) + 1; at == 0 || t < at {
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
			if t := j.startedAt + time.Duration(float64(j.remaining)/h.speed(j.startedAt)) + 1; first == nil || t < at {
				first, at = j, t
			}
		}
		if first == nil || at > now {
			return done
		}
		h.remove(first)
		done = append(done, first)
		h.startJobs(at)
	}
}

func (h *Host) remove(j *Job) {
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
	h.pending--
	h.remove(j)
	h.startJobs(now)
}

// Release ends a job whose answer has left; false means that it was lost before.
func (h *Host) Release(j *Job) bool {
	if j.ended {
		return false
	}
	j.ended = true
	h.pending--
	return true
}
