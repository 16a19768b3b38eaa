package soak

import (
	"math"
	"slices"
	"time"
)

// maxByChance returns how many attempts the rule on slow start accepts where n are allowed on average,
// since random arrivals may exceed the average.
func maxByChance(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// judgeSlowStarts requires that a host that has just started receives no more attempts within any
// overloadPeriod than its slow start budget and maxByChance allow. It counts attempts from one
// overloadPeriod after the last gateway counts as notified of the start until warmAfter.
func (s *soak) judgeSlowStarts(r *Report, violated violationFunc) {
	for _, start := range s.ledger.hostStarts {
		by, _ := s.allNotifiedBy(start.ackedAt)
		from := by.Add(overloadPeriod)
		if !from.Before(start.ackedAt.Add(warmAfter)) {
			r.exempt(exemptLateStart)
			continue
		}
		received := s.receivedBetween(start.host, from, start.ackedAt.Add(warmAfter))
		for i := range received {
			n := 0
			for n < len(received)-i && received[i+n].Sub(received[i]) < overloadPeriod {
				n++
			}
			sinceStart := received[i].Sub(start.ackedAt)
			if limit := slowStartBudget(sinceStart); float64(n) > maxByChance(limit) {
				violated(nil, RuleSlowStart, "host %s received %d requests in %v, %v after its start; %.0f plus random variation allowed", start.host, n, overloadPeriod,
					sinceStart, limit)
				break
			}
		}
	}
}

// receivedBetween returns when a host received attempts between two times, in order.
func (s *soak) receivedBetween(host string, from, to time.Time) []time.Time {
	var received []time.Time
	for _, req := range s.ledger.requests {
		for _, attempt := range req.attempts {
			if attempt.host == host && attempt.receivedAt.After(from) && attempt.receivedAt.Before(to) {
				received = append(received, attempt.receivedAt)
			}
		}
	}
	slices.SortFunc(received, time.Time.Compare)
	return received
}

// slowStartBudget returns how many attempts a host may receive within an overloadPeriod that begins
// sinceStart after its start.
func slowStartBudget(sinceStart time.Duration) float64 {
	share := coldFrom + (1-coldFrom)*float64(sinceStart)/float64(warmAfter)
	return overloadFactor * share * warmRate * overloadPeriod.Seconds()
}
