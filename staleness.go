package bramblelock

// How long an instance may use a host list that discovery no longer keeps current. A change of the
// list that a lost watch did not deliver counts as notified after a fixed time, whether or not it has
// arrived: from then on, operators hold the gateway to it (see NotifiedAfter), and sends to a draining
// or removed host must stop within DrainGrace. Discovery may take longer to answer a whole fleet in
// turn. An instance that it has not answered by then cannot know which hosts drain, and a draining
// host answers as usual, so its answers do not show it either. Such an instance holds its sends: it
// sends nothing until discovery gives it a list, or until holdEndAfterLoss has passed since the loss.

import "time"

const (
	// NotifiedAfterEnd is the time after which a change counts as notified that a watch did not
	// deliver before discovery closed it without an error. It starts at the end of the watch.
	NotifiedAfterEnd = 2 * time.Second
	// NotifiedAfterMove is the time after which a change counts as notified that discovery has at a
	// new address. It starts when the gateway reports the new address (ListMoved).
	NotifiedAfterMove = 4 * time.Second

	// holdMargin is how long before the end of DrainGrace sends stop: a process may stall for 150 ms.
	holdMargin = 200 * time.Millisecond
	// maxHoldEnd is the latest end of a hold, counted from the loss. Sends then resume with or
	// without a list: a discovery that answers nobody must not end service.
	maxHoldEnd = 2 * NotifiedAfter
)

// sendHold is the time in which sends are held.
type sendHold struct {
	holdFrom  Time // time from which nothing is sent until discovery gives a list; 0: sends are not held
	holdUntil Time // time at which sends resume even without a list
}

// scheduleHold sets the times from which and until which sends are held after a loss of discovery. Of
// two losses, the one whose hold starts earlier sets both times.
func (b *Balancer) scheduleHold(kind ListKind) {
	var notified Time
	holdEnd := holdEndAfterLoss(&b.settings)
	switch kind {
	case ListEnded:
		notified = NotifiedAfterEnd
	case ListSilent:
		notified = NotifiedAfter - SilentAfter // the silence has lasted SilentAfter already
	case ListMoved:
		notified = NotifiedAfterMove
	case ListUnreachable:
		// Discovery is down. A change counts as notified only NotifiedAfter after discovery can be
		// reached again, so there is no time yet by which sends must stop.
		b.holdFrom = 0
		return
	default:
		if !b.everReceived {
			return // nothing counts as notified before the first list
		}
		// The watch broke, or discovery refused or dropped a call. It can be reached, so its changes count
		// as notified, however many calls fail.
		notified, holdEnd = NotifiedAfter, maxHoldEnd
	}
	if holdFrom := b.now + notified + b.settings.DrainGrace - holdMargin; b.holdFrom == 0 ||
		holdFrom < b.holdFrom {
		b.holdFrom, b.holdUntil = holdFrom, b.now+holdEnd
	}
}

// holdEndAfterLoss is the time from the loss of a watch to the end of the hold that follows it.
// MaxWatchGap shows the capacity of discovery: each instance may call once in that time, so discovery is
// expected to answer a whole fleet within it.
func holdEndAfterLoss(set *Settings) Time { return min(set.MaxWatchGap, maxHoldEnd) }

// holding reports whether sends are held until a list arrives.
func (b *Balancer) holding() bool {
	return b.holdFrom > 0 && b.now >= b.holdFrom && b.now < b.holdUntil
}

// heldBy reports whether sends are held at the given time unless a list arrives before.
func (b *Balancer) heldBy(at Time) bool {
	return b.holdFrom > 0 && at >= b.holdFrom && b.now < b.holdUntil
}

// sendDeadline is the time until which an attempt that starts now may be written: within the
// DedupWindow of a deduplicated request, and before sends are held. 0 means no limit.
func (b *Balancer) sendDeadline(r *request) Time {
	writeBy := b.repeatDeadline(&r.class.Class, r.firstMayHaveRun())
	if b.now < b.holdFrom && (writeBy == 0 || b.holdFrom < writeBy) {
		writeBy = b.holdFrom
	}
	return writeBy
}
