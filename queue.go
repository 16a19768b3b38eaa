package bramblelock

// Queues of requests for which no host is ready, by priority, and how long a request may wait there.

import "sort"

const (
	retryFactor = 0.5 // priority factor of a client's retry: it may be answered too late
	queueShare  = 0.2 // longest wait in a queue, in class targets
)

// requestQueues is the state of the queues.
type requestQueues struct {
	queues     []list[request] // queued requests, by falling priority
	priorities []float64       // priorities of the queues
	queued     int             // requests in all queues
}

// orderQueues lays out the queues by priority: each class has one for requests within quota and one
// for those beyond it, and two more for client retries. Of equal priorities, the class with the
// shorter latency target is served first.
func (b *Balancer) orderQueues() {
	type queueKey struct {
		class    *class
		flags    int
		priority float64
	}
	var keys []queueKey
	for _, c := range b.classes {
		for flags := range len(c.queues) {
			keys = append(keys, queueKey{c, flags, queuePriority(&c.Class, flags, &b.settings)})
		}
	}
	sort.SliceStable(keys, func(i, j int) bool {
		if keys[i].priority != keys[j].priority {
			return keys[i].priority > keys[j].priority
		}
		return keys[i].class.LatencyTarget < keys[j].class.LatencyTarget
	})
	b.queues, b.priorities = make([]list[request], len(keys)), b.priorities[:0]
	for k, key := range keys {
		key.class.queues[key.flags] = k
		b.priorities = append(b.priorities, key.priority)
	}
}

// queueFor returns the first queue whose priority is not higher, or the last queue.
func (b *Balancer) queueFor(priority float64) int {
	return min(sort.Search(len(b.priorities), func(i int) bool { return b.priorities[i] <= priority }),
		len(b.priorities)-1)
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

// queueFlags returns the queue flags of a request and charges the quota of its tenant.
func (b *Balancer) queueFlags(r *request) (flags int) {
	if r.Tenant >= 0 && r.Tenant < len(b.quotas) && !b.quotas[r.Tenant].take(b.now) {
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
	for i := range b.queues {
		if noneReady := b.serveQueue(&b.queues[i]); noneReady {
			break
		}
	}
	b.scheduleSweep()
}

// refuseExpired answers requests that have waited too long.
func (b *Balancer) refuseExpired() {
	for i := range b.queues {
		for n := b.queues[i].head; n != nil && b.now >= n.item.expires; n = b.queues[i].head {
			b.log(logRequestRefused, "refusing: hosts are full, %d requests wait", b.queued)
			b.answerUnserved(n.item)
		}
	}
}

// serveQueue sends the requests of a queue. A retry that is bound to its DedupScope does not block those
// behind it. It reports whether no host is ready for a request without an attempt that may have run.
func (b *Balancer) serveQueue(queue *list[request]) (noneReady bool) {
	for n := queue.head; n != nil; {
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
		b.queues[r.queueIndex].pushFront(&r.node)
	} else {
		b.queues[r.queueIndex].pushBack(&r.node)
	}
}

func (b *Balancer) dequeue(r *request) {
	if r.queued {
		b.queues[r.queueIndex].remove(&r.node)
		r.queued = false
		b.queued--
	}
}
