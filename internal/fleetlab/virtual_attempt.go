package fleetlab

import (
	"time"

	"bramblelock"
)

// linkFault is a fault of the network between some gateways and some hosts.
type linkFault struct {
	action   FaultAction   // FaultCut, FaultDelay or FaultBlackHole
	gateways map[int]bool  // by rank
	hosts    map[int]bool  // by index
	delay    time.Duration // added one way
}

// linkState returns the faults between a gateway and a host: whether connections are reset, whether
// packets are lost silently, and the delay added one way.
func (w *world) linkState(gatewayRank, hostIndex int) (cut, silent bool, delay time.Duration) {
	for _, l := range w.linkFaults {
		if l.gateways[gatewayRank] && l.hosts[hostIndex] {
			cut = cut || l.action == FaultCut
			silent = silent || l.action == FaultBlackHole
			delay += l.delay
		}
	}
	return
}

// sendAttempt starts an attempt over an idle connection, or over a new one if none is idle.
func (g *gateway) sendAttempt(action bramblelock.Action) {
	w, r := g.world, g.requests[action.Request]
	hostIndex, ok := g.hostIndex[action.Host]
	if r == nil || !ok {
		panic("fleetlab: attempt of an unknown request or host")
	}
	a := &attempt{gateway: g, request: r, index: len(r.attempts), host: w.hosts[hostIndex], sentAt: w.now}
	r.attempts = append(r.attempts, a)
	r.inFlight++
	deadline := r.deadline
	if at := action.At - clockBase; action.At > 0 && at < deadline {
		deadline = at
	}
	w.at(deadline, func() { g.abandon(a, bramblelock.TimedOut) })
	p := g.pools[hostIndex]
	if p == nil {
		p = &pool{}
		g.pools[hostIndex] = p
	}
	p.closeExpired(w, a.host)
	cut, silent, delay := w.linkState(g.rank, hostIndex)
	oneWay := w.oneWayDelay(g.zone, w.hostList[hostIndex].host.Zone) + delay
	if last := len(p.idle) - 1; last >= 0 {
		c := p.idle[last]
		p.idle = p.idle[:last]
		a.sendOnIdleConn(c, oneWay, cut, silent)
		return
	}
	p.open++
	a.sendOnNewConn(oneWay, cut, silent)
}

// closeExpired closes the connections that have been idle for half of the host's idle limit, as the real
// gateway does.
func (p *pool) closeExpired(w *world, h *Host) {
	for len(p.idle) > 0 && w.now-p.idle[0].idleSince > w.scenario.Rules.ConnIdle.std()/2 {
		h.Disconnect(p.idle[0].incarnation)
		p.idle = p.idle[1:]
		p.open--
	}
}

// sendOnIdleConn sends an attempt over an idle connection, which reaches the host after oneWay. cut and
// silent are the state of the link.
func (a *attempt) sendOnIdleConn(c conn, oneWay time.Duration, cut, silent bool) {
	a.connected = true
	a.incarnation = c.incarnation
	a.gateway.world.after(oneWay, func() {
		switch {
		case silent:
		case cut || c.incarnation != a.host.Incarnation:
			a.finishAfter(oneWay, bramblelock.Reset)
		default:
			a.arriveAtHost(oneWay, false)
		}
	})
}

// sendOnNewConn opens a connection and sends an attempt over it, which takes three times oneWay. cut and
// silent are the state of the link.
func (a *attempt) sendOnNewConn(oneWay time.Duration, cut, silent bool) {
	w, h := a.gateway.world, a.host
	w.after(oneWay, func() {
		switch {
		case a.ended:
		case silent || h.Condition == Silent:
			a.finishAfter(w.scenario.Rules.DialTimeout.std(), bramblelock.ConnectFailed)
		case cut || h.Condition == Dead || h.Condition == Refusing:
			w.recorder.RecordNewConn(h.Index, w.now)
			a.finishAfter(oneWay, bramblelock.ConnectFailed)
		default:
			w.recorder.RecordNewConn(h.Index, w.now)
			if !h.Connect() {
				a.finishAfter(oneWay, bramblelock.Full) // accepted, answered 503 and closed
				return
			}
			a.connected = true
			a.incarnation = h.Incarnation
			w.after(2*oneWay, func() { a.arriveAtHost(oneWay, true) })
		}
	})
}

