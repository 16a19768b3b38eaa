package lynxspool

import (
	"testing"
	"time"
)

// After a watch is lost sends go on until shortly before what it kept back counts as notified and
// the grace is over, are held until a list comes, and go on in any case once discovery should
// have answered a whole fleet. An attempt that starts before may go out until then.
func TestSendsAreHeldUntilTheListIsCurrent(t *testing.T) {
	const second = time.Second
	for name, tt := range map[string]struct {
		loss                []ListKind
		heldFrom, heldUntil Time // sends are held; 0: never
		maxWatchGap         Time
		listAt              Time // one comes; 0: none
		pushed              bool
	}{
		"ended":                             {loss: []ListKind{ListEnded}, heldFrom: 2800 * ms, heldUntil: 10 * second},
		"silent":                            {loss: []ListKind{ListSilent}, heldFrom: 3800 * ms, heldUntil: 10 * second},
		"moved":                             {loss: []ListKind{ListMoved}, heldFrom: 4800 * ms, heldUntil: 10 * second},
		"reset":                             {loss: []ListKind{ListFailed}},
		"ended, then nobody there":          {loss: []ListKind{ListEnded, ListUnreachable}},
		"ended, then a call that failed":    {loss: []ListKind{ListEnded, ListFailed}, heldFrom: 2800 * ms, heldUntil: 10 * second},
		"moved, and the watch ended":        {loss: []ListKind{ListMoved, ListEnded}, heldFrom: 2800 * ms, heldUntil: 10 * second},
		"ended, asked seldom":               {loss: []ListKind{ListEnded}, maxWatchGap: 60 * second, heldFrom: 2800 * ms, heldUntil: 12 * second},
		"ended, asked often":                {loss: []ListKind{ListEnded}, maxWatchGap: 5 * second, heldFrom: 2800 * ms, heldUntil: 5 * second},
		"ended, a list comes in time":       {loss: []ListKind{ListEnded}, listAt: second},
		"ended, a list comes while held":    {loss: []ListKind{ListEnded}, listAt: 4 * second, heldFrom: 2800 * ms, heldUntil: 4 * second},
		"ended, lists come without a watch": {loss: []ListKind{ListEnded}, pushed: true},
	} {
		t.Run(name, func(t *testing.T) {
			set := basicSettings()
			set.WatchHosts, set.MaxWatchGap = !tt.pushed, tt.maxWatchGap
			g := startGateway(t, set, testHosts(2)...)
			g.updateHosts(ListFull, testHosts(2)...)
			g.advance(5 * second)
			lost := g.now
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
						want = lost + 2800*ms
						if tt.heldFrom > 0 {
							want = lost + tt.heldFrom
						}
					}
					if writeBy != want {
						t.Fatalf("%v after the loss: an attempt may go out until %v, want %v", at, writeBy, want)
					}
					g.outcome(id, 0, OK, 10*ms)
				}
				g.advance(100 * ms)
			}
		})
	}
}

// A fleet whose watches have ended asks anew within half a second, each at its rank; a watch that
// ends again at once waits for its turn.
func TestEndedWatchIsFollowedUpAtOnce(t *testing.T) {
	for _, n := range []int{1, 6, 300, 900} {
		var last Time
		for _, rank := range []int{0, n / 2, n - 1} {
			set := basicSettings()
			set.WatchHosts, set.Instances, set.Rank, set.MaxWatchGap = true, n, rank, 10*time.Second
			g := startGateway(t, set, testHosts(2)...)
			g.updateHosts(ListFull, testHosts(2)...)
			g.advance(5 * time.Second)
			g.updateHosts(ListEnded)
			delay := g.waitForWatch()
			if delay > maxResumeSpread || delay < last {
				t.Errorf("rank %d of %d asks %v after the end of its watch, the one before it %v", rank, n, delay, last)
			}
			last = delay
			g.updateHosts(ListFull, testHosts(2)...)
			g.updateHosts(ListEnded)
			if n == 1 && g.waitForWatch() < 100*ms {
				t.Error("a watch that ends at once is opened at once again")
			}
		}
	}
}

// waitForWatch is how long it takes until discovery is asked.
func (g *gateway) waitForWatch() Time {
	g.Helper()
	from := g.now
	for g.now-from < 20*time.Second {
		for _, a := range g.advance(ms) {
			if a.Kind == Watch {
				return g.now - from
			}
		}
	}
	g.Fatal("discovery is not asked")
	return 0
}
