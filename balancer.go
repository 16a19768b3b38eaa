package lynxspool

// The decisions of the balancer, but for which hosts it draws from (aperture.go), how
// cold hosts are paced (cold.go), when discovery is asked (asking.go) and until when a list
// that it no longer tells of may be used (notified.go). The types it speaks in are in api.go.
//
// Reading order: the constants; New (what a Balancer keeps is in state.go); one method
// per event, from Start to Timer; then what they call: place and pick (the ordinary
// path), load to sample (the score), allows to atLimit (who is ready), observe, adjust
// and press (what is learnt), settle to end (what follows an attempt), enqueue to serve
// (waiting), listen (silence), and last discovery.
//
// The ordinary path is failure-aware peak EWMA with two choices: of two random
// ready hosts the one with the lower estimate x (own pending + 1) gets the
// request. Departures from it decide who is ready, and each says when it acts.

import (
	"math"
	"sort"
)

// The constants, each relative to settings or to what is measured.
const (
	decayAims   = 8         // the estimate's decay, in shortest aims: it outlasts a gap between samples
	decayGaps   = 4         // ... or in gaps between two samples of a host, if that is more
	decayMost   = 8         // ... but this many times the former at most
	kindsMost   = 255       // kinds told apart
	seedShare   = 0.25      // RTT of an unknown host, in shortest aims: it must not look free
	penaltyAims = 1         // base penalty of an error or refusal, in longest aims: above ordinary answers
	meanWeight  = 0.1       // weight of a sample in a mean: about the last ten count
	longWeight  = 1.0 / 256 // weight of a sample in what is usual: a jam must not become usual
	backoffAims = 2         // first ejection, in shortest aims
	backoffMax  = 5         // doublings of an ejection at most
	patience    = 4         // deviations above the mean RTT after which an unheard host counts as silent
	backAfter   = 3         // seconds until a host that was called back is tried at the latest
	rateFalls   = 4         // span of a host's rate of answers, in OverloadWindows
	limitStart  = 4         // attempts a new host may hold from the whole bank
	limitAims   = 0.375     // mean RTT that the in-flight limit of a host steers to, in aims
	limitTimes  = 2         // ... or in times what is usual for the class, if that is less
	aloneTimes  = 1.25      // ... or in times what an attempt alone at its host takes, if that is more
	limitMost   = 0.5       // ... but this many aims at most
	recentAims  = 0.5       // span of a host's recent mean RTT, in shortest aims: faster than hosts tip
	recentMost  = 0.5       // weight of one answer in that mean at most: one may be odd
	limitLeast  = 2         // ... and is never kept from holding: one runs while the next arrives
	growth      = 0.3       // attempts that the bank adds at a host in a round while requests wait
	overdueAims = 0.5       // age of an attempt, in aims, from which its host gets no other
	pressAims   = 0.45      // RTT that the rate of sends steers to, in aims of the class: half is for spread
	pressTimes  = 1.5       // ... or in times what is usual for the class, if that is less
	pressMost   = 3         // RTT that one answer counts as at most, in times the target: it may be odd
	pressWeight = 1.0 / 8   // weight of an answer in that mean: few samples must do
	boundShare  = 8         // instances at a host from which the bound acts: each has part of an attempt
	boundDecays = 2         // time in which the bound on the rate grows by e, in decays
	boundBurst  = 4         // sends that may be saved up under the bound
	quotaBurst  = 1.0       // seconds of its quota a tenant may save up
	repeatWorth = 0.5       // worth of a client's repeat while others wait, as a share: it may come late
	waitShare   = 0.2       // of its aim that a request waits for a host at most
	sweepShare  = 1.0 / 16  // time between looks at waiting requests and silent hosts, in shortest aims
	answerSteps = 2         // steps ahead of its deadline that a request is answered at the latest
)

const (
	tokenSweep = iota + 1 // look at queue and hosts
	tokenWatch            // ask discovery
	tokenAnswer
)

const tokenShift = 56 // a token is its kind above the request ID

