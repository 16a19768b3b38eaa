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
	g.up = true
	g.ready = false
	g.paused = false
	g.deferred = nil
	g.startedAt = w.now
	g.listVersion = 0
	g.catalogIndex = g.rank % len(w.catalogs)
	g.pushBackoff = 0
	g.reportedRate = 0
	g.rateReportedAt = 0
	g.pools = map[int]*pool{}
	g.knownStart = map[int]Time{}
	g.usable = map[int]bool{}
	g.requests = map[bramblelock.RequestID]*request{}
	g.hostIndex = map[bramblelock.HostID]int{}
	settings, err := wire.ParseSettings(g.world.scenario.SettingsJSON(g.rank, g.configured))
	if err == nil {
		g.balancer, err = bramblelock.New(settings, w.seedRand.Uint64())
	}
	if err != nil {
		panic(err) // unreachable: the scenario was validated
	}
	g.handle(func() {
		if w.scenario.Gateways.Membership {
			g.updatePeers(g.generation)
		}
		g.balancer.Start(g.clock())
		if g.hasSavedList {
			g.applySavedList()
		}
		if w.scenario.Catalog.Push {
			g.openWatch()
		}
	})
}

// applySavedList applies the present host list as the one that the process has saved.
func (g *gateway) applySavedList() {
	w := g.world
	list := make([]bramblelock.Host, len(w.hostList))
	for i := range w.hostList {
		list[i] = w.hostList[i].host
	}
	g.applyList(bramblelock.ListSaved, list)
	g.listVersion = w.listVersion
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
		g.reportedRate = g.balancer.RequestRate(g.clock())
		g.rateReportedAt = w.now
	}
	detection := w.scenario.Gateways.PeerDetection.std()
	var peers []bramblelock.Peer
	for _, other := range w.gateways {
		exited := !other.up && (other.generation == 0 || w.now-other.exitedAt >= detection)
		partitioned := w.partition != nil && w.partition[other.rank] != w.partition[g.rank] && w.now-w.partitionedAt >= detection
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
	g.up = false
	g.paused = false
	g.deferred = nil
	g.exitedAt = w.now
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
