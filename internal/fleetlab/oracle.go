package fleetlab

import "time"

// Oracle runs a scenario with one dispatcher in place of the gateways. The dispatcher knows the state of
// every host and sends as much as the slow start of cold hosts allows, so its Result is an upper bound
// for any fleet.
func Oracle(s *Scenario) *Result { return runVirtual(s, true) }

// dispatchOracle sends a request of the oracle to the host that would answer first, among those that one
// more request does not overload. If none would answer within the latency target, the request is refused.
func (w *world) dispatchOracle(a Arrival) {
	c := &w.scenario.Classes[a.Class]
	work, waitTime := time.Duration(a.WorkFactor*float64(c.Work)), time.Duration(a.WaitFactor*float64(c.WaitTime))
	var best *Host
	soonest := c.LatencyTarget.std() - 2*w.scenario.Net.SameZone.std() - waitTime
	for _, h := range w.hosts {
		if h.Condition != Serving || h.pending >= h.rules.QueueLimit || h.Cold(w.now) && h.Headroom(w.now) < 1+float64(work)/float64(h.meanWork) {
			continue
		}
		backlog := work
		for _, j := range h.queue {
			backlog += j.remaining
		}
		for _, j := range h.running {
			backlog += max(0, j.remaining-time.Duration(float64(w.now-j.startedAt)*h.speed(j.startedAt)))
		}
		if estimate := time.Duration(float64(backlog) / h.speed(w.now) / float64(h.Spec.Cores)); estimate < soonest {
			best, soonest = h, estimate
		}
	}
	if best == nil {
		w.recorder.RecordEnd(a.At, Refused, 0)
		return
	}
	j := &Job{Work: work, WaitTime: waitTime, Notified: true}
	j.Done = func(bool) {
		delete(w.oracleRequests, j)
		took := w.now - a.At + 2*w.scenario.Net.SameZone.std()
		end := Served
		if took > c.LatencyTarget.std() {
			end = Late
		}
		w.recorder.RecordEnd(a.At, end, took)
	}
	w.advanceHost(best)
	w.recorder.RecordHostRequest(best.Index, w.now)
	w.oracleRequests[j] = a.At
	best.Arrive(w.now, j)
	w.advanceHost(best)
}
