package catalog

import (
	"context"
	"net/http"
	"sync"
	"time"

	"bramblelock/internal/admit"
)

// headerHaveList is set, to any value but "", by a caller that asks for the whole list but still has an
// older one to work with.
const headerHaveList = "X-Catalog-Have"

// admissionController limits concurrent list calls (fetches of the list and openings of watches).
// The decisions are those of an admit.Gate; the controller supplies the clock and blocks the
// waiting callers.
type admissionController struct {
	opt   admit.Options
	start time.Time // origin of the times passed to the gate

	mu        sync.Mutex
	gate      *admit.Gate
	lastID    uint64
	decisions map[uint64]chan admit.Decision // by call ID, for the calls without a decision
	shed      int64                          // calls rejected since the start of the process
}

func newAdmissionController(opt admit.Options) *admissionController {
	return &admissionController{opt: opt, start: time.Now(), gate: admit.New(opt), decisions: map[uint64]chan admit.Decision{}}
}

// deliverDecisions passes decisions to the calls that wait for them. The caller holds a.mu.
func (a *admissionController) deliverDecisions(decisions []admit.Decision) {
	for _, d := range decisions {
		if !d.Admitted {
			a.shed++
		}
		a.decisions[d.ID] <- d // never blocks: the channel has room for the single decision of the call
		delete(a.decisions, d.ID)
	}
}

// acquire blocks until a call is admitted or rejected. For a rejected call it returns false and the
// retry delay, which is 0 if ctx ended first. An admitted call must end with release.
func (a *admissionController) acquire(ctx context.Context, class admit.Class) (retryAfter time.Duration, ok bool) {
	decision := make(chan admit.Decision, 1)
	a.mu.Lock()
	a.lastID++
	id := a.lastID
	a.decisions[id] = decision
	a.deliverDecisions(a.gate.Arrive(time.Since(a.start), id, class))
	a.mu.Unlock()
	timer := time.NewTimer(a.opt.Wait)
	defer timer.Stop()
	for {
		select {
		case d := <-decision:
			return d.RetryAfter, d.Admitted
		case <-timer.C:
			a.mu.Lock()
			a.deliverDecisions(a.gate.Expire(time.Since(a.start)))
			a.mu.Unlock()
			timer.Reset(time.Millisecond) // retries if the timer fired slightly before the wait limit
		case <-ctx.Done():
			a.mu.Lock()
			defer a.mu.Unlock()
			if a.gate.Cancel(id) {
				delete(a.decisions, id)
				return 0, false
			}
			d := <-decision // the decision was delivered before the lock was taken
			return d.RetryAfter, d.Admitted
		}
	}
}

// release ends an admitted call. admittedAt is when the call was admitted.
func (a *admissionController) release(admittedAt time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deliverDecisions(a.gate.Done(time.Since(a.start), time.Since(admittedAt)))
}

// counts returns the calls in flight, the waiting calls, and the calls rejected since the start of
// the process.
func (a *admissionController) counts() (inFlight, waiting int, shed int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.gate.InFlight(), a.gate.Waiting(), a.shed
}

// admissionClass returns the priority class of a list call for the versions after afterVersion.
func (n *Node) admissionClass(r *http.Request, afterVersion uint64) admit.Class {
	switch {
	case afterVersion > 0 && n.store.CanResume(afterVersion):
		return admit.Resume
	case afterVersion > 0 || r.Header.Get(headerHaveList) != "":
		return admit.FullList
	}
	return admit.NoList
}
