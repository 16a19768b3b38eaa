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

// headHave says that a caller which wants the whole list has one to go on with.
const headHave = "X-Catalog-Have"

// gate lets calls for lists in by an admit.Gate: it keeps the clock and the callers that
// wait.
type gate struct {
	opt   admit.Options
	start time.Time

	mu    sync.Mutex
	g     *admit.Gate
	next  uint64
	waits map[uint64]chan admit.Verdict
	shed  int64 // calls turned away since the start
}

func newGate(opt admit.Options) *gate {
	return &gate{opt: opt, start: time.Now(), g: admit.New(opt), waits: map[uint64]chan admit.Verdict{}}
}

// tell hands out verdicts; g.mu is held.
func (g *gate) tell(due []admit.Verdict) {
	for _, v := range due {
		if !v.Admit {
			g.shed++
		}
		g.waits[v.ID] <- v // it holds one, and each call has one
		delete(g.waits, v.ID)
	}
}

// enter waits for a call to be let in. It returns false with the time to come back after,
// or with 0 if the caller has gone. A call that was let in ends with leave.
func (g *gate) enter(ctx context.Context, class admit.Class) (after time.Duration, ok bool) {
	verdict := make(chan admit.Verdict, 1)
	g.mu.Lock()
	g.next++
	id := g.next
	g.waits[id] = verdict
	g.tell(g.g.Arrive(time.Since(g.start), id, class))
	g.mu.Unlock()
	timer := time.NewTimer(g.opt.Wait)
	defer timer.Stop()
	for {
		select {
		case v := <-verdict:
			return v.After, v.Admit
		case <-timer.C:
			g.mu.Lock()
			g.tell(g.g.Expire(time.Since(g.start)))
			g.mu.Unlock()
			timer.Reset(time.Millisecond) // should the clocks differ by a little
		case <-ctx.Done():
			g.mu.Lock()
			defer g.mu.Unlock()
			if g.g.Leave(id) {
				delete(g.waits, id)
				return 0, false
			}
			v := <-verdict // it was told in the same moment
			return v.After, v.Admit
		}
	}
}

// leave ends a call's work, begun at a time.
func (g *gate) leave(began time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tell(g.g.Done(time.Since(g.start), time.Since(began)))
}

func (g *gate) figures() (working, waiting int, shed int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.g.Working(), g.g.Waiting(), g.shed
}

// classOf says in which class a call for a list waits.
func (n *Node) classOf(r *http.Request, after uint64) admit.Class {
	switch {
	case after > 0 && n.store.CanResume(after):
		return admit.Resume
	case after > 0 || r.Header.Get(headHave) != "":
		return admit.Whole
	}
	return admit.Empty
}

// refuse answers 503 with a time to come back after; 0 draws one, so that callers that
// are refused together do not return together.
func refuse(w http.ResponseWriter, why string, after time.Duration) {
	if after <= 0 {
		after = time.Second/2 + rand.N(time.Second)
	}
	w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	http.Error(w, why, http.StatusServiceUnavailable)
}
