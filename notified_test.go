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
	for name, c := range map[string]struct {
		loss      []ListKind
		from, to  Time // sends are held; 0: never
		askWithin Time
		list      Time // one comes; 0: none
		pushed    bool
	}{
		"ended":                             {loss: []ListKind{ListEnded}, from: 2800 * ms, to: 10 * second},
		"silent":                            {loss: []ListKind{ListSilent}, from: 3800 * ms, to: 10 * second},
		"moved":                             {loss: []ListKind{ListMoved}, from: 4800 * ms, to: 10 * second},
		"reset":                             {loss: []ListKind{ListFailed}},
		"ended, then nobody there":          {loss: []ListKind{ListEnded, ListUnreachable}},
		"ended, then a call that failed":    {loss: []ListKind{ListEnded, ListFailed}, from: 2800 * ms, to: 10 * second},
		"moved, and the watch ended":        {loss: []ListKind{ListMoved, ListEnded}, from: 2800 * ms, to: 10 * second},
		"ended, asked seldom":               {loss: []ListKind{ListEnded}, askWithin: 60 * second, from: 2800 * ms, to: 12 * second},
		"ended, asked often":                {loss: []ListKind{ListEnded}, askWithin: 5 * second, from: 2800 * ms, to: 5 * second},
		"ended, a list comes in time":       {loss: []ListKind{ListEnded}, list: second},
		"ended, a list comes while held":    {loss: []ListKind{ListEnded}, list: 4 * second, from: 2800 * ms, to: 4 * second},
		"ended, lists come without a watch": {loss: []ListKind{ListEnded}, pushed: true},
	} {
		t.Run(name, func(t *testing.T) {
			set := basic()
			set.WatchHosts, set.MaxWatchGap = !c.pushed, c.askWithin
			g := start(t, set, hosts(2)...)
			g.list(ListFull, hosts(2)...)
			g.advance(5 * second)
			lost := g.now
			for _, kind := range c.loss {
				g.list(kind)
			}
			for at := Time(0); at < 15*second; at += 100 * ms {
				if c.list > 0 && at == c.list {
					g.list(ListFull, hosts(2)...)
				}
				held := c.to > 0 && at >= c.from && at < c.to
				id := g.request(0, second)
				sent := len(g.acts) == 1 && g.acts[0].Kind == Send
				if sent == held {
					t.Fatalf("%v after the loss: sent %t, want held %t", at, sent, held)
				}
				if sent {
					by, want := g.acts[0].WriteBy, Time(0)
					if c.from > 0 && at < c.from || c.list > at && c.from == 0 {
						want = lost + 2800*ms
						if c.from > 0 {
							want = lost + c.from
						}
					}
					if by != want {
						t.Fatalf("%v after the loss: an attempt may go out until %v, want %v", at, by, want)
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
			set := basic()
			set.WatchHosts, set.Instances, set.Rank, set.MaxWatchGap = true, n, rank, 10*time.Second
			g := start(t, set, hosts(2)...)
			g.list(ListFull, hosts(2)...)
			g.advance(5 * time.Second)
			g.list(ListEnded)
			asked := g.untilWatch()
			if asked > maxResumeSpread || asked < last {
				t.Errorf("rank %d of %d asks %v after the end of its watch, the one before it %v", rank, n, asked, last)
			}
			last = asked
			g.list(ListFull, hosts(2)...)
			g.list(ListEnded)
			if n == 1 && g.untilWatch() < 100*ms {
				t.Error("a watch that ends at once is opened at once again")
			}
		}
	}
}

// untilWatch is how long it takes until discovery is asked.
func (g *gateway) untilWatch() Time {
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
