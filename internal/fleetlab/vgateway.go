package fleetlab

import (
	"time"

	"lynxspool"
	"lynxspool/internal/wire"
)

// gateway is one gateway in the virtual engine: a Balancer with the connections, requests
// and list client that the real gateway keeps round it.
type gateway struct {
	w          *world
	rank, zone int
	configured int
	saved      bool // it has a list from before

	up, ready bool
	stopped   bool
	backlog   []func() // events that came while it was stopped
	gen       int      // of its process
	startedAt Time
	bal       *lynxspool.Balancer
	acts      []lynxspool.Action
	pools     map[int]*pool
	told      map[int]Time // the start of each host, as told
	byID      map[lynxspool.HostID]int
	usable    map[int]bool
	reqs      map[lynxspool.RequestID]*request
	lastID    lynxspool.RequestID
	watch     *watch
	cat       int // which list service it asks next
	version   uint64
	late      time.Duration // lists reach it this much later
	backoff   time.Duration // in push mode
	rate      float64       // as last told to the others
	rateAt    Time          // ... then
	goneAt    Time          // when its process ended
	tried     int           // instances that failed one after another
	resting   Time          // until when a busy list service asked not to be called
}

// pool is a gateway's idle connections to one host.
type pool struct {
	idle []conn
	open int
}

type conn struct {
	inc   int // of the host's process
	since Time
}

// request is a client's request at a gateway.
type request struct {
	a        Arrival
	id       lynxspool.RequestID
	arrived  Time
	deadline Time
	done     bool
	out      int
	atts     []*attempt
}

// attempt is one try of a request at a host.
type attempt struct {
	g    *gateway
	r    *request
	n    int
	host *Host
	sent Time
	inc  int
	conn bool // it holds a connection
	job  *Job
	over bool
}

// event lets something happen at the gateway, or once it is no longer stopped.
func (g *gateway) event(do func()) {
	if g.stopped {
		g.backlog = append(g.backlog, do)
		return
	}
	do()
	g.perform()
}

// start starts its process.
func (g *gateway) start() {
	w := g.w
	g.gen++
	g.up, g.ready, g.stopped, g.backlog = true, false, false, nil
	g.startedAt, g.version, g.cat = w.now, 0, g.rank%len(w.cats)
	g.pools, g.told, g.usable = map[int]*pool{}, map[int]Time{}, map[int]bool{}
	g.reqs, g.byID, g.backoff = map[lynxspool.RequestID]*request{}, map[lynxspool.HostID]int{}, 0
	set, err := wire.ParseSettings(g.w.s.SettingsJSON(g.rank, g.configured))
	if err == nil {
		g.bal, err = lynxspool.New(set, w.seeds.Uint64())
	}
	if err != nil {
		panic(err) // the scenario was checked
	}
	g.rate, g.rateAt = 0, 0
	g.event(func() {
		if w.s.Gateways.Membership {
			g.look(g.gen)
		}
		g.bal.Start(g.clock())
		if g.saved {
			list := make([]lynxspool.Host, len(w.list))
			for i := range w.list {
				list[i] = w.list[i].host
			}
			g.take(lynxspool.ListSaved, list)
			g.version = w.version
		}
		if w.s.Catalog.Push {
			g.call()
		}
	})
}

// look tells the Balancer the view of the bank, once a second; each gateway tells the others
// its rate every 5 s.
func (g *gateway) look(gen int) {
	w := g.w
	if !g.up || g.gen != gen {
		return
	}
	if w.now-g.rateAt >= 5*time.Second || g.rate == 0 {
		g.rate, g.rateAt = g.bal.RequestRate(g.clock()), w.now
	}
	var peers []lynxspool.Peer
	for _, o := range w.gws {
		gone := !o.up && (o.gen == 0 || w.now-o.goneAt >= w.s.Gateways.Detect.std())
		cut := w.side != nil && w.side[o.rank] != w.side[g.rank] && w.now-w.cutAt >= w.s.Gateways.Detect.std()
		if !gone && !cut {
			peers = append(peers, lynxspool.Peer{Rank: o.rank % g.configured, Rate: o.rate})
		}
	}
	g.event(func() { g.bal.UpdatePeers(g.clock(), peers) })
	w.after(time.Second, func() { g.look(gen) })
}

