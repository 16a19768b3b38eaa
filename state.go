package lynxspool

import (
	"fmt"
	"math"
	"time"
)

// The state a Balancer keeps and its plumbing: lines, pools, random numbers.
// Nothing here decides anything.

// Balancer decides for one gateway. It is not safe for concurrent use.
type Balancer struct {
	settings Settings
	rng      uint64
	now      Time
	actions  []Action

	hosts         []*host   // in order of first listing, so that nothing depends on map order
	ring          []*host   // the same order at every instance
	preferred     []*host   // ... in the order in which this instance draws
	subset        []*host   // those that this instance draws from
	subsetMoveAt  Time      // when one may move
	activeHosts   int       // drawn hosts that are neither cold nor ejected
	arrivals      eventRate // own requests a second
	longArrivals  eventRate // ... over a longer time
	peers         []Peer    // the bank, this instance included; nil: no view of it
	peakInstances float64   // the most of them of late,
	peakAt        Time      // ... then
	viewSubset    float64   // hosts that each draws from so that each host has viewSharers
	rebalanceAt   Time      // when to look next at who sends where
	byID          map[HostID]*host
	requests      map[RequestID]*request
	inMaintenance map[HostID]bool // taken out by an operator, listed or not
	returnedAt    map[HostID]Time // called back while another process served
	classes       []*class
	queues        []list[request] // waiting requests, most worth first
	priorities    []float64       // ... of each
	queued        int
	inFlight      int // attempts out at the last sweep or sent since

	shortestTarget Time // shortest aim of any class
	decay          float64
	penalty        float64
	meanRTT        movingAverage   // ... of any class
	kindRTT        []movingAverage // ... as of a typical class, by kind of host
	warmRate       movingAverage   // rate of good answers of a warm host, a second
	quotas         []tokenBucket

	rttRatio     movingAverage // RTT of the last answers in aims, from any host
	rateCutAt    Time          // last cut of the bound
	rateGrownAt  Time          // last growth
	rateLimit    float64       // sends a second; 0: not bounded
	rateTokens   float64       // sends saved up under it
	rateFilledAt Time
	sends        eventRate
	served       eventRate // good answers

	sweepAt      Time
	ready        []*host // scratch of pick
	freeRequests []*request
	freeAttempts []*attempt

	watching      bool
	watchAt       Time
	watchFails    int
	watchingSince Time // since when discovery keeps the list current, while watching
	holdFrom      Time // sends wait for a list from then on; 0: the list is current, or may be used
	holdUntil     Time // ... and go on without it then
	logLines      [logKinds]logLine
}

// host is what this instance knows of one host.
type host struct {
	Host
	hash          uint64  // its ID mixed up, and
	ringPosition  float64 // where that puts it among its kind
	rtt           float64 // peak EWMA in seconds, as of rttAt
	rttAt         Time
	inSubset      bool
	inMaintenance bool          // an operator has taken it out
	ringIndex     int           // its number on the ring
	preferIndex   int           // ... and in the order of preference
	trafficShare  float64       // part of this instance's traffic that it should get; 0: not fitted
	sampled       bool          // else it has the seed of its kind
	openAttempts  int           // attempts that have not ended
	pending       int           // ... of those, the ones that it has yet to answer
	pendingList   list[attempt] // in the order sent
	answeredAt    Time          // last answer of any kind
	connFailedAt  Time          // last connection that failed
	resetAt       Time          // when an operator called it back: what was sent before tells nothing
	servedSentAt  Time          // when the last-sent attempt that it served was sent
	limit         float64       // attempts it may hold from this instance
	rttRatio      movingAverage // RTT of answers and time-outs in aims, not decayed
	limitCutAt    Time          // last cut of the limit
	idleUntil     Time          // with a limit below one: when it may be used again

	ejections     int // ejections since the last good answer
	ejectUntil    Time
	trialInFlight bool // the one attempt of a host on trial is out

	cold         bool // it started less than WarmAfter ago
	coldSince    Time
	coldSentAt   Time          // the last send while cold, or when it was told
	coldGap      float64       // ... and the next comes so many mean gaps later,
	coldDeadline Time          // or then at the latest; 0: no such time
	coldSent     float64       // sends since it is cold,
	coldAllowed  float64       // ... and how many the pacing allowed in the mean
	warmRTT      movingAverage // RTT of good answers since its start, as of a typical class
}

