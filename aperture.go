package bramblelock

// Which hosts an instance uses: a subset (aperture) taken from a ring of all hosts that is the same
// at every instance. How it picks among them is decided in pick.go.

import "math"

const (
	subsetSamples   = 6    // samples that an instance needs of each host within the decay time
	minSharers      = 4    // least instances that use a host, so that its use does not depend on one alone
	minSubset       = 3    // least hosts that an instance uses: two remain to choose from with one ejected
	subsetMoveShare = 0.25 // least time between two moves of the subset, in WarmAfters: new hosts are cold

	goldenSection = 0.6180339887498949
)

// hostPosition is the place of a host in the ring and in the subset of this instance.
type hostPosition struct {
	hash         uint64  // hash of the ID
	ringPosition float64 // position by hash among the hosts of its kind, from 0 to 1
	ringIndex    int     // index in hostRing.ring
	preferIndex  int     // index in hostSubset.preferred
	inSubset     bool
	dropped      bool // the host is no longer in hostTable
}

// hostSubset is the subset of the hosts that this instance uses.
type hostSubset struct {
	preferred    []*host // the hosts in this instance's order of preference
	subset       []*host // the hosts that this instance uses
	subsetMoveAt Time    // earliest time at which a host of the subset may be replaced
	activeHosts  int     // hosts of the subset that are neither cold nor ejected
}

// subsetSize is how many hosts this instance uses: as many as its traffic can give subsetSamples each
// within the decay time, but enough for a choice of two with one ejected, and enough to give each host
// minSharers instances. It acts where that is less than the whole list. It guards against scores and
// limits that have no samples, and against a connection from every instance to every host, which fills
// the hosts' connection tables.
func (b *Balancer) subsetSize() int {
	shared := float64(minSharers*len(b.hosts)) / float64(b.settings.Instances)
	if b.peers != nil {
		shared = b.viewSubset
	}
	return b.subsetSizeFor(b.arrivals.value(b.now, b.rateSpan()), shared)
}

// subsetSizeFor is subsetSize for a request rate a second and a least number of hosts.
func (b *Balancer) subsetSizeFor(rate, shared float64) int {
	sampled := rate * b.decay / subsetSamples
	return min(len(b.hosts), max(minSubset, int(math.Ceil(max(sampled, shared)))))
}

// orderPreferred lists the ring in this instance's order of preference. With a view of the fleet, the
// first scatteredHosts hosts are far apart, so that instances that share one host share few others and
// the excess load of a host can be spread over the fleet.
func (b *Balancer) orderPreferred() {
	n := len(b.ring)
	for i, h := range b.ring {
		h.ringIndex, h.preferIndex = i, n
	}
	b.preferred = b.preferred[:0]
	for k := 0; len(b.preferred) < n; k++ {
		if h := b.preferredHost(b.settings.Rank, k); h.preferIndex == n {
			h.preferIndex = len(b.preferred)
			b.preferred = append(b.preferred, h)
		}
	}
}

// preferredHost is the k-th host in the order of preference of a rank; with a view, a host may come
// twice. The order starts at the rank's multiple of the golden section, modulo the ring. Any run of
// these multiples is spread evenly over the ring, and so is what remains when a run of ranks, or every
// second rank, is absent.
func (b *Balancer) preferredHost(rank, k int) *host {
	n := len(b.ring)
	_, start := math.Modf(float64(rank) * goldenSection)
	switch {
	case b.peers == nil:
	case k < scatteredHosts:
		k = k * (k + 1) * (2*k + 1) / 6
	default:
		k -= scatteredHosts
	}
	return b.ring[(int(start*float64(n))+k)%n]
}

// sharers is the number of sharers of a host: the instances that use it, and among which its limits are
// divided. It is the mean over all hosts and at least 1.
func (b *Balancer) sharers() float64 {
	return max(1, b.instances()*float64(b.subsetSize())/max(float64(len(b.hosts)), 1))
}

// updateSubset updates the hosts that this instance uses: subsetSize of them in use, and cold and
// ejected hosts besides. A host stays while it serves, as this instance has samples of it; one at a
// time is replaced by a preferred one, so that new hosts get no rush of traffic.
func (b *Balancer) updateSubset() {
	size := b.subsetSize()
	used, cold := b.dropUnavailable()
	used = b.growSubset(size, used, cold)
	b.shrinkSubset(size, used)
	b.activeHosts = min(used, size)
	b.rebalance()
}

// dropUnavailable stops using hosts that may get no new requests. It returns the numbers of hosts of the
// subset that are in use and of those that are cold.
func (b *Balancer) dropUnavailable() (used, cold int) {
	for i := len(b.subset) - 1; i >= 0; i-- {
		if h := b.subset[i]; !h.available() {
			b.removeFromSubset(i)
		} else if b.inUse(h) {
			used++
		} else if h.cold {
			cold++
		}
	}
	return used, cold
}

// growSubset adds preferred hosts to the subset, which has the given numbers of hosts in use and cold, and
// returns how many are in use then; these may be more than size, for shrinkSubset to remove. Where most
// hosts are cold, the subset grows no further than maxColdSharers instances a host allow: otherwise every
// instance would hold a connection to every host, and all would meet at the few warm hosts.
func (b *Balancer) growSubset(size, used, cold int) int {
	n := len(b.ring)
	maxHosts := max(size, int(maxColdSharers*float64(n)/b.instances()))
	for k := 0; k < n && (k < size || used < size && cold < maxHosts); k++ {
		h := b.preferred[k]
		inUse := b.inUse(h)
		if h.inSubset || !h.available() || inUse && used >= size && b.now < b.subsetMoveAt {
			continue
		}
		if inUse && used >= size {
			b.subsetMoveAt = b.now + Time(subsetMoveShare*float64(b.settings.WarmAfter))
		}
		if inUse {
			used++
		} else if h.cold {
			cold++
		}
		h.inSubset = true
		b.subset = append(b.subset, h)
	}
	return used
}

// shrinkSubset removes the least preferred hosts in use until the subset, which has the given number of
// them, has size.
func (b *Balancer) shrinkSubset(size, used int) {
	for ; used > size; used-- {
		farthest, maxIndex := 0, -1
		for i, h := range b.subset {
			if h.preferIndex > maxIndex && b.inUse(h) {
				farthest, maxIndex = i, h.preferIndex
			}
		}
		b.removeFromSubset(farthest)
	}
}

// inUse reports whether a host of the subset counts toward its size: neither cold nor ejected.
func (b *Balancer) inUse(h *host) bool { return !h.cold && !b.ejected(h) }

// removeFromSubset stops using a host and closes the connections to it, as its connection table may be
// small.
func (b *Balancer) removeFromSubset(i int) {
	h := b.subset[i]
	h.inSubset = false
	b.subset = append(b.subset[:i], b.subset[i+1:]...)
	b.emit(Action{Kind: Close, Host: h.ID})
}