func (g *gateway) clock() lynxspool.Time { return clockBase + g.w.now }

// kill ends its process: its connections are reset, its requests lost.
func (g *gateway) kill() {
	if !g.up {
		return
	}
	w := g.w
	g.up, g.stopped, g.backlog, g.goneAt = false, false, nil, w.now
	g.gen++
	g.loseOpen(Lost)
	for i, h := range w.hosts {
		if p := g.pools[i]; p != nil {
			for _, c := range p.idle {
				h.Disconnect(c.inc)
			}
		}
	}
	if g.watch != nil {
		c := w.cats[g.watch.cat(w)]
		g.watch.over = true
		delete(c.watches, g.rank)
		g.watch = nil
	}
	w.after(w.s.Load.Notice.std(), func() {
		if !g.up {
			w.front.admit(g.rank, false)
		}
	})
}

func (x *watch) cat(w *world) int {
	for i, c := range w.cats {
		if c.watches[x.g.rank] == x {
			return i
		}
	}
	return 0
}

// loseOpen ends the open requests of a process that has gone.
func (g *gateway) loseOpen(e End) {
	if g.bal == nil {
		return
	}
	for id := lynxspool.RequestID(1); id <= g.lastID; id++ {
		r := g.reqs[id]
		if r == nil {
			continue
		}
		for _, a := range r.atts {
			if !a.over {
				a.over = true
				a.hangUp()
			}
		}
		if !r.done {
			r.done = true
			g.w.rec.Ended(r.a.At, e, 0)
		}
	}
	g.reqs = map[lynxspool.RequestID]*request{}
}

// stop freezes the process, resume lets it go on.
func (g *gateway) stop() { g.stopped = g.up }

func (g *gateway) resume() {
	if !g.stopped {
		return
	}
	g.stopped = false
	backlog := g.backlog
	g.backlog = nil
	for _, do := range backlog {
		g.event(do)
	}
}

// reconfigure is SIGHUP with settings that say another count.
func (g *gateway) reconfigure(configured int) {
	g.configured = configured
	set, err := wire.ParseSettings(g.w.s.SettingsJSON(g.rank, configured))
	if err == nil && g.up {
		g.event(func() { g.bal.UpdateSettings(g.clock(), set) })
	}
}

// call asks the list service for a watch.
func (g *gateway) call() {
	w := g.w
	c := w.cats[g.cat%len(w.cats)]
	x := &watch{g: g, gen: g.gen, version: g.version}
	g.watch = x
	w.after(w.s.Net.Same.std(), func() {
		if !x.over {
			c.take(x)
		}
	})
}

// watchLost is the end of a watch, or of a call for one.
func (g *gateway) watchLost(x *watch) {
	if !g.up || x.gen != g.gen || g.watch != x {
		return
	}
	g.watch = nil
	g.cat++
	if x.rest > 0 { // as the gateway's client does
		most := g.w.s.Catalog.AskWithin.std()
		if g.version > 0 {
			most = min(most, lynxspool.MaxWatchBackoff)
		}
		g.resting = g.w.now + min(time.Duration(float64(x.rest)*(1+g.w.wait.Float64()/4)), most)
	}
	if g.tried++; !x.open && g.tried < len(g.w.cats) && g.w.now >= g.resting {
		g.call() // another instance may be well
		return
	}
	g.tried = 0
	if !g.w.s.Catalog.Push {
		g.event(func() { g.bal.UpdateHosts(g.clock(), lynxspool.ListFailed, nil) })
		return
	}
	// The gateway's own backoff where lists are pushed: full jitter over twice the step.
	g.backoff = min(max(2*g.backoff, 50*time.Millisecond), time.Second)
	gen := g.gen
	g.w.after(time.Duration(g.w.wait.Float64()*2*float64(g.backoff)), func() {
		if g.up && g.gen == gen {
			g.call()
		}
	})
}

// listed is what a watch has brought.
func (g *gateway) listed(x *watch, kind lynxspool.ListKind, list []lynxspool.Host) {
	if !g.up || x.gen != g.gen || x.over {
		return
	}
	g.backoff, g.version = 0, x.version
	g.event(func() { g.take(kind, list) })
}

