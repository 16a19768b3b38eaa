package bramblelock

import (
	"testing"
	"time"
)

func TestRequestWithoutHostsIsQueuedThenRefused(t *testing.T) {
	g := startGateway(t, basicSettings())
	id := g.request(0, time.Second)
	if len(g.actions) != 0 {
		t.Fatalf("actions %v, want the request to be queued", g.actions)
	}
	actions := g.advance(time.Second)
	if len(actions) != 1 || actions[0].Kind != Refuse || actions[0].Request != id {
		t.Errorf("actions %v, want one refusal", actions)
	}
}

func TestQueuedRequestGoesToFirstListedHost(t *testing.T) {
	g := startGateway(t, basicSettings())
	id := g.request(2, time.Second)
	g.updateHosts(ListFull, testHosts(1)...)
	if a := g.onlyAction(Send); a.Request != id || a.Host != 1 {
		t.Errorf("sent %v, want the queued request at host 1", a)
	}
}

func TestQueuedRequestIsRefusedEarly(t *testing.T) {
	g := startGateway(t, basicSettings(), testHosts(1)...)
	for range 10 {
		g.request(0, time.Second)
	}
	begin := g.now
	for _, a := range g.advance(450 * ms) {
		if a.Kind != Refuse {
			t.Fatalf("action %v, want only refusals", a)
		}
		if g.b.requests[a.Request] != nil {
			t.Error("refused request kept")
		}
	}
	if g.b.queued != 0 {
		t.Errorf("%d requests still queued after %v, past their latency target", g.b.queued, g.now-begin)
	}
}

// Requests that have waited too long are refused in every queue. Late ones in a queue of lower
// priority were kept while a queue of higher priority was full.
func TestLateRequestsAreRefusedInEveryQueue(t *testing.T) {
	set := basicSettings()
	set.Classes[0].Deadline = 2 * time.Second
	set.Classes[1].Deadline, set.Classes[1].LatencyTarget = 2*time.Second, 2*time.Second // of a higher priority
	g := startGateway(t, set)
	low := g.request(0, 2*time.Second)
	high := g.request(1, 2*time.Second)
	for _, a := range g.advance(200 * ms) {
		if a.Kind != Refuse || a.Request != low {
			t.Errorf("action %v, want only the late request of the lower priority refused", a)
		}
	}
	if g.b.requests[low] != nil || g.b.requests[high] == nil {
		t.Error("the late request is still queued, or the other was refused")
	}
}

func TestOverQuotaRequestIsSentLast(t *testing.T) {
	set := basicSettings()
	set.Tenants = []Tenant{{Quota: 1}, {Quota: 1000}}
	set.OverQuotaFactor = 0.05
	g := startGateway(t, set)
	request := func(tenant int) RequestID {
		g.nextID++
		g.b.Request(g.now, Request{ID: g.nextID, Tenant: tenant, Remaining: time.Second})
		return g.nextID
	}
	request(0)
	beyondQuota := request(0)
	withinQuota := request(1)
	list := testHosts(1)
	g.b.discardActions()
	g.updateHosts(ListFull, list...)
	order := map[RequestID]int{}
	for i, a := range g.actions {
		order[a.Request] = i
	}
	if len(order) != 3 || order[withinQuota] > order[beyondQuota] {
		t.Errorf("order %v, want %d before %d", g.actions, withinQuota, beyondQuota)
	}
}

func TestClientRetryIsSentLast(t *testing.T) {
	tests := []struct {
		name  string
		retry Request
	}{
		{"marked", Request{Remaining: time.Second, ClientRetry: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := startGateway(t, basicSettings(), testHosts(1)...)
			for range initialFleetLimit {
				g.request(0, time.Second)
			}
			tt.retry.ID = 1000
			g.b.Request(g.now, tt.retry)
			first := g.request(0, time.Second)
			g.now += 10 * ms
			g.outcome(1, 0, OK, 10*ms)
			if len(g.actions) == 0 || g.actions[0].Kind != Send || g.actions[0].Request != first {
				t.Fatalf("actions %v, want request %d sent before the retry", g.actions, first)
			}
			g.now += 10 * ms
			g.outcome(2, 0, OK, 20*ms)
			if len(g.actions) == 0 || g.actions[0].Kind != Send || g.actions[0].Request != 1000 {
				t.Fatalf("actions %v, want the retry sent next", g.actions)
			}
		})
	}
}
