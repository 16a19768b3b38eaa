package fleetlab

import (
	"time"

	"bramblelock"
)

// catalogIndex returns the index of the instance that has the watch open, or 0 if none has.
func (watch *watch) catalogIndex(w *world) int {
	for i, c := range w.catalogs {
		if c.watches[watch.gateway.rank] == watch {
			return i
		}
	}
	return 0
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
	g.pushBackoff = 0
	g.listVersion = watch.listVersion
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
		g.usable[i] = e.State == bramblelock.Ready
		g.knownStart[i] = e.Started
	}
	g.balancer.UpdateHosts(g.clock(), kind, list)
	if !g.ready && len(list) > 0 {
		g.ready = true
		w.recorder.RecordGatewayReady(w.now - g.startedAt)
		w.edgeBalancer.setAdmitted(g.rank, true)
	}
}
