package bramblelock

import (
	"errors"
	"math"
	"slices"
	"strings"
	"testing"
	"time"
)

func TestNewRejectsInvalidSettings(t *testing.T) {
	invalid := map[string]func(*Settings){
		"Instances: 0 ":                   func(s *Settings) { s.Instances = 0 },
		"Instances: 1048577 ":             func(s *Settings) { s.Instances = 1<<20 + 1 },
		"Rank: 1 ":                        func(s *Settings) { s.Rank = 1 },
		"Rank: -1 ":                       func(s *Settings) { s.Rank = -1 },
		"Classes: ":                       func(s *Settings) { s.Classes = nil },
		"OverloadWindow: -1ns ":           func(s *Settings) { s.OverloadWindow = -1 },
		"EventInterval: ":                 func(s *Settings) { s.EventInterval = 2000 * time.Hour },
		"MaxWatchGap: ":                   func(s *Settings) { s.MaxWatchGap = math.MaxInt64 },
		"WarmAfter: ":                     func(s *Settings) { s.WarmAfter = -1 },
		"MaxRetryAfter: ":                 func(s *Settings) { s.MaxRetryAfter = -1 },
		"MaxAttempts: ":                   func(s *Settings) { s.MaxAttempts = -1 },
		"Classes[0].Deadline: ":           func(s *Settings) { s.Classes[0].Deadline = 0 },
		"Classes[0].LatencyTarget: ":      func(s *Settings) { s.Classes[0].LatencyTarget = -1 },
		"Classes[0].DedupWindow: ":        func(s *Settings) { s.Classes[0].DedupWindow = -1 },
		"Classes[1].Effect: 9 ":           func(s *Settings) { s.Classes[1].Effect = 9 },
		"Classes[1].DedupScope: 9 ":       func(s *Settings) { s.Classes[1].DedupScope = 9 },
		"Classes[2].PriorityWeight: NaN ": func(s *Settings) { s.Classes[2].PriorityWeight = math.NaN() },
		"ColdCapacity: +Inf ":             func(s *Settings) { s.ColdCapacity = math.Inf(1) },
		"OverloadFactor: 1e+300 ":         func(s *Settings) { s.OverloadFactor = 1e300 },
		"OverQuotaFactor: NaN ":           func(s *Settings) { s.OverQuotaFactor = math.NaN() },
		"Tenants[0].Quota: -1 ":           func(s *Settings) { s.Tenants = []Tenant{{Quota: -1}} },
	}
	for want, modify := range invalid {
		set := basicSettings()
		modify(&set)
		b, err := New(set, 1)
		var invalid *SettingsError
		if b != nil || !errors.As(err, &invalid) || !strings.HasPrefix(err.Error(), "settings: "+want) {
			t.Errorf("%s: got %v", want, err)
		}
	}
}

