package bramblelock

// The state of a Balancer and its helpers: lists, pools, random numbers. The decisions are in
// balancer.go and the files that it names.

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

// TakeActions appends the actions decided since the last call to dst. The balancer keeps no reference
// to them.
func (b *Balancer) TakeActions(dst []Action) []Action {
	dst = append(dst, b.actions...)
	b.actions = b.actions[:0]
	return dst
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

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
