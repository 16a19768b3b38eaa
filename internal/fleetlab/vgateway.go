package fleetlab

import (
	"time"

	"lynxspool"
	"lynxspool/internal/wire"
)

// gateway is one gateway in the virtual engine: a Balancer with the connections, requests
// and list client that the real gateway keeps round it.
type gateway struct {
	world        *world
	rank, zone   int
	configured   int
	hasSavedList bool // it has a list from before

	up, ready      bool
	paused         bool
	deferred       []func() // events that came while it was stopped
	generation     int      // of its process
	startedAt      Time
	balancer       *lynxspool.Balancer
	actions        []lynxspool.Action
	pools          map[int]*pool
	knownStart     map[int]Time // the start of each host, as told
	hostIndex      map[lynxspool.HostID]int
	usable         map[int]bool
	requests       map[lynxspool.RequestID]*request
	lastRequestID  lynxspool.RequestID
	watch          *watch
	catalogIndex   int // which list service it asks next
	listVersion    uint64
	listDelay      time.Duration // lists reach it this much later
	pushBackoff    time.Duration // in push mode
	reportedRate   float64       // as last told to the others
	rateReportedAt Time          // ... then
	exitedAt       Time          // when its process ended
	failedCatalogs int           // instances that failed one after another
	nextCallAt     Time          // until when a busy list service asked not to be called
}

// pool is a gateway's idle connections to one host.
type pool struct {
	idle []conn
	open int
}

type conn struct {
	incarnation int // of the host's process
	idleSince   Time
}

// request is a client's request at a gateway.
type request struct {
	arrival   Arrival
	id        lynxspool.RequestID
	arrivedAt Time
	deadline  Time
	answered  bool
	inFlight  int
	attempts  []*attempt
}

// attempt is one try of a request at a host.
type attempt struct {
	gateway     *gateway
	request     *request
	index       int
	host        *Host
	sentAt      Time
	incarnation int
	connected   bool // it holds a connection
	job         *Job
	ended       bool
}

// handle lets something happen at the gateway, or once it is no longer stopped.
func (g *gateway) handle(do func()) {
	if g.paused {
		g.deferred = append(g.deferred, do)
		return
	}
	do()
	g.performActions()
}

// start starts its process.
func (g *gateway) start() {
	w := g.world
	g.generation++
	g.up, g.ready, g.paused, g.deferred = true, false, false, nil
	g.startedAt, g.listVersion, g.catalogIndex = w.now, 0, g.rank%len(w.catalogs)
	g.pools, g.knownStart, g.usable = map[int]*pool{}, map[int]Time{}, map[int]bool{}
	g.requests, g.hostIndex, g.pushBackoff = map[lynxspool.RequestID]*request{}, map[lynxspool.HostID]int{}, 0
	settings, err := wire.ParseSettings(g.world.scenario.SettingsJSON(g.rank, g.configured))
	if err == nil {
		g.balancer, err = lynxspool.New(settings, w.seedRand.Uint64())
	}
	if err != nil {
		panic(err) // the scenario was checked
	}
	g.reportedRate, g.rateReportedAt = 0, 0
	g.handle(func() {
		if w.scenario.Gateways.Membership {
			g.updatePeers(g.generation)
		}
		g.balancer.Start(g.clock())
		if g.hasSavedList {
			list := make([]lynxspool.Host, len(w.hostList))
			for i := range w.hostList {
				list[i] = w.hostList[i].host
			}
			g.applyList(lynxspool.ListSaved, list)
			g.listVersion = w.listVersion
		}
		if w.scenario.Catalog.Push {
			g.openWatch()
		}
	})
}

