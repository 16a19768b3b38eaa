package bramblelock

import (
	"reflect"
	"testing"
	"time"
)

func TestActionsAfterAttempt(t *testing.T) {
	retry := []ActionKind{Send}
	tests := []struct {
		class  int
		result Result
		want   []ActionKind
	}{
		{0, OK, nil},
		{0, Failed, retry}, {0, TimedOut, retry}, {0, Reset, retry}, {0, Full, retry}, {0, ConnectFailed, retry},
		{1, Failed, retry}, {1, ConnectFailed, retry},
		{2, Failed, []ActionKind{Fail}}, {2, TimedOut, []ActionKind{Fail}}, {2, Reset, []ActionKind{Fail}},
		{2, Canceled, []ActionKind{Fail}},
		{0, Rejected, []ActionKind{Fail}}, {1, Rejected, []ActionKind{Fail}}, {2, Rejected, []ActionKind{Fail}},
		{2, Full, retry}, {2, ConnectFailed, retry}, {2, NotSent, retry},
	}
	for _, tt := range tests {
		g := startGateway(t, basicSettings(), testHosts(2)...)
		id := g.request(tt.class, time.Second)
		g.advance(20 * ms)
		g.outcome(id, 0, tt.result, 20*ms)
		var got []ActionKind
		for _, a := range g.actions {
			got = append(got, a.Kind)
		}
		if !reflect.DeepEqual(got, tt.want) {
			t.Errorf("class %d after result %d: actions %v, want %v", tt.class, tt.result, got, tt.want)
		}
	}
}

func TestDeduplicatedRetryStaysInScope(t *testing.T) {
	for scope, sameScope := range map[DedupScope]func(a, b Host) bool{
		DedupAll:  func(a, b Host) bool { return true },
		DedupZone: func(a, b Host) bool { return a.Zone == b.Zone },
		DedupCell: func(a, b Host) bool { return a.Cell == b.Cell },
	} {
		set := basicSettings()
		set.Classes[1].DedupScope = scope
		list := []Host{{ID: 1, Zone: 0, Cell: 0}, {ID: 2, Zone: 0, Cell: 1}, {ID: 3, Zone: 1, Cell: 2},
			{ID: 4, Zone: 0, Cell: 0}, {ID: 5, Zone: 0, Cell: 1}, {ID: 6, Zone: 1, Cell: 2}}
		run := 0
		for range 30 {
			g := startGateway(t, set, list...)
			g.b.rng += uint64(run)*977 + 1
			id := g.request(1, time.Second)
			first := list[g.onlyAction(Send).Host-1]
			g.outcome(id, 0, Failed, ms)
			second := list[g.onlyAction(Send).Host-1]
			if !sameScope(first, second) {
				t.Fatalf("scope %d: sent to %+v, then to %+v", scope, first, second)
			}
			run++
		}
	}
}

func TestDeduplicatedRequestIsNotRetriedAfterWindow(t *testing.T) {
	g := startGateway(t, basicSettings(), testHosts(2)...)
	id := g.request(1, time.Second)
	g.advance(599 * ms)
	g.outcome(id, 0, Failed, 599*ms)
	g.onlyAction(Fail)
}

// A gateway that sends a retry may be delayed, so the Send says until when it may be written.
func TestRetryHasWriteBy(t *testing.T) {
	for _, class := range []int{0, 1, 2} {
		g := startGateway(t, basicSettings(), testHosts(2)...)
		id := g.request(class, time.Second)
		if first := g.onlyAction(Send); first.WriteBy != 0 {
			t.Errorf("class %d: the first attempt may be written until %v, want no limit", class, first.WriteBy)
		}
		g.advance(10 * ms)
		g.outcome(id, 0, Full, 10*ms) // it has not run: the window has not begun
		if retry := g.onlyAction(Send); retry.WriteBy != 0 {
			t.Errorf("class %d: an attempt after one that did not run may be written until %v, want no limit", class, retry.WriteBy)
		}
		g = startGateway(t, basicSettings(), testHosts(2)...)
		id = g.request(class, time.Second)
		sent := g.now
		g.advance(10 * ms)
		g.outcome(id, 0, Reset, 10*ms)
		c := basicSettings().Classes[class]
		if c.Effect == AtMostOnce {
			g.onlyAction(Fail)
			continue
		}
		retry := g.onlyAction(Send)
		if c.Effect == Deduplicated && (retry.WriteBy <= sent || retry.WriteBy > sent+c.DedupWindow) || c.Effect != Deduplicated && retry.WriteBy != 0 {
			t.Errorf("class %d: sent at %v, the retry may be written until %v", class, sent, retry.WriteBy)
		}
	}
}

func TestDeduplicatedRequestFailsWhenScopeIsGone(t *testing.T) {
	g := startGateway(t, basicSettings(), testHosts(4)...)
	id := g.request(1, time.Second)
	cell := int(g.onlyAction(Send).Host-1) / 2
	var others []Host
	for _, h := range testHosts(4) {
		if h.Cell != cell {
			others = append(others, h)
		}
	}
	g.updateHosts(ListFull, others...)
	g.outcome(id, 0, Reset, ms)
	actions := append(append([]Action(nil), g.actions...), g.advance(time.Second)...)
	if len(actions) != 1 || actions[0].Kind != Fail {
		t.Errorf("actions %v, want one Fail", actions)
	}
}

func TestMaxAttempts(t *testing.T) {
	set := basicSettings()
	set.MaxAttempts = 3
	g := startGateway(t, set, testHosts(8)...)
	id := g.request(2, time.Second)
	for n := range 3 {
		g.onlyAction(Send)
		g.outcome(id, n, Full, ms)
	}
	g.onlyAction(Refuse)
}

// A request that cannot be sent again is refused even if no attempt ran.
func TestNotReplayableRequestIsRefused(t *testing.T) {
	g := startGateway(t, basicSettings(), testHosts(3)...)
	g.b.Request(g.now, Request{ID: 1, Remaining: time.Second, Upload: true})
	g.collectActions()
	g.onlyAction(Send)
	g.b.Outcome(g.now, Outcome{Request: 1, Result: ConnectFailed})
	g.collectActions()
	g.onlyAction(Send) // it can still be sent again
	g.b.Outcome(g.now, Outcome{Request: 1, Attempt: 1, Result: ConnectFailed, NotReplayable: true})
	g.collectActions()
	g.onlyAction(Refuse)
}

func TestStreamedResponseIsNotRetried(t *testing.T) {
	g := startGateway(t, basicSettings(), testHosts(2)...)
	id := g.request(0, 500*ms)
	g.b.ResponseStarted(g.now, id, 0)
	if actions := g.advance(2 * time.Second); len(actions) != 0 {
		t.Errorf("actions %v past the deadline of a request whose response is being streamed", actions)
	}
	g.b.Outcome(g.now, Outcome{Request: id, Result: Reset, Answered: true})
	g.collectActions()
	if len(g.actions) != 0 || len(g.b.requests) != 0 {
		t.Errorf("actions %v after a broken stream, %d requests kept", g.actions, len(g.b.requests))
	}
}