// New returns a Balancer for the settings, or an error if they cannot be served.
func New(set Settings, seed uint64) (*Balancer, error) {
	if err := check(&set); err != nil {
		return nil, err
	}
	b := &Balancer{
		rng: seed, byID: map[HostID]*host{}, reqs: map[RequestID]*request{}, banned: map[HostID]bool{},
		back: map[HostID]Time{},
	}
	b.adopt(set)
	return b, nil
}

// layBands orders the waiting lines: each class has one within quota and one
// beyond it, and the same again for repeats. The line worth most is served first;
// of equal worth, the one with the tighter aim.
func (b *Balancer) layBands() {
	type line struct {
		class *class
		part  int
		worth float64
	}
	var lines []line
	for _, c := range b.classes {
		for part := range len(c.bands) {
			lines = append(lines, line{c, part, partWorth(&c.Class, part, &b.set)})
		}
	}
	sort.SliceStable(lines, func(i, j int) bool {
		if lines[i].worth != lines[j].worth {
			return lines[i].worth > lines[j].worth
		}
		return lines[i].class.LatencyTarget < lines[j].class.LatencyTarget
	})
	b.bands, b.worths = make([]list[request], len(lines)), b.worths[:0]
	for k, l := range lines {
		l.class.bands[l.part] = k
		b.worths = append(b.worths, l.worth)
	}
}

// partWorth is what a request of a part of its class is worth.
func partWorth(c *Class, part int, set *Settings) float64 {
	worth := c.PriorityWeight
	if part&overQuota != 0 {
		worth *= set.OverQuotaFactor
	}
	if part&repeated != 0 {
		worth *= repeatWorth
	}
	return worth
}

// lineOf is the first line that is worth no more, or the last.
func (b *Balancer) lineOf(worth float64) int {
	return min(sort.Search(len(b.worths), func(i int) bool { return b.worths[i] <= worth }), len(b.worths)-1)
}

// Start is the first event: the gateway has come up. Where the list must be
// asked for, the watch begins here.
func (b *Balancer) Start(now Time) {
	b.now = now
	if b.set.WatchHosts {
		b.watchIn(firstCall(&b.set))
	}
}

// UpdateHosts is news of the host list.
func (b *Balancer) UpdateHosts(now Time, kind ListKind, list []Host) {
	b.now = now
	if kind.IsLoss() {
		b.lostList(kind)
		return
	}
	if kind != ListSaved {
		b.foundList()
	}
	if kind != ListChanges {
		for _, h := range b.hosts {
			h.State = Removed
		}
	}
	for _, e := range list {
		b.learn(e)
	}
	for i := len(b.hosts) - 1; i >= 0; i-- {
		b.forget(b.hosts[i])
	}
	b.layRing()
	for _, h := range b.hosts {
		if h.limit == 0 { // it is new
			h.limit = limitStart / b.sharers()
		}
	}
	b.pump()
}

// SetMaintenance takes a host out of use, or calls it back. It is keyed by ID alone: what the
// list says of the host meanwhile changes nothing. A host that is called back may be
// another process on another machine; what was learnt of it is void, and it is cold.
func (b *Balancer) SetMaintenance(now Time, id HostID, out bool) {
	b.now = now
	was := b.banned[id]
	h := b.byID[id]
	if out {
		b.banned[id] = true
		delete(b.back, id)
	} else {
		delete(b.banned, id)
	}
	if was == out {
		return
	}
	if !out {
		b.back[id] = now // it may be listed again only later
	}
	if h == nil {
		return
	}
	h.banned = out
	if !out {
		b.renew(h)
		b.chill(h, now)
		// Called back it is wanted back, however little is learnt of what it can take.
		h.coldBy = now + Time(1e9*backAfter*(0.5+b.float()/2))
	}
	b.pump()
}

// MaintenanceEnded tells of a call back that this instance has not seen itself, as another served
// then: the host is cold as of it, listed yet or not.
func (b *Balancer) MaintenanceEnded(now Time, id HostID, since Time) {
	b.now = now
	b.back[id] = since
	if h := b.byID[id]; h != nil {
		b.chill(h, since)
	}
}

