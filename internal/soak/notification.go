package soak

import "time"

const (
	maxNotifyDelay   = 6 * time.Second // time within which a change has to reach a gateway once discovery can be reached
	usualNotifyDelay = time.Second     // time within which a change has to reach a gateway when nothing disrupts that
)

// notifiedBy returns when a gateway counts as notified of a change that discovery acknowledged. That is
// usualNotifyDelay after the acknowledgement or, if an outage or a new process of the gateway disrupts the
// notification, maxNotifyDelay after discovery had the change and could be reached. The caller holds the
// lock of the ledger.
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
	for _, exit := range s.ledger.exits { // a new process may have to wait until it can fetch the list
		if exit.gateway == gateway && exit.endedAt.Before(available.Add(usualNotifyDelay)) && exit.endedAt.Add(maxNotifyDelay).After(ackedAt) {
			disrupted = true
		}
	}
	if disrupted {
		return available.Add(maxNotifyDelay), true
	}
	return available.Add(usualNotifyDelay), false
}

// allNotifiedBy returns the result of notifiedBy for the gateway that counts as notified last.
func (s *soak) allNotifiedBy(ackedAt time.Time) (by time.Time, disrupted bool) {
	for _, g := range s.gateways {
		if gatewayBy, gatewayDisrupted := s.notifiedBy(ackedAt, g.name); gatewayBy.After(by) {
			by, disrupted = gatewayBy, gatewayDisrupted
		}
	}
	return by, disrupted
}
