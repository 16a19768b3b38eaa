package fleetlab

import (
	"time"

	"bramblelock"
	"bramblelock/internal/wire"
)

// gateway is a gateway in the virtual engine: a Balancer with a model of the connections, requests and
// list client of the real gateway.
type gateway struct {
	world        *world
	rank, zone   int
	configured   int  // number of gateways that its settings state
	hasSavedList bool // it starts with a saved host list

	up, ready      bool
	paused         bool
	deferred       []func() // events that arrived while the process was paused
	generation     int      // raised at each start and exit of the process
	startedAt      Time
	balancer       *bramblelock.Balancer
	actions        []bramblelock.Action // reused by performActions
	pools          map[int]*pool        // by host index
	knownStart     map[int]Time         // by host index: start time on the received list
	hostIndex      map[bramblelock.HostID]int
	usable         map[int]bool // by host index: it is ready on the received list
	requests       map[bramblelock.RequestID]*request
	lastRequestID  bramblelock.RequestID
	watch          *watch // open watch or call for one; nil: none
	catalogIndex   int    // modulo the number of instances: the list service instance to call next
	listVersion    uint64
	listDelay      time.Duration // added to the time until a list arrives
	pushBackoff    time.Duration // latest backoff in push mode; 0: none since the last list
	reportedRate   float64       // requests per second, as last reported to the other gateways
	rateReportedAt Time
	exitedAt       Time // when the process last exited
	failedCatalogs int  // number of calls that have failed one after another
	nextCallAt     Time // earliest time of the next call, after a list service asked for a retry delay
}

// pool holds the connections of a gateway to one host.
type pool struct {
	idle []conn
	open int // number of connections, idle and in use
}

type conn struct {
	incarnation int // of the host when the connection was opened
	idleSince   Time
}

// request is a client's request at a gateway.
type request struct {
	arrival   Arrival
	id        bramblelock.RequestID
	arrivedAt Time
	deadline  Time
	answered  bool // the client has its final answer
	inFlight  int  // attempts without an outcome
	attempts  []*attempt
}

// attempt is one sending of a request to a host.
type attempt struct {
	gateway     *gateway
	request     *request
	index       int // number of the attempt of its request, from 0
	host        *Host
	sentAt      Time
	incarnation int  // of the host when the connection was opened
	connected   bool // it holds a connection that the host counts
	job         *Job
	ended       bool
}

// handle processes an event at the gateway and performs the resulting actions. It defers the event while
// the process is paused.
func (g *gateway) handle(do func()) {
	g.whenRunning(func() {
		do()
		g.performActions()
	})
}

// whenRunning does something that only a running process can do: at once or, while the process is paused,
// when it continues.
func (g *gateway) whenRunning(do func()) {
	if g.paused {
		g.deferred = append(g.deferred, do)
		return
	}
	do()
}

// start starts the process.
func (g *gateway) start() {
	w := g.world
	g.generation++
	g.up, g.ready, g.paused, g.deferred = true, false, false, nil
	g.startedAt, g.listVersion, g.catalogIndex = w.now, 0, g.rank%len(w.catalogs)
	g.pools, g.knownStart, g.usable = map[int]*pool{}, map[int]Time{}, map[int]bool{}
	g.requests, g.hostIndex, g.pushBackoff = map[bramblelock.RequestID]*request{}, map[bramblelock.HostID]int{}, 0
	settings, err := wire.ParseSettings(g.world.scenario.SettingsJSON(g.rank, g.configured))
	if err == nil {
		g.balancer, err = bramblelock.New(settings, w.seedRand.Uint64())
	}
	if err != nil {
		panic(err) // unreachable: the scenario was validated
	}
	g.reportedRate, g.rateReportedAt = 0, 0
	g.handle(func() {
		if w.scenario.Gateways.Membership {
			g.updatePeers(g.generation)
		}
		g.balancer.Start(g.clock())
		if g.hasSavedList {
			list := make([]bramblelock.Host, len(w.hostList))
			for i := range w.hostList {
				list[i] = w.hostList[i].host
			}
			g.applyList(bramblelock.ListSaved, list)
			g.listVersion = w.listVersion
		}
		if w.scenario.Catalog.Push {
			g.openWatch()
		}
	})
}