// class is a class of the settings with what is learnt of it. An open request holds on
// to it, whatever the settings are by then.
type class struct {
	Class
	rtt      movingAverage // RTT of good answers
	aloneRTT movingAverage // ... of those that were alone at their host
	queues   [4]int
}

// request is a client request with its attempts; it is kept until it has its
// answer and all its attempts have ended.
type request struct {
	Request
	class         *class
	flags         int
	maxAttempts   int // it may have
	arrived       Time
	deadline      Time
	expires       Time // while it waits: too late to be answered within the aim
	queueIndex    int
	inFlight      int // attempts in flight
	done          bool
	unserved      bool // it was answered for want of time or hosts
	attemptLost   bool // an attempt was called off as its host had lost it
	streaming     bool // a stream has begun, it is that attempt's now
	notReplayable bool // it cannot be sent again
	queued        bool
	node          node[request] // in its line
	attempts      []*attempt
}

type attempt struct {
	request *request
	host    *host
	sent    Time
	ended   bool
	result  Result
	trial   bool
	alone   bool          // nothing else of ours was there
	pending bool          // it counts among those that its host is judged by
	node    node[attempt] // at its host
}

// movingAverage is a moving average with deviation; the first sample sets it.
type movingAverage struct {
	mean, dev float64
	seen      bool
	samples   int // samples of addLong
	updatedAt Time
}

// add gives a sample a weight of about one tenth.
func (m *movingAverage) add(x float64) { m.blend(x, meanWeight) }

// addLongTerm gives each sample the same weight at first, and then longWeight.
func (m *movingAverage) addLongTerm(x float64) {
	m.samples++
	m.blend(x, max(1/float64(m.samples), longTermWeight))
}

// addTimed gives a sample more weight the longer ago the last one is, so that the
// mean is about span old however seldom samples come.
func (m *movingAverage) addTimed(x float64, now Time, span float64) {
	w := 1 - math.Exp(-(now-m.updatedAt).Seconds()/span)
	m.updatedAt = now
	m.blend(x, min(max(w, meanWeight), maxRecentWeight))
}

func (m *movingAverage) blend(x, w float64) {
	if !m.seen {
		m.mean, m.dev, m.seen = x, x/2, true
		return
	}
	m.dev += w * (math.Abs(x-m.mean) - m.dev)
	m.mean += w * (x - m.mean)
}

// minEvents is how many events tell a rate, give or take a third.
const minEvents = 10

// eventRate is a decaying count of events, a second.
type eventRate struct {
	perSecond float64
	updatedAt Time
	firstAt   Time // the first event
}

// corrected is the rate without what a young count lacks of it; it says false while too few
// were counted to tell.
func (r *eventRate) corrected(now Time, span float64) (float64, bool) {
	age, counted := (now-r.firstAt).Seconds()/span, r.value(now, span)
	return counted / (1 - math.Exp(-age)), counted*span >= minEvents
}

func (r *eventRate) value(now Time, span float64) float64 {
	return r.perSecond * math.Exp(-(now-r.updatedAt).Seconds()/span)
}

func (r *eventRate) add(now Time, span float64) {
	if r.perSecond == 0 {
		r.firstAt = now
	}
	r.perSecond, r.updatedAt = r.value(now, span)+1/span, now
}

// list is a line that its items can leave from anywhere. The items hold their own
// nodes, so that nothing is allocated.
type list[T any] struct{ head, tail *node[T] }

type node[T any] struct {
	item       *T
	prev, next *node[T]
}

func (l *list[T]) pushBack(n *node[T]) {
	if n.prev = l.tail; n.prev != nil {
		n.prev.next = n
	} else {
		l.head = n
	}
	l.tail = n
}

func (l *list[T]) pushFront(n *node[T]) {
	if n.next = l.head; n.next != nil {
		n.next.prev = n
	} else {
		l.tail = n
	}
	l.head = n
}

func (l *list[T]) remove(n *node[T]) {
	if n.prev != nil {
		n.prev.next = n.next
	} else {
		l.head = n.next
	}
	if n.next != nil {
		n.next.prev = n.prev
	} else {
		l.tail = n.prev
	}
	n.prev, n.next = nil, nil
}

type tokenBucket struct {
	tokens, rate float64
	filledAt     Time
}

// oldestSentSince is the oldest attempt out at a host that was sent at t or later, or nil.
func (h *host) oldestSentSince(t Time) *attempt {
	for n := h.pendingList.head; n != nil; n = n.next {
		if n.item.sent >= t {
			return n.item
		}
	}
	return nil
}

