package bramblelock

// How long an instance may send by a host list that discovery no longer keeps current. A change
// that a lost watch held back counts as notified after a fixed time, whether or not it arrived,
// and sends to a draining host have to stop DrainGrace after that. Discovery may take longer to
// answer a whole fleet in turn. An instance that it has not answered by then cannot know which
// hosts drain, and a draining host answers as usual, so its answers do not show it either: the
// instance sends nothing until it gets a list, but for no longer than holdLimit after the loss.

const (
	// NotifiedAfterEnd is the time after which a change held back by a watch that ended in order
	// counts as notified.
	NotifiedAfterEnd = Time(2e9)
	// NotifiedAfterMove is the same for a change known at the address that discovery moved to.
	NotifiedAfterMove = Time(4e9)

	holdMargin = Time(200e6) // sends stop this long before they must: a process may stall for 150 ms
	// Sends resume at the latest this long after a loss, with or without a list: a discovery that
	// answers nobody must not end service.
	maxHoldDelay = 2 * NotifiedAfter
)

// scheduleHold notes that discovery no longer keeps the list current, and from when sends are held for
// that.
func (b *Balancer) scheduleHold(kind ListKind) {
	var notified Time
	switch kind {
	case ListEnded:
		notified = NotifiedAfterEnd
	case ListSilent:
		notified = NotifiedAfter - SilentAfter
	case ListMoved:
		notified = NotifiedAfterMove
	case ListUnreachable:
		b.holdFrom = 0 // discovery is down: changes count as notified only after it is back
		return
	default:
		return // two calls fit into the notification time after such a loss
	}
	if holdFrom := b.now + notified + b.settings.DrainGrace - holdMargin; b.holdFrom == 0 ||
		holdFrom < b.holdFrom {
		b.holdFrom, b.holdUntil = holdFrom, b.now+holdLimit(&b.settings)
	}
}

// holdLimit is the time after a loss within which a discovery with the capacity given by the settings
// has answered a whole fleet: each instance may call once in MaxWatchGap.
func holdLimit(set *Settings) Time { return min(set.MaxWatchGap, maxHoldDelay) }

// holding reports whether sends are held until a list arrives.
func (b *Balancer) holding() bool {
	return b.holdFrom > 0 && b.now >= b.holdFrom && b.now < b.holdUntil
}

// sendDeadline is the time until which an attempt that starts now may be written: within the window of
// a deduplicated request, and before sends are held. 0 means no limit.
func (b *Balancer) sendDeadline(r *request) Time {
	writeBy := b.repeatDeadline(&r.class.Class, r.firstMayHaveRun())
	if b.now < b.holdFrom && (writeBy == 0 || b.holdFrom < writeBy) {
		writeBy = b.holdFrom
	}
	return writeBy
}
