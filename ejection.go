package bramblelock

// Ejection of hosts at fault: an ejected host gets no requests for a backoff, then one trial at a time.
// An answer of any kind readmits it.

const (
	backoffTargets   = 2 // duration of a first ejection
	backoffDoublings = 5 // most doublings of the duration of an ejection
)

// hostEjection is the state of the ejection of a host.
type hostEjection struct {
	ejections     int  // ejections in a row since the last answer
	ejectUntil    Time // end of the last backoff
	trialInFlight bool // a trial of the ejected host is in flight: one attempt, to see whether it answers
	connFailedAt  Time // time at which a connection last failed
}

// ejected reports whether a host is excluded: until its backoff ends, then for all but one trial at a time.
func (b *Balancer) ejected(h *host) bool {
	return h.ejections > 0 && (b.now < h.ejectUntil || h.trialInFlight)
}

// eject excludes a host, for longer with each ejection in a row.
func (b *Balancer) eject(h *host, reason string) {
	if h.ejections > 0 && b.now < h.ejectUntil {
		return
	}
	d := float64(backoffTargets*b.shortestTarget) * float64(int(1)<<min(h.ejections, backoffDoublings))
	h.ejectUntil = b.now + Time(d*(0.75+0.5*b.randFloat()))
	h.ejections++
	if h.ejections == 1 {
		b.log(logHostEjected, "host %x ejected: %s", h.ID, reason)
	}
}

// readmit ends the ejection of a host that has answered.
func (b *Balancer) readmit(h *host) {
	h.answeredAt = b.now
	if h.ejections == 0 {
		return
	}
	h.ejections = 0
	b.log(logHostBack, "host %x is back", h.ID)
}