// decayNow is the decay of the estimates. Where traffic is thin it follows the gap
// between two samples of a host, or every estimate would fade before the next.
func (b *Balancer) decayNow(h *host) float64 {
	rate := b.rate.now(b.now, b.rateSpan())
	if rate == 0 {
		return b.decay
	}
	gap := float64(b.reach()) / rate
	if b.peers != nil {
		gap = 1 / (rate * b.weight(h)) // what is sampled seldom must not look fast for that
	}
	return max(b.decay, min(decayGaps*gap, decayMost*b.decay))
}

// learn takes over one entry of the list.
func (b *Balancer) learn(e Host) {
	h := b.byID[e.ID]
	if h == nil {
		if e.State == Removed {
			return
		}
		h = &host{heard: b.now, rttAt: b.now, banned: b.banned[e.ID]}
		h.mark = mix(uint64(e.ID))
		b.byID[e.ID] = h
		b.hosts = append(b.hosts, h)
	}
	started := h.Started
	h.Host = e
	if since, ok := b.back[e.ID]; ok && h.coldAt < since {
		b.chill(h, since)
	}
	if e.Started > 0 && e.Started != started {
		b.chill(h, e.Started)
	}
}

// Request is a client's request, owed one final answer from here on.
func (b *Balancer) Request(now Time, q Request) {
	b.now = now
	if b.reqs[q.ID] != nil || q.Class < 0 || q.Class >= len(b.classes) {
		return
	}
	r := b.newRequest()
	r.Request, r.class, r.attempts = q, b.classes[q.Class], b.set.MaxAttempts
	r.arrived = now - max(q.Age, 0)
	r.deadline = now + min(max(q.Remaining, 0), r.class.Deadline)
	r.part = b.part(r)
	r.band = r.class.bands[r.part]
	b.reqs[q.ID] = r
	b.rate.add(now, b.rateSpan())
	b.long.add(now, ratesSpan)
	if q.Upload {
		r.deadline = now + maxTime // it has none until it is whole
	} else if b.due(r); r.done {
		return
	}
	b.place(r, false)
}

// due sets the timer that every request has ahead of its deadline: an attempt that is
// still connecting then ends only later, too late to answer on its outcome. One that
// came too late to be sent is answered.
func (b *Balancer) due(r *request) {
	b.wake(max(b.now, r.deadline-answerSteps*b.set.EventInterval), tokenAnswer<<tokenShift|uint64(r.ID))
	if b.now+answerSteps*b.set.EventInterval >= r.deadline {
		b.answer(r)
	}
}

// UploadComplete says that the last byte of a request that was sent as it came is with the host.
// Its time begins here, and so does what its host is judged by.
func (b *Balancer) UploadComplete(now Time, id RequestID, left Time) {
	b.now = now
	r := b.reqs[id]
	if r == nil || r.done || !r.Upload {
		return
	}
	r.Upload, r.arrived = false, now
	r.deadline = now + min(max(left, 0), r.class.Deadline)
	for _, a := range r.atts {
		if !a.ended {
			a.sent = now
			b.fly(a)
		}
	}
	b.due(r)
	b.sweepSoon()
}

// The parts of a class that wait in lines of their own.
const (
	overQuota = 1 << iota // beyond the tenant's quota
	repeated              // the client has asked before
)

// part says which part of its class a request belongs to.
func (b *Balancer) part(r *request) (part int) {
	if r.Tenant >= 0 && r.Tenant < len(b.quota) && !b.quota[r.Tenant].take(b.now) {
		part |= overQuota
	}
	if r.ClientRetry {
		part |= repeated
	}
	return part
}

// ResponseStarted says that a stream has begun: the request belongs to that attempt.
func (b *Balancer) ResponseStarted(now Time, id RequestID, n int) {
	b.now = now
	r := b.reqs[id]
	if r == nil || r.done || n < 0 || n >= len(r.atts) {
		return
	}
	r.bound = true
	b.cancelOthers(r, n)
	// The host has answered; how long the client takes from here on is not its doing.
	a := r.atts[n]
	a.host.passed = max(a.host.passed, a.sent)
	b.land(a)
	b.readmit(a.host)
}

