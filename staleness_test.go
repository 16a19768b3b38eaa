package bramblelock

import (
	"testing"
	"time"
)

// After the loss of a watch, sends continue until shortly before a change that it held back counts
// as notified and DrainGrace has passed. They are then held until a list arrives, but no longer
// than discovery should need to answer a whole fleet. An attempt that starts before may be written
// until sends are held.
func TestSendsAreHeldUntilTheListIsCurrent(t *testing.T) {
	const second = time.Second
	for name, tt := range map[string]struct {
		loss                []ListKind
		heldFrom, heldUntil Time // since the loss; 0: sends are not held
		maxWatchGap         Time
		listAt              Time // since the loss; 0: no list arrives
		pushed              bool
		neverReceived       bool // all that the gateway has is a list from before its start
	}{
		"ended":                            {loss: []ListKind{ListEnded}, heldFrom: 2800 * ms, heldUntil: 10 * second},
		"silent":                           {loss: []ListKind{ListSilent}, heldFrom: 3800 * ms, heldUntil: 10 * second},
		"moved":                            {loss: []ListKind{ListMoved}, heldFrom: 4800 * ms, heldUntil: 10 * second},
		"reset":                            {loss: []ListKind{ListFailed}, heldFrom: 6800 * ms, heldUntil: 12 * second},
		"reset, and calls fail":            {loss: []ListKind{ListFailed, ListFailed, ListFailed}, heldFrom: 6800 * ms, heldUntil: 12 * second},
		"reset, short MaxWatchGap":         {loss: []ListKind{ListFailed}, maxWatchGap: 5 * second, heldFrom: 6800 * ms, heldUntil: 12 * second},
		"reset, then unreachable":          {loss: []ListKind{ListFailed, ListUnreachable}},
		"reset, a list arrives while held": {loss: []ListKind{ListFailed}, listAt: 8 * second, heldFrom: 6800 * ms, heldUntil: 8 * second},
		"calls fail from the start":        {loss: []ListKind{ListFailed, ListFailed}, neverReceived: true},
		"reset, the list is pushed":        {loss: []ListKind{ListFailed}, pushed: true},
		"ended, then unreachable":          {loss: []ListKind{ListEnded, ListUnreachable}},
		"ended, then a failed call":        {loss: []ListKind{ListEnded, ListFailed}, heldFrom: 2800 * ms, heldUntil: 10 * second},
		"moved, and the watch ended":       {loss: []ListKind{ListMoved, ListEnded}, heldFrom: 2800 * ms, heldUntil: 10 * second},
		"ended, long MaxWatchGap":          {loss: []ListKind{ListEnded}, maxWatchGap: 60 * second, heldFrom: 2800 * ms, heldUntil: 12 * second},
		"ended, short MaxWatchGap":         {loss: []ListKind{ListEnded}, maxWatchGap: 5 * second, heldFrom: 2800 * ms, heldUntil: 5 * second},
		"ended, a list arrives in time":    {loss: []ListKind{ListEnded}, listAt: second},
		"ended, a list arrives while held": {loss: []ListKind{ListEnded}, listAt: 4 * second, heldFrom: 2800 * ms, heldUntil: 4 * second},
		"ended, the list is pushed":        {loss: []ListKind{ListEnded}, pushed: true},
	} {
		t.Run(name, func(t *testing.T) {
			set := basicSettings()
			set.WatchHosts, set.MaxWatchGap = !tt.pushed, tt.maxWatchGap
			g := startGateway(t, set, testHosts(2)...)
			if !tt.neverReceived {
				g.updateHosts(ListFull, testHosts(2)...)
			}
			g.advance(5 * second)
			lostAt := g.now
			for _, kind := range tt.loss {
				g.updateHosts(kind)
			}
			for at := Time(0); at < 15*second; at += 100 * ms {
				if tt.listAt > 0 && at == tt.listAt {
					g.updateHosts(ListFull, testHosts(2)...)
				}
				held := tt.heldUntil > 0 && at >= tt.heldFrom && at < tt.heldUntil
				id := g.request(0, second)
				sent := len(g.actions) == 1 && g.actions[0].Kind == Send
				if sent == held {
					t.Fatalf("%v after the loss: sent %t, want held %t", at, sent, held)
				}
				if sent {
					writeBy, want := g.actions[0].WriteBy, Time(0)
					if tt.heldFrom > 0 && at < tt.heldFrom || tt.listAt > at && tt.heldFrom == 0 {
						want = lostAt + 2800*ms
						if tt.heldFrom > 0 {
							want = lostAt + tt.heldFrom
						}
					}
					if writeBy != want {
						t.Fatalf("%v after the loss: an attempt may be written until %v, want %v", at, writeBy, want)
					}
					g.outcome(id, 0, OK, 10*ms)
				}
				g.advance(100 * ms)
			}
		})
	}
}

// A fleet whose watches have ended calls again within half a second, in the order of ranks. A watch
// that ends again at once is not resumed in this way, but waits for the time of its rank.
func TestEndedWatchIsResumedSoon(t *testing.T) {
	for _, n := range []int{1, 6, 300, 900} {
		var previousDelay Time
		for _, rank := range []int{0, n / 2, n - 1} {
			set := basicSettings()
			set.WatchHosts, set.Instances, set.Rank, set.MaxWatchGap = true, n, rank, 10*time.Second
			g := startGateway(t, set, testHosts(2)...)
			g.updateHosts(ListFull, testHosts(2)...)
			g.advance(5 * time.Second)
			g.updateHosts(ListEnded)
			delay := g.waitForWatch()
			if delay > maxResumeSpread || delay < previousDelay {
				t.Errorf("rank %d of %d calls %v after the end of its watch, the rank before it %v", rank, n, delay, previousDelay)
			}
			previousDelay = delay
			g.updateHosts(ListFull, testHosts(2)...)
			g.updateHosts(ListEnded)
			if n == 1 && g.waitForWatch() < 100*ms {
				t.Error("a watch that ended at once is resumed at once")
			}
		}
	}
}

// waitForWatch advances the clock until discovery is called and returns the time that this takes.
func (g *gateway) waitForWatch() Time {
	g.Helper()
	startedAt := g.now
	for g.now-startedAt < 20*time.Second {
		for _, a := range g.advance(ms) {
			if a.Kind == Watch {
				return g.now - startedAt
			}
		}
	}
	g.Fatal("discovery is not called within 20 s")
	return 0
}
