package bramblelock

// The state of a Balancer and its helpers: lists, pools, random numbers. The decisions are in
// balancer.go and the files that it names.

import (
	"fmt"
	"time"
)

// Balancer decides for one gateway. It is not safe for concurrent use.
type Balancer struct {
	settings Settings
	rng      uint64 // state of nextRand
	now      Time
	actions  []Action // actions decided since the last TakeActions

	hosts         []*host   // in order of first listing, so that nothing depends on map order
	ring          []*host   // the hosts in an order that is the same at every instance
	preferred     []*host   // the hosts in this instance's order of preference
	subset        []*host   // the hosts that this instance uses
	subsetMoveAt  Time      // earliest time at which a host of the subset may be replaced
	activeHosts   int       // hosts of the subset that are neither cold nor ejected
	arrivals      eventRate // requests to this instance, a second
	longArrivals  eventRate // requests to this instance, a second, with the time constant peerRateSpan
	peers         []Peer    // instances in the view of the fleet, with this one; nil: there is no view
	peakInstances float64   // recent peak of the number of instances
	peakAt        Time      // time of peakInstances
	viewSubset    float64   // least number of hosts that each instance uses, so that each host has viewMinSharers sharers
	rebalanceAt   Time      // time of the next fit of the traffic shares
	byID          map[HostID]*host
	requests      map[RequestID]*request
	inMaintenance map[HostID]bool // hosts in maintenance, listed or not
	returnedAt    map[HostID]Time // when the maintenance of a host last ended, for hosts that may still be cold
	classes       []*class
	queues        []list[request] // queued requests, by falling priority
	priorities    []float64       // priorities of the queues
	queued        int             // requests in all queues
	inFlight      int             // pending attempts at the last sweep and those added since

	shortestTarget Time            // shortest latency target of any class
	decay          float64         // decay time of RTT estimates in seconds
	penalty        float64         // least RTT in seconds that is recorded for an error
	meanRTT        movingAverage   // RTT in seconds of good answers of any class
	kindRTT        []movingAverage // RTT in seconds by kind of host, scaled to the mean over all classes
	warmRate       movingAverage   // good answers a second that this instance gets of a warm host
	quotas         []tokenBucket   // quotas of the tenants, by index in Settings.Tenants

	rateRatio    movingAverage // mean ratio of the RTTs of the last attempts at warm hosts to the RTT goal of adjustRate
	rateCutAt    Time          // time of the last cut of the rate limit
	rateGrownAt  Time          // time of the last growth of the rate limit
	rateLimit    float64       // sends a second; 0: not limited
	rateTokens   float64       // sends saved up under the rate limit
	rateFilledAt Time          // time of the last refill of rateTokens
	sends        eventRate     // attempts that this instance sends, a second
	served       eventRate     // good answers of warm hosts, a second

	sweepAt      Time       // time of the next sweep; 0: none is scheduled
	ready        []*host    // scratch space of pick
	freeRequests []*request // released requests, for reuse
	freeAttempts []*attempt // attempts of released requests, for reuse

	watching      bool // a watch of the host list is open
	watchAt       Time // time of the next call to discovery
	watchFails    int  // calls to discovery that failed in a row
	watchingSince Time // start of the open watch: discovery has kept the list current since then
	holdFrom      Time // time from which nothing is sent until discovery gives a list; 0: sends are not held
	holdUntil     Time // time at which sends resume even without a list
	logLines      [logKinds]logLine
}

// class is a class of the settings with its statistics. An open request keeps its class when the
// settings change.
type class struct {
	Class
	rtt      movingAverage // RTT in seconds of good answers
	aloneRTT movingAverage // RTT in seconds of good answers to lone attempts at a host
	queues   [4]int        // index in Balancer.queues, by queue flags
}

// list is a doubly linked list whose items contain their own nodes, so that nothing is allocated.
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

// scheduleSweep schedules the next check of queued requests and pending attempts, if there are any.
func (b *Balancer) scheduleSweep() {
	if b.sweepAt == 0 && (b.queued > 0 || b.inFlight > 0) {
		b.sweepAt = b.now + max(b.settings.EventInterval, Time(float64(b.shortestTarget)*sweepShare))
		b.wake(b.sweepAt, tokenSweep<<tokenShift)
	}
}

// trafficShare is a host's share of this instance's traffic. A host without a fitted share, as it is
// cold or new, has the share that an even spread would give it.
func (b *Balancer) trafficShare(h *host) float64 {
	if h.trafficShare > 0 {
		return h.trafficShare
	}
	return 1 / float64(max(len(b.subset), 1))
}

// Kinds of log line. The rate of each kind is limited separately.
const (
	logHostEjected    = iota // a host is ejected
	logHostBack              // an ejected host has answered and is used again
	logFailOpen              // most hosts are ejected, and they are used all the same
	logRequestRefused        // a request has waited too long in a queue and is answered unserved
	logListLost              // the watch of the host list, or a first call for it, has failed
	logListRegained          // discovery has given a list again after a loss
	logSendsHeld             // a request is not sent, as the host list is outdated
	logKinds                 // number of kinds
)