// Outcome is the end of an attempt.
func (b *Balancer) Outcome(now Time, o Outcome) {
	b.now = now
	r := b.reqs[o.Request]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.atts) || r.atts[o.Attempt].ended {
		return
	}
	a := r.atts[o.Attempt]
	a.ended, a.result = true, o.Result
	r.out--
	a.host.open--
	b.land(a)
	r.spent = r.spent || o.NotReplayable
	b.observe(a, max(o.Elapsed, 0).Seconds())
	b.settle(r, a, o.Answered)
	b.forget(a.host)
	b.pump()
}

// ClientGone says that nobody waits for the request any more.
func (b *Balancer) ClientGone(now Time, id RequestID) {
	b.now = now
	if r := b.reqs[id]; r != nil && !r.done {
		b.end(r)
	}
}

// Timer is a Wake that has come due.
func (b *Balancer) Timer(now Time, token uint64) {
	b.now = now
	switch token >> tokenShift {
	case tokenSweep:
		if now >= b.sweepAt {
			b.sweepAt = 0
			b.listen()
			b.pump()
		}
	case tokenWatch:
		if now >= b.watchAt && !b.watching {
			b.act(Action{Kind: Watch})
			b.watchIn(b.set.MaxWatchGap)
		}
	case tokenAnswer:
		if r := b.reqs[RequestID(token&(1<<tokenShift-1))]; r != nil && !r.done && !r.bound {
			b.answer(r)
		}
	}
}

// place sends the request if a host is ready for it and else lets it wait. It
// does not overtake what waits already.
func (b *Balancer) place(r *request, again bool) {
	if b.queued == 0 {
		if h := b.pick(r); h != nil {
			b.send(r, h)
			return
		}
	}
	b.enqueue(r, again)
	b.pump()
}

// pick is the ordinary path: of two random ready hosts, the less loaded.
func (b *Balancer) pick(r *request) *host {
	if !b.admit(r) {
		return nil
	}
	if b.held() {
		b.log(logHold, "sending nothing: discovery does not say who drains")
		return nil
	}
	b.redraw()
	from := b.drawn
	if r.class.Effect == Deduplicated && r.first() != nil {
		from = b.ring // its group may lie outside
	}
	listed, out := 0, 0
	b.ready = b.ready[:0]
	for _, h := range from {
		if !h.takes() || !b.allows(r, h) {
			continue
		}
		listed++
		switch {
		case b.ejected(h):
			out++
		case b.coldHold(h) || b.atLimit(h):
		default:
			b.ready = append(b.ready, h)
		}
	}
	// Fail open: when most hosts are out, the fault is more likely the path or
	// the load than every host, and the few left must not take it all.
	if out*2 > listed {
		b.log(logFailOpen, "%d of %d hosts are ejected, using them all the same", out, listed)
		for _, h := range from {
			if h.takes() && b.allows(r, h) && b.ejected(h) && !b.coldHold(h) && !b.atLimit(h) {
				b.ready = append(b.ready, h)
			}
		}
	}
	n := len(b.ready)
	if n == 0 {
		return nil
	}
	if n == 1 {
		return b.ready[0]
	}
	i, j := b.two()
	if b.load(b.ready[j]) < b.load(b.ready[i]) {
		i = j
	}
	return b.ready[i]
}

// load is the score of a host: its estimate now x (own pending + 1).
func (b *Balancer) load(h *host) float64 { return b.estimate(h) * float64(h.pending+1) }

// estimate reads the RTT decayed toward zero, so that a host that was
// penalised and then left alone drifts back into use.
func (b *Balancer) estimate(h *host) float64 {
	if !h.sampled {
		return b.seed(h) * b.fade(h)
	}
	return h.rtt * b.fade(h)
}

