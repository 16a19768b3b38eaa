package gateway

import (
	"container/heap"
	"context"
	"hash/fnv"
	"log/slog"
	"math"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"bramblelock"
)

// Loop owns the Balancer, which is the decision module (package bramblelock). Other goroutines post
// events to the Loop. It handles them one at a time and performs the actions that the Balancer
// decides on. It never blocks: work that takes time runs in its own goroutine and posts its result
// as an event.
type Loop struct {
	events chan func(now bramblelock.Time)
	done   chan struct{} // closed when Run returns
	ready  atomic.Bool   // a host that takes new requests is known
	rules  atomic.Pointer[Rules]
	Audit  Audit

	// The fields below are owned by the goroutine of Run.
	clock         clock
	wallClock     func() time.Time // returns the wall-clock time, which may be stepped; time.Now except in tests
	balancer      *bramblelock.Balancer
	actions       []bramblelock.Action
	timers        timerHeap
	pool          *Pool
	requestWatch  func() // requests a watch from Discovery; does not block
	hosts         map[bramblelock.HostID]*host
	openRequests  map[bramblelock.RequestID]*exchange // requests without an answer or with an attempt in flight
	lastID        bramblelock.RequestID               // of the request submitted last
	zones         map[string]int                      // indices of the zones by name; see nameIndex
	kinds         map[string]int                      // indices of the kinds of hosts by name; see nameIndex
	everListed    map[string]bool                     // ids of hosts that were ever listed
	inMaintenance map[string]bool                     // ids of hosts in maintenance
	ctx           context.Context                     // context of all attempts
	stall         *processStall                       // set while timers wait, after a stall of the process, until what has arrived has been read; else nil

	firstList     chan struct{} // closed once discovery has sent or confirmed a list
	firstListOnce sync.Once
}

// clock gives the time that the Balancer uses: nanoseconds since the Unix epoch, taken from the wall
// clock at start and counted by the monotonic clock from then on. Later steps of the wall clock do not
// affect it.
type clock struct {
	start time.Time
}

func (c clock) now() bramblelock.Time { return c.at(time.Now()) }

func (c clock) at(t time.Time) bramblelock.Time {
	return bramblelock.Time(c.start.UnixNano()) + t.Sub(c.start)
}

// maxStartMS is an upper limit on start times, in Unix ms. Later ones would overflow.
const maxStartMS = math.MaxInt64 / 4 / int64(time.Millisecond)

// startTime converts the start time of a host, in Unix ms of the wall clock, to the Balancer's time.
// wall is the present time of the wall clock, which may have been stepped since the start of this
// process, on all machines or on this one. So the start time is converted both with the wall clock
// at the start of this process and with the present one, and the later result counts: a host that
// counts as cold for too long gets less traffic for a while, but one that wrongly counts as warm is
// overloaded.
func (c clock) startTime(unixMS int64, wall time.Time) bramblelock.Time {
	if unixMS <= 0 {
		return 0 // the start time is not known and counts as long ago
	}
	unixMS = min(unixMS, maxStartMS)
	now := c.now()
	byStart := bramblelock.Time(unixMS) * bramblelock.Time(time.Millisecond)
	byNow := now - bramblelock.Time(wall.UnixMilli()-unixMS)*bramblelock.Time(time.Millisecond)
	return min(now, max(byStart, byNow))
}

// timeOf converts a time of the Balancer to a time.Time with a monotonic reading.
func (c clock) timeOf(t bramblelock.Time) time.Time {
	return c.start.Add(t - bramblelock.Time(c.start.UnixNano()))
}

// NewLoop returns a Loop that sends attempts through pool. It calls requestWatch when the Balancer
// asks for changes of the list; requestWatch must not block.
func NewLoop(cfg *Config, pool *Pool, requestWatch func()) (*Loop, error) {
	balancer, err := bramblelock.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	l := &Loop{
		events: make(chan func(bramblelock.Time), 1024), done: make(chan struct{}),
		clock: clock{time.Now()}, wallClock: time.Now, balancer: balancer, pool: pool, requestWatch: requestWatch,
		hosts: map[bramblelock.HostID]*host{}, openRequests: map[bramblelock.RequestID]*exchange{},
		zones: cfg.Zones, kinds: cfg.Kinds, everListed: map[string]bool{}, inMaintenance: map[string]bool{},
		firstList: make(chan struct{}),
	}
	pool.audit = &l.Audit
	l.rules.Store(&cfg.Rules)
	return l, nil
}

