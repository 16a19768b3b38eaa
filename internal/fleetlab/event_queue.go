package fleetlab

// event is a function that runs at a time. Events of the same time run in the order in which they were
// scheduled.
type event struct {
	at  Time
	seq uint64
	run func()
}

// eventQueue is a binary heap of events, ordered by time.
type eventQueue []event

func (q eventQueue) less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}

func (q *eventQueue) push(e event) {
	*q = append(*q, e)
	for i := len(*q) - 1; i > 0; {
		parent := (i - 1) / 2
		if !q.less(i, parent) {
			return
		}
		(*q)[i], (*q)[parent] = (*q)[parent], (*q)[i]
		i = parent
	}
}

func (q *eventQueue) pop() event {
	old := *q
	top, last := old[0], len(old)-1
	old[0], old[last] = old[last], event{}
	*q = old[:last]
	for i := 0; ; {
		least := i
		for _, child := range [2]int{2*i + 1, 2*i + 2} {
			if child < last && q.less(child, least) {
				least = child
			}
		}
		if least == i {
			return top
		}
		(*q)[i], (*q)[least] = (*q)[least], (*q)[i]
		i = least
	}
}