// seed is the RTT of a host that has given no sample yet: what others of its kind
// take, or any others; it must not look free. A restarted instance has a default.
func (b *Balancer) seed(h *host) float64 {
	if h.Kind >= 0 && h.Kind < len(b.kinds) && b.kinds[h.Kind].seen {
		return b.kinds[h.Kind].mean
	}
	if b.all.seen {
		return b.all.mean
	}
	return seedShare * b.aim.Seconds()
}

// typical enters a good answer into what is usual for its class and kind of host, and
// returns its RTT as one of a typical class: a host that last served a slow class
// must not look slow for it.
func (b *Balancer) typical(a *attempt, rtt float64) float64 {
	a.req.class.lat.addLong(rtt)
	b.all.add(rtt)
	rtt *= b.all.mean / a.req.class.lat.mean
	if k := a.host.Kind; k >= 0 && k <= kindsMost {
		for len(b.kinds) <= k {
			b.kinds = append(b.kinds, mean{})
		}
		b.kinds[k].add(rtt)
	}
	return rtt
}

// fade is the weight that a host's estimate has kept since its last sample.
func (b *Balancer) fade(h *host) float64 {
	return math.Exp(-(b.now - h.rttAt).Seconds() / b.decayNow(h))
}

// sample enters an RTT: above the estimate decayed to now it replaces it, below
// it is blended in.
func (b *Balancer) sample(h *host, rtt float64) {
	w := b.fade(h)
	if old := b.estimate(h); rtt > old {
		h.rtt = rtt
	} else {
		h.rtt = old + rtt*(1-w)
	}
	h.rttAt, h.sampled = b.now, true
}

// allows says whether the class rules let the request go to the host now: no
// effect twice, and a repeated key only where and while repeats are dropped.
func (b *Balancer) allows(r *request, h *host) bool {
	first := r.first()
	switch c := r.class; {
	case !b.repeatable(&c.Class, first):
		return false
	case first == nil || c.Effect == Idempotent:
		return true
	case c.DedupScope == DedupZone:
		return h.Zone == first.host.Zone
	case c.DedupScope == DedupCell:
		return h.Cell == first.host.Cell
	}
	return true
}

// repeatable says whether a request of the class may be sent (again) somewhere,
// given its first attempt that may have run: an unsafe one never, a keyed one only
// while repeats are sure to be dropped.
func (b *Balancer) repeatable(c *Class, first *attempt) bool {
	if first == nil || c.Effect == Idempotent {
		return true
	}
	return c.Effect == Deduplicated && b.now <= b.repeatBy(c, first)
}

// ejected says whether a host that failed is out of the draw: until its back-off
// ends, and then for all but one trial at a time.
func (b *Balancer) ejected(h *host) bool {
	return h.fails > 0 && (b.now < h.ejectUntil || h.trialOut)
}

// eject takes a host out of the draw, longer each time in a row.
func (b *Balancer) eject(h *host, why string) {
	if h.fails > 0 && b.now < h.ejectUntil {
		return
	}
	d := float64(backoffAims*b.aim) * float64(int(1)<<min(h.fails, backoffMax))
	h.ejectUntil = b.now + Time(d*(0.75+0.5*b.float()))
	h.fails++
	if h.fails == 1 {
		b.log(logEject, "host %x ejected: %s", h.ID, why)
	}
}

// atLimit says whether a host holds as much from this instance as it may. A
// limit below one, on a host whose mean RTT is over the target, means that it is
// used for that share of the time.
func (b *Balancer) atLimit(h *host) bool {
	oldest, n := h.unpassed()
	if h.fails > 0 && !b.ejected(h) {
		// What is out there has ejected it, and a trial shows whether that is merely lost.
		oldest, n = nil, 0
	}
	return n > 0 && float64(n+1) > h.limit || b.now < h.restUntil || b.overdue(oldest)
}

// overdue says whether the oldest attempt that a host has yet to come to has taken
// longer than the target of the limit already.
func (b *Balancer) overdue(oldest *attempt) bool {
	return oldest != nil && float64(b.now-oldest.sent) > overdueAims*float64(oldest.req.class.LatencyTarget)
}

func (b *Balancer) rateSpan() float64 { return rateFalls * b.set.OverloadWindow.Seconds() }

