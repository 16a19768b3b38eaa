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

// allFaultsScenario has each kind of fault once.
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
		t.Error("two plays of one seed differ")
	}
	s.Seed++
	if c, _ := json.Marshal(Virtual(s)); string(a) == string(c) {
		t.Error("another seed gives the same play")
	}
}

// Every request that was drawn has one end, whatever fails, and the oracle is a ceiling.
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
		t.Errorf("%d requests drawn, %d ended, %d at the oracle", drawn, r.Requests.Sent, o.Requests.Sent)
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

// A cold host stands what the rules allow in any window and falls above it; a warm one
// never falls; the share of those that had been told is kept.
func TestHostFailsOnOverload(t *testing.T) {
	s := parse(t, smallScenario) // 10 ms of mean work, cold from 0.13, factor 3, over 2 s
	push := func(h *Host, n int, told bool) {
		for range n {
			h.Arrive(1, &Job{Work: 10 * time.Millisecond, Notified: told})
		}
	}
	cold, warm := NewHost(0, "c", &s.Hosts[1], s), NewHost(1, "w", &s.Hosts[0], s)
	// 3 x 13 a second x 2 s = 78, and 2 x root(78) + 2 = 19.7 of slack.
	push(cold, 97, true)
	if cold.Overloaded {
		t.Fatal("it fell within its budget")
	}
	push(cold, 1, false)
	if !cold.Overloaded || cold.NotifiedShare < 0.98 || cold.Condition != Dead {
		t.Errorf("over its budget: fell %v, by the told %v", cold.Overloaded, cold.NotifiedShare)
	}
	if push(warm, 5000, true); warm.Overloaded {
		t.Error("a warm host fell")
	}
}

// One core at half speed does 50 requests of 10 ms a second, in turn; what is called off
// takes no more of it, and over the queue they are turned away.
func TestHostWorksInTurn(t *testing.T) {
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
	if done := len(h.Advance(time.Second / 2)); done != 24 { // 25 x 20 ms, and a nanosecond each
		t.Errorf("%d done in half a second", done)
	}
	if !h.Release(jobs[0]) || h.Release(jobs[1]) {
		t.Error("a job was released though called off, or not though done")
	}
}
