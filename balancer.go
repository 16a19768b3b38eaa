package bramblelock

// The balancer and its events, one method each. The exported types are in api.go, the settings in
// settings.go. Each kind of decision has a file of its own:
//
//   - Which host a request is sent to: pick.go, by the RTT estimates of estimate.go, among the hosts of
//     the subset of aperture.go, whose shares of the traffic with a view of the fleet are set in peers.go.
//   - Which hosts are ready: limit.go (in-flight limit), ejection.go and silence.go (hosts at fault),
//     slowstart.go (hosts that have just started), maintenance.go.
//   - When nothing is sent: ratelimit.go (send rate), staleness.go (an outdated host list).
//   - What becomes of a request that is not sent, or not answered: queue.go, quota.go, retry.go.
//   - What the beginning and the end of an answer say about its host: answer.go, outcome.go.
//   - When to call discovery: polling.go.
//
// The ordinary path is failure-aware peak EWMA with two choices: of two random ready hosts, the one with
// the lower estimate x (own pending + 1) is used. Departures from this path decide which hosts are ready;
// the comment of each says when it acts.
//
// Constants named Targets are in multiples of the shortest latency target of all classes, unless the
// comment names another. "Class targets" are latency targets of the request's class.

// Balancer decides for one gateway. It is not safe for concurrent use. Its state is grouped by decision;
// each group is declared in the file of its decision.
type Balancer struct {
	settings       Settings
	classes        []*class
	shortestTarget Time    // shortest latency target of any class
	quotas         []quota // of the tenants, by index in Settings.Tenants

	now      Time
	rng      uint64    // state of nextRand
	actions  []Action  // actions decided since the last TakeActions
	arrivals eventRate // requests to this instance, a second
	ready    []*host   // scratch space of pick
	logLines [logKinds]logLine

	hostTable
	maintenanceRecord
	hostRing
	hostSubset
	fleetView
	rttStatistics
	warmHostRate
	requestTable
	requestQueues
	sendRate
	sweepTimer
	listWatch
	sendHold
}

// New returns a Balancer for the settings, or an error if they are invalid.
func New(set Settings, seed uint64) (*Balancer, error) {
	if err := checkSettings(&set); err != nil {
		return nil, err
	}
	b := &Balancer{
		rng:               seed,
		hostTable:         hostTable{byID: map[HostID]*host{}},
		maintenanceRecord: maintenanceRecord{inMaintenance: map[HostID]bool{}, returnedAt: map[HostID]Time{}},
		requestTable:      requestTable{requests: map[RequestID]*request{}},
	}
	b.applySettings(set)
	return b, nil
}

// Start is the first event: the gateway is running. It schedules the first call to discovery where the
// host list has to be watched.
func (b *Balancer) Start(now Time) {
	b.now = now
	if b.settings.WatchHosts {
		b.scheduleWatch(firstCallDelay(&b.settings))
	}
}

// Request is a new client request, which gets exactly one final answer.
func (b *Balancer) Request(now Time, q Request) {
	b.now = now
	if b.requests[q.ID] != nil {
		return
	}
	rules := b.rulesOf(&q)
	if rules.class == nil {
		return
	}
	r := b.openRequest(q, rules)
	b.arrivals.add(now, b.rateSpan())
	b.longArrivals.add(now, peerRateSpan)
	if q.Upload {
		r.deadline = now + maxTime // the deadline starts when the upload is complete
	} else if b.setDeadlineTimer(r); r.done {
		return
	}
	b.dispatch(r, false)
}

// openRequest records a request under its rules.
func (b *Balancer) openRequest(q Request, rules requestRules) *request {
	r := b.newRequest()
	r.Request = q
	r.class = rules.class
	r.class.openRequests++
	r.maxAttempts = rules.maxAttempts
	r.arrived = b.now - max(q.Age, 0)
	r.deadline = b.now + min(max(q.Remaining, 0), r.class.Deadline)
	r.flags = b.queueFlags(r, rules.quota)
	b.requests[q.ID] = r
	return r
}

// UploadComplete reports that the last byte of a request that was forwarded while it arrived is with
// the host. Its deadline and the measured time of its attempt start here.
func (b *Balancer) UploadComplete(now Time, id RequestID, remaining Time) {
	b.now = now
	r := b.requests[id]
	if r == nil || r.done || !r.Upload {
		return
	}
	r.Upload, r.arrived = false, now
	r.deadline = now + min(max(remaining, 0), r.class.Deadline)
	for _, a := range r.attempts {
		if !a.ended {
			a.sent = now
			b.addPending(a)
		}
	}
	b.setDeadlineTimer(r)
	b.scheduleSweep()
}

// ClientGone reports that the client no longer waits for the request.
func (b *Balancer) ClientGone(now Time, id RequestID) {
	b.now = now
	if r := b.requests[id]; r != nil && !r.done {
		b.finish(r, ClientLeft)
	}
}

// dispatch sends the request if no request is queued and a host is ready for it, and else queues it.
func (b *Balancer) dispatch(r *request, retry bool) {
	if b.queued == 0 {
		if h := b.pick(r); h != nil {
			b.send(r, h)
			return
		}
	}
	b.enqueue(r, retry)
	b.processQueues()
}

// send starts an attempt.
func (b *Balancer) send(r *request, h *host) {
	writeBy := b.sendDeadline(r) // before the attempt is one of those of the request
	a := b.newAttempt()
	a.request, a.host, a.sent = r, h, b.now
	a.trial = h.ejections > 0
	a.alone = h.pending == 0
	h.trialInFlight = h.trialInFlight || a.trial
	h.openAttempts++
	r.attempts = append(r.attempts, a)
	r.inFlight++
	if !r.Upload {
		b.addPending(a)
	}
	if h.cold {
		b.recordColdSend(h)
	}
	b.emit(Action{Kind: Send, Request: r.ID, Host: h.ID, WriteBy: writeBy})
	b.sends.add(b.now, b.rateSpan())
	b.rateTokens = max(b.rateTokens-1, 0)
	b.scheduleSweep()
}

// TakeActions appends the actions decided since the last call to dst. The balancer keeps no reference
// to them.
func (b *Balancer) TakeActions(dst []Action) []Action {
	dst = append(dst, b.actions...)
	b.actions = b.actions[:0]
	return dst
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }
