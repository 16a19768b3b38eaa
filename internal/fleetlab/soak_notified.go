package fleetlab

import "time"

const (
	maxNotifyDelay   = 6 * time.Second // a change counts as notified so long after it could be had
	usualNotifyDelay = time.Second     // a change that nothing hinders is with all gateways by then
)

// notifiedBy is when a change that discovery acknowledged counts as notified at a gateway: soon where
// nothing hinders that, else 6 s after discovery had it and could be reached.
func (s *soak) notifiedBy(ackedAt time.Time, gateway string) (by time.Time, disrupted bool) {
	available := ackedAt
	for _, o := range s.ledger.outages { // in the order in which they began
		if !o.reachable && !o.from.After(available) && o.endOrNow().After(available) {
			available = o.endOrNow()
		}
	}
	for _, o := range s.ledger.outages {
		// One that is over may have left watches that have yet to be found silent.
		if o.from.Before(available.Add(usualNotifyDelay)) && !o.endOrNow().Add(maxNotifyDelay).Before(ackedAt) {
			disrupted = true
		}
	}
	for _, exit := range s.ledger.exits { // a new process calls when its turn comes
		if exit.gateway == gateway && exit.endedAt.Before(available.Add(usualNotifyDelay)) && exit.endedAt.Add(maxNotifyDelay).After(ackedAt) {
			disrupted = true
		}
	}
	if disrupted {
		return available.Add(maxNotifyDelay), true
	}
	return available.Add(usualNotifyDelay), false
}

// allNotifiedBy is notifiedBy of the last gateway.
func (s *soak) allNotifiedBy(ackedAt time.Time) (by time.Time, disrupted bool) {
	for _, g := range s.gateways {
		if gatewayBy, gatewayDisrupted := s.notifiedBy(ackedAt, g.name); gatewayBy.After(by) {
			by, disrupted = gatewayBy, gatewayDisrupted
		}
	}
	return by, disrupted
}
