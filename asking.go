package lynxspool

// When discovery is asked for the list: a bank that starts, or loses discovery, together
// must not swamp it with calls, and yet hear of each change by the clock of notifications.

const (
	// NotifiedAfter counts from when discovery had a change and could be reached: it is notified then.
	NotifiedAfter   = Time(6e9)
	SilentAfter     = NotifiedAfter / 2 // a call, or a watch (a line is due every 2 s), failed
	MaxWatchBackoff = NotifiedAfter / 2 // longest wait for the next call, for any MaxWatchGap

	resumeMost  = Time(500e6) // all of a fleet whose watches ended ask anew within it: its clock is 2 s
	resumeLeast = Time(500e6) // ... unless the watch was open for less: it may end each time

	firstGap   = Time(6e6)   // between the first calls of two ranks: a bank of 300 is done in 1.8 s
	firstMost  = 0.25        // ... but all of them come within this share of MaxWatchGap
	askGap     = Time(10e6)  // between two calls of the whole bank while discovery fails: 100 a second
	askUnheard = Time(500e6) // ... and at least between two of one instance while nobody is at the address
	askLeast   = 1.0 / 16    // time between two calls of one instance, in MaxWatchGaps: the first,
	askSteady  = 0.25        // ... and after that, growing by doublings, for a small bank
)

// firstCall is how long after its start an instance asks first; one alone does not wait.
func firstCall(set *Settings) Time {
	all := min(firstGap*Time(set.Instances), Time(firstMost*float64(set.MaxWatchGap)))
	return all * Time(set.Rank) / Time(set.Instances)
}

// resumeCall is how long after its watch ended an instance asks anew: as soon as a fleet can
// without calling in one moment. Discovery's queue then holds each once, and the last is told
// as soon as discovery can serve all, which no other order improves.
func resumeCall(set *Settings) Time {
	all := min(firstGap*Time(set.Instances), resumeMost)
	return all * Time(set.Rank) / Time(set.Instances)
}

// NextWatchCall is when an instance asks next after its calls have failed so many times in a
// row: in its rank's slot of a period that gives the whole bank askGap a call. A slot on
// the clock needs no luck: no two ranks meet, and each asks within one period of the
// return. The period is at most MaxWatchGap, as a list may not be older unasked, and
// MaxWatchBackoff.
// jitter, from 0 to 1, is the place in the slot; listed says that there are hosts to send to.
func NextWatchCall(set *Settings, now Time, fails int, listed bool, jitter float64) Time {
	within, n := set.MaxWatchGap, Time(set.Instances)
	least := Time(min(askLeast*float64(int(1)<<min(fails, 3)), askSteady) * float64(within))
	least = min(least, MaxWatchBackoff*n/(n+1)) // a wait may be longer than a period by a slot
	period := min(max(askGap*n, least), within, MaxWatchBackoff)
	gap := period / 2
	if listed { // two calls fit into the clock of notifications: just the last call's slot is passed over
		gap = period / max(n, 2)
	}
	if fails == 0 { // nothing was asked just now
		gap = least / 2
	}
	return slotAfter(set, now, gap, period, jitter)
}

// slotAfter is the slot of an instance's rank in a period of the whole bank, gap from now at least.
func slotAfter(set *Settings, now, gap, period Time, jitter float64) Time {
	next := now - now%period + Time((float64(set.Rank)+jitter)/float64(set.Instances)*float64(period))
	for next < now+gap {
		next += period
	}
	return next
}

// askUnheardAgain is when an instance asks next that found nobody at discovery's address. Such calls
// cost nobody a turn, and discovery may be back for a moment only: whatever it has then counts as notified
// NotifiedAfter later. So only askGap between the calls of the whole bank is kept.
func askUnheardAgain(set *Settings, now Time, jitter float64) Time {
	period := min(max(askGap*Time(set.Instances), askUnheard), set.MaxWatchGap, MaxWatchBackoff)
	return slotAfter(set, now, period/2, period, jitter)
}

// watchIn asks discovery for changes after d.
func (b *Balancer) watchIn(d Time) {
	b.watchAt = b.now + d
	b.wake(b.watchAt, tokenWatch<<tokenShift)
}

// lostList asks again, at once after a watch that ended and else in this rank's slot; the old
// list stands.
func (b *Balancer) lostList(kind ListKind) {
	if b.set.WatchHosts {
		b.unfollowed(kind)
	}
	if kind == ListSilent || kind == ListMoved {
		return // the gateway has asked anew
	}
	resumes := kind == ListEnded && b.watching && b.now-b.watchedAt >= resumeLeast
	if b.watching || b.watchFails == 0 {
		b.log(logLost, "host list lost, asking again")
	}
	fails := max(b.watchFails, 1)
	if b.watching {
		fails = 0 // a watch broke; else a call failed, and the bank keeps to askGap
	}
	b.watching = false
	if b.set.WatchHosts {
		b.watchFails++
		if resumes {
			b.watchIn(resumeCall(&b.set))
			return
		}
		next := NextWatchCall(&b.set, b.now, fails, len(b.hosts) > 0, b.float())
		if kind == ListUnreachable {
			next = min(next, askUnheardAgain(&b.set, b.now, b.float()))
		}
		b.watchIn(next - b.now)
	}
}

func (b *Balancer) foundList() {
	if b.watchFails > 0 {
		b.log(logFound, "host list regained")
	}
	if !b.watching {
		b.watchedAt = b.now
	}
	b.watching, b.watchFails, b.holdFrom = true, 0, 0
}
