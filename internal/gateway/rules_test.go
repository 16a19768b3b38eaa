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

// The rules may change between the head of a request and its last byte. The request is passed to
// the module by the rules that are then in force.
func TestUpdateRulesDuringRequest(t *testing.T) {
	g := startGateway(t, testConfig(newHost(t, answerWith(okAnswer))))
	next := g.cfg.Rules
	next.Settings.Classes = []bramblelock.Class{g.cfg.Settings.Classes[1]}
	next.Classes = map[string]int{"book": 0}
	for class, want := range map[string]answerKind{"book": answerServed, "look": answerRejected} {
		x := newExchange("b")
		x.header.Set("X-Priority-Class", class)
		if err := x.resolve(&g.cfg.Rules); err != nil {
			t.Fatal(err)
		}
		g.loop.UpdateRules(&next)
		g.loop.Submit(x)
		select {
		case a := <-x.answer:
			if a.kind != want {
				t.Errorf("%s: answer %v, want %v", class, a.kind, want)
			}
		case <-time.After(waitTimeout):
			t.Fatalf("%s: no answer", class)
		}
	}
}
