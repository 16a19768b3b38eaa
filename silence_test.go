package bramblelock

import (
	"reflect"
	"testing"
	"time"
)

// A host that accepts requests and answers none is ejected. Without that it kept its old estimate
// until the deadlines of its requests.
func TestSilentHostIsEjectedAndReadmitted(t *testing.T) {
	g := startGateway(t, basicSettings(), testHosts(3)...)
	g.serve(60, 0, func(HostID) time.Duration { return 10 * ms })
	paused := g.sendTo(1, 10*ms)
	g.advance(200 * ms)
	if got := g.serve(50, 0, func(HostID) time.Duration { return ms }); got[1] != 0 {
		t.Fatalf("%d sends to the silent host", got[1])
	}
	g.outcome(paused, 0, OK, 250*ms) // it had only paused
	if h := g.b.hosts[0]; h.ejections != 0 {
		t.Error("still ejected after its answer")
	}
	g.advance(10 * time.Second) // its one long RTT decays in this time
	if got := g.serve(300, 0, func(h HostID) time.Duration { return 10 * ms }); got[1] == 0 {
		t.Error("host got no requests after it answered")
	}
}

// A host with one costly request that answers others meanwhile is not silent.
func TestHostThatAnswersOthersIsNotSilent(t *testing.T) {
	g := startGateway(t, basicSettings(), testHosts(1)...)
	g.b.hosts[0].limit = 10
	g.serve(30, 0, func(HostID) time.Duration { return 10 * ms })
	g.request(0, time.Second)
	for range 20 {
		id := g.request(0, time.Second)
		g.advance(20 * ms)
		g.outcome(id, 0, OK, 10*ms)
	}
	if g.b.hosts[0].ejections != 0 {
		t.Error("ejected although it answers other requests")
	}
}

// A host may lose one request for good and serve all others. The lost attempt stays open until its
// deadline. It must not block the host until then, nor count as congestion at its end.
func TestLostAttemptDoesNotBlockItsHost(t *testing.T) {
	g := startGateway(t, basicSettings(), testHosts(1)...)
	h := g.b.hosts[0]
	took := func(HostID) time.Duration { return 10 * ms }
	g.serve(30, 0, took)
	h.limit = minFleetLimit // two in flight
	lost := g.request(2, time.Second)
	g.onlyAction(Send)
	g.serve(90, 0, took) // each must be sent at once
	limit := h.limit
	g.outcome(lost, 0, TimedOut, 900*ms)
	if h.limit != limit {
		t.Errorf("limit cut from %v to %v by a lost attempt", limit, h.limit)
	}
	if rtt := g.b.estimate(h); rtt < 0.9 {
		t.Errorf("estimate %v s, want at least the 0.9 s that the attempt took", rtt)
	}
}

// An attempt that its host has lost is canceled, as it holds one of the connections of the host. An
// idempotent request is sent once more while there is time. Any other fails once its answer has no
// value.
func TestLostAttemptIsCanceled(t *testing.T) {
	took := func(HostID) time.Duration { return 10 * ms }
	for _, tt := range []struct {
		class int
		want  []ActionKind
	}{
		{0, []ActionKind{Cancel, Send}},
		{2, []ActionKind{Fail, Cancel}},
	} {
		set := basicSettings()
		set.Classes[tt.class].Deadline = 10 * time.Second
		g := startGateway(t, set, testHosts(1)...)
		g.serve(30, 0, took)
		g.serve(30, tt.class, took)
		lost := g.request(tt.class, 10*time.Second)
		var got []ActionKind
		for range 60 {
			id := g.request(1, time.Second)
			actions := g.advance(10 * ms)
			for _, a := range actions {
				got = append(got, a.Kind)
				if a.Kind == Cancel {
					g.outcome(lost, 0, Canceled, 100*ms)
					for _, a := range g.actions {
						got = append(got, a.Kind)
					}
				}
			}
			g.outcome(id, 0, OK, 10*ms)
			if len(got) == len(tt.want) {
				break
			}
		}
		if !reflect.DeepEqual(got, tt.want) {
			t.Errorf("class %d: actions %v, want %v", tt.class, got, tt.want)
		}
	}
}

