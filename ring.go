package bramblelock

// The ring of all hosts, from which the subset of an instance is taken.

import (
	"cmp"
	"slices"
)

const maxMergedKinds = 16 // kinds of host up to which the ring is merged

// hostRing is the ring of all hosts and what it is built from.
type hostRing struct {
	ring        []*host   // the hosts in an order that is the same at every instance
	ringChanged bool      // hosts were added or dropped, or have another kind, since the ring was built
	hostsByKind []*host   // the hosts of the ring, ordered by compareByKind
	newHosts    []*host   // hosts that are not in hostsByKind yet
	kinds       [][]*host // scratch space of buildRing
}

// buildRing orders the hosts in a way that is the same at every instance and spreads each kind of host
// evenly, so that every section is a fair sample of the fleet. Few positions change when hosts are
// added or removed. It does nothing if the ring would stay as it is.
//
// Most lists change one host of thousands, so the order by kind is kept: sorting it again takes linear
// time where few hosts are out of place.
func (b *Balancer) buildRing() {
	if !b.ringChanged {
		return
	}
	b.ringChanged = false
	b.hostsByKind = append(b.hostsByKind, b.newHosts...)
	b.newHosts = b.newHosts[:0]
	b.hostsByKind = slices.DeleteFunc(b.hostsByKind, func(h *host) bool { return h.dropped })
	slices.SortFunc(b.hostsByKind, compareByKind)
	b.kinds = b.kinds[:0]
	for rest := b.hostsByKind; len(rest) > 0; {
		n := sameKind(rest)
		for i, h := range rest[:n] {
			h.ringPosition = (float64(i) + 0.5) / float64(n)
		}
		b.kinds = append(b.kinds, rest[:n])
		rest = rest[n:]
	}
	b.mergeKinds()
	b.orderPreferred()
}

// mergeKinds makes the ring of the hosts of all kinds, each of which is in order of ringPosition. Of hosts
// with one position, that of the lower kind comes first.
func (b *Balancer) mergeKinds() {
	b.ring = b.ring[:0]
	if len(b.kinds) > maxMergedKinds { // looking at every kind for every host would take longer than sorting
		b.ring = append(b.ring, b.hostsByKind...)
		slices.SortStableFunc(b.ring, comparePosition)
		return
	}
	for len(b.ring) < len(b.hostsByKind) {
		first := -1
		for i, hosts := range b.kinds {
			if len(hosts) > 0 && (first < 0 || hosts[0].ringPosition < b.kinds[first][0].ringPosition) {
				first = i
			}
		}
		b.ring = append(b.ring, b.kinds[first][0])
		b.kinds[first] = b.kinds[first][1:]
	}
}

// compareByKind orders hosts by kind, and those of one kind in a way that is the same at every instance.
func compareByKind(x, y *host) int {
	switch {
	case x.Kind != y.Kind:
		return cmp.Compare(x.Kind, y.Kind)
	case x.hash != y.hash:
		return cmp.Compare(x.hash, y.hash)
	}
	return cmp.Compare(x.ID, y.ID)
}

// comparePosition orders hosts by their position among the hosts of their kind.
func comparePosition(x, y *host) int { return cmp.Compare(x.ringPosition, y.ringPosition) }

// sameKind is the number of hosts at the start of a list that have the kind of the first.
func sameKind(hosts []*host) int {
	n := 0
	for n < len(hosts) && hosts[n].Kind == hosts[0].Kind {
		n++
	}
	return n
}
