package bramblelock

// Which host a request is sent to: of two random ready hosts, the one with the lower load score.

// pick is the ordinary path: it takes the less loaded of two random ready hosts.
func (b *Balancer) pick(r *request) *host {
	if !b.admit(r) {
		return nil
	}
	if b.holding() {
		b.log(logSendsHeld, "sending nothing: discovery does not say who drains")
		return nil
	}
	b.updateSubset()
	b.collectReady(r)
	switch len(b.ready) {
	case 0:
		return nil
	case 1:
		return b.ready[0]
	}
	i, j := b.pickTwo()
	if b.score(b.ready[j]) < b.score(b.ready[i]) {
		i = j
	}
	return b.ready[i]
}

// collectReady collects in b.ready the hosts that may be sent the request now. It fails open: when most
// hosts are ejected, the fault is more likely in the network or the load than in every host, and the few
// others must not get all requests.
func (b *Balancer) collectReady(r *request) {
	candidates := b.subset
	if r.class.Effect == Deduplicated && r.firstMayHaveRun() != nil {
		candidates = b.ring // its DedupScope may lie outside the subset
	}
	b.ready = b.ready[:0]
	eligible, ejected := 0, 0
	for _, h := range candidates {
		if !h.available() || !b.allows(r, h) {
			continue
		}
		eligible++
		switch {
		case b.ejected(h):
			ejected++
		case b.coldLimited(h) || b.atLimit(h):
		default:
			b.ready = append(b.ready, h)
		}
	}
	if ejected*2 > eligible {
		b.log(logFailOpen, "%d of %d hosts are ejected, using them all the same", ejected, eligible)
		for _, h := range candidates {
			if h.available() && b.allows(r, h) && b.ejected(h) && !b.coldLimited(h) && !b.atLimit(h) {
				b.ready = append(b.ready, h)
			}
		}
	}
}

// pickTwo draws two ready hosts at random, i first. With a view, each comes as often as its traffic
// share says: the positions of the two on the sum of the shares are half of that sum apart, so they
// differ unless a share is over half.
func (b *Balancer) pickTwo() (i, j int) {
	n := len(b.ready)
	if b.peers == nil {
		i, j = b.randN(n), b.randN(n-1)
	} else {
		sum := 0.0
		for _, h := range b.ready {
			sum += b.trafficShare(h)
		}
		u := b.randFloat() * sum / 2
		if i, j = b.readyHostAt(u), b.readyHostAt(u+sum/2); i != j {
			return i, j
		}
		j = b.randN(n - 1)
	}
	if j >= i {
		j++
	}
	return i, j
}

// readyHostAt is the index of the ready host at a position on the sum of the traffic shares.
func (b *Balancer) readyHostAt(position float64) int {
	for i, h := range b.ready {
		if position -= b.trafficShare(h); position < 0 {
			return i
		}
	}
	return len(b.ready) - 1
}

// score is the load of a host for the comparison of two: estimate x (own pending + 1).
func (b *Balancer) score(h *host) float64 { return b.estimate(h) * float64(h.pending+1) }