// send starts an attempt.
func (b *Balancer) send(r *request, h *host) {
	a := b.newAttempt()
	a.req, a.host, a.sent = r, h, b.now
	by := b.sendBy(r)
	a.trial = h.fails > 0
	h.trialOut = h.trialOut || a.trial
	r.atts = append(r.atts, a)
	r.out++
	a.alone = h.pending == 0
	h.open++
	if !r.Upload {
		b.fly(a)
	}
	if h.cold {
		b.paceCold(h)
	}
	b.act(Action{Kind: Send, Request: r.ID, Host: h.ID, WriteBy: by})
	b.sends.add(b.now, b.rateSpan())
	b.tokens = max(b.tokens-1, 0)
	b.sweepSoon()
}

// observe learns from the end of an attempt.
func (b *Balancer) observe(a *attempt, rtt float64) {
	h := a.host
	if a.sent < h.renewed {
		return // it tells nothing of the process that is there now
	}
	// In aims of the class, or as much over what is usual for it, whichever is more.
	aims := rtt / a.req.class.LatencyTarget.Seconds()
	if l := &a.req.class.lat; l.seen {
		aims = max(aims, limitAims/limitTimes*rtt/l.mean)
	}
	// What takes long with nothing else of ours there is not crowding; but where boundShare
	// instances or more share a host, each is alone by itself and the host still crowded.
	if l := &a.req.class.alone; l.seen && b.sharers() < boundShare {
		aims /= min(max(1, aloneTimes*l.mean/(limitAims*a.req.class.LatencyTarget.Seconds())),
			limitMost/limitAims)
	}
	if a.trial {
		h.trialOut = false
	}
	switch a.result {
	case OK:
		if a.alone {
			a.req.class.alone.addLong(rtt)
		}
		h.passed = max(h.passed, a.sent)
		typical := b.typical(a, rtt)
		b.sample(h, typical)
		if h.cold {
			h.able.addAt(max(typical, 1e-6)*b.coldShare(h), b.now, b.set.OverloadWindow.Seconds())
		}
		b.adjust(h, aims, a.req.class.LatencyTarget, a.sent)
		b.press(a, rtt)
		if !h.cold && b.used > 0 {
			b.served.add(b.now, b.rateSpan())
			if served, ok := b.served.steady(b.now, b.rateSpan()); ok {
				b.warm.add(served / float64(b.used))
			}
		}
		b.readmit(h)
	case Full:
		// What is full takes no more: its refusals come at once, and a host that
		// gives nothing else would draw all that waits. Acts on each such refusal.
		b.adjust(h, max(aims, 1), a.req.class.LatencyTarget, a.sent)
		// The limit cannot hold it back, with nothing out there. It rests until some of
		// what it holds can have ended (one that drains unknown to the list gives no
		// more), but not so long that what waits for it alone cannot be sent again.
		rest := min(b.seed(h), waitShare/2*b.aim.Seconds())
		h.restUntil = max(h.restUntil, b.now+Time(1e9*rest))
		b.press(a, max(rtt, a.req.class.LatencyTarget.Seconds()))
		fallthrough
	case Failed:
		b.sample(h, max(rtt, b.penalty))
		b.readmit(h)
	case Rejected:
		b.readmit(h) // it has answered; that came too soon to tell of its RTT
	case Canceled:
		// Called off at the deadline it has timed out all the same. What the client
		// gave up, or another copy answered, tells nothing of the host.
		if !a.req.overdue && !a.req.stuck {
			return
		}
		fallthrough
	case TimedOut:
		b.sample(h, rtt)
		if a.sent < h.passed {
			return // the host lost this one and answers others: it is not crowded
		}
		b.adjust(h, aims, a.req.class.LatencyTarget, a.sent)
		b.press(a, rtt)
	case ConnectFailed, Reset:
		b.sample(h, rtt)
		// A connection may break by itself. When another does before the host has
		// answered anything, or none comes up, it is the host.
		if a.result == ConnectFailed || h.broke > h.heard {
			b.eject(h, "connections fail")
		}
		h.broke = b.now
	}
}

