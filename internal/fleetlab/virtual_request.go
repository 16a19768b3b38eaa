package fleetlab

import "bramblelock"

// request is a client's request at a gateway.
type request struct {
	arrival   Arrival
	id        bramblelock.RequestID
	arrivedAt Time
	deadline  Time
	answered  bool // the client has its final answer
	inFlight  int  // attempts without an outcome
	attempts  []*attempt
}

// endOpenRequests ends the open requests and their attempts, when the process exits or the run ends.
func (g *gateway) endOpenRequests(end End) {
	if g.balancer == nil {
		return
	}
	for id := bramblelock.RequestID(1); id <= g.lastRequestID; id++ {
		r := g.requests[id]
		if r == nil {
			continue
		}
		for _, a := range r.attempts {
			if !a.ended {
				a.ended = true
				a.closeConnection()
			}
		}
		if !r.answered {
			r.answered = true
			g.world.recorder.RecordEnd(r.arrival.At, end, 0)
		}
	}
	g.requests = map[bramblelock.RequestID]*request{}
}

// handleRequest handles a request of a client that has been read completely.
func (g *gateway) handleRequest(a Arrival) {
	c := &g.world.scenario.Classes[a.Class]
	g.lastRequestID++
	r := &request{arrival: a, id: g.lastRequestID, arrivedAt: g.world.now, deadline: g.world.now + c.Deadline.std()}
	g.requests[r.id] = r
	g.balancer.Request(g.clock(), bramblelock.Request{ID: r.id, Class: a.Class, Tenant: -1, ClientRetry: a.Retries > 0, Remaining: c.Deadline.std()})
}

// answer sends the final answer to a request and records its end, Late in place of Served if it is after the
// latency target. After a refusal the client may retry, and no end is recorded then.
func (g *gateway) answer(id bramblelock.RequestID, end End) {
	r := g.requests[id]
	if r == nil || r.answered {
		return
	}
	r.answered = true
	w := g.world
	elapsed := w.now - r.arrivedAt
	if end == Served && elapsed > w.scenario.Classes[r.arrival.Class].LatencyTarget.std() {
		end = Late
	}
	if end == Refused && r.arrival.Retries < w.scenario.Load.Retries {
		a := r.arrival
		a.Retries++
		w.after(w.scenario.Load.RetryWait.std(), func() { w.handleArrival(a) })
	} else {
		w.recorder.RecordEnd(r.arrival.At, end, elapsed)
	}
	g.removeIfFinished(r)
}

// removeIfFinished deletes a request that has been answered and has no attempt in flight.
func (g *gateway) removeIfFinished(r *request) {
	if r.answered && r.inFlight == 0 {
		delete(g.requests, r.id)
	}
}

// reportOutcome reports the end of an attempt to the Balancer, and answers the client on success.
func (g *gateway) reportOutcome(attempt *attempt, result bramblelock.Result) {
	r := attempt.request
	r.inFlight--
	if result == bramblelock.OK {
		g.answer(r.id, Served)
	}
	g.balancer.Outcome(g.clock(), bramblelock.Outcome{Request: r.id, Attempt: attempt.index, Result: result, Elapsed: g.world.now - attempt.sentAt, Answered: r.answered})
	g.removeIfFinished(r)
}
