package gateway

import (
	"testing"
	"time"

	"bramblelock"
)

// After a change of the settings, requests are handled by the new classes on the same connections
// and hosts. A class that was removed is answered with 400.
func TestUpdateRules(t *testing.T) {
	host := newHost(t, answerWith(errorAnswer))
	g := startGateway(t, testConfig(host))
	next := g.cfg.Rules
	next.Settings.Classes = []bramblelock.Class{
		{LatencyTarget: 10 * time.Second, Deadline: 60 * time.Second, Effect: bramblelock.AtMostOnce},
		{LatencyTarget: 10 * time.Second, Deadline: 60 * time.Second, Effect: bramblelock.AtMostOnce},
	}
	next.Classes = map[string]int{"look": 0, "haul": 1}
	if resp, _ := g.request("haul", "/api/1", "b"); resp.StatusCode != 400 {
		t.Errorf("status %d for a class that does not exist yet", resp.StatusCode)
	}
	g.loop.UpdateRules(&next)
	g.loop.Sync()
	if resp, _ := g.request("book", "/api/1", "b"); resp.StatusCode != 400 {
		t.Errorf("status %d for a class that was removed", resp.StatusCode)
	}
	if resp, _ := g.request("haul", "/api/1", "b"); resp.StatusCode != 502 {
		t.Errorf("status %d for a new class", resp.StatusCode)
	}
	g.request("look", "/api/1", "") // it was safe to retry under the old rules
	if requests, _, _ := host.counts(); requests != 2 {
		t.Errorf("the host got %d requests, want each once", requests)
	}
}

// Guards against a request that is refused, or is run again, by rules that came into force after its head was
// read: it is handled by those under which it came, as any open request.
func TestUpdateRulesDuringRequest(t *testing.T) {
	tests := []struct {
		name, class, hostAnswer string
		want                    answerKind
	}{
		{"dropped", "look", okAnswer, answerServed},
		{"now idempotent", "book", errorAnswer, answerFailed},
		{"at another index", "report", okAnswer, answerServed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			host := newHost(t, answerWith(tt.hostAnswer))
			g := startGateway(t, testConfig(host))
			next := g.cfg.Rules
			next.Settings.Classes = []bramblelock.Class{g.cfg.Settings.Classes[2], g.cfg.Settings.Classes[0]}
			next.Classes = map[string]int{"report": 0, "book": 1}
			x := newExchange("b")
			x.header.Set("X-Priority-Class", tt.class)
			x.header.Set("Idempotency-Key", "k")
			if err := x.resolve(&g.cfg.Rules); err != nil {
				t.Fatal(err)
			}
			g.loop.UpdateRules(&next)
			g.loop.Submit(x)
			select {
			case a := <-x.answer:
				if requests, _, _ := host.counts(); a.kind != tt.want || requests != 1 {
					t.Errorf("answer %v after %d requests to the host, want %v after 1", a.kind, requests, tt.want)
				}
			case <-time.After(waitTimeout):
				t.Fatal("no answer")
			}
		})
	}
}
