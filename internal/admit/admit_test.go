package admit

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Whatever comes, each call has one verdict, bounds hold, a call waits no longer than it
// may, and one that is turned away is told a time within the bounds.
func TestGateKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		opt := Options{Work: rapid.IntRange(1, 4).Draw(t, "work"), Queue: rapid.IntRange(1, 8).Draw(t, "queue"),
			Wait: time.Second, Least: time.Millisecond, Most: 5 * time.Second}
		g := New(opt)
		now := time.Duration(0)
		waits, working, had := map[uint64]time.Duration{}, 0, map[uint64]bool{}
		take := func(due []Decision) {
			for _, v := range due {
				if had[v.ID] {
					t.Fatalf("call %d has two verdicts", v.ID)
				}
				had[v.ID] = true
				delete(waits, v.ID)
				if v.Admitted {
					working++
				} else if v.RetryAfter <= 0 || v.RetryAfter > opt.Most {
					t.Fatalf("call %d is to come back after %v", v.ID, v.RetryAfter)
				}
			}
		}
		for id := uint64(1); id < 200; id++ {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "gap")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				waits[id] = now
				take(g.Arrive(now, id, Class(rapid.IntRange(0, int(classes)-1).Draw(t, "class"))))
			case 2:
				if working > 0 {
					working--
					take(g.Done(now, 10*time.Millisecond))
				}
			case 3:
				take(g.Expire(now))
			}
			if working != g.Working() || working > opt.Work || len(waits) != g.Waiting() || len(waits) > opt.Queue {
				t.Fatalf("%d in work, %d waiting; the gate says %d and %d", working, len(waits), g.Working(), g.Waiting())
			}
			if working < opt.Work && len(waits) > 0 {
				t.Fatalf("%d wait though only %d are in work", len(waits), working)
			}
			for id, since := range waits {
				if now-since >= opt.Wait && now == g.now {
					t.Fatalf("call %d waits since %v, now %v", id, since, now)
				}
			}
		}
	})
}

// Those with no list go first, then those that resume; a full queue gives up its youngest
// of the last class; and 100 that are turned away are told times 1 ms apart at least.
func TestGateOrderAndSpread(t *testing.T) {
	g := New(Options{Work: 1, Queue: 3, Wait: time.Minute, Least: time.Millisecond, Most: time.Minute})
	g.Arrive(0, 1, FullList)
	for id, class := range map[uint64]Class{2: FullList, 3: Resume, 4: FullList} {
		g.Arrive(0, id, class)
	}
	due := g.Arrive(0, 5, NoList)
	if len(due) != 1 || due[0].Admitted || due[0].ID == 3 {
		t.Fatalf("the queue was full: %v", due)
	}
	var order []uint64
	for range 3 {
		for _, v := range g.Done(1, time.Millisecond) {
			order = append(order, v.ID)
		}
	}
	if order[0] != 5 || order[1] != 3 {
		t.Errorf("let in as %v, want 5, 3 and the last", order)
	}
	g = New(Options{Work: 1, Queue: 1, Wait: time.Minute, Least: time.Millisecond, Most: time.Minute})
	g.Arrive(0, 1, NoList)
	g.Arrive(0, 2, NoList)
	var after []time.Duration
	for id := uint64(3); id < 103; id++ {
		after = append(after, g.Arrive(0, id, NoList)[0].RetryAfter)
	}
	slices.Sort(after)
	for i := 1; i < len(after); i++ {
		if after[i]-after[i-1] < time.Millisecond {
			t.Fatalf("two are told to come back %v apart", after[i]-after[i-1])
		}
	}
}