// adjust steers a host's in-flight limit so that its mean RTT stays at a share
// of the aim. It guards against crowding, which wastes the work of requests that
// come too late and can tip a host into a slow state; it acts when a host's mean RTT
// passes that share, and then once a round: only an attempt sent after the last cut
// can tell whether that was enough.
func (b *Balancer) adjust(h *host, aims float64, aim, sent Time) {
	h.lat.addAt(aims, b.now, recentAims*b.aim.Seconds())
	bank := b.sharers()
	if h.lat.mean > limitAims {
		if sent >= h.cutAt {
			h.limit = max(limitLeast/bank, h.limit*limitAims/h.lat.mean)
			h.cutAt = b.now
		}
		if h.limit < 1 {
			h.restUntil = b.now + Time(float64(aim)*h.lat.mean*(1/h.limit-1))
		}
	} else if h.pending+1 >= int(h.limit) && b.queued > 0 {
		h.limit += growth / (bank * h.limit)
	}
}

// press steers the rate at which this instance sends by the RTT of its last answers, against
// what is usual for their class and within its aim. It guards the fleet against overload,
// once a round, where boundShare instances or more have part of an attempt at a host. A cold
// host has its pacing as the guard; its answers let the bound grow.
func (b *Balancer) press(a *attempt, rtt float64) {
	target := pressAims * a.req.class.LatencyTarget.Seconds()
	if l := &a.req.class.lat; l.seen {
		target = min(target, pressTimes*l.mean)
	}
	if !a.host.cold {
		b.pressure.blend(min(rtt/target, pressMost), pressWeight)
	}
	switch {
	case b.sharers() < boundShare:
		b.bound = 0 // not in force: its cuts would change nothing, and add up to nothing
	case b.pressure.mean > 1 && a.sent >= b.pressedAt && !a.host.cold:
		if sends := b.sends.now(b.now, b.rateSpan()); b.bound == 0 || sends < b.bound {
			b.bound = sends
		}
		b.bound = max(b.bound/b.pressure.mean, 1/b.rateSpan())
		b.pressure.mean, b.pressedAt, b.grownAt = 1, b.now, b.now
	case b.bound > 0 && b.pressure.mean <= 1:
		b.bound *= math.Exp((b.now - b.grownAt).Seconds() / (boundDecays * b.decay))
		b.grownAt = b.now
		if b.bound > 2*b.rate.now(b.now, b.rateSpan()) {
			b.bound = 0
		}
	}
}

// admit says whether the bound on the rate lets a request be sent now. What is worth
// little leaves room in the bucket for what is worth more, so that overload is turned
// away from the lowest line up.
func (b *Balancer) admit(r *request) bool {
	if b.bound == 0 || b.sharers() < boundShare {
		return true
	}
	b.tokens = min(b.tokens+b.bound*(b.now-b.filledAt).Seconds(), boundBurst)
	b.filledAt = b.now
	return b.tokens >= 1+(boundBurst-1)*float64(r.band)/float64(len(b.bands))
}

// readmit ends an ejection: the host has answered.
func (b *Balancer) readmit(h *host) {
	h.heard = b.now
	if h.fails == 0 {
		return
	}
	h.fails = 0
	b.log(logReturn, "host %x is back", h.ID)
}

// settle decides what follows the end of an attempt: nothing if the request
// has its answer, another attempt if class and time allow it, and else
// the final answer.
func (b *Balancer) settle(r *request, a *attempt, closed bool) {
	switch {
	case r.done:
		b.release(r)
	case closed || a.result == OK && r.bound:
		b.end(r)
	case r.out > 0 || r.queued:
	case b.mayRetry(r):
		b.place(r, true)
	default:
		b.answer(r)
	}
}

// mayRetry says whether the request gets another attempt. The in-flight limits
// keep repeats from feeding an overload.
func (b *Balancer) mayRetry(r *request) bool {
	if r.bound || r.spent || r.rejected() || len(r.atts) >= r.attempts ||
		b.now+2*answerSteps*b.set.EventInterval >= r.deadline {
		return false
	}
	return b.repeatable(&r.class.Class, r.first())
}