// updatePeers passes the live gateways to the Balancer, once per second until the process of this generation
// exits. Gateways that have exited or are on the other side of a partition count as live for PeerDetection.
// Each gateway reports its request rate to the others every 5 s.
func (g *gateway) updatePeers(generation int) {
	w := g.world
	if !g.up || g.generation != generation {
		return
	}
	if w.now-g.rateReportedAt >= 5*time.Second || g.reportedRate == 0 {
		g.reportedRate, g.rateReportedAt = g.balancer.RequestRate(g.clock()), w.now
	}
	var peers []bramblelock.Peer
	for _, other := range w.gateways {
		exited := !other.up && (other.generation == 0 || w.now-other.exitedAt >= w.scenario.Gateways.PeerDetection.std())
		partitioned := w.partition != nil && w.partition[other.rank] != w.partition[g.rank] && w.now-w.partitionedAt >= w.scenario.Gateways.PeerDetection.std()
		if !exited && !partitioned {
			peers = append(peers, bramblelock.Peer{Rank: other.rank % g.configured, Rate: other.reportedRate})
		}
	}
	g.handle(func() { g.balancer.UpdatePeers(g.clock(), peers) })
	w.after(time.Second, func() { g.updatePeers(generation) })
}

// clock returns the time of the gateway's clock.
func (g *gateway) clock() bramblelock.Time { return clockBase + g.world.now }

// kill ends the process: its connections are reset and its requests are lost. The edge balancer notices
// after EdgeDetection.
func (g *gateway) kill() {
	if !g.up {
		return
	}
	w := g.world
	g.up, g.paused, g.deferred, g.exitedAt = false, false, nil, w.now
	g.generation++
	g.endOpenRequests(Lost)
	for i, h := range w.hosts {
		if p := g.pools[i]; p != nil {
			for _, c := range p.idle {
				h.Disconnect(c.incarnation)
			}
		}
	}
	if g.watch != nil {
		c := w.catalogs[g.watch.catalogIndex(w)]
		g.watch.ended = true
		delete(c.watches, g.rank)
		g.watch = nil
	}
	w.after(w.scenario.Load.EdgeDetection.std(), func() {
		if !g.up {
			w.edgeBalancer.setAdmitted(g.rank, false)
		}
	})
}

// catalogIndex returns the index of the instance that has the watch open, or 0 if none has.
func (watch *watch) catalogIndex(w *world) int {
	for i, c := range w.catalogs {
		if c.watches[watch.gateway.rank] == watch {
			return i
		}
	}
	return 0
}

// endOpenRequests ends the open requests and their attempts, when the process exits or the run ends.
func (g *gateway) endOpenRequests(end End) {
	if g.balancer == nil {
		return
	}
	for id := bramblelock.RequestID(1); id <= g.lastRequestID; id++ {
		r := g.requests[id]
		if r == nil {
			continue
		}
		for _, a := range r.attempts {
			if !a.ended {
				a.ended = true
				a.closeConnection()
			}
		}
		if !r.answered {
			r.answered = true
			g.world.recorder.RecordEnd(r.arrival.At, end, 0)
		}
	}
	g.requests = map[bramblelock.RequestID]*request{}
}

// pause suspends the process, as SIGSTOP does.
func (g *gateway) pause() { g.paused = g.up }

// resume continues a paused process, which then processes the deferred events.
func (g *gateway) resume() {
	if !g.paused {
		return
	}
	g.paused = false
	deferred := g.deferred
	g.deferred = nil
	for _, do := range deferred {
		g.whenRunning(do)
	}
}