// logInterval is the least time between two log lines of a kind.
const logInterval = 10 * time.Second

// logLine is the state of the rate limit of a kind of log line.
type logLine struct {
	loggedAt Time
	logged   bool
	heldBack int // lines not logged since loggedAt
}

// log queues a Log action, whose text the gateway writes to its log for operators. Of each kind of line,
// at most one per logInterval is logged; the next one gives the number of those held back.
func (b *Balancer) log(kind int, format string, args ...any) {
	l := &b.logLines[kind]
	if l.logged && b.now-l.loggedAt < logInterval {
		l.heldBack++
		return
	}
	text := fmt.Sprintf(format, args...)
	if l.heldBack > 0 {
		text += fmt.Sprintf(" (%d more such lines held back)", l.heldBack)
	}
	*l = logLine{loggedAt: b.now, logged: true}
	b.emit(Action{Kind: Log, Text: text})
}

// nextRand is splitmix64, a small generator with the same sequence on every platform.
func (b *Balancer) nextRand() uint64 {
	b.rng += 0x9e3779b97f4a7c15
	return mix(b.rng)
}

// mix is the output function of splitmix64, also used to hash host IDs.
func mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// randN is a random number from 0 to n-1.
func (b *Balancer) randN(n int) int { return int(b.nextRand() >> 33 % uint64(n)) }

// randFloat is a random number from 0 up to 1.
func (b *Balancer) randFloat() float64 { return float64(b.nextRand()>>11) / (1 << 53) }

// RequestRate is the recent rate of requests a second to this instance.
func (b *Balancer) RequestRate(now Time) float64 {
	if b.longArrivals.perSecond == 0 {
		return 0
	}
	rate, _ := b.longArrivals.corrected(now, peerRateSpan)
	return min(rate, b.longArrivals.value(now, peerRateSpan)*peerRateSpan) // counted over at least one second
}

// FleetStatus returns the number of instances in the view, the number of instances among which the limits
// of hosts are divided, and the number of hosts that this instance uses.
func (b *Balancer) FleetStatus() (live int, sharedBy float64, hostsUsed int) {
	return len(b.peers), b.instances(), len(b.subset)
}

// TakeActions appends the actions decided since the last call to dst. The balancer keeps no reference
// to them.
func (b *Balancer) TakeActions(dst []Action) []Action {
	dst = append(dst, b.actions...)
	b.actions = b.actions[:0]
	return dst
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

// wake emits a Wake action.
func (b *Balancer) wake(at Time, token uint64) {
	b.emit(Action{Kind: Wake, At: at, Token: token})
}

// host is what this instance knows of one host.
type host struct {
	Host
	hash          uint64  // hash of the ID
	ringPosition  float64 // position by hash among the hosts of its kind, from 0 to 1
	rtt           float64 // RTT estimate (peak EWMA) in seconds, as of rttAt
	rttAt         Time    // time of the last RTT sample or reset
	inSubset      bool
	inMaintenance bool
	ringIndex     int           // index in Balancer.ring
	preferIndex   int           // index in Balancer.preferred
	trafficShare  float64       // fitted share of this instance's traffic; 0: not fitted
	sampled       bool          // rtt has samples; otherwise initialRTT is used
	openAttempts  int           // attempts that have not ended
	pending       int           // attempts that the host has yet to answer
	pendingList   list[attempt] // pending attempts in the order of sending
	answeredAt    Time          // time of the last answer of any kind
	connFailedAt  Time          // time at which a connection last failed
	resetAt       Time          // time of the last end of maintenance; attempts sent before it do not enter the statistics
	servedSentAt  Time          // send time of the latest attempt that the host has served
	limit         float64       // in-flight attempts that the host may have from this instance, its portion of the fleet's limit there; 0: not set yet
	// rttRatio is the mean of the RTT ratios (see ratioUnit): RTTs in latency targets of the class, scaled so
	// that the goal is limitTargets. A sample gets more weight the longer ago the last one is (addTimed);
	// the mean does not decay between samples.
	rttRatio   movingAverage
	limitCutAt Time // time of the last cut of the limit
	idleUntil  Time // time before which the host gets no attempts, after a refusal or with a limit below one

	ejections     int  // ejections in a row since the last answer
	ejectUntil    Time // end of the last backoff
	trialInFlight bool // a trial of the ejected host is in flight: one attempt, to see whether it answers

	cold         bool          // the host started less than WarmAfter ago
	coldSince    Time          // last start of the host or end of its maintenance
	coldSentAt   Time          // time of the last send while cold, or at which the host became known as cold
	coldGap      float64       // gap between coldSentAt and the next send, in mean gaps of 1/coldRate, not a time
	coldDeadline Time          // time from which the next send is not paced; 0: it is paced at any time
	coldSent     float64       // sends while cold
	coldAllowed  float64       // mean number of sends that the pacing allowed while cold
	warmRTT      movingAverage // RTT in seconds of good answers, scaled to the mean class and, by the cold share, to a warm host
}
