package fleetlab

import "time"

const (
	toldAfter  = 6 * time.Second // a change counts as notified so long after it could be had
	spreadTime = time.Second     // a change that nothing hinders is with all gateways by then
)

// notifiedBy is when a change that discovery acknowledged counts as notified at a gateway: soon where
// nothing hinders that, else 6 s after discovery had it and could be reached.
func (s *soak) notifiedBy(at time.Time, gateway string) (by time.Time, hindered bool) {
	had := at
	for _, o := range s.ledger.outages { // in the order in which they began
		if !o.reachable && !o.from.After(had) && o.end().After(had) {
			had = o.end()
		}
	}
	for _, o := range s.ledger.outages {
		// One that is over may have left watches that have yet to be found silent.
		if o.from.Before(had.Add(spreadTime)) && !o.end().Add(toldAfter).Before(at) {
			hindered = true
		}
	}
	for _, d := range s.ledger.deaths { // a new process calls when its turn comes
		if d.gateway == gateway && d.ended.Before(had.Add(spreadTime)) && d.ended.Add(toldAfter).After(at) {
			hindered = true
		}
	}
	if hindered {
		return had.Add(toldAfter), true
	}
	return had.Add(spreadTime), false
}

// notifiedEverywhere is notifiedBy of the last gateway.
func (s *soak) notifiedEverywhere(at time.Time) (by time.Time, hindered bool) {
	for _, g := range s.gateways {
		if gatewayBy, late := s.notifiedBy(at, g.name); gatewayBy.After(by) {
			by, hindered = gatewayBy, late
		}
	}
	return by, hindered
}