// Run handles events and timers until ctx ends, which also ends all attempts.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	l.ctx = ctx
	l.balancer.Start(l.clock.now())
	l.performActions()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case handle := <-l.events:
			handle(l.clock.now())
			l.performActions()
		case <-timer.C:
			l.runTimers()
		}
		if len(l.timers) > 0 {
			timer.Reset(l.untilNextTimer())
		}
	}
}

// post passes an event to the goroutine of Run, which calls handle. After Run has returned, the event
// is dropped.
func (l *Loop) post(handle func(now bramblelock.Time)) {
	select {
	case l.events <- handle:
	case <-l.done:
	}
}

// Ready returns whether requests can be served: a host that takes new requests is known.
func (l *Loop) Ready() bool { return l.ready.Load() }

// Submit passes a request to the Balancer. The final answer is sent on x.answer unless x is finished
// without the Balancer.
func (l *Loop) Submit(x *exchange) {
	l.post(func(now bramblelock.Time) {
		if rules := l.rules.Load(); rules != x.rules {
			// The rules changed after the head of the request was read. The rules in force now
			// apply, as the Balancer knows the classes by their index in its settings.
			if err := x.resolve(rules); err != nil {
				x.finish(answer{kind: answerRejected, err: err})
				return
			}
		}
		l.lastID++
		x.id = l.lastID
		l.openRequests[x.id] = x
		left, waited := x.timeout, time.Duration(0)
		if x.upload == nil {
			left = max(0, l.clock.at(x.deadline)-now)
			waited = max(0, now-l.clock.at(x.receivedAt()))
		}
		l.balancer.Request(now, bramblelock.Request{
			ID: x.id, Class: x.class, Tenant: x.tenant, ClientRetry: x.clientRetry, Remaining: left, Age: waited, Upload: x.upload != nil,
		})
	})
}

// UpdateRules replaces the rules in force. The new rules must have been validated.
func (l *Loop) UpdateRules(rules *Rules) {
	l.post(func(now bramblelock.Time) {
		if err := l.balancer.UpdateSettings(now, rules.Settings); err != nil {
			slog.Error("failed to change the settings", "err", err)
			return
		}
		l.rules.Store(rules)
		l.pool.setDrainGrace(rules.Settings.DrainGrace)
	})
}

// Abandon reports to the Balancer that a request was finished without it, as the client has left or
// has been answered.
func (l *Loop) Abandon(x *exchange) {
	l.post(func(now bramblelock.Time) {
		l.balancer.ClientGone(now, x.id)
		l.releaseIfDone(x)
	})
}

// HandleList applies a list of hosts, changes of the list, or a loss of discovery, and passes it to
// the Balancer.
func (l *Loop) HandleList(kind bramblelock.ListKind, list MemberList) {
	l.post(func(now bramblelock.Time) { l.applyList(now, kind, list) })
}

// FleetStatus is the state of the fleet on which the decisions of this instance depend. Instances are
// the gateways of the fleet.
type FleetStatus struct {
	Live int `json:"live"` // alive and suspect instances in the view, this one included
	// EffectiveInstances is the number of instances by which the limits of hosts are shared: Live or,
	// if larger, a recent peak of it, which decays. The peak starts at the configured number of
	// instances if that is larger than the first view.
	EffectiveInstances float64 `json:"caps_shared_by"`
	SubsetHosts        int     `json:"draws"` // hosts in the subset that this instance uses, cold and ejected ones included
	RequestRate        float64 `json:"rate"`  // recent requests per second to this instance
}

// UpdatePeers passes the present view of the fleet to the Balancer: all instances that are alive or
// suspect, this one included. It returns the status after that. SubsetHosts does not follow from the
// new view yet, as the Balancer updates the subset when it next picks a host. If Run has returned, the
// status is zero.
func (l *Loop) UpdatePeers(peers []bramblelock.Peer) (status FleetStatus) {
	statuses := make(chan FleetStatus, 1)
	l.post(func(now bramblelock.Time) {
		l.balancer.UpdatePeers(now, peers)
		var current FleetStatus
		current.Live, current.EffectiveInstances, current.SubsetHosts = l.balancer.FleetStatus()
		current.RequestRate = l.balancer.RequestRate(now)
		statuses <- current
	})
	select {
	case status = <-statuses:
	case <-l.done:
	}
	return status
}

// Listed returns a channel that is closed once discovery has sent or confirmed a list. A list that
// the process had before, from the start or from a peer, may be old.
func (l *Loop) Listed() <-chan struct{} { return l.firstList }