// notOvertaken is how many attempts are out at a host that no later one has passed, and the
// oldest of them. One that was passed is stuck: it tells nothing of what the host does
// for others.
func (h *host) notOvertaken() (oldest *attempt, n int) {
	if oldest = h.oldestSentSince(h.servedSentAt); oldest == nil {
		return nil, 0
	}
	for link := &oldest.node; link != nil; link = link.next {
		n++
	}
	return oldest, n
}

// addPending enters an attempt among those that its host has yet to answer, which are its load
// and what it is judged by; land takes it out. One whose request is still coming, or whose
// answer has begun, is the client's to end: it may take long, and is no work there.
func (b *Balancer) addPending(a *attempt) {
	a.node.item, a.pending = a, true
	a.host.pendingList.pushBack(&a.node)
	a.host.pending++
	b.inFlight++
}

func (b *Balancer) removePending(a *attempt) {
	if a.pending {
		a.pending = false
		a.host.pendingList.remove(&a.node)
		a.host.pending--
	}
}

// firstMayHaveRun is the earliest attempt that may have run or is still out, or nil.
func (r *request) firstMayHaveRun() *attempt {
	for _, a := range r.attempts {
		if !a.ended || a.result.mayHaveRun() {
			return a
		}
	}
	return nil
}

// repeatDeadline is until when a keyed request may go out again after its first attempt that may
// have run: a repeat that reaches its host later would run. 0: there is no such limit.
func (b *Balancer) repeatDeadline(c *Class, first *attempt) Time {
	if first == nil || c.Effect != Deduplicated {
		return 0
	}
	return first.sent + c.DedupWindow - answerIntervals*b.settings.EventInterval
}

// rejected says whether a host found the request itself at fault: others would too.
func (r *request) rejected() bool {
	return len(r.attempts) > 0 && r.attempts[len(r.attempts)-1].result == Rejected
}

func (x Result) mayHaveRun() bool { return !x.ProvesNotRun() }

// finish closes a request that has its answer or needs none.
func (b *Balancer) finish(r *request) {
	if r.done {
		return
	}
	r.done = true
	b.dequeue(r)
	b.cancelAttempts(r, -1)
	b.release(r)
}

// cancelAttempts calls off what is in flight for the request but attempt keep.
func (b *Balancer) cancelAttempts(r *request, except int) {
	for i, a := range r.attempts {
		if i != except && !a.ended && b.settings.CancelAllowed {
			b.emit(Action{Kind: Cancel, Request: r.ID, Attempt: i})
		}
	}
}

// resetHost makes a host one of which nothing is known.
func (b *Balancer) resetHost(h *host) {
	h.rtt, h.rttAt, h.sampled, h.rttRatio = 0, b.now, false, movingAverage{}
	h.ejections, h.ejectUntil, h.trialInFlight, h.idleUntil = 0, 0, false, 0
	h.answeredAt, h.servedSentAt, h.resetAt = b.now, b.now, b.now
	h.limit = initialLimit / b.sharers()
}

// scheduleSweep makes sure that waiting requests and hosts are looked at again.
func (b *Balancer) scheduleSweep() {
	if b.sweepAt == 0 && (b.queued > 0 || b.inFlight > 0) {
		b.sweepAt = b.now + max(b.settings.EventInterval, Time(float64(b.shortestTarget)*sweepShare))
		b.wake(b.sweepAt, tokenSweep<<tokenShift)
	}
}

// trafficShare is a host's part of this instance's traffic; one that is not fitted, as it is cold
// or new, has that of an even spread.
func (b *Balancer) trafficShare(h *host) float64 {
	if h.trafficShare > 0 {
		return h.trafficShare
	}
	return 1 / float64(max(len(b.subset), 1))
}

// readyHostAt is the ready host at a place on the sum of their parts.
func (b *Balancer) readyHostAt(position float64) int {
	for i, h := range b.ready {
		if position -= b.trafficShare(h); position < 0 {
			return i
		}
	}
	return len(b.ready) - 1
}

// dropIfRemoved drops a removed host once nothing of ours is out there.
func (b *Balancer) dropIfRemoved(h *host) {
	if h.State != Removed || h.openAttempts > 0 || b.byID[h.ID] != h {
		return
	}
	delete(b.byID, h.ID)
	for i := range b.hosts {
		if b.hosts[i] == h {
			b.hosts = append(b.hosts[:i], b.hosts[i+1:]...)
			return
		}
	}
}