// reconfigure applies settings that state another number of gateways, as the gateway does on SIGHUP.
func (g *gateway) reconfigure(configured int) {
	g.configured = configured
	settings, err := wire.ParseSettings(g.world.scenario.SettingsJSON(g.rank, configured))
	if err == nil && g.up {
		g.handle(func() { g.balancer.UpdateSettings(g.clock(), settings) })
	}
}

// openWatch calls the instance of the list service at catalogIndex for a watch. The process must be running.
func (g *gateway) openWatch() {
	w := g.world
	c := w.catalogs[g.catalogIndex%len(w.catalogs)]
	x := &watch{gateway: g, generation: g.generation, listVersion: g.listVersion}
	g.watch = x
	w.after(w.scenario.Net.SameZone.std(), func() {
		if !x.ended {
			c.handleCall(x)
		}
	})
}

// watchLost handles the end of a watch, or the failure of a call for one. It calls the next instance at
// once, unless every instance has failed, the watch had been open or the service asked for a retry delay.
// Then the Balancer chooses the time of the next call or, in push mode, a backoff does.
func (g *gateway) watchLost(watch *watch) {
	if !g.up || watch.generation != g.generation || g.watch != watch {
		return
	}
	if g.paused {
		g.whenRunning(func() { g.watchLost(watch) })
		return
	}
	g.watch = nil
	g.catalogIndex++
	if watch.retryAfter > 0 { // the real gateway computes its backoff in the same way
		maxBackoff := g.world.scenario.Catalog.MaxWatchGap.std()
		if g.listVersion > 0 {
			maxBackoff = min(maxBackoff, bramblelock.MaxWatchBackoff)
		}
		g.nextCallAt = g.world.now + min(time.Duration(float64(watch.retryAfter)*(1+g.world.retryRand.Float64()/4)), maxBackoff)
	}
	if g.failedCatalogs++; !watch.open && g.failedCatalogs < len(g.world.catalogs) && g.world.now >= g.nextCallAt {
		g.openWatch() // another instance may be available
		return
	}
	g.failedCatalogs = 0
	if !g.world.scenario.Catalog.Push {
		g.handle(func() { g.balancer.UpdateHosts(g.clock(), bramblelock.ListFailed, nil) })
		return
	}
	// The gateway's backoff in push mode: exponential, with full jitter over twice the interval.
	g.pushBackoff = min(max(2*g.pushBackoff, 50*time.Millisecond), time.Second)
	generation := g.generation
	g.world.after(time.Duration(g.world.retryRand.Float64()*2*float64(g.pushBackoff)), func() {
		if g.up && g.generation == generation {
			g.whenRunning(g.openWatch)
		}
	})
}

// listReceived handles a list or changes from a watch.
func (g *gateway) listReceived(watch *watch, kind bramblelock.ListKind, list []bramblelock.Host) {
	if !g.up || watch.generation != g.generation || watch.ended {
		return
	}
	g.pushBackoff, g.listVersion = 0, watch.listVersion
	g.handle(func() { g.applyList(kind, list) })
}

// applyList passes a list to the Balancer and closes idle connections to hosts that are no longer ready
// or have restarted. The first list that is not empty makes the gateway ready.
func (g *gateway) applyList(kind bramblelock.ListKind, list []bramblelock.Host) {
	w := g.world
	if len(g.hostIndex) == 0 || len(g.hostIndex) < len(w.hosts) {
		for i := range w.hostList {
			g.hostIndex[w.hostList[i].host.ID] = i
		}
	}
	for _, e := range list {
		i := g.hostIndex[e.ID]
		if g.usable[i] && (e.State != bramblelock.Ready || g.knownStart[i] != e.Started) {
			g.closeIdle(i)
		}
		g.usable[i], g.knownStart[i] = e.State == bramblelock.Ready, e.Started
	}
	g.balancer.UpdateHosts(g.clock(), kind, list)
	if !g.ready && len(list) > 0 {
		g.ready = true
		w.recorder.RecordGatewayReady(w.now - g.startedAt)
		w.edgeBalancer.setAdmitted(g.rank, true)
	}
}

