package fleetlab

import (
	"time"

	"lynxspool"
	"lynxspool/internal/admit"
)

// What a list service does with calls.
const (
	catalogUp = iota
	catalogDown
	catalogReset
	catalogBusy
	catalogBlackHole
)

// watchSilenceTimeout is how long a gateway waits on a watch that says nothing (the gateway's
// own figure), watchDialTimeout how long for a connection.
const (
	watchSilenceTimeout = lynxspool.SilentAfter
	watchDialTimeout    = 500 * time.Millisecond
)

// listService is one instance of the list service in the virtual engine: calls in turn,
// and open watches.
type listService struct {
	world        *world
	index        int
	mode         int
	callTime     time.Duration // 0: as the scenario says
	gate         *admit.Gate
	waitingCalls map[uint64]*watch // that have no verdict yet
	lastCallID   uint64
	watches      map[int]*watch
}

func newListService(w *world, i int) *listService {
	c := &w.scenario.Catalog
	return &listService{world: w, index: i, watches: map[int]*watch{}, waitingCalls: map[uint64]*watch{}, gate: admit.New(admit.Options{
		Work: c.MaxInWork, Queue: c.QueueLimit, Wait: c.MaxCallWait.std(), Least: 2 * time.Millisecond, Most: 10 * time.Second})}
}

// watch is a gateway's open watch, or its call for one.
type watch struct {
	gateway     *gateway
	generation  int // of the gateway's process
	listVersion uint64
	open        bool
	ended       bool
	retryAfter  time.Duration // what the service asked for when it turned the call away
}

// endWatch ends a watch at its gateway after d.
func (c *listService) endWatch(watch *watch, d time.Duration) {
	if watch.ended {
		return
	}
	watch.ended = true
	if c.watches[watch.gateway.rank] == watch {
		delete(c.watches, watch.gateway.rank)
	}
	c.world.after(d, func() { watch.gateway.watchLost(watch) })
}

// setMode changes what the service does; watches end when it goes down.
func (c *listService) setMode(mode int) {
	old := c.mode
	c.mode = mode
	for i := range c.world.gateways { // in the order of ranks, so that nothing hangs on map order
		x := c.watches[i]
		if x == nil {
			continue
		}
		switch {
		case mode == catalogBlackHole:
			x := x
			c.world.after(watchSilenceTimeout, func() {
				if c.mode == catalogBlackHole {
					c.endWatch(x, 0)
				}
			})
		case mode != catalogUp && mode != catalogBusy || old == catalogBlackHole:
			c.endWatch(x, c.world.scenario.Net.SameZone.std())
		}
	}
}

// handleCall is a call that reaches the service.
func (c *listService) handleCall(watch *watch) {
	w := c.world
	delay := w.scenario.Net.SameZone.std()
	switch c.mode {
	case catalogDown, catalogReset:
		w.recorder.RecordCall(c.index, w.now, 0, true)
		c.endWatch(watch, delay)
		return
	case catalogBlackHole:
		w.recorder.RecordCall(c.index, w.now, 0, true)
		c.endWatch(watch, watchDialTimeout)
		return
	case catalogBusy:
		w.recorder.RecordCall(c.index, w.now, 0, true)
		c.endWatch(watch, delay)
		return
	}
	priority := admit.NoList
	if watch.listVersion > 0 {
		priority = admit.Resume
	}
	c.lastCallID++
	c.waitingCalls[c.lastCallID] = watch
	c.applyDecisions(c.gate.Arrive(w.now, c.lastCallID, priority))
	w.after(w.scenario.Catalog.MaxCallWait.std(), func() { c.applyDecisions(c.gate.Expire(w.now)) })
}

// applyDecisions carries out what the gate has decided: a call is worked on, or turned away.
func (c *listService) applyDecisions(decisions []admit.Decision) {
	w := c.world
	for _, decision := range decisions {
		watch := c.waitingCalls[decision.ID]
		delete(c.waitingCalls, decision.ID)
		if !decision.Admitted {
			w.recorder.RecordCall(c.index, w.now, 0, true)
			watch.retryAfter = decision.RetryAfter
			c.endWatch(watch, w.scenario.Net.SameZone.std())
			continue
		}
		w.recorder.RecordCall(c.index, w.now, 110*len(w.hostList), false)
		callTime := c.callTime
		if callTime == 0 {
			callTime = w.scenario.Catalog.CallTime.std()
		}
		w.after(callTime, func() {
			c.applyDecisions(c.gate.Done(w.now, callTime))
			switch {
			case watch.ended:
			case c.mode != catalogUp && c.mode != catalogBusy:
				c.endWatch(watch, w.scenario.Net.SameZone.std())
			default:
				watch.open = true
				c.watches[watch.gateway.rank] = watch
				c.sendList(watch)
			}
		})
	}
}

// sendList writes the changes after a watch's version, or the whole list, to its gateway.
func (c *listService) sendList(watch *watch) {
	w := c.world
	kind, afterVersion := lynxspool.ListChanges, watch.listVersion
	if afterVersion == 0 {
		kind = lynxspool.ListFull
	}
	var list []lynxspool.Host
	for i := range w.hostList {
		if e := &w.hostList[i]; e.version > afterVersion && (e.listed || kind == lynxspool.ListChanges) {
			list = append(list, e.host)
		}
	}
	watch.listVersion = w.listVersion
	w.after(w.scenario.Net.SameZone.std()+watch.gateway.listDelay, func() { watch.gateway.listReceived(watch, kind, list) })
}

// sendUpdates sends the newest changes to every open watch.
func (c *listService) sendUpdates() {
	if c.mode != catalogUp && c.mode != catalogBusy {
		return
	}
	for i := range c.world.gateways {
		if watch := c.watches[i]; watch != nil {
			c.sendList(watch)
		}
	}
}