// answer gives the final answer to a request that will not be served: a refusal
// only where trying again is known to be harmless.
func (b *Balancer) answer(r *request) {
	r.overdue = true
	harmless := r.class.Effect == Idempotent ||
		r.class.Effect == Deduplicated && r.class.DedupScope == DedupAll
	if r.first() == nil || harmless && !r.rejected() {
		b.act(Action{Kind: Refuse, Request: r.ID, RetryAfter: min(b.aim/4, b.set.MaxRetryAfter)})
	} else {
		b.act(Action{Kind: Fail, Request: r.ID})
	}
	b.end(r)
}

// enqueue lets a request wait in its line, a repeat at the front. It waits a small
// share of its aim: refused early, a client may yet be served in time elsewhere or
// later, and what is sent has the rest of its aim left.
func (b *Balancer) enqueue(r *request, front bool) {
	r.expires = r.arrived + Time(waitShare*float64(r.class.LatencyTarget))
	b.push(r, front)
	b.sweepSoon()
}

// pump turns away what has waited too long and sends what waits, the line worth
// most first, as far as hosts are ready.
func (b *Balancer) pump() {
	for i := range b.bands {
		for n := b.bands[i].head; n != nil && b.now >= n.item.expires; n = b.bands[i].head {
			b.log(logRefuse, "refusing: hosts are full, %d requests wait", b.queued)
			b.answer(n.item)
		}
	}
	for i := range b.bands {
		if full := b.serve(&b.bands[i]); full {
			break
		}
	}
	b.sweepSoon()
}

// serve sends what waits in a line. A repeat bound to its group does not hold up
// those behind it. It says whether no host is ready for a request sent nowhere yet.
func (b *Balancer) serve(line *list[request]) (full bool) {
	for n := line.head; n != nil; {
		r, next := n.item, n.next
		if h := b.pick(r); h != nil {
			b.dequeue(r)
			b.send(r, h)
		} else if r.first() == nil {
			return true
		}
		n = next
	}
	return false
}

// patience is how long an attempt may take before its host counts as silent.
func (b *Balancer) patience(r *request) Time {
	if l := &r.class.lat; l.seen {
		return Time(1e9 * (l.mean + patience*l.dev))
	}
	return r.class.LatencyTarget / 2
}

// listen looks for silent hosts: those that have answered nothing since their
// oldest attempt was sent, longer ago than such a request should take. They are
// ejected until they answer or a trial does. It guards against hosts that take
// requests and answer none; a host that is only slow, or has one costly request,
// answers others meanwhile. What waits there stays: most often it is answered
// yet, and sending it again costs more than it saves.
func (b *Balancer) listen() {
	b.outNow = 0
	for _, h := range b.hosts {
		b.outNow += h.pending
		b.callOff(h)
		a := h.sentAfter(h.heard)
		if a == nil || b.now-a.sent < b.patience(a.req) {
			continue
		}
		if h.fails == 0 {
			// Its RTT is that long at least: overload shows before the answers come.
			b.press(a, (b.now - a.sent).Seconds())
		}
		b.eject(h, "silent")
	}
}

// callOff ends attempts that a host has lost: passed by later ones and out for longer
// than the aim, after which an answer is worth nothing. Each holds one of the few
// connections that the host accepts. A safe request goes elsewhere while there is time,
// as soon as its attempt is overdue and such a request should have been answered; once,
// as one that is slow wherever it runs is not helped by a new start.
func (b *Balancer) callOff(h *host) {
	for n := h.flight.head; n != nil && n.item.sent < h.passed; {
		a, r := n.item, n.item.req
		n = n.next
		switch age := b.now - a.sent; {
		case r.done || r.bound || !b.set.CancelAllowed:
		case age >= r.class.LatencyTarget:
			b.answer(r)
		case r.class.Effect == Idempotent && !r.stuck && b.overdue(a) &&
			age >= b.patience(r) && b.mayRetry(r):
			r.stuck = true
			b.cancelOthers(r, -1)
		}
	}
}
