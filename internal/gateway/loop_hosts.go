package gateway

import (
	"hash/fnv"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"time"

	"bramblelock"
	"bramblelock/internal/gateway/hostlist"
)

// hostKnown returns whether a host is listed or in maintenance, or was so before at most maxFormerHosts
// others. It returns false if Run has returned.
func (l *Loop) hostKnown(id string) (known bool) {
	answer := make(chan bool, 1)
	l.post(func(bramblelock.Time) {
		h := l.hosts[hostID(id)]
		answer <- h != nil && h.id == id || l.inMaintenance[id] || l.formerHosts.has(id)
	})
	select {
	case known = <-answer:
	case <-l.done:
	}
	return known
}

// SetMaintenance puts a host into maintenance or ends its maintenance. It posts an event to the loop,
// so the change is not in force on return, but once a later Sync has returned. Attempts that wait for a
// connection to a host in maintenance are not sent: Pool.permit stops them before their first byte. The
// id is stored even if the host is not listed, as it may be listed later.
func (l *Loop) SetMaintenance(id string, on bool) {
	l.post(func(now bramblelock.Time) {
		if on {
			l.inMaintenance[id] = true
		} else {
			delete(l.inMaintenance, id)
			l.formerHosts.add(id) // the call may be repeated
		}
		h := l.hosts[hostID(id)]
		if h != nil && h.id != id {
			return // the hash is the same, but the host is another
		}
		if h != nil {
			l.pool.setMaintenance(h, on)
		}
		l.balancer.SetMaintenance(now, hostID(id), on)
		l.updateReady()
	})
}

// MaintenanceEnded reports to the Balancer that the maintenance of a host ended at the given time, by
// an operator's call to another process of this instance.
func (l *Loop) MaintenanceEnded(id string, at time.Time) {
	l.post(func(now bramblelock.Time) { l.balancer.MaintenanceEnded(now, hostID(id), l.clock.at(at)) })
}

// applyList updates the hosts from a list, or from changes of it, and passes them to the Balancer. For
// a loss of discovery there are no entries, and only the kind is passed.
func (l *Loop) applyList(now bramblelock.Time, kind bramblelock.ListKind, list hostlist.List) {
	if kind.IsLoss() {
		l.balancer.UpdateHosts(now, kind, nil)
		return
	}
	entries := make([]bramblelock.Host, 0, len(list.Servers))
	for i := range list.Servers {
		if entry, ok := l.applyMember(&list.Servers[i]); ok {
			entries = append(entries, entry)
		}
	}
	gone := removedHosts(entries)
	if kind != bramblelock.ListChanges { // the list is whole
		gone = append(gone, l.takeOutUnlisted(entries)...)
	}
	if len(l.added) > 0 {
		go logAdded(l.added) // thousands of lines would keep the loop for milliseconds
		l.added = nil
	}
	l.balancer.UpdateHosts(now, kind, entries)
	for i := range entries {
		// The maintenance that the Balancer knows may be that of another id with the same hash.
		id := entries[i].ID
		l.balancer.SetMaintenance(now, id, l.hosts[id].inMaintenance)
	}
	for _, id := range gone {
		l.formerHosts.add(l.hosts[id].id)
		delete(l.hosts, id) // attempts in flight keep a reference to it
	}
	l.zones.dropUnused(l.hosts, func(h *host) int { return h.zone })
	l.kinds.dropUnused(l.hosts, func(h *host) int { return h.kind })
	l.updateReady()
	if kind == bramblelock.ListFull || kind == bramblelock.ListChanges {
		l.firstListOnce.Do(func() { close(l.firstList) })
	}
}

// applyMember updates one host from its entry in a list and returns the entry for the Balancer. ok is
// false if the entry does not count.
func (l *Loop) applyMember(m *hostlist.Member) (entry bramblelock.Host, ok bool) {
	entry = bramblelock.Host{ID: hostID(m.ID), State: m.HostState()}
	h := l.hosts[entry.ID]
	switch {
	case h == nil && entry.State == bramblelock.Removed:
		return entry, false // the host was removed before this process knew it
	case h == nil:
		h = l.addHost(entry.ID, m)
	case h.id != m.ID:
		// Two names with one HostID would be taken for one host.
		slog.Error("host ignored: the hash of its id collides with another host's", "host", m.ID, "other", h.id)
		return entry, false
	}
	if h.startedMS != m.StartedMS { // most lists state the same start time again
		h.startedMS, h.startedAt = m.StartedMS, l.clock.startTime(m.StartedMS, l.wallClock())
	}
	if entry.State != bramblelock.Removed {
		// An entry that removes a host may state nothing else. The zone and the cell still say where a
		// request that may have run on the host may be repeated.
		h.zone, h.cell, h.kind = l.zones.number(m.Zone), m.Cell, l.kinds.number(m.Kind)
	}
	entry.Zone, entry.Cell, entry.Kind = h.zone, h.cell, h.kind
	entry.Started = h.startedAt
	l.pool.updateHost(h, m.Addr, m.StartedMS, entry.State == bramblelock.Ready)
	return entry, true
}

// addHost adds a host that a list names and that is not known.
func (l *Loop) addHost(id bramblelock.HostID, m *hostlist.Member) *host {
	h := &host{id: m.ID, inMaintenance: l.inMaintenance[m.ID]}
	l.hosts[id] = h
	l.added = append(l.added, addedHost{id, m.ID, m.Addr})
	return h
}

// addedHost is a host that a list has named for the first time.
type addedHost struct {
	number bramblelock.HostID
	id     string
	addr   string
}

// logAdded logs hosts. The Balancer's log lines name a host by its number, so the number of each host is
// logged. One line per host is not too many.
func logAdded(hosts []addedHost) {
	for _, h := range hosts {
		slog.Info("host listed", "host", h.id, "number", strconv.FormatUint(uint64(h.number), 16), "addr", h.addr)
	}
}

// removedHosts returns the hosts that entries of a list remove. Of several entries of one host, the last
// one decides, as it does for the Balancer: a host that this returns gets no more attempts.
func removedHosts(entries []bramblelock.Host) (ids []bramblelock.HostID) {
	removed := map[bramblelock.HostID]bool{}
	for i := range entries {
		if entries[i].State == bramblelock.Removed {
			removed[entries[i].ID] = true
		} else {
			delete(removed, entries[i].ID)
		}
	}
	return slices.Collect(maps.Keys(removed))
}

// takeOutUnlisted takes the hosts without an entry in a whole list out of use and returns them.
func (l *Loop) takeOutUnlisted(entries []bramblelock.Host) (ids []bramblelock.HostID) {
	listed := make(map[bramblelock.HostID]bool, len(entries))
	for i := range entries {
		listed[entries[i].ID] = true
	}
	for id, h := range l.hosts {
		if !listed[id] {
			ids = append(ids, id)
			l.pool.updateHost(h, "", 0, false)
		}
	}
	return ids
}

// updateReady sets l.ready to whether any host is usable.
func (l *Loop) updateReady() {
	ready := false
	for _, h := range l.hosts {
		ready = ready || h.usable.Load()
	}
	l.ready.Store(ready)
}

// hostID returns the number by which the Balancer knows a host: a hash of its id, so that the number
// is the same at every gateway and after a restart.
func hostID(id string) bramblelock.HostID {
	h := fnv.New64a()
	h.Write([]byte(id))
	return bramblelock.HostID(h.Sum64())
}
