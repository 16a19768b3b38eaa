package bramblelock

// Queues of requests for which no host is ready, by priority, and how long a request may wait there.

import (
	"cmp"
	"slices"
)

const (
	retryFactor = 0.5 // priority factor of a client's retry: it may be answered too late
	queueShare  = 0.2 // longest wait in a queue, in class targets
)

// requestQueues is the state of the queues.
type requestQueues struct {
	queues         []*queue // in the order in which they are served
	queued         int      // requests in all queues
	retiredClasses []*class // classes that only former settings have, with open requests; the oldest first
}

// queue is a queue of the requests of one class that have the same queue flags.
type queue struct {
	list[request]
	class    *class
	priority float64
	position int // index in requestQueues.queues
}

// queue returns the queue in which the request waits whenever no host is ready.
func (r *request) queue() *queue { return &r.class.queues[r.flags] }

// orderQueues puts the queues in order by priority: each class has one for requests within quota and
// one for those beyond it, and two more for client retries. Of equal priorities, the class with the
// shorter latency target is served first. Retired classes are served as the others: their open requests
// may have to be queued whenever an attempt fails.
func (b *Balancer) orderQueues() {
	b.queues = nil // a caller may be going through the former ones
	for _, c := range slices.Concat(b.retiredClasses, b.classes) {
		for flags := range c.queues {
			q := &c.queues[flags]
			q.class = c
			q.priority = queuePriority(&c.Class, flags, &b.settings)
			b.queues = append(b.queues, q)
		}
	}
	slices.SortStableFunc(b.queues, compareQueues)
	for i, q := range b.queues {
		q.position = i
	}
}

// compareQueues is negative if a is served before b.
func compareQueues(a, b *queue) int {
	return cmp.Or(
		cmp.Compare(b.priority, a.priority),
		cmp.Compare(a.class.LatencyTarget, b.class.LatencyTarget),
	)
}

// dropIfEnded drops the queues of a class that is retired and whose last request has ended.
func (b *Balancer) dropIfEnded(c *class) {
	if i := slices.Index(b.retiredClasses, c); i >= 0 && c.openRequests == 0 {
		b.retiredClasses = slices.Delete(b.retiredClasses, i, i+1)
		b.orderQueues()
	}
}

// queuePriority is the priority of the requests of a class with the given queue flags.
func queuePriority(c *Class, flags int, set *Settings) float64 {
	priority := c.PriorityWeight
	if flags&overQuota != 0 {
		priority *= set.OverQuotaFactor
	}
	if flags&clientRetry != 0 {
		priority *= retryFactor
	}
	return priority
}

// Queue flags: each combination has a queue of its own in a class.
const (
	overQuota   = 1 << iota // beyond the tenant's quota
	clientRetry             // the client marked the request as a retry
)

// queueFlags returns the queue flags of a request and charges the quota of its tenant, which may be nil.
func (b *Balancer) queueFlags(r *request, quota *quota) (flags int) {
	if quota != nil && !quota.take(b.now) {
		flags |= overQuota
	}
	if r.ClientRetry {
		flags |= clientRetry
	}
	return flags
}

// enqueue queues a request, a retry at the front. It waits for a small share of its latency target: a
// client that is refused early may still be served in time elsewhere or later, and a request that is
// sent has the rest of its target left.
func (b *Balancer) enqueue(r *request, atFront bool) {
	r.expires = r.arrived + Time(queueShare*float64(r.class.LatencyTarget))
	b.pushQueued(r, atFront)
	b.scheduleSweep()
}

// processQueues answers requests that have waited too long and sends others as far as hosts are ready,
// in order of priority.
func (b *Balancer) processQueues() {
	b.refuseExpired()
	for _, q := range b.queues {
		if noneReady := b.serveQueue(q); noneReady {
			break
		}
	}
	b.scheduleSweep()
}

// refuseExpired answers requests that have waited too long.
func (b *Balancer) refuseExpired() {
	for _, q := range b.queues {
		for n := q.head; n != nil && b.now >= n.item.expires; n = q.head {
			b.log(logRequestRefused, "refusing: hosts are full, %d requests wait", b.queued)
			b.answerUnserved(n.item, QueueTimeout)
		}
	}
}

// serveQueue sends the requests of a queue. A retry that is bound to its DedupScope does not block those
// behind it. It reports whether no host is ready for a request without an attempt that may have run.
func (b *Balancer) serveQueue(q *queue) (noneReady bool) {
	for n := q.head; n != nil; {
		r, next := n.item, n.next
		if h := b.pick(r); h != nil {
			b.dequeue(r)
			b.send(r, h)
		} else if r.firstMayHaveRun() == nil {
			return true
		}
		n = next
	}
	return false
}

// pushQueued adds a request to its queue.
func (b *Balancer) pushQueued(r *request, atFront bool) {
	r.queued, r.node.item = true, r
	b.queued++
	if atFront {
		r.queue().pushFront(&r.node)
	} else {
		r.queue().pushBack(&r.node)
	}
}

func (b *Balancer) dequeue(r *request) {
	if r.queued {
		r.queue().remove(&r.node)
		r.queued = false
		b.queued--
	}
}