// updatePeers tells the Balancer the view of the bank, once a second; each gateway tells the others
// its rate every 5 s.
func (g *gateway) updatePeers(generation int) {
	w := g.world
	if !g.up || g.generation != generation {
		return
	}
	if w.now-g.rateReportedAt >= 5*time.Second || g.reportedRate == 0 {
		g.reportedRate, g.rateReportedAt = g.balancer.RequestRate(g.clock()), w.now
	}
	var peers []lynxspool.Peer
	for _, other := range w.gateways {
		exited := !other.up && (other.generation == 0 || w.now-other.exitedAt >= w.scenario.Gateways.PeerDetection.std())
		partitioned := w.partition != nil && w.partition[other.rank] != w.partition[g.rank] && w.now-w.partitionedAt >= w.scenario.Gateways.PeerDetection.std()
		if !exited && !partitioned {
			peers = append(peers, lynxspool.Peer{Rank: other.rank % g.configured, Rate: other.reportedRate})
		}
	}
	g.handle(func() { g.balancer.UpdatePeers(g.clock(), peers) })
	w.after(time.Second, func() { g.updatePeers(generation) })
}

func (g *gateway) clock() lynxspool.Time { return clockBase + g.world.now }

// kill ends its process: its connections are reset, its requests lost.
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

func (watch *watch) catalogIndex(w *world) int {
	for i, c := range w.catalogs {
		if c.watches[watch.gateway.rank] == watch {
			return i
		}
	}
	return 0
}

