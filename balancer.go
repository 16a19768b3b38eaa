package bramblelock

// The decisions of the balancer. The exported types are in api.go, the state in state.go. Which
// hosts an instance uses is decided in aperture.go, how cold hosts are paced in cold.go, when to
// call discovery in asking.go, how long an outdated host list may be used in notified.go.
//
// Reading order: the constants; New; one method per event, from Start to Timer; then what they
// call: dispatch and pick (the ordinary path), score to addSample (the RTT estimate), allows to
// atLimit (which hosts are ready), observe, adjustLimit and adjustRate (feedback), afterAttempt
// to answerUnserved (retries and answers), enqueue to serveQueue, and checkSilence.
//
// The ordinary path is failure-aware peak EWMA with two choices: of two random ready hosts, the one with
// the lower estimate x (own pending + 1) is used. Departures from this path decide which hosts are ready;
// the comment of each says when it acts.

// Constants named Targets are in multiples of the shortest latency target of all classes, unless the
// comment names another. "Class targets" are latency targets of the request's class. A round is one
// RTT, in which a host answers the attempts in flight; a growth a round is spread over these answers.
const (
	sweepShare = 1.0 / 16 // time between sweeps of queues and hosts, in shortest targets
)

// Kinds of timer token.
const (
	tokenSweep    = iota + 1 // check queues and hosts
	tokenWatch               // call discovery
	tokenDeadline            // answer a request that nears its deadline
)

const tokenShift = 56 // bits of a token below its kind, which can contain a request ID

// New returns a Balancer for the settings, or an error if they are invalid.
func New(set Settings, seed uint64) (*Balancer, error) {
	if err := checkSettings(&set); err != nil {
		return nil, err
	}
	b := &Balancer{
		rng: seed, byID: map[HostID]*host{}, requests: map[RequestID]*request{},
		inMaintenance: map[HostID]bool{}, returnedAt: map[HostID]Time{},
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
	if b.requests[q.ID] != nil || q.Class < 0 || q.Class >= len(b.classes) {
		return
	}
	r := b.newRequest()
	r.Request, r.class, r.maxAttempts = q, b.classes[q.Class], b.settings.MaxAttempts
	r.arrived = now - max(q.Age, 0)
	r.deadline = now + min(max(q.Remaining, 0), r.class.Deadline)
	r.flags = b.queueFlags(r)
	r.queueIndex = r.class.queues[r.flags]
	b.requests[q.ID] = r
	b.arrivals.add(now, b.rateSpan())
	b.longArrivals.add(now, peerRateSpan)
	if q.Upload {
		r.deadline = now + maxTime // the deadline starts when the upload is complete
	} else if b.setDeadlineTimer(r); r.done {
		return
	}
	b.dispatch(r, false)
}

// setDeadlineTimer sets the timer that every request has ahead of its deadline: the outcome of an
// attempt that is still connecting then would come too late to answer on. A request that arrived too
// late to be sent is answered at once.
func (b *Balancer) setDeadlineTimer(r *request) {
	b.wake(max(b.now, r.deadline-answerIntervals*b.settings.EventInterval),
		tokenDeadline<<tokenShift|uint64(r.ID))
	if b.now+answerIntervals*b.settings.EventInterval >= r.deadline {
		b.answerUnserved(r)
	}
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

// ResponseStarted reports that a response is being streamed from attempt n: no other may answer.
func (b *Balancer) ResponseStarted(now Time, id RequestID, n int) {
	b.now = now
	r := b.requests[id]
	if r == nil || r.done || n < 0 || n >= len(r.attempts) {
		return
	}
	r.streaming = true
	b.cancelAttempts(r, n)
	// The host has answered; the rest of the time depends on the client.
	a := r.attempts[n]
	a.host.servedSentAt = max(a.host.servedSentAt, a.sent)
	b.removePending(a)
	b.readmit(a.host)
}

// ClientGone reports that the client no longer waits for the request.
func (b *Balancer) ClientGone(now Time, id RequestID) {
	b.now = now
	if r := b.requests[id]; r != nil && !r.done {
		b.finish(r)
	}
}

// Timer reports that the time of a Wake action has come.
func (b *Balancer) Timer(now Time, token uint64) {
	b.now = now
	switch token >> tokenShift {
	case tokenSweep:
		if now >= b.sweepAt {
			b.sweepAt = 0
			b.checkSilence()
			b.processQueues()
		}
	case tokenWatch:
		if now >= b.watchAt && !b.watching {
			b.emit(Action{Kind: Watch})
			b.scheduleWatch(b.settings.MaxWatchGap)
		}
	case tokenDeadline:
		if r := b.requests[RequestID(token&(1<<tokenShift-1))]; r != nil && !r.done && !r.streaming {
			b.answerUnserved(r)
		}
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
	a := b.newAttempt()
	a.request, a.host, a.sent = r, h, b.now
	writeBy := b.sendDeadline(r)
	a.trial = h.ejections > 0
	h.trialInFlight = h.trialInFlight || a.trial
	r.attempts = append(r.attempts, a)
	r.inFlight++
	a.alone = h.pending == 0
	h.openAttempts++
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