// An attempt whose host has begun to answer is not lost, however many later ones the host answers meanwhile: long
// answers were cut off at the latency target while their hosts were writing them. Only the short answer to an
// idempotent request is awaited for no longer than a latency target at a time.
func TestAttemptWithBegunAnswerIsNotLost(t *testing.T) {
	took := func(HostID) time.Duration { return 10 * ms }
	for _, tt := range []struct {
		class      int
		streamable bool
		stopsAfter Time // since the attempt was sent; 0: more of the answer arrives all the time
		want       []ActionKind
		wantAt     Time
	}{
		{class: 0, streamable: true, stopsAfter: 50 * ms},
		{class: 0},
		{class: 0, stopsAfter: 50 * ms, want: []ActionKind{Cancel}, wantAt: 450 * ms},
		{class: 1, stopsAfter: 50 * ms},
		{class: 2, stopsAfter: 50 * ms},
		{class: 2, streamable: true, stopsAfter: 50 * ms},
	} {
		set := basicSettings()
		set.Classes[tt.class].Deadline = 10 * time.Second
		g := startGateway(t, set, testHosts(1)...)
		g.serve(30, 0, took)
		g.serve(30, tt.class, took)
		slow, began := g.request(tt.class, 10*time.Second), g.now
		var got []ActionKind
		gotAt := Time(0)
		for len(got) == 0 && g.now-began < 2*time.Second {
			if tt.stopsAfter == 0 || g.now-began <= tt.stopsAfter {
				g.b.AnswerProgress(g.now, slow, 0, tt.streamable)
			}
			id := g.request(1, time.Second)
			for _, a := range g.advance(10 * ms) {
				got, gotAt = append(got, a.Kind), g.now-began
			}
			g.outcome(id, 0, OK, 10*ms)
		}
		if !reflect.DeepEqual(got, tt.want) || gotAt < tt.wantAt || gotAt > tt.wantAt+100*ms {
			t.Errorf("%+v: actions %v after %v", tt, got, gotAt)
		}
	}
}

// A host that falls silent after it lost an attempt is ejected by means of the next attempt.
func TestSilenceAfterLostAttemptEjects(t *testing.T) {
	g := startGateway(t, basicSettings(), testHosts(1)...)
	h := g.b.hosts[0]
	took := func(HostID) time.Duration { return 10 * ms }
	g.serve(30, 0, took)
	g.request(2, time.Second)
	g.serve(5, 0, took)
	g.request(0, time.Second)
	g.advance(200 * ms)
	if h.ejections == 0 {
		t.Error("not ejected, although it has answered nothing since the last attempt was sent")
	}
}

// A host whose response has begun has answered. It is not silent, however long the client takes to
// read the response.
func TestStreamingHostIsNotSilent(t *testing.T) {
	g := startGateway(t, basicSettings(), testHosts(1)...)
	g.serve(50, 0, func(HostID) time.Duration { return 10 * ms })
	id := g.request(0, time.Second)
	g.advance(10 * ms)
	g.b.ResponseStarted(g.now, id, 0)
	g.collectActions()
	if actions := g.advance(10 * time.Second); len(actions) != 0 || g.b.byID[1].ejections != 0 {
		t.Errorf("actions %v, ejections %d while a response is streamed", actions, g.b.byID[1].ejections)
	}
	if h := g.b.byID[1]; h.openAttempts != 1 || h.pending != 0 {
		t.Errorf("%d open attempts, %d pending; want 1 and 0, as a response that is streamed is no load", h.openAttempts, h.pending)
	}
	g.outcome(id, 0, OK, 10*ms)
	if h := g.b.byID[1]; h.openAttempts != 0 || h.pending != 0 || len(g.b.requests) != 0 {
		t.Errorf("%d pending attempts, %d requests kept after the end of the stream", h.pending, len(g.b.requests))
	}
}

// A host that has sent the head of a long answer, and nothing of its body, owes the body: it gets no further requests while
// that is overdue, until the body begins or, at the deadline of the request, has timed out. The request gets no other answer.
func TestForwardedHeadKeepsItsHostBusy(t *testing.T) {
	for name, bodyBegins := range map[string]bool{"body begins": true, "no body": false} {
		t.Run(name, func(t *testing.T) {
			g := startGateway(t, basicSettings(), testHosts(1)...)
			h := g.b.hosts[0]
			g.serve(50, 0, func(HostID) time.Duration { return 10 * ms })
			id := g.request(2, time.Second)
			g.b.HeadForwarded(g.now, id, 0)
			g.collectActions()
			g.advance(250 * ms)
			g.request(2, time.Second)
			if len(g.actions) != 0 || h.pending != 1 {
				t.Errorf("actions %v, %d pending with an overdue body", g.actions, h.pending)
			}
			if bodyBegins {
				g.b.ResponseStarted(g.now, id, 0)
				g.collectActions()
			}
			for _, a := range g.advance(800 * ms) {
				if a.Request == id {
					t.Errorf("action %v", a)
				}
			}
			if rtt := g.b.estimate(h); g.b.requests[id].attempts[0].pending || !bodyBegins && rtt < 0.9 {
				t.Errorf("pending after its deadline, or RTT estimate %v s", rtt)
			}
			estimate := h.rtt
			g.outcome(id, 0, Reset, 60*time.Second)
			if !bodyBegins && h.rtt != estimate {
				t.Errorf("the end of a body that had timed out is observed too: %v to %v s", estimate, h.rtt)
			}
		})
	}
}
