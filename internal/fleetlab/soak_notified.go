package fleetlab

import "time"

const (
	maxNotifyDelay   = 6 * time.Second // limit for a change to reach a gateway once it can be fetched
	usualNotifyDelay = time.Second     // limit for a change to reach all gateways when nothing disrupts it
)

// notifiedBy returns when a gateway counts as notified of a change that discovery acknowledged: after
// usualNotifyDelay when nothing disrupts that, otherwise maxNotifyDelay after discovery had the change
// and could be reached.
func (s *soak) notifiedBy(ackedAt time.Time, gateway string) (by time.Time, disrupted bool) {
	available := ackedAt
	for _, o := range s.ledger.outages { // in order of their start
		if !o.reachable && !o.from.After(available) && o.endOrNow().After(available) {
			available = o.endOrNow()
		}
	}
	for _, o := range s.ledger.outages {
		// After an outage has ended, gateways may still have to detect that their watches are silent.
		if o.from.Before(available.Add(usualNotifyDelay)) && !o.endOrNow().Add(maxNotifyDelay).Before(ackedAt) {
			disrupted = true
		}
	}
	for _, exit := range s.ledger.exits { // a new process fetches the list only in its turn
		if exit.gateway == gateway && exit.endedAt.Before(available.Add(usualNotifyDelay)) && exit.endedAt.Add(maxNotifyDelay).After(ackedAt) {
			disrupted = true
		}
	}
	if disrupted {
		return available.Add(maxNotifyDelay), true
	}
	return available.Add(usualNotifyDelay), false
}

// allNotifiedBy returns notifiedBy of the gateway that is notified last.
func (s *soak) allNotifiedBy(ackedAt time.Time) (by time.Time, disrupted bool) {
	for _, g := range s.gateways {
		if gatewayBy, gatewayDisrupted := s.notifiedBy(ackedAt, g.name); gatewayBy.After(by) {
			by, disrupted = gatewayBy, gatewayDisrupted
		}
	}
	return by, disrupted
}