// handleRequest handles a request of a client that has been read completely.
func (g *gateway) handleRequest(a Arrival) {
	c := &g.world.scenario.Classes[a.Class]
	g.lastRequestID++
	r := &request{arrival: a, id: g.lastRequestID, arrivedAt: g.world.now, deadline: g.world.now + c.Deadline.std()}
	g.requests[r.id] = r
	g.balancer.Request(g.clock(), bramblelock.Request{ID: r.id, Class: a.Class, Tenant: -1, ClientRetry: a.Retries > 0, Remaining: c.Deadline.std()})
}

// performActions performs the actions of the Balancer until there are none, as the loop of the real
// gateway does.
func (g *gateway) performActions() {
	for g.up && !g.paused {
		g.actions = g.balancer.TakeActions(g.actions[:0])
		if len(g.actions) == 0 {
			return
		}
		for i := range g.actions {
			g.performAction(g.actions[i])
		}
	}
}

// performAction performs one action of the Balancer.
func (g *gateway) performAction(action bramblelock.Action) {
	w, generation := g.world, g.generation
	switch action.Kind {
	case bramblelock.Send:
		g.sendAttempt(action)
	case bramblelock.Cancel:
		if r := g.requests[action.Request]; r != nil && action.Attempt < len(r.attempts) {
			g.abandon(r.attempts[action.Attempt], bramblelock.Canceled)
		}
	case bramblelock.Refuse:
		g.answer(action.Request, Refused)
	case bramblelock.Fail:
		g.answer(action.Request, Failed)
	case bramblelock.Wake:
		w.at(action.At-clockBase, func() {
			if g.up && g.generation == generation {
				g.handle(func() { g.balancer.Timer(g.clock(), action.Token) })
			}
		})
	case bramblelock.Close:
		if i, ok := g.hostIndex[action.Host]; ok {
			g.closeIdle(i)
		}
	case bramblelock.Watch:
		w.at(g.nextCallAt, func() {
			if g.up && g.generation == generation && g.watch == nil {
				g.whenRunning(g.openWatch)
			}
		})
	}
}

// answer sends the final answer to a request and records its end, Late in place of Served if it is after the
// latency target. After a refusal the client may retry, and no end is recorded then.
func (g *gateway) answer(id bramblelock.RequestID, end End) {
	r := g.requests[id]
	if r == nil || r.answered {
		return
	}
	r.answered = true
	w := g.world
	elapsed := w.now - r.arrivedAt
	if end == Served && elapsed > w.scenario.Classes[r.arrival.Class].LatencyTarget.std() {
		end = Late
	}
	if end == Refused && r.arrival.Retries < w.scenario.Load.Retries {
		a := r.arrival
		a.Retries++
		w.after(w.scenario.Load.RetryWait.std(), func() { w.handleArrival(a) })
	} else {
		w.recorder.RecordEnd(r.arrival.At, end, elapsed)
	}
	g.removeIfFinished(r)
}

// removeIfFinished deletes a request that has been answered and has no attempt in flight.
func (g *gateway) removeIfFinished(r *request) {
	if r.answered && r.inFlight == 0 {
		delete(g.requests, r.id)
	}
}

// reportOutcome reports the end of an attempt to the Balancer, and answers the client on success.
func (g *gateway) reportOutcome(attempt *attempt, result bramblelock.Result) {
	r := attempt.request
	r.inFlight--
	if result == bramblelock.OK {
		g.answer(r.id, Served)
	}
	g.balancer.Outcome(g.clock(), bramblelock.Outcome{Request: r.id, Attempt: attempt.index, Result: result, Elapsed: g.world.now - attempt.sentAt, Answered: r.answered})
	g.removeIfFinished(r)
}

// closeIdle closes the idle connections to the host at an index.
func (g *gateway) closeIdle(hostIndex int) {
	p := g.pools[hostIndex]
	if p == nil {
		return
	}
	for _, c := range p.idle {
		g.world.hosts[hostIndex].Disconnect(c.incarnation)
		p.open--
	}
	p.idle = nil
}
