package fleetlab

import (
	"encoding/json"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const smallScenario = `name = "small"
length = "12s"
[gateways]
count = 30
[[hosts]]
count = 10
zone = "a"
[[hosts]]
count = 10
zone = "b"
cold = true
[load]
rate = 200
`

// allFaultsScenario has a fault on each kind of target but members.
const allFaultsScenario = smallScenario + `
retries = 1
[[fault]]
at = "2s"
for = "1s"
on = "gateways"
do = "restart"
share = 0.5
[[fault]]
at = "3s"
for = "1s"
on = "gateways"
do = "stop"
share = 0.2
how = "every"
[[fault]]
at = "3s"
for = "3s"
on = "hosts"
do = "silence"
zone = "a"
share = 0.3
[[fault]]
at = "4s"
on = "hosts"
do = "replace"
share = 0.2
steps = 2
step = "1s"
[[fault]]
at = "5s"
for = "2s"
on = "links"
do = "black-hole"
share = 0.3
hosts = 0.5
[[fault]]
at = "6s"
for = "2s"
on = "catalog"
do = "black-hole"
`

func parse(t *testing.T, text string) *Scenario {
	t.Helper()
	s, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestSameSeedSameBytes(t *testing.T) {
	s := parse(t, allFaultsScenario)
	a, _ := json.Marshal(Virtual(s))
	b, _ := json.Marshal(Virtual(s))
	if string(a) != string(b) {
		t.Error("two runs of the same seed differ")
	}
	s.Seed++
	if c, _ := json.Marshal(Virtual(s)); string(a) == string(c) {
		t.Error("another seed gives the same run")
	}
}

// Every request that was drawn ends exactly once under any fault, and the oracle serves no fewer than the fleet.
func TestEveryRequestEndsOnce(t *testing.T) {
	s := parse(t, allFaultsScenario)
	drawn := 0
	for load := newArrivals(s); ; drawn++ {
		if _, more := load.draw(); !more {
			break
		}
	}
	r, o := Virtual(s), Oracle(s)
	if r.Requests.Sent != drawn || o.Requests.Sent != drawn {
		t.Errorf("%d requests drawn, %d ended, %d ended with the oracle", drawn, r.Requests.Sent, o.Requests.Sent)
	}
	if r.Requests.Served == 0 || r.Requests.Lost == 0 || o.Requests.Served < r.Requests.Served {
		t.Errorf("gateways %+v, oracle %+v", r.Requests, o.Requests)
	}
}

func TestScenarioErrorsNameTheLine(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{smallScenario + "rats = 3\n", "line 14: unknown key \"load.rats\""},
		{strings.Replace(smallScenario, "count = 30", "count = \"many\"", 1), "line 4: "},
		{strings.Replace(smallScenario, "count = 30", "count = 0", 1), "line 4: gateways.count: 0 is not between"},
		{strings.Replace(smallScenario, "length = \"12s\"", "length = \"twelve\"", 1), "line 2: "},
		{strings.Replace(smallScenario, "cold = true", "speed = -1.0", 1), "line 11: hosts.speed: -1 is not above 0"},
		{smallScenario + "[[fault]]\nat = \"1s\"\non = \"hosts\"\ndo = \"melt\"\n", "line 17: fault.do: \"melt\" is not one of kill"},
		{smallScenario + "[[fault]]\nat = \"99s\"\non = \"hosts\"\ndo = \"kill\"\n", "line 15: fault.at: not within the length"},
		{smallScenario + "[[fault\n", "line 14: "},
		{"name = 'x'\nlength = '1s'\n[gateways]\ncount = 1\n", "hosts: there are none"},
	} {
		if _, err := Parse([]byte(c.text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("want %q, got %v", c.want, err)
		}
	}
}

func TestScenarioFilesLoad(t *testing.T) {
	files, _ := filepath.Glob("../../scenarios/*.toml")
	if len(files) == 0 {
		t.Fatal("no scenario files")
	}
	for _, f := range files {
		if _, err := LoadScenario(f); err != nil {
			t.Error(err)
		}
	}
}

// A cold host accepts what the rules allow in any window and fails above that. A warm host never fails by
// overload. The share of the overload that notified gateways sent is recorded.
func TestHostFailsOnOverload(t *testing.T) {
	scenario := parse(t, smallScenario) // mean work 10 ms, cold capacity 0.13, overload factor 3, window 2 s
	send := func(h *Host, n int, notified bool) {
		for range n {
			h.Arrive(1, &Job{Work: 10 * time.Millisecond, Notified: notified})
		}
	}
	cold, warm := NewHost(0, "c", &scenario.Hosts[1], scenario), NewHost(1, "w", &scenario.Hosts[0], scenario)
	// The budget is 3 * 13 requests per second * 2 s = 78, plus an allowance of 2 * sqrt(78) + 2 = 19.7.
	send(cold, 97, true)
	if cold.Overloaded {
		t.Fatal("the cold host failed within its budget")
	}
	send(cold, 1, false)
	if !cold.Overloaded || cold.NotifiedShare < 0.98 || cold.Condition != Dead {
		t.Errorf("over its budget: failed %v, share of notified gateways %v", cold.Overloaded, cold.NotifiedShare)
	}
	if send(warm, 5000, true); warm.Overloaded {
		t.Error("the warm host failed by overload")
	}
}

// One core at half speed serves 50 requests of 10 ms per second, one after another. A cancelled request
// takes no further time of the core, and requests over the queue limit are rejected.
func TestHostServesOneAfterAnother(t *testing.T) {
	s := parse(t, smallScenario)
	s.Hosts[0].Speed = 0.5
	h := NewHost(0, "h", &s.Hosts[0], s)
	var jobs []*Job
	for range s.Rules.QueueLimit + 1 {
		j := &Job{Work: 10 * time.Millisecond}
		jobs = append(jobs, j)
		if v := h.Arrive(0, j); (v == Rejected) != (len(jobs) > s.Rules.QueueLimit) {
			t.Fatalf("request %d: verdict %d", len(jobs), v)
		}
	}
	for _, j := range jobs[1:31] {
		h.Cancel(0, j)
	}
	if done := len(h.Advance(time.Second / 2)); done != 24 { // 25 * 20 ms, but each takes a nanosecond more
		t.Errorf("%d requests completed in half a second, want 24", done)
	}
	if !h.Release(jobs[0]) || h.Release(jobs[1]) {
		t.Error("Release succeeded for a cancelled job, or failed for a completed one")
	}
}

// A fault of a host that has restarted since it failed by overload ends as that of any other host does. A
// host that is still down from an overload stays down.
func TestFaultEndsAfterAnEarlierOverload(t *testing.T) {
	for _, restarted := range []bool{true, false} {
		s := parse(t, smallScenario)
		w := &world{scenario: s, now: time.Second}
		h := w.addHost(&s.Hosts[1])
		h.overload()
		if restarted {
			w.applyHostFault(&Fault{Action: "cold"}, h)
		}
		w.applyHostFault(&Fault{Action: "kill", Length: Duration(time.Second)}, h)
		w.runUntil(time.Minute)
		if (h.Condition == Serving) != restarted || !h.Overloaded {
			t.Errorf("restarted %t: condition %d, recorded as overloaded %t", restarted, h.Condition, h.Overloaded)
		}
	}
}

// A gateway that is stopped beyond the deadline of an attempt keeps the connection, and so the host's work
// on it, until it continues. Only then does it call the list service after the loss of its watch.
func TestStoppedGatewayDoesNothing(t *testing.T) {
	s := parse(t, `name = "stopped"
length = "4s"
[catalog]
push = true
[gateways]
count = 1
[[hosts]]
count = 1
[load]
rate = 50
[[class]]
name = "hang"
share = 1
work = "1ms"
waits = "10s"
aim = "1s"
deadline = "1s"
effect = "idempotent"
[[fault]]
at = "2s"
for = "5s"
on = "gateways"
do = "stop"
[[fault]]
at = "3s"
for = "1s"
on = "catalog"
do = "reset"
`)
	w := newWorld(s, false)
	observe := func(at Time) (pending, calls int) {
		w.runUntil(at)
		for _, n := range w.recorder.callsByCatalog[0] {
			calls += n
		}
		return w.hosts[0].Pending(), calls
	}
	pending, calls := observe(2 * time.Second)
	if p, c := observe(6 * time.Second); pending == 0 || p < pending || c > calls {
		t.Errorf("%d requests at the host when the gateway was stopped, %d before it continued; %d calls, then %d", pending, p, calls, c)
	}
	if p, c := observe(8 * time.Second); p > 0 || c <= calls {
		t.Errorf("after the gateway continued: %d requests at the host, %d calls", p, c)
	}
}
