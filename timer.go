package bramblelock

// Timers: the balancer asks for them by Wake actions, whose token says what is due.

const sweepShare = 1.0 / 16 // time between sweeps of queues and hosts, in shortest targets

// Kinds of timer token.
const (
	tokenSweep    = iota + 1 // check queues and hosts
	tokenWatch               // call discovery
	tokenDeadline            // answer a request that nears its deadline
)

const tokenShift = 56 // bits of a token below its kind, which can contain a request ID

// sweepTimer is the state of the regular check of queues and hosts.
type sweepTimer struct {
	sweepAt  Time // time of the next sweep; 0: none is scheduled
	inFlight int  // pending attempts at the last sweep and those added since

	sweptHosts []*host // scratch space of checkSilence
}

// Timer reports that the time of a Wake action has come.
func (b *Balancer) Timer(now Time, token uint64) {
	b.now = now
	switch token >> tokenShift {
	case tokenSweep:
		if now >= b.sweepAt {
			b.sweepAt = 0
			b.checkSilence()
			b.processQueues()
		}
	case tokenWatch:
		if now >= b.watchAt && !b.watching {
			b.emit(Action{Kind: Watch})
			b.scheduleWatch(b.settings.MaxWatchGap)
		}
	case tokenDeadline:
		r := b.requests[RequestID(token&(1<<tokenShift-1))]
		switch {
		case r == nil || r.done:
		case r.streaming:
			b.expirePendingBody(r)
		default:
			b.answerUnserved(r, DeadlineNear)
		}
	}
}

// wake emits a Wake action.
func (b *Balancer) wake(at Time, token uint64) {
	b.emit(Action{Kind: Wake, At: at, Token: token})
}

// setDeadlineTimer sets the timer that every request has ahead of its deadline: the outcome of an
// attempt that is still connecting then would come too late to answer on. A request that arrived too
// late to be sent is answered at once.
func (b *Balancer) setDeadlineTimer(r *request) {
	b.wake(max(b.now, r.deadline-b.settings.AnswerLead()),
		tokenDeadline<<tokenShift|uint64(r.ID))
	if b.now+b.settings.AnswerLead() >= r.deadline {
		b.answerUnserved(r, DeadlineNear)
	}
}

// scheduleSweep schedules the next check of queued requests and pending attempts, if there are any.
func (b *Balancer) scheduleSweep() {
	if b.sweepAt == 0 && (b.queued > 0 || b.inFlight > 0) {
		b.sweepAt = b.now + max(b.settings.EventInterval, Time(float64(b.shortestTarget)*sweepShare))
		b.wake(b.sweepAt, tokenSweep<<tokenShift)
	}
}

// seconds is a number of seconds as a Time.
func seconds(s float64) Time { return Time(1e9 * s) }
