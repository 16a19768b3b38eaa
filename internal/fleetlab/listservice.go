package fleetlab

import (
	"time"

	"lynxspool"
	"lynxspool/internal/admit"
)

// What a list service does with calls.
const (
	catUp = iota
	catDown
	catReset
	catBusy
	catBlackHole
)

// watchSilence is how long a gateway waits on a watch that says nothing (the gateway's
// own figure), watchDial how long for a connection.
const (
	watchSilence = lynxspool.SilentAfter
	watchDial    = 500 * time.Millisecond
)

// listService is one instance of the list service in the virtual engine: calls in turn,
// and open watches.
type listService struct {
	w       *world
	index   int
	mode    int
	call    time.Duration // 0: as the scenario says
	gate    *admit.Gate
	calls   map[uint64]*watch // that have no verdict yet
	lastID  uint64
	watches map[int]*watch
}

func newListService(w *world, i int) *listService {
	c := &w.s.Catalog
	return &listService{w: w, index: i, watches: map[int]*watch{}, calls: map[uint64]*watch{}, gate: admit.New(admit.Options{
		Work: c.Work, Queue: c.Queue, Wait: c.CallWait.std(), Least: 2 * time.Millisecond, Most: 10 * time.Second})}
}

// watch is a gateway's open watch, or its call for one.
type watch struct {
	g       *gateway
	gen     int // of the gateway's process
	version uint64
	open    bool
	over    bool
	rest    time.Duration // what the service asked for when it turned the call away
}

// fail ends a watch at its gateway after d.
func (c *listService) fail(x *watch, d time.Duration) {
	if x.over {
		return
	}
	x.over = true
	if c.watches[x.g.rank] == x {
		delete(c.watches, x.g.rank)
	}
	c.w.after(d, func() { x.g.watchLost(x) })
}

// set changes what the service does; watches end when it goes down.
func (c *listService) set(mode int) {
	old := c.mode
	c.mode = mode
	for i := range c.w.gws { // in the order of ranks, so that nothing hangs on map order
		x := c.watches[i]
		if x == nil {
			continue
		}
		switch {
		case mode == catBlackHole:
			x := x
			c.w.after(watchSilence, func() {
				if c.mode == catBlackHole {
					c.fail(x, 0)
				}
			})
		case mode != catUp && mode != catBusy || old == catBlackHole:
			c.fail(x, c.w.s.Net.Same.std())
		}
	}
}

// take is a call that reaches the service.
func (c *listService) take(x *watch) {
	w := c.w
	same := w.s.Net.Same.std()
	switch c.mode {
	case catDown, catReset:
		w.rec.Call(c.index, w.now, 0, true)
		c.fail(x, same)
		return
	case catBlackHole:
		w.rec.Call(c.index, w.now, 0, true)
		c.fail(x, watchDial)
		return
	case catBusy:
		w.rec.Call(c.index, w.now, 0, true)
		c.fail(x, same)
		return
	}
	class := admit.NoList
	if x.version > 0 {
		class = admit.Resume
	}
	c.lastID++
	c.calls[c.lastID] = x
	c.tell(c.gate.Arrive(w.now, c.lastID, class))
	w.after(w.s.Catalog.CallWait.std(), func() { c.tell(c.gate.Expire(w.now)) })
}

// tell carries out what the gate has decided: a call is worked on, or turned away.
func (c *listService) tell(due []admit.Decision) {
	w := c.w
	for _, v := range due {
		x := c.calls[v.ID]
		delete(c.calls, v.ID)
		if !v.Admitted {
			w.rec.Call(c.index, w.now, 0, true)
			x.rest = v.RetryAfter
			c.fail(x, w.s.Net.Same.std())
			continue
		}
		w.rec.Call(c.index, w.now, 110*len(w.list), false)
		cost := c.call
		if cost == 0 {
			cost = w.s.Catalog.Call.std()
		}
		w.after(cost, func() {
			c.tell(c.gate.Done(w.now, cost))
			switch {
			case x.over:
			case c.mode != catUp && c.mode != catBusy:
				c.fail(x, w.s.Net.Same.std())
			default:
				x.open = true
				c.watches[x.g.rank] = x
				c.send(x)
			}
		})
	}
}

// send writes the changes after a watch's version, or the whole list, to its gateway.
func (c *listService) send(x *watch) {
	w := c.w
	kind, after := lynxspool.ListChanges, x.version
	if after == 0 {
		kind = lynxspool.ListFull
	}
	var list []lynxspool.Host
	for i := range w.list {
		if e := &w.list[i]; e.version > after && (e.listed || kind == lynxspool.ListChanges) {
			list = append(list, e.host)
		}
	}
	x.version = w.version
	w.after(w.s.Net.Same.std()+x.g.late, func() { x.g.listed(x, kind, list) })
}

// news sends the newest changes to every open watch.
func (c *listService) news() {
	if c.mode != catUp && c.mode != catBusy {
		return
	}
	for i := range c.w.gws {
		if x := c.watches[i]; x != nil {
			c.send(x)
		}
	}
}
