package fleetlab

import "testing"

// loadScenario loads a scenario of the repository and sets its seed.
func loadScenario(t *testing.T, name string, seed uint64) *Scenario {
	t.Helper()
	s, err := LoadScenario("../../scenarios/" + name + ".toml")
	if err != nil {
		t.Fatal(err)
	}
	s.Seed = seed
	return s
}

// All gateways and hosts start cold at once, under load from the first second. The fleet serves at least
// 0.6 of what the oracle serves, no host fails by overload and no connection is rejected.
func TestEverythingColdAtOnce(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		s := loadScenario(t, "start-cold", seed)
		r, o := Virtual(s), Oracle(s)
		if share := float64(r.Requests.Served) / float64(o.Requests.Served); share < 0.6 {
			t.Errorf("seed %d: served %.2f of the requests that the oracle served, want at least 0.6", seed, share)
		}
		if r.OverloadFailures.Hosts > 0 || r.Conns.TurnedAway > 0 || r.Spread.UnderFifth > 0 {
			t.Errorf("seed %d: %d hosts failed by overload, %d connections rejected, %d hosts under a fifth of the mean",
				seed, r.OverloadFailures.Hosts, r.Conns.TurnedAway, r.Spread.UnderFifth)
		}
	}
}

// 300 gateways start without a list. All are ready within 2 s, at most a tenth of the fleet calls the list
// service within any 100 ms, and no host exceeds its connection limit. A single gateway is ready within
// 0.3 s.
func TestStartFromNothing(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		r := Virtual(loadScenario(t, "start-300", seed))
		calls := r.Catalogs[0]
		if r.Ready.P99 > 2 || r.Ready.Never > 0 || calls.Busiest > 30 || calls.Calls > 360 || r.Conns.TurnedAway > 0 {
			t.Errorf("seed %d: %+v, %+v, %+v", seed, r.Ready, calls, r.Conns)
		}
	}
	s := loadScenario(t, "start-300", 1)
	s.Gateways.Count, s.Gateways.Configured, s.Load.Rate = 1, 1, 10
	if r := Virtual(s); r.Ready.Max > 0.3 {
		t.Errorf("a single gateway was ready after %v s, want at most 0.3 s", r.Ready.Max)
	}
}

// The list service resets every call for the first 20 s. 300 gateways call it at most 100 times per second
// and are ready within 3 s of its return. With saved lists they are ready at once.
func TestStartWithoutListService(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		s := loadScenario(t, "start-no-catalog", seed)
		r := Virtual(s)
		calls := 0
		for _, n := range r.Series.Calls[0][60:200] { // from 6 s on, after the first calls
			calls += n
		}
		// 3.01 s: the call slots of a gateway are 3 s apart, and the answer takes some time.
		if r.Ready.Max > 20+3.01 || r.Ready.Never > 0 || calls > 100*14 || r.Catalogs[0].Busiest > 30 {
			t.Errorf("seed %d: %+v, %d calls in 14 s of outage, %d in the busiest 100 ms", seed, r.Ready, calls, r.Catalogs[0].Busiest)
		}
		s.Gateways.SavedListShare = 1
		if r := Virtual(s); r.Ready.Max > 0.1 || r.Requests.ServedPart < 0.95 {
			t.Errorf("seed %d, with saved lists: %+v, %+v", seed, r.Ready, r.Requests)
		}
	}
}

// The list service takes 300 ms for a call and serves one at a time. All 300 gateways become ready as fast
// as it can serve them, and a gateway whose call was shed calls at most once in two seconds.
func TestStartOnSlowListService(t *testing.T) {
	r := Virtual(loadScenario(t, "start-slow-catalog", 1))
	if c := r.Catalogs[0]; r.Ready.Never > 0 || r.Ready.Max > 300*0.3+3 || c.Second > 167 || c.Calls > 300*93/2 {
		t.Errorf("%+v, %+v", r.Ready, c)
	}
}

// One of three instances is killed while 300 gateways start, or is a black hole all the time: gateways that
// call it go on to the next one, and all are ready within 3 s. If the only instance answers 503 to
// everything for 10 s, they are ready within 3 s of the end of that and call it 100 times per second until
// then.
func TestStartWithAnInstanceGone(t *testing.T) {
	for _, name := range []string{"start-leader-killed", "start-catalog-hole"} {
		r := Virtual(loadScenario(t, name, 1))
		calls := 0
		for _, c := range r.Catalogs {
			calls += c.Calls
		}
		if r.Ready.Never > 0 || r.Ready.Max > 3 || calls > 420 {
			t.Errorf("%s: %+v, %d calls", name, r.Ready, calls)
		}
	}
	s := loadScenario(t, "start-no-catalog", 1)
	s.Faults[0].Action, s.Faults[0].Length = "busy", Duration(10e9)
	r := Virtual(s)
	calls := 0
	for _, n := range r.Series.Calls[0][60:100] {
		calls += n
	}
	if r.Ready.Max > 13.01 || r.Ready.Never > 0 || calls > 404 {
		t.Errorf("busy for 10 s: %+v, %d calls in 4 s of that", r.Ready, calls)
	}
}

// Thirty gateways have uneven traffic and no membership. Hosts restart cold, several at once and one after
// another, during a burst and while half of the gateways restart. What the whole fleet sends to a cold
// host stays within its budget and the allowance of 2 * sqrt(N) + 2 for random variation, and the other
// requests are served meanwhile.
func TestRampHoldsForTheFleet(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		r := Virtual(loadScenario(t, "ramp-30", seed))
		if r.OverloadFailures.Hosts > 0 || r.Requests.ServedPart < 0.8 {
			t.Errorf("seed %d: %d hosts failed by overload, %.3f of the requests served", seed, r.OverloadFailures.Hosts, r.Requests.ServedPart)
		}
	}
}
