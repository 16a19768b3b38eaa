package fleetlab

import (
	"time"

	"bramblelock"
	"bramblelock/internal/admit"
)

// catalogMode is how a list service instance treats calls and watches.
type catalogMode uint8

// Modes of a list service instance.
const (
	catalogUp        catalogMode = iota
	catalogDown                  // refuses connections
	catalogReset                 // resets connections
	catalogBusy                  // rejects all calls but keeps the open watches
	catalogBlackHole             // never answers
)

const (
	// watchSilenceTimeout is the time after which the gateway closes a watch that delivers nothing.
	watchSilenceTimeout = bramblelock.SilentAfter
	// watchDialTimeout is the gateway's timeout for a connection to the list service.
	watchDialTimeout = 500 * time.Millisecond
)

// listService is one instance of the list service in the virtual engine. It has admission control of calls
// and keeps the open watches.
type listService struct {
	world        *world
	index        int
	mode         catalogMode
	callTime     time.Duration // time of work on a call; 0: as the scenario says
	gate         *admit.Gate
	waitingCalls map[uint64]*watch // calls without a decision, by call ID
	lastCallID   uint64
	watches      map[int]*watch // open watches, by rank of the gateway
}

// newListService returns the instance of an index.
func newListService(w *world, i int) *listService {
	c := &w.scenario.Catalog
	return &listService{world: w, index: i, watches: map[int]*watch{}, waitingCalls: map[uint64]*watch{}, gate: admit.New(admit.Options{
		Work: c.MaxInWork, Queue: c.QueueLimit, Wait: c.MaxCallWait.std(), Least: 2 * time.Millisecond, Most: 10 * time.Second})}
}

// watch is a gateway's open watch, or its call for one.
type watch struct {
	gateway     *gateway
	generation  int           // of the gateway's process
	listVersion uint64        // version that the gateway has after the last delivery; 0: it has no list
	open        bool          // false: it is a call that has not been answered
	ended       bool          // it was lost or failed, or its gateway has exited
	retryAfter  time.Duration // retry delay that the service asked for when it shed the call; 0: none
}

// endWatch ends a watch or a call. The gateway notices after d.
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

// setMode changes the mode of the instance. Open watches end at once in catalogDown and catalogReset and when
// catalogBlackHole ends, and after watchSilenceTimeout in catalogBlackHole.
func (c *listService) setMode(mode catalogMode) {
	old := c.mode
	c.mode = mode
	for i := range c.world.gateways { // in the order of ranks, so that the run does not depend on the order of the map
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

// handleCall handles a call for a watch that reaches the instance.
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

// applyDecisions carries out the decisions of the gate. An admitted call is worked on, a shed one is
// rejected with a retry delay.
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
		w.recorder.RecordCall(c.index, w.now, 110*len(w.hostList), false) // about 110 bytes per host
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

// sendList sends the changes since the list version of a watch to its gateway, or the full list if the
// gateway has none, and sets the list version to the present one.
func (c *listService) sendList(watch *watch) {
	w := c.world
	kind, afterVersion := bramblelock.ListChanges, watch.listVersion
	if afterVersion == 0 {
		kind = bramblelock.ListFull
	}
	var list []bramblelock.Host
	for i := range w.hostList {
		if e := &w.hostList[i]; e.version > afterVersion && (e.listed || kind == bramblelock.ListChanges) {
			list = append(list, e.host)
		}
	}
	watch.listVersion = w.listVersion
	w.after(w.scenario.Net.SameZone.std()+watch.gateway.listDelay, func() { watch.gateway.listReceived(watch, kind, list) })
}

// sendUpdates sends the latest changes to every open watch.
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
