package bramblelock

// Client requests and their attempts.

// requestTable is the open requests and the pools of released ones.
type requestTable struct {
	requests     map[RequestID]*request
	freeRequests []*request // released requests, for reuse
	freeAttempts []*attempt // attempts of released requests, for reuse
}

// request is a client request with its attempts. It is kept until it has its answer and all its
// attempts have ended.
type request struct {
	Request
	class         *class
	flags         int // queue flags
	maxAttempts   int
	arrived       Time // time at which its last byte arrived
	deadline      Time // time until which the client waits
	expires       Time // while queued: time at which it has waited too long and is answered unserved
	inFlight      int  // attempts in flight
	done          bool // it has its answer or needs none
	unserved      bool // it was answered for want of time or hosts
	attemptLost   bool // an attempt was canceled as its host had lost it
	streaming     bool // a response is being streamed: no other attempt may answer
	notReplayable bool // it cannot be sent again
	queued        bool
	node          node[request] // node in the list of its queue
	attempts      []*attempt
}

// attempt is one sending of a request to a host.
type attempt struct {
	request *request
	host    *host
	sent    Time // time of sending, or at which the upload was complete
	ended   bool
	result  Result
	trial   bool          // it was sent to an ejected host to see whether it answers
	alone   bool          // this instance had no other pending attempt at the host
	pending bool          // the attempt is in the host's pendingList
	node    node[attempt] // node in the host's pendingList
	answer  attemptAnswer
	expired bool // it has been observed as timed out, before its end
}

func (b *Balancer) newRequest() *request {
	n := len(b.freeRequests)
	if n == 0 {
		return &request{}
	}
	r := b.freeRequests[n-1]
	b.freeRequests = b.freeRequests[:n-1]
	*r = request{attempts: r.attempts[:0]}
	return r
}

func (b *Balancer) newAttempt() *attempt {
	n := len(b.freeAttempts)
	if n == 0 {
		return &attempt{}
	}
	a := b.freeAttempts[n-1]
	b.freeAttempts = b.freeAttempts[:n-1]
	*a = attempt{}
	return a
}

// firstMayHaveRun is the earliest attempt that may have run or has not ended, or nil.
func (r *request) firstMayHaveRun() *attempt {
	for _, a := range r.attempts {
		if !a.ended || a.result.mayHaveRun() {
			return a
		}
	}
	return nil
}

// rejected reports whether a host found the request itself at fault: other hosts would too.
func (r *request) rejected() bool {
	return len(r.attempts) > 0 && r.attempts[len(r.attempts)-1].result == Rejected
}

// mayHaveRun reports whether an attempt that ended with this result may have run.
func (r Result) mayHaveRun() bool { return !r.ProvesNotRun() }

// addPending adds an attempt to those that its host has yet to answer: they are the load of the host,
// and their times enter its statistics. An attempt whose request is still being uploaded, or whose
// response has begun, is not among them: its time depends on the client, and it is no load at the
// host.
func (b *Balancer) addPending(a *attempt) {
	a.node.item, a.pending = a, true
	a.host.pendingList.pushBack(&a.node)
	if a.host.pending == 0 {
		a.host.busyIndex = len(b.busyHosts)
		b.busyHosts = append(b.busyHosts, a.host)
	}
	a.host.pending++
	b.inFlight++
}

// removePending undoes addPending.
func (b *Balancer) removePending(a *attempt) {
	if a.pending {
		a.pending = false
		a.host.pendingList.remove(&a.node)
		a.host.pending--
		if a.host.pending == 0 {
			b.removeBusy(a.host)
		}
	}
}

// removeBusy removes a host from busyHosts. The last one takes its place.
func (b *Balancer) removeBusy(h *host) {
	last := b.busyHosts[len(b.busyHosts)-1]
	b.busyHosts[h.busyIndex] = last
	last.busyIndex = h.busyIndex
	b.busyHosts = b.busyHosts[:len(b.busyHosts)-1]
}

// cancelAttempts cancels the attempts in flight of the request, but for attempt number except.
func (b *Balancer) cancelAttempts(r *request, except int, why Reason) {
	for i, a := range r.attempts {
		if i != except && !a.ended && b.settings.CancelAllowed {
			b.emit(Action{Kind: Cancel, Request: r.ID, Attempt: i, Why: why})
		}
	}
}

// finish closes a request that has its answer or needs none, and cancels its attempts in flight for the
// reason why.
func (b *Balancer) finish(r *request, why Reason) {
	if r.done {
		return
	}
	r.done = true
	b.dequeue(r)
	b.cancelAttempts(r, -1, why)
	b.release(r)
}

// release drops a finished request once its last attempt has ended.
func (b *Balancer) release(r *request) {
	if !r.done || r.inFlight > 0 {
		return
	}
	delete(b.requests, r.ID)
	r.class.openRequests--
	b.dropIfEnded(r.class)
	b.freeAttempts = append(b.freeAttempts, r.attempts...)
	b.freeRequests = append(b.freeRequests, r)
}
