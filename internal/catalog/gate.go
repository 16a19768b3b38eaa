package catalog

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"lynxspool/internal/admit"
)

// headerHaveList says that a caller which wants the whole list has one to go on with.
const headerHaveList = "X-Catalog-Have"

// admissionController lets calls for lists in by an admit.Gate: it keeps the clock and the callers that
// wait.
type admissionController struct {
	opt   admit.Options
	start time.Time

	mu       sync.Mutex
	gate     *admit.Gate
	lastID   uint64
	verdicts map[uint64]chan admit.Verdict
	shed     int64 // calls turned away since the start
}

func newAdmissionController(opt admit.Options) *admissionController {
	return &admissionController{opt: opt, start: time.Now(), gate: admit.New(opt), verdicts: map[uint64]chan admit.Verdict{}}
}

// deliverVerdicts hands out verdicts; g.mu is held.
func (g *admissionController) deliverVerdicts(verdicts []admit.Verdict) {
	for _, v := range verdicts {
		if !v.Admit {
			g.shed++
		}
		g.verdicts[v.ID] <- v // it holds one, and each call has one
		delete(g.verdicts, v.ID)
	}
}

// acquire waits for a call to be let in. It returns false with the time to come back after,
// or with 0 if the caller has gone. A call that was let in ends with leave.
func (g *admissionController) acquire(ctx context.Context, class admit.Class) (retryAfter time.Duration, ok bool) {
	verdict := make(chan admit.Verdict, 1)
	g.mu.Lock()
	g.lastID++
	id := g.lastID
	g.verdicts[id] = verdict
	g.deliverVerdicts(g.gate.Arrive(time.Since(g.start), id, class))
	g.mu.Unlock()
	timer := time.NewTimer(g.opt.Wait)
	defer timer.Stop()
	for {
		select {
		case v := <-verdict:
			return v.After, v.Admit
		case <-timer.C:
			g.mu.Lock()
			g.deliverVerdicts(g.gate.Expire(time.Since(g.start)))
			g.mu.Unlock()
			timer.Reset(time.Millisecond) // should the clocks differ by a little
		case <-ctx.Done():
			g.mu.Lock()
			defer g.mu.Unlock()
			if g.gate.Leave(id) {
				delete(g.verdicts, id)
				return 0, false
			}
			v := <-verdict // it was told in the same moment
			return v.After, v.Admit
		}
	}
}

// release ends a call's work, begun at a time.
func (g *admissionController) release(admittedAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliverVerdicts(g.gate.Done(time.Since(g.start), time.Since(admittedAt)))
}

func (g *admissionController) counts() (inFlight, waiting int, shed int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Working(), g.gate.Waiting(), g.shed
}

// admissionClass says in which class a call for a list waits.
func (n *Node) admissionClass(r *http.Request, afterVersion uint64) admit.Class {
	switch {
	case afterVersion > 0 && n.store.CanResume(afterVersion):
		return admit.Resume
	case afterVersion > 0 || r.Header.Get(headerHaveList) != "":
		return admit.Whole
	}
	return admit.Empty
}

// writeUnavailable answers 503 with a time to come back after; 0 draws one, so that callers that
// are refused together do not return together.
func writeUnavailable(w http.ResponseWriter, reason string, retryAfter time.Duration) {
	if retryAfter <= 0 {
		retryAfter = time.Second/2 + rand.N(time.Second)
	}
	w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	http.Error(w, reason, http.StatusServiceUnavailable)
}
