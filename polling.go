package bramblelock

// When to call discovery for the host list: a fleet that starts, or loses discovery, at once must
// not overload it with calls, but each instance must get changes before they count as notified.

import "time"

const (
	// NotifiedAfter is the time after which a change of the host list counts as notified, from when
	// discovery has it and can be reached. Operators hold a gateway to a change from then on, whether
	// or not it has arrived: sends to a draining or removed host must stop within DrainGrace of then.
	NotifiedAfter = 6 * time.Second
	// SilentAfter is the silence after which a call or a watch has failed. An open watch brings a
	// line every 2 s.
	SilentAfter = NotifiedAfter / 2
	// MaxWatchBackoff is the longest wait for the next call, whatever Instances and MaxWatchGap are.
	MaxWatchBackoff = NotifiedAfter / 2

	// A fleet whose watches discovery closed without an error calls again within maxResumeSpread, as
	// a change that such a watch did not deliver counts as notified after 2 s (NotifiedAfterEnd). A
	// watch that was open for less than minResumeWatch does not resume in this way, as it may end
	// each time.
	maxResumeSpread = 500 * time.Millisecond
	minResumeWatch  = 500 * time.Millisecond

	// firstCallGap is the time between the first calls of two ranks: 1.8 s for a fleet of 300.
	firstCallGap = 6 * time.Millisecond
	// fleetCallGap is the time between calls of the fleet while discovery fails: 100 a second.
	fleetCallGap = 10 * time.Millisecond
	// retryCallGap is the least gap of an instance while discovery's address is unreachable, or while
	// sends are held.
	retryCallGap = 500 * time.Millisecond

	firstCallShare  = 0.25     // share of MaxWatchGap within which all first calls are made
	minBackoffShare = 1.0 / 16 // first backoff in a small fleet, in MaxWatchGaps
	maxBackoffShare = 0.25     // longest backoff in a small fleet, after doublings, in MaxWatchGaps
)

// listWatch is the state of the watch of the host list.
type listWatch struct {
	watching      bool // a watch of the host list is open
	watchAt       Time // time of the next call to discovery
	watchFails    int  // calls to discovery that failed in a row
	watchingSince Time // start of the open watch: discovery has kept the list current since then
	everReceived  bool // discovery has given or confirmed a list since the start
}

// firstCallDelay is the time from the start of an instance to its first call; a single instance does
// not wait.
func firstCallDelay(set *Settings) Time {
	spread := min(firstCallGap*Time(set.Instances), Time(firstCallShare*float64(set.MaxWatchGap)))
	return spread * Time(set.Rank) / Time(set.Instances)
}

// resumeDelay is the time from the end of a watch to the next call: as short as it can be without all
// instances of the fleet calling at the same moment. The queue of discovery then has each instance
// once, and the last is notified as soon as discovery can serve all, which no other order improves.
func resumeDelay(set *Settings) Time {
	spread := min(firstCallGap*Time(set.Instances), maxResumeSpread)
	return spread * Time(set.Rank) / Time(set.Instances)
}

// NextWatchCall is the time of an instance's next call after its calls have failed the given number of
// times in a row: in its rank's slot of a period that gives the whole fleet one call per fleetCallGap.
// With fixed slots no two ranks collide, and each instance calls within one period of the return of
// discovery. The period is at most MaxWatchBackoff, and at most MaxWatchGap, as a list must not get
// older without a call. jitter, from 0 to 1, is the position in the slot; listed says that there are
// hosts to send to.
func NextWatchCall(set *Settings, now Time, fails int, listed bool, jitter float64) Time {
	maxGap, n := set.MaxWatchGap, Time(set.Instances)
	backoff := Time(min(minBackoffShare*float64(int(1)<<min(fails, 3)), maxBackoffShare) * float64(maxGap))
	backoff = min(backoff, MaxWatchBackoff*n/(n+1)) // a wait may exceed a period by a slot
	period := min(max(fleetCallGap*n, backoff), maxGap, MaxWatchBackoff)
	gap := period / 2
	if listed { // two calls fit into NotifiedAfter: only the slot of the last call is skipped
		gap = period / max(n, 2)
	}
	if fails == 0 { // a watch broke: no call was just made
		gap = backoff / 2
	}
	return nextSlot(set, now, gap, period, jitter)
}

// nextSlot is the next time in the slot of an instance's rank, in a period of the whole fleet, that is
// at least gap after now.
func nextSlot(set *Settings, now, gap, period Time, jitter float64) Time {
	next := now - now%period + Time((float64(set.Rank)+jitter)/float64(set.Instances)*float64(period))
	for next < now+gap {
		next += period
	}
	return next
}

// nextRetryCall is the time of the next call of an instance that could not connect to discovery's
// address, or that sends nothing until it has a list. Calls to an unreachable address delay no call of
// another instance, and discovery may be back only for a moment: changes that it has then count as
// notified NotifiedAfter later. So only fleetCallGap between the calls of the whole fleet, and retryCallGap
// between those of one instance, are kept.
func nextRetryCall(set *Settings, now Time, jitter float64) Time {
	period := min(max(fleetCallGap*Time(set.Instances), retryCallGap), set.MaxWatchGap, MaxWatchBackoff)
	return nextSlot(set, now, period/2, period, jitter)
}

// scheduleWatch calls discovery after the delay d.
func (b *Balancer) scheduleWatch(d Time) {
	b.watchAt = b.now + d
	b.wake(b.watchAt, tokenWatch<<tokenShift)
}

// handleListLoss schedules a new call: soon after a watch that discovery closed without an error, and
// else in the slot of this instance's rank. The last list stays in use.
func (b *Balancer) handleListLoss(kind ListKind) {
	if b.settings.WatchHosts {
		b.scheduleHold(kind)
	}
	if kind == ListSilent || kind == ListMoved {
		return // the gateway has called again by itself
	}
	resumes := kind == ListEnded && b.watching && b.now-b.watchingSince >= minResumeWatch
	if b.watching || b.watchFails == 0 {
		b.log(logListLost, "host list lost, asking again")
	}
	fails := max(b.watchFails, 1)
	if b.watching {
		fails = 0 // a watch broke; after a failed call the fleet keeps to fleetCallGap
	}
	b.watching = false
	if b.settings.WatchHosts {
		b.watchFails++
		if resumes {
			b.scheduleWatch(resumeDelay(&b.settings))
			return
		}
		next := NextWatchCall(&b.settings, b.now, fails, len(b.hosts) > 0, b.randFloat())
		if kind == ListUnreachable || b.heldBy(next) {
			next = min(next, nextRetryCall(&b.settings, b.now, b.randFloat()))
		}
		b.scheduleWatch(next - b.now)
	}
}

// handleListReceived records that a watch is open and the list current, which ends a hold of sends.
func (b *Balancer) handleListReceived() {
	if b.watchFails > 0 {
		b.log(logListRegained, "host list regained")
	}
	if !b.watching {
		b.watchingSince = b.now
	}
	b.watching, b.everReceived = true, true
	b.watchFails, b.holdFrom = 0, 0
}