// take uses one request of a tenant's quota; false means the tenant is over it.
func (t *tokenBucket) take(now Time) bool {
	if t.rate <= 0 {
		return true
	}
	t.tokens = min(t.tokens+(now-t.filledAt).Seconds()*t.rate, max(1, t.rate*quotaBurstSeconds))
	t.filledAt = now
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// release forgets an ended request once its last attempt has ended.
func (b *Balancer) release(r *request) {
	if !r.done || r.inFlight > 0 {
		return
	}
	delete(b.requests, r.ID)
	b.freeAttempts = append(b.freeAttempts, r.attempts...)
	b.freeRequests = append(b.freeRequests, r)
}

func (b *Balancer) newRequest() *request {
	n := len(b.freeRequests)
	if n == 0 {
		return &request{}
	}
	r := b.freeRequests[n-1]
	b.freeRequests = b.freeRequests[:n-1]
	*r = request{attempts: r.attempts[:0]}
	return r
}

func (b *Balancer) newAttempt() *attempt {
	n := len(b.freeAttempts)
	if n == 0 {
		return &attempt{}
	}
	a := b.freeAttempts[n-1]
	b.freeAttempts = b.freeAttempts[:n-1]
	*a = attempt{}
	return a
}

// pushQueued adds a request to its line, at the front or at the back.
func (b *Balancer) pushQueued(r *request, atFront bool) {
	r.queued, r.node.item = true, r
	b.queued++
	if atFront {
		b.queues[r.queueIndex].pushFront(&r.node)
	} else {
		b.queues[r.queueIndex].pushBack(&r.node)
	}
}

func (b *Balancer) dequeue(r *request) {
	if r.queued {
		b.queues[r.queueIndex].remove(&r.node)
		r.queued = false
		b.queued--
	}
}

// What is logged; each kind is limited by itself.
const (
	logEject = iota
	logReturn
	logFailOpen
	logRefuse
	logLost
	logFound
	logHold
	logKinds
)

// logInterval is the least time between two lines of a kind.
const logInterval = 10 * time.Second

type logLine struct {
	loggedAt   Time
	logged     bool
	suppressed int // lines held back since
}

// log tells those on call, a line of a kind every logEvery at most.
func (b *Balancer) log(kind int, format string, args ...any) {
	l := &b.logLines[kind]
	if l.logged && b.now-l.loggedAt < logInterval {
		l.suppressed++
		return
	}
	text := fmt.Sprintf(format, args...)
	if l.suppressed > 0 {
		text += fmt.Sprintf(" (%d more such lines held back)", l.suppressed)
	}
	*l = logLine{loggedAt: b.now, logged: true}
	b.emit(Action{Kind: Log, Text: text})
}

// nextRand is splitmix64: small, seeded, and the same everywhere.
func (b *Balancer) nextRand() uint64 {
	b.rng += 0x9e3779b97f4a7c15
	return mix(b.rng)
}

// mix spreads the bits of z.
func mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

func (b *Balancer) randN(n int) int { return int(b.nextRand() >> 33 % uint64(n)) }

func (b *Balancer) randFloat() float64 { return float64(b.nextRand()>>11) / (1 << 53) }

// RequestRate is the requests a second that came to this instance of late.
func (b *Balancer) RequestRate(now Time) float64 {
	if b.longArrivals.perSecond == 0 {
		return 0
	}
	rate, _ := b.longArrivals.corrected(now, peerRateSpan)
	return min(rate, b.longArrivals.value(now, peerRateSpan)*peerRateSpan) // as if over a second at least
}

// FleetStatus tells how many instances are in the view, by how many the caps of hosts are shared,
// and from how many hosts this one draws.
func (b *Balancer) FleetStatus() (live int, sharedBy float64, draws int) {
	return len(b.peers), b.instances(), len(b.subset)
}

// TakeActions appends the actions decided since the last call to dst. The balancer
// keeps no reference to what it returns.
func (b *Balancer) TakeActions(dst []Action) []Action {
	dst = append(dst, b.actions...)
	b.actions = b.actions[:0]
	return dst
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

func (b *Balancer) wake(at Time, token uint64) {
	b.emit(Action{Kind: Wake, At: at, Token: token})
}
