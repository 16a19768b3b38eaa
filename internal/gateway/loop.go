package gateway

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"bramblelock"
	"bramblelock/internal/gateway/config"
	"bramblelock/internal/gateway/hostlist"
)

// eventQueueLength is how many events may wait for the loop. A goroutine that posts one more waits.
const eventQueueLength = 1024

// maxFormerHosts is how many hosts that are no longer listed stay known to operators' calls. A fleet in
// which each process has an id of its own would fill the memory otherwise. The number exceeds that of
// the hosts of a large fleet, all of which a faulty list may remove.
const maxFormerHosts = 20_000

// Loop owns the Balancer, which is the decision module (package bramblelock). Other goroutines post
// events to the Loop. It handles them one at a time and performs the actions that the Balancer
// decides on. It never blocks: work that takes time runs in its own goroutine and posts its result
// as an event.
type Loop struct {
	events chan func(now bramblelock.Time)
	done   chan struct{} // closed when Run returns
	ready  atomic.Bool   // a host that takes new requests is known
	rules  atomic.Pointer[config.Rules]
	Audit  Audit

	longestHold atomic.Int64 // longest time in ns for which one event or timer has kept others waiting

	// The fields below are owned by the goroutine of Run.
	clock         clock
	wallClock     func() time.Time // returns the wall-clock time, which may be stepped; time.Now except in tests
	balancer      *bramblelock.Balancer
	actions       []bramblelock.Action
	timers        timerHeap
	pool          *Pool
	requestWatch  func() // requests a watch from discovery.Client; does not block
	hosts         map[bramblelock.HostID]*host
	openRequests  map[bramblelock.RequestID]*exchange // requests without an answer or with an attempt in flight
	inFlight      map[*attempt]bramblelock.RequestID  // attempts that have not ended, with their requests
	lastID        bramblelock.RequestID               // of the request submitted last
	zones         *nameTable                          // names of zones
	kinds         *nameTable                          // names of kinds of hosts
	added         []addedHost                         // hosts that the list being applied has added
	formerHosts   recentIDs                           // ids of hosts that were listed or in maintenance
	inMaintenance map[string]bool                     // ids of hosts in maintenance
	ctx           context.Context                     // context of all attempts
	stall         *processStall                       // set while timers wait, after a stall of the process, until what has arrived has been read; else nil

	firstList     chan struct{} // closed once discovery has sent or confirmed a list
	firstListOnce sync.Once
}

// NewLoop returns a Loop that sends attempts through pool. It calls requestWatch when the Balancer
// asks for changes of the list; requestWatch must not block.
func NewLoop(cfg *config.Config, pool *Pool, requestWatch func()) (*Loop, error) {
	balancer, err := bramblelock.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	l := &Loop{
		events:        make(chan func(bramblelock.Time), eventQueueLength),
		done:          make(chan struct{}),
		clock:         clock{time.Now()},
		wallClock:     time.Now,
		balancer:      balancer,
		pool:          pool,
		requestWatch:  requestWatch,
		hosts:         map[bramblelock.HostID]*host{},
		openRequests:  map[bramblelock.RequestID]*exchange{},
		inFlight:      map[*attempt]bramblelock.RequestID{},
		zones:         newNameTable(cfg.Zones),
		kinds:         newNameTable(cfg.Kinds),
		formerHosts:   recentIDs{limit: maxFormerHosts},
		inMaintenance: map[string]bool{},
		firstList:     make(chan struct{}),
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
			now := l.clock.now()
			handle(now)
			l.performActions()
			l.recordHold(now)
		case <-timer.C:
			l.runTimers()
		}
		if len(l.timers) > 0 {
			timer.Reset(l.untilNextTimer())
		}
	}
}

// recordHold records how long an event or timer has kept others waiting that was taken at began.
func (l *Loop) recordHold(began bramblelock.Time) {
	if hold := int64(l.clock.now() - began); hold > l.longestHold.Load() {
		l.longestHold.Store(hold) // only the goroutine of Run stores it
	}
}

// LoopStatus describes how the event loop has kept up.
type LoopStatus struct {
	LongestHoldMS float64 `json:"longest_hold_ms"` // longest time for which one event or timer has kept others waiting, since the start
}

// Status returns how the event loop has kept up.
func (l *Loop) Status() LoopStatus {
	return LoopStatus{LongestHoldMS: time.Duration(l.longestHold.Load()).Seconds() * 1000}
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
		l.lastID++
		x.id = l.lastID
		l.openRequests[x.id] = x
		request := bramblelock.Request{
			ID: x.id, Class: x.class, Tenant: x.tenant, ClientRetry: x.clientRetry,
			Remaining: x.timeout, Upload: x.upload != nil,
		}
		if x.rules != l.rules.Load() {
			request.Settings = &x.rules.Settings // new ones came into force after its head was read
		}
		if x.upload == nil {
			request.Remaining = max(0, l.clock.at(x.deadline)-now)
			request.Age = max(0, now-l.clock.at(x.receivedAt()))
		}
		l.balancer.Request(now, request)
	})
}

// UpdateRules replaces the rules in force. The new rules must have been validated.
func (l *Loop) UpdateRules(rules *config.Rules) {
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
func (l *Loop) HandleList(kind bramblelock.ListKind, list hostlist.List) {
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
