package admit

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// For random sequences of arrivals, completions and expirations, each call gets at most one
// decision, the limits of Options hold, no call waits longer than Options.Wait, no call waits while
// there is room to work on it, and the retry delays of shed calls are within bounds.
func TestGateKeepsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		opt := Options{Work: rapid.IntRange(1, 4).Draw(t, "work"), Queue: rapid.IntRange(1, 8).Draw(t, "queue"),
			Wait: time.Second, Least: time.Millisecond, Most: 5 * time.Second}
		g := New(opt)
		now := time.Duration(0)
		waiting, inFlight, decided := map[uint64]time.Duration{}, 0, map[uint64]bool{}
		record := func(decisions []Decision) {
			for _, v := range decisions {
				if decided[v.ID] {
					t.Fatalf("call %d has two decisions", v.ID)
				}
				decided[v.ID] = true
				delete(waiting, v.ID)
				if v.Admitted {
					inFlight++
				} else if v.RetryAfter <= 0 || v.RetryAfter > opt.Most {
					t.Fatalf("call %d has a retry delay of %v, which is out of bounds", v.ID, v.RetryAfter)
				}
			}
		}
		for id := uint64(1); id < 200; id++ {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "gap")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "operation") {
			case 0, 1:
				waiting[id] = now
				record(g.Arrive(now, id, Class(rapid.IntRange(0, int(classCount)-1).Draw(t, "class"))))
			case 2:
				if inFlight > 0 {
					inFlight--
					record(g.Done(now, 10*time.Millisecond))
				}
			case 3:
				record(g.Expire(now))
			}
			if inFlight != g.InFlight() || inFlight > opt.Work || len(waiting) != g.Waiting() || len(waiting) > opt.Queue {
				t.Fatalf("%d calls in flight and %d waiting, but the gate counts %d and %d", inFlight, len(waiting), g.InFlight(), g.Waiting())
			}
			if inFlight < opt.Work && len(waiting) > 0 {
				t.Fatalf("%d calls wait though only %d are in flight", len(waiting), inFlight)
			}
			for id, since := range waiting {
				if now-since >= opt.Wait && now == g.now {
					t.Fatalf("call %d still waits at %v, since %v", id, now, since)
				}
			}
		}
	})
}

// Calls without a list are admitted first, then those that resume. A full queue sheds its
// youngest call of the highest class. The retry times of 100 shed calls are at least 1 ms apart.
func TestGateOrderAndRetrySpread(t *testing.T) {
	g := New(Options{Work: 1, Queue: 3, Wait: time.Minute, Least: time.Millisecond, Most: time.Minute})
	g.Arrive(0, 1, FullList)
	for id, class := range map[uint64]Class{2: FullList, 3: Resume, 4: FullList} {
		g.Arrive(0, id, class)
	}
	decisions := g.Arrive(0, 5, NoList)
	if len(decisions) != 1 || decisions[0].Admitted || decisions[0].ID == 3 {
		t.Fatalf("decisions with a full queue: %v, want one that sheds call 2 or 4", decisions)
	}
	var order []uint64
	for range 3 {
		for _, v := range g.Done(1, time.Millisecond) {
			order = append(order, v.ID)
		}
	}
	if order[0] != 5 || order[1] != 3 {
		t.Errorf("admitted in the order %v, want 5, 3 and then the remaining call", order)
	}
	g = New(Options{Work: 1, Queue: 1, Wait: time.Minute, Least: time.Millisecond, Most: time.Minute})
	g.Arrive(0, 1, NoList)
	g.Arrive(0, 2, NoList)
	var retryDelays []time.Duration
	for id := uint64(3); id < 103; id++ {
		retryDelays = append(retryDelays, g.Arrive(0, id, NoList)[0].RetryAfter)
	}
	slices.Sort(retryDelays)
	for i := 1; i < len(retryDelays); i++ {
		if retryDelays[i]-retryDelays[i-1] < time.Millisecond {
			t.Fatalf("two retry times are only %v apart, want at least 1 ms", retryDelays[i]-retryDelays[i-1])
		}
	}
}
