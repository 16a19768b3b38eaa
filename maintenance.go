package bramblelock

// Maintenance of hosts by operators, who begin and end it by host ID.

import "maps"

const returnSeconds = 3 // longest wait for the first send to a host back from maintenance

// maintenanceRecord is what is known of the maintenance of hosts, listed or not.
type maintenanceRecord struct {
	inMaintenance map[HostID]bool // hosts in maintenance
	returnedAt    map[HostID]Time // when maintenance last ended, for hosts that may still be cold
}

// SetMaintenance puts a host into maintenance or ends it. It is keyed by ID alone and stays in force
// whatever the host list says meanwhile. A host back from maintenance may be another process on another
// machine: its statistics are reset, and it is cold.
func (b *Balancer) SetMaintenance(now Time, id HostID, on bool) {
	b.now = now
	wasOn := b.inMaintenance[id]
	h := b.byID[id]
	if on {
		b.inMaintenance[id] = true
		delete(b.returnedAt, id)
	} else {
		delete(b.inMaintenance, id)
	}
	if wasOn == on {
		return
	}
	if !on {
		b.recordReturn(id, now)
	}
	if h == nil {
		return
	}
	h.inMaintenance = on
	if !on {
		b.resetHost(h)
		b.markCold(h, now)
		// The operator wants it in use, however little is known of its capacity.
		h.coldDeadline = now + Time(1e9*returnSeconds*(0.5+b.randFloat()/2))
	}
	b.processQueues()
}

// MaintenanceEnded reports an end of maintenance that another process of this instance saw: the host,
// listed or not yet, is cold as of that time.
func (b *Balancer) MaintenanceEnded(now Time, id HostID, since Time) {
	b.now = now
	b.recordReturn(id, since)
	if h := b.byID[id]; h != nil {
		b.markCold(h, since)
	}
}

// recordReturn records when the maintenance of a host ended, as the host may be listed again later. It
// drops the hosts that would no longer be cold, so that the record does not grow without bound.
func (b *Balancer) recordReturn(id HostID, since Time) {
	maps.DeleteFunc(b.returnedAt, func(_ HostID, ended Time) bool {
		return b.now-ended >= b.settings.WarmAfter
	})
	b.returnedAt[id] = since
}
