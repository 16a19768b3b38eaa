package lynxspool

import "math"

// Cold hosts: how much a host that has just started is sent, so that the bank as a whole
// does not push it over.

const (
	coldMargin  = 0.5 // share of the cold budget that is used: rates are learnt and work varies
	coldSharers = 16  // instances that draw from a cold host at most, as its table is short
)

// chill marks a host cold as of its start. Its first send waits its turn too, as
// a host that leaves the list and returns may have been sent to just before.
func (b *Balancer) chill(h *host, since Time) {
	if b.set.ColdCapacity < 1 && b.now-since < b.set.WarmAfter {
		h.cold, h.coldAt, h.able = true, max(h.coldAt, since), mean{}
		h.coldSent, h.coldAllowed = 0, 0
		// The first of each instance falls anywhere within its mean gap: so the bank's sends
		// come evenly from the first moment, however long the gap of one instance is.
		h.coldLast, h.coldGap, h.coldBy = b.now, b.float(), 0
	}
}

// coldHold paces sends to a host that has just started, so that the bank as a
// whole stays within its budget. It acts while the host is cold. The gap follows the rate
// as that is learnt, so a gap that was long with nothing learnt is not waited out.
func (b *Balancer) coldHold(h *host) bool {
	if h.cold && b.now-h.coldAt >= b.set.WarmAfter {
		h.cold = false
	}
	if !h.cold || h.coldBy > 0 && b.now >= h.coldBy {
		return false
	}
	return (b.now-h.coldLast).Seconds()*b.coldRate(h) < h.coldGap
}

// paceCold notes a send to a cold host and draws the gap to the next, by chance so that a
// bank that was told at once does not send at once.
func (b *Balancer) paceCold(h *host) {
	h.coldSent++
	h.coldAllowed += b.coldRate(h) * (b.now - h.coldLast).Seconds()
	if h.coldBy == 0 && h.coldSent > coldBudget(h.coldAllowed) {
		b.act(Action{Kind: ColdOver, Host: h.ID})
	}
	h.coldLast, h.coldGap, h.coldBy = b.now, 0.5+b.float(), 0
}

// coldBudget is how many sends may come of n in the mean, by chance: the slack that the rule on
// cold hosts leaves.
func coldBudget(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// coldRate is how many requests a second this instance may send a cold host: the factor,
// less the margin, times what the host can surely do now, of this instance's part.
//   - What this instance gets from a warm host, summed over those that share it, is within
//     a warm host's capacity; a cold one has its cold share of that.
//   - A host that answers a request in some time does one in that time at least. Here its
//     own answers tell, whatever its cold share is, and crowding shows in them at once;
//     with none yet, it is taken for one that takes the seed once warm. The bound is the
//     whole host's, so each of those that draw from it has a part.
//   - With next to nothing to go by, all that draw from it send one an OverloadWindow together.
func (b *Balancer) coldRate(h *host) float64 {
	share := b.coldShare(h)
	able := share / (seedShare * b.aim.Seconds())
	if h.able.seen {
		able = share / h.able.mean
	}
	sharers := max(b.sharers(), b.bank()*float64(len(b.drawn))/max(float64(len(b.hosts)), 1))
	return max(b.set.OverloadFactor*max(coldMargin*b.warm.mean*share, able/sharers),
		1/(sharers*b.set.OverloadWindow.Seconds()))
}

// coldShare is the share of its capacity that a cold host has by now at least.
func (b *Balancer) coldShare(h *host) float64 {
	return b.set.ColdCapacity + (1-b.set.ColdCapacity)*float64(b.now-h.coldAt)/float64(b.set.WarmAfter)
}
