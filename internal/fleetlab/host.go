package fleetlab

import (
	"math"
	"time"
)

// Time is the time since the run started.
type Time = time.Duration

// Condition is how a host responds to connections and requests.
type Condition uint8

// Conditions of a host.
const (
	Serving  Condition = iota
	Dead               // the process has exited: connections are reset and new ones refused
	Silent             // accepts connections and requests but never answers
	Refusing           // the process runs but resets connections and refuses new ones
	Failing            // answers each request with an error after fastErrorDelay
)

// fastErrorDelay is the time that a failing host takes to answer with an error.
const fastErrorDelay = time.Millisecond

// Job is one attempt at a host.
type Job struct {
	Work     time.Duration // at speed 1, including the cost of a new connection
	WaitTime time.Duration // time waiting for other services after the work, which uses no core
	Notified bool          // the gateway's list has the present start of the host
	Done     func(ok bool) // called by the engine when the answer leaves; ok is false for an error

	host      *Host
	remaining time.Duration // work left at speed 1
	startedAt Time          // when a core started the work
	running   bool
	ended     bool
}

// Host models one host. Both engines use it: they pass in the time with each call, and it does no I/O.
// It is not safe for concurrent use.
type Host struct {
	Index         int
	ID            string
	Spec          *HostGroup
	Started       Time // negative: long ago
	Incarnation   int  // raised at each start; connections do not outlive an incarnation
	Condition     Condition
	SlowFactor    float64 // factor on the time that work takes; 1: normal
	Overloaded    bool    // the host has failed by overload; stays set after a restart, for the figures
	overloadDown  bool    // the host has failed by overload and not restarted since
	NotifiedShare float64 // share of the work of the overload that came from gateways whose list had the present start of the host

	rules      *Rules
	meanWork   time.Duration // mean work of a request at speed 1
	queue      []*Job        // jobs that wait for a core
	running    []*Job        // jobs on a core
	pending    int           // requests that run or wait for a core or for other services
	openConns  int
	recentWork []recentWork // while cold: arrivals within the last OverloadWindow

	// Counters for the figures.
	NewConns, RejectedConns, ReceivedRequests int
	MaxOpenConns                              int
}

// recentWork is the work of an attempt that reached a cold host.
type recentWork struct {
	at       Time
	work     float64 // in requests of mean work
	notified bool    // the gateway's list had the present start of the host
}

// NewHost returns a host of a group. A cold host starts at time 0, any other started an hour before.
func NewHost(index int, id string, spec *HostGroup, s *Scenario) *Host {
	h := &Host{Index: index, ID: id, Spec: spec, SlowFactor: 1, Started: -time.Hour, rules: &s.Rules, meanWork: s.meanWork()}
	if spec.Cold {
		h.Started = 0
	}
	return h
}

// meanWork returns the mean work of a request at speed 1 over all classes.
func (s *Scenario) meanWork() time.Duration {
	work, shares := 0.0, 0.0
	for _, c := range s.Classes {
		work += c.Share * float64(c.Work)
		shares += c.Share
	}
	return time.Duration(work / shares)
}

// Capacity returns the share of its full speed that a host has now. It rises linearly from ColdCapacity
// to 1 over WarmAfter.
func (h *Host) Capacity(now Time) float64 {
	age := float64(now-h.Started) / float64(h.rules.WarmAfter)
	return min(1, h.rules.ColdCapacity+(1-h.rules.ColdCapacity)*max(age, 0))
}

// Cold reports whether the host started less than WarmAfter ago.
func (h *Host) Cold(now Time) bool { return now-h.Started < h.rules.WarmAfter.std() }

// Rate returns how many requests of mean work per second the host can serve now.
func (h *Host) Rate(now Time) float64 {
	return h.Capacity(now) * float64(h.Spec.Cores) * h.Spec.Speed / h.SlowFactor / h.meanWork.Seconds()
}

// workBudget returns how many requests of mean work a cold host accepts within an OverloadWindow. That is
// the number N that the rules allow, plus 2 * sqrt(N) + 2 for the random variation of arrivals. A slow
// host has the same budget.
func (h *Host) workBudget(now Time) float64 {
	n := h.rules.OverloadFactor * h.Rate(now) * h.SlowFactor * h.rules.OverloadWindow.std().Seconds()
	return n + 2*math.Sqrt(n) + 2
}