// endOpenRequests ends the open requests of a process that has gone.
func (g *gateway) endOpenRequests(end End) {
	if g.balancer == nil {
		return
	}
	for id := lynxspool.RequestID(1); id <= g.lastRequestID; id++ {
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
	g.requests = map[lynxspool.RequestID]*request{}
}

// pause freezes the process, resume lets it go on.
func (g *gateway) pause() { g.paused = g.up }

func (g *gateway) resume() {
	if !g.paused {
		return
	}
	g.paused = false
	deferred := g.deferred
	g.deferred = nil
	for _, do := range deferred {
		g.handle(do)
	}
}

// reconfigure is SIGHUP with settings that say another count.
func (g *gateway) reconfigure(configured int) {
	g.configured = configured
	settings, err := wire.ParseSettings(g.world.scenario.SettingsJSON(g.rank, configured))
	if err == nil && g.up {
		g.handle(func() { g.balancer.UpdateSettings(g.clock(), settings) })
	}
}

// openWatch asks the list service for a watch.
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

// watchLost is the end of a watch, or of a call for one.
func (g *gateway) watchLost(watch *watch) {
	if !g.up || watch.generation != g.generation || g.watch != watch {
		return
	}
	g.watch = nil
	g.catalogIndex++
	if watch.retryAfter > 0 { // as the gateway's client does
		maxBackoff := g.world.scenario.Catalog.AskWithin.std()
		if g.listVersion > 0 {
			maxBackoff = min(maxBackoff, lynxspool.MaxWatchBackoff)
		}
		g.nextCallAt = g.world.now + min(time.Duration(float64(watch.retryAfter)*(1+g.world.retryRand.Float64()/4)), maxBackoff)
	}
	if g.failedCatalogs++; !watch.open && g.failedCatalogs < len(g.world.catalogs) && g.world.now >= g.nextCallAt {
		g.openWatch() // another instance may be well
		return
	}
	g.failedCatalogs = 0
	if !g.world.scenario.Catalog.Push {
		g.handle(func() { g.balancer.UpdateHosts(g.clock(), lynxspool.ListFailed, nil) })
		return
	}
	// The gateway's own backoff where lists are pushed: full jitter over twice the step.
	g.pushBackoff = min(max(2*g.pushBackoff, 50*time.Millisecond), time.Second)
	generation := g.generation
	g.world.after(time.Duration(g.world.retryRand.Float64()*2*float64(g.pushBackoff)), func() {
		if g.up && g.generation == generation {
			g.openWatch()
		}
	})
}

// listReceived is what a watch has brought.
func (g *gateway) listReceived(watch *watch, kind lynxspool.ListKind, list []lynxspool.Host) {
	if !g.up || watch.generation != g.generation || watch.ended {
		return
	}
	g.pushBackoff, g.listVersion = 0, watch.listVersion
	g.handle(func() { g.applyList(kind, list) })
}

// applyList hands a list to the Balancer and keeps what the pool needs of it.
func (g *gateway) applyList(kind lynxspool.ListKind, list []lynxspool.Host) {
	w := g.world
	if len(g.hostIndex) == 0 || len(g.hostIndex) < len(w.hosts) {
		for i := range w.hostList {
			g.hostIndex[w.hostList[i].host.ID] = i
		}
	}
	for _, e := range list {
		i := g.hostIndex[e.ID]
		if g.usable[i] && (e.State != lynxspool.Ready || g.knownStart[i] != e.Started) {
			g.closeIdle(i)
		}
		g.usable[i], g.knownStart[i] = e.State == lynxspool.Ready, e.Started
	}
	g.balancer.UpdateHosts(g.clock(), kind, list)
	if !g.ready && len(list) > 0 {
		g.ready = true
		w.recorder.RecordGatewayReady(w.now - g.startedAt)
		w.edgeBalancer.setAdmitted(g.rank, true)
	}
}

// handleRequest is a handleRequest whose last byte has come from a client.
func (g *gateway) handleRequest(a Arrival) {
	c := &g.world.scenario.Classes[a.Class]
	g.lastRequestID++
	r := &request{arrival: a, id: g.lastRequestID, arrivedAt: g.world.now, deadline: g.world.now + c.Deadline.std()}
	g.requests[r.id] = r
	g.balancer.Request(g.clock(), lynxspool.Request{ID: r.id, Class: a.Class, Tenant: -1, ClientRetry: a.Retries > 0, Remaining: c.Deadline.std()})
}

// performActions carries out what the Balancer has decided, as the real gateway's loop does.
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

func (g *gateway) performAction(action lynxspool.Action) {
	w, generation := g.world, g.generation
	switch action.Kind {
	case lynxspool.Send:
		g.sendAttempt(action)
	case lynxspool.Cancel:
		if r := g.requests[action.Request]; r != nil && action.Attempt < len(r.attempts) {
			g.abandon(r.attempts[action.Attempt], lynxspool.Canceled)
		}
	case lynxspool.Refuse:
		g.answer(action.Request, Refused)
	case lynxspool.Fail:
		g.answer(action.Request, Failed)
	case lynxspool.Wake:
		w.at(action.At-clockBase, func() {
			if g.up && g.generation == generation {
				g.handle(func() { g.balancer.Timer(g.clock(), action.Token) })
			}
		})
	case lynxspool.Close:
		if i, ok := g.hostIndex[action.Host]; ok {
			g.closeIdle(i)
		}
	case lynxspool.Watch:
		w.at(g.nextCallAt, func() {
			if g.up && g.generation == generation && g.watch == nil {
				g.openWatch()
			}
		})
	}
}

// answer is the final answer to a client; a refused one may come again.
func (g *gateway) answer(id lynxspool.RequestID, end End) {
	r := g.requests[id]
	if r == nil || r.answered {
		return
	}
	r.answered = true
	w := g.world
	took := w.now - r.arrivedAt
	if end == Served && took > w.scenario.Classes[r.arrival.Class].LatencyTarget.std() {
		end = Late
	}
	if end == Refused && r.arrival.Retries < w.scenario.Load.Retries {
		a := r.arrival
		a.Retries++
		w.after(w.scenario.Load.RetryWait.std(), func() { w.handleArrival(a) })
	} else {
		w.recorder.RecordEnd(r.arrival.At, end, took)
	}
	g.removeIfFinished(r)
}

func (g *gateway) removeIfFinished(r *request) {
	if r.answered && r.inFlight == 0 {
		delete(g.requests, r.id)
	}
}

// reportOutcome reports the end of an attempt to the Balancer.
func (g *gateway) reportOutcome(attempt *attempt, result lynxspool.Result) {
	r := attempt.request
	r.inFlight--
	if result == lynxspool.OK {
		g.answer(r.id, Served)
	}
	g.balancer.Outcome(g.clock(), lynxspool.Outcome{Request: r.id, Attempt: attempt.index, Result: result, Elapsed: g.world.now - attempt.sentAt, Answered: r.answered})
	g.removeIfFinished(r)
}

func (g *gateway) closeIdle(i int) {
	p := g.pools[i]
	if p == nil {
		return
	}
	for _, c := range p.idle {
		g.world.hosts[i].Disconnect(c.incarnation)
		p.open--
	}
	p.idle = nil
}