func TestDefaultSettings(t *testing.T) {
	b, err := New(Settings{Instances: 1, Classes: []Class{{Deadline: time.Second}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	s := b.settings
	if s.MaxAttempts != 3 || s.MaxWatchGap != 10*time.Second || s.ColdCapacity != 1 || s.OverloadWindow != time.Second ||
		s.Classes[0].LatencyTarget != time.Second || s.Classes[0].PriorityWeight != 1 {
		t.Errorf("wrong default in %+v", s)
	}
}

// New settings apply to later requests. An open request keeps the rules that it came under, with
// its number of attempts, even if its class is dropped or redefined.
func TestUpdateSettingsKeepsRulesOfOpenRequests(t *testing.T) {
	set := basicSettings()
	set.Classes[0].Name, set.Classes[2].Name = "look", "book"
	g := startGateway(t, set, testHosts(4)...)
	g.serve(50, 0, func(HostID) time.Duration { return 10 * ms })
	idempotent, atMostOnce := g.request(0, time.Second), g.request(2, time.Second)
	g.collectActions()
	newSettings := basicSettings()
	newSettings.MaxAttempts = 1
	newSettings.Classes = []Class{
		{Name: "book", LatencyTarget: 400 * ms, Deadline: time.Second, Effect: Idempotent},
		{Name: "haul", LatencyTarget: 800 * ms, Deadline: 2 * time.Second, Effect: AtMostOnce},
	}
	if err := g.b.UpdateSettings(g.now, newSettings); err != nil {
		t.Fatal(err)
	}
	g.collectActions()
	for n := range 3 { // the first three of four attempts
		g.outcome(idempotent, n, Failed, ms)
		g.onlyAction(Send)
	}
	g.outcome(idempotent, 3, Failed, ms)
	g.onlyAction(Refuse)
	g.outcome(atMostOnce, 0, Failed, ms)
	g.onlyAction(Fail) // it may have run
	newIdempotent := g.request(0, time.Second)
	g.onlyAction(Send)
	g.outcome(newIdempotent, 0, Failed, ms)
	g.onlyAction(Refuse) // there is only one attempt, and a retry by the client is harmless
	newAtMostOnce := g.request(1, 2*time.Second)
	g.onlyAction(Send)
	g.outcome(newAtMostOnce, 0, Failed, ms)
	g.onlyAction(Fail)
	if g.request(2, time.Second); len(g.actions) != 0 {
		t.Errorf("actions %v for a class that no longer exists", g.actions)
	}
	if g.b.classes[0].rtt.seen || g.b.shortestTarget != 400*ms || len(g.b.requests) != 0 {
		t.Errorf("class %+v, shortest latency target %v, %d requests kept", g.b.classes[0], g.b.shortestTarget, len(g.b.requests))
	}
}

// The statistics of a class stay with its name when the settings change, and queued requests stay
// queued.
func TestUpdateSettingsKeepsStatisticsAndQueue(t *testing.T) {
	set := basicSettings()
	set.ColdCapacity = 1 // no pacing
	for i, name := range []string{"look", "report", "book"} {
		set.Classes[i].Name = name
	}
	g := startGateway(t, set, testHosts(1)...)
	g.serve(50, 2, func(HostID) time.Duration { return 10 * ms })
	rtt, aloneRTT := g.b.classes[2].rtt, g.b.classes[2].aloneRTT
	g.b.SetMaintenance(g.now, 1, true)
	dropped, kept := g.request(0, time.Second), g.request(2, time.Second)
	newSettings := set
	newSettings.Classes = []Class{set.Classes[2], set.Classes[1]}
	if err := g.b.UpdateSettings(g.now, newSettings); err != nil {
		t.Fatal(err)
	}
	if g.b.classes[0].rtt != rtt || g.b.classes[0].aloneRTT != aloneRTT {
		t.Errorf("RTT statistics %+v and %+v, want %+v and %+v", g.b.classes[0].rtt, g.b.classes[0].aloneRTT, rtt, aloneRTT)
	}
	g.collectActions()
	if len(g.actions) != 0 || g.b.queued != 2 {
		t.Fatalf("actions %v, %d requests queued; want both queued", g.actions, g.b.queued)
	}
	g.b.SetMaintenance(g.now, 1, false)
	g.collectActions()
	var sent []RequestID
	for _, a := range g.actions {
		sent = append(sent, a.Request)
	}
	if len(sent) == 0 || sent[0] != kept {
		t.Errorf("sent %v, want %d, of the higher priority, before %d", sent, kept, dropped)
	}
	invalid := newSettings
	invalid.Classes = nil
	if err := g.b.UpdateSettings(g.now, invalid); err == nil || len(g.b.classes) != 2 {
		t.Errorf("settings without classes: error %v, %d classes in use, want an error and 2", err, len(g.b.classes))
	}
}

// Guards against a crash, or a place before requests of a higher priority, of a request whose attempt fails
// after new settings have changed the queues: it kept its index among the queues of the old settings.
func TestRequestInFlightIsQueuedUnderNewSettings(t *testing.T) {
	set := basicSettings()
	set.OverQuotaFactor = 0.9
	look, report, book := &set.Classes[0], &set.Classes[1], &set.Classes[2]
	look.Name, report.Name, book.Name = "look", "report", "book"
	urgent := Class{Name: "urgent", LatencyTarget: 400 * ms, Deadline: time.Second, PriorityWeight: 10}
	tests := []struct {
		name    string
		changes [][]Class // classes of the settings that come while a request of each class is in flight
		order   []string  // classes of these and of one new request of each class, in the order of sending
	}{
		{"highest stays", [][]Class{{*book}}, []string{"book", "new book", "report", "look"}},
		{"lowest stays", [][]Class{{*look}}, []string{"book", "report", "look", "new look"}},
		{"higher is added", [][]Class{{*look, urgent}}, []string{"new urgent", "book", "report", "look", "new look"}},
		{"dropped and added again", [][]Class{{*look}, {*book, *look}, {*report}, {*report, *book}},
			[]string{"book", "new book", "report", "new report", "look"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := startGateway(t, set, testHosts(1)...)
			names := map[RequestID]string{}
			for i, class := range set.Classes {
				names[g.request(i, time.Second)] = class.Name
				g.onlyAction(Send)
			}
			inForce := set
			for _, inForce.Classes = range tt.changes {
				if err := g.b.UpdateSettings(g.now, inForce); err != nil {
					t.Fatal(err)
				}
			}
			g.b.SetMaintenance(g.now, 1, true)
			for id := range len(set.Classes) {
				g.outcome(RequestID(id+1), 0, ConnectFailed, ms)
			}
			for i, class := range inForce.Classes {
				names[g.request(i, time.Second)] = "new " + class.Name
			}
			g.updateHosts(ListFull, testHosts(4)...)
			var order []string
			for _, a := range g.actions {
				order = append(order, names[a.Request])
			}
			if !slices.Equal(order, tt.order) {
				t.Errorf("sent %q, want %q", order, tt.order)
			}
		})
	}
}

// Guards against a tenant that is given the use of another's quota when new settings move it in the list.
func TestUseOfQuotaStaysWithItsTenant(t *testing.T) {
	set := basicSettings()
	busy, idle, rare := Tenant{Name: "busy", Quota: 1}, Tenant{Name: "idle", Quota: 1}, Tenant{Name: "rare", Quota: 1}
	set.Tenants = []Tenant{busy, idle}
	g := startGateway(t, set)
	withinQuota := func(tenant int) bool {
		g.nextID++
		g.b.Request(g.now, Request{ID: g.nextID, Tenant: tenant, Remaining: time.Second})
		return g.b.requests[g.nextID].flags&overQuota == 0
	}
	if !withinQuota(0) || withinQuota(0) {
		t.Fatal("want one request within quota, then one beyond it")
	}
	set.Tenants = []Tenant{idle, rare, busy}
	if err := g.b.UpdateSettings(g.now, set); err != nil {
		t.Fatal(err)
	}
	for tenant, want := range []bool{true, true, false} {
		if got := withinQuota(tenant); got != want {
			t.Errorf("%s: within quota %v, want %v", set.Tenants[tenant].Name, got, want)
		}
	}
}
