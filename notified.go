package lynxspool

// Until when an instance may send by a list that discovery no longer keeps current for it.
// A change that a lost watch kept back counts as notified after a fixed time, whether or not
// it arrived, and sends to a draining host have to stop DrainGrace after that. Discovery may
// take longer to answer a whole fleet, in turn. An instance whose turn has not come by then
// cannot know which hosts drain, and a draining host answers as before, so its answers tell
// nothing either: it sends nothing until it is told, up to heldWithin of the loss.

const (
	NotifiedAfterEnd  = Time(2e9) // what a watch that ended in order kept back counts as notified
	NotifiedAfterMove = Time(4e9) // ... and what is known at the address that discovery moved to

	holdMargin = Time(200e6) // sends stop this long before they must: a process may be held up for 150 ms
	// So long after a loss sends go on, told or not: a discovery that answers nobody must not
	// end service.
	heldMost = 2 * NotifiedAfter
)

// unfollowed notes that discovery no longer keeps the list current, and by when that matters.
func (b *Balancer) unfollowed(kind ListKind) {
	var notified Time
	switch kind {
	case ListEnded:
		notified = NotifiedAfterEnd
	case ListSilent:
		notified = NotifiedAfter - SilentAfter
	case ListMoved:
		notified = NotifiedAfterMove
	case ListUnreachable:
		b.holdFrom = 0 // discovery is down: nothing is notified before it is back
		return
	default:
		return // two questions fit into the clock of the loss
	}
	if from := b.now + notified + b.set.DrainGrace - holdMargin; b.holdFrom == 0 || from < b.holdFrom {
		b.holdFrom, b.holdUntil = from, b.now+heldWithin(&b.set)
	}
}

// heldWithin is the time after a loss within which a discovery with the capacity that the
// settings give has answered a whole fleet: each may ask once in MaxWatchGap.
func heldWithin(set *Settings) Time { return min(set.MaxWatchGap, heldMost) }

// held says whether sends wait for a list.
func (b *Balancer) held() bool {
	return b.holdFrom > 0 && b.now >= b.holdFrom && b.now < b.holdUntil
}

// sendBy is until when an attempt that starts now may go out: within the window of a repeat,
// and before sends are held. 0: there is no such limit.
func (b *Balancer) sendBy(r *request) Time {
	by := b.repeatBy(&r.class.Class, r.first())
	if b.now < b.holdFrom && (by == 0 || b.holdFrom < by) {
		by = b.holdFrom
	}
	return by
}