// arriveAtHost handles the arrival of the last byte of an attempt at its host. newConn says that the
// connection was opened for it, which costs work.
func (a *attempt) arriveAtHost(oneWay time.Duration, newConn bool) {
	w, h := a.gateway.world, a.host
	if a.ended {
		return
	}
	if a.incarnation != h.Incarnation || h.Condition == Dead || h.Condition == Refusing {
		a.finishAfter(oneWay, bramblelock.Reset)
		return
	}
	c := &w.scenario.Classes[a.request.arrival.Class]
	job := &Job{Work: time.Duration(a.request.arrival.WorkFactor * float64(c.Work)), WaitTime: time.Duration(a.request.arrival.WaitFactor * float64(c.WaitTime))}
	if newConn {
		job.Work += w.scenario.Rules.ConnCost.std()
	}
	job.Notified = h.Started < 0 || a.gateway.knownStart[h.Index] == clockBase+h.Started
	job.Done = func(ok bool) { a.finishAfter(oneWay, bramblelock.OK) }
	w.advanceHost(h)
	w.recorder.RecordHostRequest(h.Index, w.now)
	switch h.Arrive(w.now, job) {
	case Accepted:
		a.job = job
		w.advanceHost(h)
	case Rejected:
		a.finishAfter(oneWay, bramblelock.Full)
	case FastError:
		a.finishAfter(oneWay+fastErrorDelay, bramblelock.Failed)
	case ConnectionReset:
		a.finishAfter(oneWay, bramblelock.Reset)
	}
}

// finishAfter ends an attempt with a result that reaches the gateway after a delay. The connection is kept
// if the host has answered on it, and closed otherwise.
func (a *attempt) finishAfter(delay time.Duration, result bramblelock.Result) {
	a.gateway.world.after(delay, func() {
		if a.ended {
			return
		}
		a.ended = true
		if result == bramblelock.OK || result == bramblelock.Failed || result == bramblelock.Full && a.connected {
			a.keepConnection()
		} else {
			a.closeConnection()
		}
		a.gateway.handle(func() { a.gateway.reportOutcome(a, result) })
	})
}

// abandon ends an attempt on the gateway's side, at its deadline or on a Cancel action, unless it has ended.
// Its connection is closed, and the host stops its work on the attempt when the close arrives. A paused
// process does this when it continues.
func (g *gateway) abandon(a *attempt, result bramblelock.Result) {
	if a.ended {
		return
	}
	if g.paused {
		g.whenRunning(func() { g.abandon(a, result) })
		return
	}
	a.ended = true
	a.closeConnection()
	g.world.after(0, func() { // reported in an event of its own, not within the event that cancelled the attempt
		if g.up && g.requests[a.request.id] == a.request { // the requests are cleared when the process ends
			g.handle(func() { g.reportOutcome(a, result) })
		}
	})
}

// closeConnection closes the connection of an attempt. The host stops its work on the attempt when the
// close arrives, which takes the one-way delay within a zone, whatever the zones of gateway and host.
func (a *attempt) closeConnection() {
	w, h := a.gateway.world, a.host
	if p := a.gateway.pools[h.Index]; p != nil {
		p.open--
	}
	job, incarnation, connected := a.job, a.incarnation, a.connected
	w.after(w.scenario.Net.SameZone.std(), func() {
		if connected {
			h.Disconnect(incarnation)
		}
		if job != nil {
			w.advanceHost(h)
			h.Cancel(w.now, job)
			w.advanceHost(h)
		}
	})
}

// keepConnection keeps the connection of a finished attempt in the pool, or closes it if the host is not
// ready or has restarted.
func (a *attempt) keepConnection() {
	p := a.gateway.pools[a.host.Index]
	if !a.gateway.usable[a.host.Index] || a.incarnation != a.host.Incarnation {
		a.closeConnection()
		return
	}
	p.idle = append(p.idle, conn{a.incarnation, a.gateway.world.now})
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