// Sync waits until all events posted before the call have been handled, or Run has returned.
func (l *Loop) Sync() {
	handled := make(chan struct{})
	l.post(func(bramblelock.Time) { close(handled) })
	select {
	case <-handled:
	case <-l.done:
	}
}

// hostKnown returns whether a host was ever listed, or is in maintenance. It returns false if Run has
// returned.
func (l *Loop) hostKnown(id string) (known bool) {
	answer := make(chan bool, 1)
	l.post(func(bramblelock.Time) { answer <- l.everListed[id] || l.inMaintenance[id] })
	select {
	case known = <-answer:
	case <-l.done:
	}
	return known
}

// setMaintenance puts a host into maintenance or ends its maintenance. It posts an event to the loop,
// so the change is not in force on return, but once a later Sync has returned. Attempts that wait for a connection
// to a host in maintenance are not sent: Pool.permit stops them before their first byte. The id is
// stored even if the host is not listed, as it may be listed later.
func (l *Loop) setMaintenance(id string, on bool) {
	l.post(func(now bramblelock.Time) {
		if on {
			l.inMaintenance[id] = true
		} else {
			delete(l.inMaintenance, id)
		}
		h := l.hosts[hostID(id)]
		if h != nil && h.id != id {
			return // the hash is the same, but the host is another
		}
		if h != nil {
			l.pool.setMaintenance(h, on)
		}
		l.balancer.SetMaintenance(now, hostID(id), on)
		l.updateReady()
	})
}

// maintenanceEnded reports to the Balancer that the maintenance of a host ended at the given time, by
// an operator's call to another process of this instance.
func (l *Loop) maintenanceEnded(id string, at time.Time) {
	l.post(func(now bramblelock.Time) { l.balancer.MaintenanceEnded(now, hostID(id), l.clock.at(at)) })
}

// applyList updates the hosts from a list, or from changes of it, and passes them to the Balancer. For
// a loss of discovery there are no entries, and only the kind is passed.
func (l *Loop) applyList(now bramblelock.Time, kind bramblelock.ListKind, list MemberList) {
	if !kind.IsLoss() {
		listed := map[bramblelock.HostID]bool{}
		entries := make([]bramblelock.Host, 0, len(list.Servers))
		var gone []bramblelock.HostID
		for i := range list.Servers {
			m := &list.Servers[i]
			e := bramblelock.Host{
				ID: hostID(m.ID), Zone: nameIndex(l.zones, m.Zone), Cell: m.Cell, Kind: nameIndex(l.kinds, m.Kind),
				State: m.hostState(),
			}
			h := l.hosts[e.ID]
			if h == nil && e.State == bramblelock.Removed {
				continue // the host was removed before this process knew it
			} else if h == nil {
				h = &host{id: m.ID, inMaintenance: l.inMaintenance[m.ID]}
				l.hosts[e.ID] = h
				l.everListed[m.ID] = true
				// The maintenance that the Balancer knows may be that of another id with the same hash.
				l.balancer.SetMaintenance(now, e.ID, h.inMaintenance)
				// The Balancer's log lines name a host by its number, so the number of each host is
				// logged. One line per host is not too many.
				slog.Info("host listed", "host", m.ID, "number", strconv.FormatUint(uint64(e.ID), 16), "addr", m.Addr)
			} else if h.id != m.ID {
				// Two names with one HostID would be taken for one host.
				slog.Error("host ignored: the hash of its id collides with another host's", "host", m.ID, "other", h.id)
				continue
			}
			if h.startedMS != m.StartedMS { // most lists state the same start time again
				h.startedMS, h.startedAt = m.StartedMS, l.clock.startTime(m.StartedMS, l.wallClock())
			}
			e.Started = h.startedAt
			listed[e.ID] = true
			entries = append(entries, e)
			l.pool.updateHost(h, m.Addr, m.StartedMS, e.State == bramblelock.Ready)
			if e.State == bramblelock.Removed {
				gone = append(gone, e.ID)
			}
		}
		if kind != bramblelock.ListChanges {
			for id, h := range l.hosts {
				if !listed[id] {
					gone = append(gone, id)
					l.pool.updateHost(h, "", 0, false)
				}
			}
		}
		l.balancer.UpdateHosts(now, kind, entries)
		for _, id := range gone {
			delete(l.hosts, id) // attempts in flight keep a reference to it
		}
	} else {
		l.balancer.UpdateHosts(now, kind, nil)
		return
	}
	l.updateReady()
	if kind == bramblelock.ListFull || kind == bramblelock.ListChanges {
		l.firstListOnce.Do(func() { close(l.firstList) })
	}
}

