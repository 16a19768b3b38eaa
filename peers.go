package bramblelock

// A view of the fleet is the list of instances that are present. With a view, an instance knows how many
// instances share a host, and decides which share of its traffic it sends to each host of its subset.

import (
	"math"
	"slices"
	"time"

	"bramblelock/internal/flow"
)

const (
	scatteredHosts   = 8    // first hosts of an instance's preference order that are far apart
	viewMinSharers   = 7    // least instances that use a host: with six the fitted loads stay uneven
	viewMaxShrink    = 3    // divisor of the settings' Instances for the least size of a view
	peakDecaySeconds = 30.0 // time constant of the decay of that peak afterwards
	fitRounds        = 30   // rounds of the fit: loads then differ by some hundredths
	maxTrafficShare  = 0.5  // largest share of an edge within a round of the fit: a pick takes two hosts
	peerRateSpan     = 30.0 // time constant in seconds of the request rate reported to peers
	minPeerRate      = 0.01 // least request rate a second that is assumed of a peer

	rebalanceInterval = time.Second      // between two fits of the traffic shares
	peakHold          = 30 * time.Second // how long a peak of the instance count is kept
)

// fleetView is the view of the fleet and the state of the fit of the traffic shares.
type fleetView struct {
	longArrivals  eventRate // requests to this instance, a second, with the time constant peerRateSpan
	peers         []Peer    // instances in the view of the fleet, with this one; nil: there is no view
	peakInstances float64   // recent peak of the number of instances
	peakAt        Time      // time of peakInstances
	// viewSubset is the least number of hosts that each instance uses, so that each host has viewMinSharers
	// sharers.
	viewSubset  float64
	rebalanceAt Time // time of the next fit of the traffic shares
}

// UpdatePeers applies a new view of the fleet: the instances that are present, with suspect ones and
// this one among them. The subsets follow it slowly. Limits and slow starts of hosts are shared by the
// larger of their number and a recent peak, so that both sides of a network partition stay within
// them.
func (b *Balancer) UpdatePeers(now Time, peers []Peer) {
	b.now = now
	first := b.peers == nil
	b.peers = append(b.peers[:0], peers...)
	if len(b.peers) == 0 {
		b.peers = append(b.peers, Peer{Rank: b.settings.Rank})
	}
	switch n := float64(len(b.peers)); {
	case first: // the first view may be incomplete
		b.peakInstances, b.peakAt = max(n, float64(b.settings.Instances)), now
		b.orderPreferred()
	case n >= b.instances():
		b.peakInstances, b.peakAt = n, now
	}
}

// instances is the number of instances that share the limits of hosts.
func (b *Balancer) instances() float64 {
	if b.peers == nil {
		return float64(b.settings.Instances)
	}
	decayed := b.peakInstances * math.Exp(-max(0, (b.now-b.peakAt-peakHold).Seconds())/peakDecaySeconds)
	return max(1, float64(len(b.peers)), decayed)
}

// rebalance fits the traffic shares of all instances so that all hosts in use get the same load, and
// applies those of this one. Every instance computes the same on nearly the same view. Connections
// stay as they are: only their use changes, halfway toward the fitted share at a time. It acts with a
// view of the fleet.
func (b *Balancer) rebalance() {
	if b.peers == nil || b.now < b.rebalanceAt {
		return
	}
	b.rebalanceAt = b.now + rebalanceInterval
	instances := max(float64(len(b.peers)), float64(b.settings.Instances)/viewMaxShrink)
	target := viewMinSharers * float64(len(b.hosts)) / instances
	b.viewSubset += min(max(target-b.viewSubset, -1), 1)
	rows, rates, own := b.trafficEdges()
	flow.Balance(rows, rates, len(b.ring), maxTrafficShare, fitRounds)
	if own < 0 {
		return
	}
	for _, p := range rows[own] {
		h := b.ring[p.To]
		h.trafficShare += (p.Rate/rates[own] - h.trafficShare) / 2
	}
}

// trafficEdges returns which hosts of the ring each instance of the view uses, the request rates of the
// instances, and the row of this one, or -1 if the view is without it.
func (b *Balancer) trafficEdges() (rows [][]flow.Edge, rates []float64, own int) {
	rows, rates, own = make([][]flow.Edge, len(b.peers)), make([]float64, len(b.peers)), -1
	for i, p := range b.peers {
		rates[i] = max(p.Rate, minPeerRate)
		if p.Rank == b.settings.Rank && own < 0 {
			own, rows[i] = i, b.ownEdges()
		} else {
			rows[i] = b.peerEdges(p.Rank, rates[i])
		}
	}
	return rows, rates, own
}

// ownEdges is an edge to each host in use of the subset.
func (b *Balancer) ownEdges() (edges []flow.Edge) {
	for _, h := range b.subset {
		if b.inUse(h) {
			edges = append(edges, flow.Edge{To: h.ringIndex})
		}
	}
	return edges
}

// peerEdges is an edge to each host that another instance, of the given rank and request rate, uses.
func (b *Balancer) peerEdges(rank int, rate float64) (edges []flow.Edge) {
	size := b.subsetSizeFor(rate, b.viewSubset)
	for k := 0; k < len(b.ring)+scatteredHosts && len(edges) < size; k++ {
		edge := flow.Edge{To: b.preferredHost(rank, k).ringIndex}
		if h := b.ring[edge.To]; h.available() && b.inUse(h) && !slices.Contains(edges, edge) {
			edges = append(edges, edge)
		}
	}
	return edges
}

// trafficShare is a host's share of this instance's traffic. A host without a fitted share, as it is
// cold or new, has the share that an even spread would give it.
func (b *Balancer) trafficShare(h *host) float64 {
	if h.trafficShare > 0 {
		return h.trafficShare
	}
	return 1 / float64(max(len(b.subset), 1))
}

// RequestRate is the recent rate of requests a second to this instance.
func (b *Balancer) RequestRate(now Time) float64 {
	if b.longArrivals.perSecond == 0 {
		return 0
	}
	rate, _ := b.longArrivals.corrected(now, peerRateSpan)
	return min(rate, b.longArrivals.value(now, peerRateSpan)*peerRateSpan) // counted over at least one second
}

// FleetStatus returns the number of instances in the view, the number of instances among which the limits
// of hosts are divided, and the number of hosts that this instance uses.
func (b *Balancer) FleetStatus() (live int, sharedBy float64, hostsUsed int) {
	return len(b.peers), b.instances(), len(b.subset)
}