// take hands a list to the Balancer and keeps what the pool needs of it.
func (g *gateway) take(kind lynxspool.ListKind, list []lynxspool.Host) {
	w := g.w
	if len(g.byID) == 0 || len(g.byID) < len(w.hosts) {
		for i := range w.list {
			g.byID[w.list[i].host.ID] = i
		}
	}
	for _, e := range list {
		i := g.byID[e.ID]
		if g.usable[i] && (e.State != lynxspool.Ready || g.told[i] != e.Started) {
			g.closeIdle(i)
		}
		g.usable[i], g.told[i] = e.State == lynxspool.Ready, e.Started
	}
	g.bal.UpdateHosts(g.clock(), kind, list)
	if !g.ready && len(list) > 0 {
		g.ready = true
		w.rec.GatewayReady(w.now - g.startedAt)
		w.front.admit(g.rank, true)
	}
}

// request is a request whose last byte has come from a client.
func (g *gateway) request(a Arrival) {
	c := &g.w.s.Classes[a.Class]
	g.lastID++
	r := &request{a: a, id: g.lastID, arrived: g.w.now, deadline: g.w.now + c.Deadline.std()}
	g.reqs[r.id] = r
	g.bal.Request(g.clock(), lynxspool.Request{ID: r.id, Class: a.Class, Tenant: -1, ClientRetry: a.Tries > 0, Remaining: c.Deadline.std()})
}

// perform carries out what the Balancer has decided, as the real gateway's loop does.
func (g *gateway) perform() {
	for g.up && !g.stopped {
		g.acts = g.bal.TakeActions(g.acts[:0])
		if len(g.acts) == 0 {
			return
		}
		for i := range g.acts {
			g.carryOut(g.acts[i])
		}
	}
}

func (g *gateway) carryOut(a lynxspool.Action) {
	w, gen := g.w, g.gen
	switch a.Kind {
	case lynxspool.Send:
		g.send(a)
	case lynxspool.Cancel:
		if r := g.reqs[a.Request]; r != nil && a.Attempt < len(r.atts) {
			g.giveUp(r.atts[a.Attempt], lynxspool.Canceled)
		}
	case lynxspool.Refuse:
		g.answer(a.Request, Refused)
	case lynxspool.Fail:
		g.answer(a.Request, Failed)
	case lynxspool.Wake:
		w.at(a.At-clockBase, func() {
			if g.up && g.gen == gen {
				g.event(func() { g.bal.Timer(g.clock(), a.Token) })
			}
		})
	case lynxspool.Close:
		if i, ok := g.byID[a.Host]; ok {
			g.closeIdle(i)
		}
	case lynxspool.Watch:
		w.at(g.resting, func() {
			if g.up && g.gen == gen && g.watch == nil {
				g.call()
			}
		})
	}
}

// answer is the final answer to a client; a refused one may come again.
func (g *gateway) answer(id lynxspool.RequestID, e End) {
	r := g.reqs[id]
	if r == nil || r.done {
		return
	}
	r.done = true
	w := g.w
	took := w.now - r.arrived
	if e == Served && took > w.s.Classes[r.a.Class].Aim.std() {
		e = Late
	}
	if e == Refused && r.a.Tries < w.s.Load.Retries {
		a := r.a
		a.Tries++
		w.after(w.s.Load.RetryWait.std(), func() { w.arrive(a) })
	} else {
		w.rec.Ended(r.a.At, e, took)
	}
	g.release(r)
}

func (g *gateway) release(r *request) {
	if r.done && r.out == 0 {
		delete(g.reqs, r.id)
	}
}

// outcome reports the end of an attempt to the Balancer.
func (g *gateway) outcome(a *attempt, res lynxspool.Result) {
	r := a.r
	r.out--
	if res == lynxspool.OK {
		g.answer(r.id, Served)
	}
	g.bal.Outcome(g.clock(), lynxspool.Outcome{Request: r.id, Attempt: a.n, Result: res, Elapsed: g.w.now - a.sent, Answered: r.done})
	g.release(r)
}

func (g *gateway) closeIdle(i int) {
	p := g.pools[i]
	if p == nil {
		return
	}
	for _, c := range p.idle {
		g.w.hosts[i].Disconnect(c.inc)
		p.open--
	}
	p.idle = nil
}
