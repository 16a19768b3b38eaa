package lynxspool

// What a view of the bank changes: how many instances share a host, and how much of its
// traffic each sends to which of those that it draws from.

import (
	"math"
	"slices"

	"lynxspool/internal/flow"
)

const (
	jumps       = 8    // hosts of an instance's order that lie apart
	viewSharers = 7    // instances that draw from each host at least: with six the fit stays uneven
	viewDoubt   = 3    // ... but that few are there is believed to a third of the settings' count
	viewEvery   = 1e9  // time between two looks at who sends where
	viewHold    = 30e9 // a count of the bank holds this long after it was last so high,
	viewFade    = 30.0 // ... and then fades by e in so many seconds
	viewRounds  = 30   // rounds of fitting: loads then differ by some hundredths
	viewMost    = 0.5  // of its traffic that an instance sends a host at most: a pick takes two
	ratesSpan   = 30.0 // seconds that the rate told to peers looks back
	rateLeast   = 0.01 // a rate told lower than this counts as this
)

// UpdatePeers is news of the bank: the instances that are there, suspect ones and this one among
// them. Who draws from where moves slowly after it; caps and ramps of hosts are shared by
// the larger of their number and a recent one, so that the two sides of a cut keep to them.
func (b *Balancer) UpdatePeers(now Time, peers []Peer) {
	b.now = now
	first := b.peers == nil
	b.peers = append(b.peers[:0], peers...)
	if len(b.peers) == 0 {
		b.peers = append(b.peers, Peer{Rank: b.set.Rank})
	}
	switch n := float64(len(b.peers)); {
	case first: // it may have seen few as yet
		b.recent, b.recentAt = max(n, float64(b.set.Instances)), now
		b.order()
	case n >= b.bank():
		b.recent, b.recentAt = n, now
	}
}

// bank is how many instances share the caps of hosts.
func (b *Balancer) bank() float64 {
	if b.peers == nil {
		return float64(b.set.Instances)
	}
	faded := b.recent * math.Exp(-max(0, (b.now-b.recentAt-viewHold).Seconds())/viewFade)
	return max(1, float64(len(b.peers)), faded)
}

// even fits the parts of its traffic that each instance sends to the hosts it draws from,
// so that all hosts in use get the same, and keeps those of this one. Every instance does
// the same sum on much the same view. Connections stay as they are: only their use moves,
// halfway at a time. It acts with a view of the bank.
func (b *Balancer) even() {
	if b.peers == nil || b.now < b.evenAt {
		return
	}
	b.evenAt = b.now + viewEvery
	there := max(float64(len(b.peers)), float64(b.set.Instances)/viewDoubt)
	want := viewSharers * float64(len(b.hosts)) / there
	b.shared += min(max(want-b.shared, -1), 1)
	rows, rates, own := make([][]flow.Edge, len(b.peers)), make([]float64, len(b.peers)), -1
	for i, p := range b.peers {
		rates[i] = max(p.Rate, rateLeast)
		if p.Rank == b.set.Rank && own < 0 {
			own = i
			for _, h := range b.drawn {
				if b.inUse(h) {
					rows[i] = append(rows[i], flow.Edge{To: h.index})
				}
			}
			continue
		}
		reach := b.reachOf(rates[i], b.shared)
		for k := 0; k < len(b.ring)+jumps && len(rows[i]) < reach; k++ {
			part := flow.Edge{To: b.at(p.Rank, k).index}
			if h := b.ring[part.To]; h.takes() && b.inUse(h) && !slices.Contains(rows[i], part) {
				rows[i] = append(rows[i], part)
			}
		}
	}
	flow.Balance(rows, rates, len(b.ring), viewMost, viewRounds)
	if own < 0 {
		return
	}
	for _, p := range rows[own] {
		h := b.ring[p.To]
		h.weight += (p.Rate/rates[own] - h.weight) / 2
	}
}

// two draws two of the ready hosts by chance, i first. With a view, each comes as often as
// its part of the traffic says: the places of both on the sum of the parts are half of that
// sum apart, so the two differ but for a part over half.
func (b *Balancer) two() (i, j int) {
	n := len(b.ready)
	if b.peers == nil {
		i, j = b.rand(n), b.rand(n-1)
	} else {
		sum := 0.0
		for _, h := range b.ready {
			sum += b.weight(h)
		}
		u := b.float() * sum / 2
		if i, j = b.place2(u), b.place2(u+sum/2); i != j {
			return i, j
		}
		j = b.rand(n - 1)
	}
	if j >= i {
		j++
	}
	return i, j
}
