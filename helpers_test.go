package bramblelock

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// basicSettings returns the settings of a small deployment with one class of each effect.
func basicSettings() Settings {
	return Settings{
		Instances: 1, EventInterval: ms, MaxAttempts: 4, CancelAllowed: true, MaxRetryAfter: time.Second,
		Classes: []Class{
			{LatencyTarget: 400 * ms, Deadline: time.Second, PriorityWeight: 1},
			{LatencyTarget: 400 * ms, Deadline: time.Second, PriorityWeight: 2, Effect: Deduplicated, DedupScope: DedupCell, DedupWindow: 600 * ms},
			{LatencyTarget: 400 * ms, Deadline: time.Second, PriorityWeight: 5, Effect: AtMostOnce},
		},
		ColdCapacity: 0.3, WarmAfter: 9 * time.Second, OverloadFactor: 2.5, OverloadWindow: time.Second,
	}
}

// gateway is a scripted gateway that drives one Balancer. The test sets the clock and reports each
// event.
type gateway struct {
	*testing.T
	b       *Balancer
	now     Time
	nextID  RequestID
	actions []Action // of the last event, without those that have a field of their own below
	logs    []string
	timers  []Action

	closed []HostID
}

// startGateway starts a Balancer with the settings and a saved list of the hosts.
func startGateway(t *testing.T, set Settings, hosts ...Host) *gateway {
	t.Helper()
	b, err := New(set, 7)
	if err != nil {
		t.Fatal(err)
	}
	g := &gateway{T: t, b: b, now: time.Hour}
	b.Start(g.now)
	g.updateHosts(ListSaved, hosts...)
	return g
}

// testHosts returns n ready hosts with the IDs 1 to n, two in each zone and cell.
func testHosts(n int) []Host {
	var list []Host
	for i := range n {
		list = append(list, Host{ID: HostID(i + 1), Cell: i / 2, Zone: i / 2})
	}
	return list
}

// collectActions takes the actions of the last event and sorts them by kind into the fields of g.
func (g *gateway) collectActions() {
	g.actions = g.actions[:0]
	for _, a := range g.b.TakeActions(nil) {
		switch a.Kind {
		case Log:
			g.logs = append(g.logs, a.Text)
		case Wake:
			g.timers = append(g.timers, a)
		case Close:
			g.closed = append(g.closed, a.Host)
		default:
			g.actions = append(g.actions, a)
		}
	}
}

func (g *gateway) updateHosts(kind ListKind, hosts ...Host) {
	g.b.UpdateHosts(g.now, kind, hosts)
	g.collectActions()
}

func (g *gateway) request(class int, remaining time.Duration) RequestID {
	g.nextID++
	g.b.Request(g.now, Request{ID: g.nextID, Class: class, Remaining: remaining})
	g.collectActions()
	return g.nextID
}

func (g *gateway) outcome(id RequestID, attempt int, result Result, elapsed time.Duration) {
	g.b.Outcome(g.now, Outcome{Request: id, Attempt: attempt, Result: result, Elapsed: elapsed, Answered: result == OK})
	g.collectActions()
}

// advance moves the clock by d and fires the timers that are due, oldest first. It returns the
// actions that they led to.
func (g *gateway) advance(d time.Duration) []Action {
	var emitted []Action
	for end := g.now + d; ; {
		earliest := -1
		for i, timer := range g.timers {
			if timer.At <= end && (earliest < 0 || timer.At < g.timers[earliest].At) {
				earliest = i
			}
		}
		if earliest < 0 {
			g.now = end
			return emitted
		}
		timer := g.timers[earliest]
		g.timers = append(g.timers[:earliest], g.timers[earliest+1:]...)
		g.now = max(g.now, timer.At)
		g.b.Timer(g.now, timer.Token)
		g.collectActions()
		emitted = append(emitted, g.actions...)
	}
}

// onlyAction returns the only action of the last event, which must be of the given kind.
func (g *gateway) onlyAction(kind ActionKind) Action {
	g.Helper()
	if len(g.actions) != 1 || g.actions[0].Kind != kind {
		g.Fatalf("actions %v, want only one of kind %d", g.actions, kind)
	}
	return g.actions[0]
}

// serve sends n requests one after another, each answered after the time that took gives for its
// host, and returns how many went to each host.
func (g *gateway) serve(n int, class int, took func(HostID) time.Duration) map[HostID]int {
	g.Helper()
	got := map[HostID]int{}
	for range n {
		id := g.request(class, time.Second)
		h := g.onlyAction(Send).Host
		got[h]++
		d := took(h)
		g.advance(d)
		g.outcome(id, 0, OK, d)
	}
	return got
}

// sendTo sends requests until one goes to the host, and returns its ID. The others are answered
// after took.
func (g *gateway) sendTo(host HostID, took time.Duration) RequestID {
	g.Helper()
	for {
		id := g.request(0, time.Second)
		if g.onlyAction(Send).Host == host {
			return id
		}
		g.outcome(id, 0, OK, took)
	}
}

func (b *Balancer) discardActions() { b.actions = b.actions[:0] }

// startBalancer starts a Balancer with twelve hosts and returns it with its time.
func startBalancer(tb testing.TB) (*Balancer, Time) {
	b, err := New(basicSettings(), 1)
	if err != nil {
		tb.Fatal(err)
	}
	now := time.Hour
	b.Start(now)
	b.UpdateHosts(now, ListSaved, testHosts(12))
	return b, now
}