// Headroom returns how many more requests of mean work a cold host accepts now without failing. It is
// negative if the host has already received more than its budget.
func (h *Host) Headroom(now Time) float64 {
	h.dropOldWork(now)
	used := 0.0
	for _, p := range h.recentWork {
		used += p.work
	}
	return h.workBudget(now) - used
}

// dropOldWork drops arrivals that are older than the OverloadWindow.
func (h *Host) dropOldWork(now Time) {
	expired := 0
	for expired < len(h.recentWork) && now-h.recentWork[expired].at >= h.rules.OverloadWindow.std() {
		expired++
	}
	h.recentWork = h.recentWork[expired:]
}

// Connect opens a connection. It returns false if MaxConns are open and the host rejects the connection.
// The caller checks Condition first.
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

// Disconnect closes a connection that was opened in an incarnation. It does nothing if the host has
// restarted since.
func (h *Host) Disconnect(incarnation int) {
	if incarnation == h.Incarnation && h.openConns > 0 {
		h.openConns--
	}
}

// Pending returns the number of requests that run or wait, for a core or for other services.
func (h *Host) Pending() int { return h.pending }

// Verdict is the response of a host to an attempt that arrives.
type Verdict uint8

// Verdicts on an attempt.
const (
	Accepted        Verdict = iota
	Rejected                // answered with the proof that the request was not processed
	NoAnswer                // the host is silent
	FastError               // answered with an error after fastErrorDelay
	ConnectionReset         // the connection is reset
)

// Arrive handles an attempt that has been read completely. The caller calls Advance(now) before. All work
// that reaches a cold host counts for its overload, including what it rejects.
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
	j.host = h
	j.remaining = j.Work
	h.pending++
	h.queue = append(h.queue, j)
	h.startJobs(now)
	return Accepted
}

// overload makes a cold host fail because of the work that it received recently.
func (h *Host) overload() {
	notified, total := 0.0, 0.0
	for _, p := range h.recentWork {
		total += p.work
		if p.notified {
			notified += p.work
		}
	}
	h.Overloaded = true
	h.overloadDown = true
	h.NotifiedShare = notified / total
	h.Kill()
}

// Kill ends the process. Its requests and connections are lost. It does not raise Incarnation.
func (h *Host) Kill() {
	h.Condition = Dead
	for _, j := range append(h.queue, h.running...) {
		j.ended = true
	}
	h.queue = nil
	h.running = nil
	h.pending = 0
	h.openConns = 0
	h.recentWork = nil
}

// Restart restarts the process. The host is cold then.
func (h *Host) Restart(now Time) {
	h.Kill()
	h.Condition = Serving
	h.Started = now
	h.SlowFactor = 1
	h.overloadDown = false
	h.Incarnation++
}

// Silence makes the host silent. The requests that it holds are never answered.
func (h *Host) Silence() {
	h.Kill()
	h.Condition = Silent
}

// speed returns the work at speed 1 that a core does per unit of time.
func (h *Host) speed(now Time) float64 { return h.Spec.Speed * h.Capacity(now) / h.SlowFactor }

// startJobs starts waiting jobs on free cores.
func (h *Host) startJobs(now Time) {
	for len(h.running) < h.Spec.Cores && len(h.queue) > 0 {
		j := h.queue[0]
		h.queue = h.queue[1:]
		j.running = true
		j.startedAt = now
		h.running = append(h.running, j)
	}
}

// NextCompletion returns when the next running job completes its work, or 0 if no job runs.
func (h *Host) NextCompletion() (at Time) {
	for _, j := range h.running {
		if t := j.startedAt + time.Duration(float64(j.remaining)/h.speed(j.startedAt)) + 1; at == 0 || t < at {
			at = t
		}
	}
	return at
}

// Advance advances the host to now and returns the jobs whose work is complete. Their answers leave after
// their WaitTime, when the caller calls Release.
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

// remove removes a job from the running or the waiting ones.
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

// Cancel stops the work of an attempt whose connection was closed. A host stops work when its request is
// cancelled or timed out.
func (h *Host) Cancel(now Time, j *Job) {
	if j.ended || j.host != h {
		return
	}
	j.ended = true
	h.pending--
	h.remove(j)
	h.startJobs(now)
}

// Release ends a job whose answer leaves. It returns false if the job was lost or cancelled before.
func (h *Host) Release(j *Job) bool {
	if j.ended {
		return false
	}
	j.ended = true
	h.pending--
	return true
}
