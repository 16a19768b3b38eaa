package bramblelock

// Hosts and what this instance knows of each; the host list is applied here.

// host is what this instance knows of one host.
type host struct {
	Host
	hostPosition
	rttEstimate
	hostLimit
	hostEjection
	hostSlowStart

	inMaintenance bool
	trafficShare  float64       // fitted share of this instance's traffic; 0: not fitted
	openAttempts  int           // attempts that have not ended
	pending       int           // attempts that the host has yet to answer
	listedIndex   int           // number of hosts listed before it since the start
	busyIndex     int           // index in hostTable.busyHosts while pending is not 0
	pendingList   list[attempt] // pending attempts in the order of sending
	answeredAt    Time          // time of the last answer of any kind
	servedSentAt  Time          // send time of the latest attempt that the host has served
	resetAt       Time          // last end of maintenance; attempts sent before it say nothing of the host
}

// hostTable is the hosts that are listed or still have open attempts.
type hostTable struct {
	hosts []*host // in order of first listing, so that nothing depends on map order
	byID  map[HostID]*host

	busyHosts   []*host // hosts with pending attempts, in any order
	listedCount int     // hosts listed since the start
}

// UpdateHosts applies a host list or handles a loss of discovery, whichever the kind stands for.
func (b *Balancer) UpdateHosts(now Time, kind ListKind, list []Host) {
	b.now = now
	if kind.IsLoss() {
		b.handleListLoss(kind)
		return
	}
	if kind != ListSaved { // a saved list is not from discovery, so it ends neither a loss nor a hold
		b.handleListReceived()
	}
	if kind != ListChanges { // the list is whole: hosts without an entry stay Removed
		for _, h := range b.hosts {
			h.State = Removed
		}
	}
	for _, e := range list {
		b.applyEntry(e)
	}
	b.dropRemoved(kind, list)
	added := b.newHosts
	b.buildRing()
	for _, h := range added {
		h.limit = initialFleetLimit / b.sharers() // sharers depends on the number of hosts, now complete
	}
	b.processQueues() // hosts may have become ready, and a list from discovery ends a hold of sends
}

// applyEntry applies one entry of the host list.
func (b *Balancer) applyEntry(entry Host) {
	h := b.byID[entry.ID]
	if h == nil {
		if entry.State == Removed {
			return
		}
		h = b.addHost(entry.ID)
	}
	b.ringChanged = b.ringChanged || h.Kind != entry.Kind
	started := h.Started
	h.Host = entry
	if since, ok := b.returnedAt[entry.ID]; ok && h.coldSince < since {
		b.markCold(h, since)
	}
	if entry.Started > 0 && entry.Started != started {
		b.markCold(h, entry.Started)
	}
}

// addHost adds a host that is listed for the first time.
func (b *Balancer) addHost(id HostID) *host {
	h := &host{answeredAt: b.now, inMaintenance: b.inMaintenance[id]}
	h.rttAt = b.now
	h.hash = mix(uint64(id))
	b.byID[id] = h
	h.listedIndex = b.listedCount
	b.listedCount++
	b.hosts = append(b.hosts, h)
	b.newHosts = append(b.newHosts, h)
	b.ringChanged = true
	return h
}

// dropRemoved drops the hosts that a list has removed. Of a list of changes, it looks only at the entries,
// as there may be thousands of other hosts.
func (b *Balancer) dropRemoved(kind ListKind, list []Host) {
	if kind == ListChanges {
		for _, e := range list {
			if h := b.byID[e.ID]; h != nil {
				b.dropIfRemoved(h)
			}
		}
		return
	}
	for i := len(b.hosts) - 1; i >= 0; i-- { // backward, as dropIfRemoved deletes from b.hosts
		b.dropIfRemoved(b.hosts[i])
	}
}

// dropIfRemoved drops a removed host once it has no open attempts.
func (b *Balancer) dropIfRemoved(h *host) {
	if h.State != Removed || h.openAttempts > 0 || b.byID[h.ID] != h {
		return
	}
	delete(b.byID, h.ID)
	h.dropped, b.ringChanged = true, true
	for i := range b.hosts {
		if b.hosts[i] == h {
			b.hosts = append(b.hosts[:i], b.hosts[i+1:]...)
			return
		}
	}
}

// resetHost discards the statistics of a host.
func (b *Balancer) resetHost(h *host) {
	h.rttEstimate = rttEstimate{rttAt: b.now}
	h.hostLimit = hostLimit{limit: initialFleetLimit / b.sharers()}
	h.hostEjection = hostEjection{}
	h.answeredAt = b.now
	h.servedSentAt = b.now
	h.resetAt = b.now
}

// oldestSentSince is the oldest pending attempt at a host that was sent at t or later, or nil.
func (h *host) oldestSentSince(t Time) *attempt {
	for n := h.pendingList.head; n != nil; n = n.next {
		if n.item.sent >= t {
			return n.item
		}
	}
	return nil
}

// notOvertaken is the number of pending attempts at a host that were sent no earlier than the latest
// one served, and the oldest of them. An attempt that a later one has overtaken is lost and does not
// show how the host serves others.
func (h *host) notOvertaken() (oldest *attempt, n int) {
	if oldest = h.oldestSentSince(h.servedSentAt); oldest == nil {
		return nil, 0
	}
	for link := &oldest.node; link != nil; link = link.next {
		n++
	}
	return oldest, n
}

// available reports whether a host may get new requests: it is listed as ready and not in maintenance.
func (h *host) available() bool { return h.State == Ready && !h.inMaintenance }