// updateReady sets l.ready to whether any host is usable.
func (l *Loop) updateReady() {
	ready := false
	for _, h := range l.hosts {
		ready = ready || h.usable.Load()
	}
	l.ready.Store(ready)
}

// hostID returns the number by which the Balancer knows a host: a hash of its id, so that the number
// is the same at every gateway and after a restart.
func hostID(id string) bramblelock.HostID {
	h := fnv.New64a()
	h.Write([]byte(id))
	return bramblelock.HostID(h.Sum64())
}

// nameIndex returns the index of the name of a zone or a kind. A name that is not in the settings is
// added with the next free index, so that two unknown zones do not count as one.
func nameIndex(index map[string]int, name string) int {
	n, ok := index[name]
	if !ok {
		n = len(index)
		index[name] = n
	}
	return n
}

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
				x.attempts[a.Attempt].abort(context.Canceled)
			}
		case bramblelock.Refuse:
			l.finishRequest(a.Request, answer{kind: answerRefused, retryAfter: a.RetryAfter})
		case bramblelock.Fail:
			l.finishRequest(a.Request, answer{kind: answerFailed})
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
			recordViolation(&l.Audit.slowStartOverBudget, "cold server sent more than its budget", "host", l.nameOf(a.Host))
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
	until := x.deadline
	if at := l.clock.timeOf(a.At); a.At > 0 && at.Before(until) {
		until = at
	}
	ctx, cancel := context.WithCancelCause(l.ctx)
	att := &attempt{cancel: cancel, chargedFrom: time.Now()}
	if a.WriteBy > 0 {
		att.writeBy = l.clock.timeOf(a.WriteBy)
	}
	n := len(x.attempts)
	l.Audit.checkAttempt(x, att.chargedFrom)
	slog.Debug("attempt begins", "id", x.requestID(), "attempt", n, "host", h.id)
	x.attempts = append(x.attempts, att)
	x.inFlight++
	timeOut := func() { att.abort(context.DeadlineExceeded) }
	var timer *time.Timer
	if x.upload == nil {
		timer = time.AfterFunc(time.Until(until), timeOut)
	}
	att.onUploadComplete = func() {
		timer = time.AfterFunc(time.Until(x.deadline), timeOut)
		l.post(func(now bramblelock.Time) { l.balancer.UploadComplete(now, x.id, max(0, l.clock.at(x.deadline)-now)) })
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

// attemptEnded handles the end of an attempt and reports its outcome to the Balancer. The first
// attempt with the result OK gives the final answer of the request.
func (l *Loop) attemptEnded(now bramblelock.Time, x *exchange, n int, result bramblelock.Result, good answer) {
	x.inFlight--
	x.attempts[n].ended, x.attempts[n].result = true, result
	slog.Debug("attempt ended", "id", x.requestID(), "attempt", n, "result", result.String())
	if result == bramblelock.OK {
		x.finish(good)
	}
	att := x.attempts[n]
	took := att.chargedTime
	if took == 0 {
		took = max(0, now-l.clock.at(att.chargedFrom))
	}
	l.balancer.Outcome(now, bramblelock.Outcome{
		Request: x.id, Attempt: n, Result: result, Elapsed: took, Answered: x.finished.Load(), NotReplayable: x.bodyConsumed(),
	})
	l.releaseIfDone(x)
}

// finishRequest gives a request the final answer that the Balancer decided on.
func (l *Loop) finishRequest(id bramblelock.RequestID, a answer) {
	if x := l.openRequests[id]; x != nil {
		slog.Debug("request ended by the module", "id", x.requestID(), "refused", a.kind == answerRefused, "attempts", len(x.attempts))
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

// runTimers handles at most as many due timers as there are timers now. A timer that is set meanwhile
// may have to wait for the next call, so that timers cannot keep events from being handled. After the
// process was stalled, timers wait until what arrived meanwhile has been handled: an unread answer does
// not mean that its host is silent.
func (l *Loop) runTimers() {
	now := l.clock.now()
	if l.deferTimers(now) {
		return
	}
	for n := len(l.timers); n > 0 && len(l.timers) > 0 && l.timers[0].at <= now; n-- {
		w := heap.Pop(&l.timers).(balancerTimer)
		l.balancer.Timer(now, w.token)
		l.performActions()
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
