// Package fleetlab measures how a whole fleet of gateways behaves when parts of it fail:
// it plays one scenario file either in one process on a virtual clock or with real
// processes, and gives the same figures of both.
//
// It is the project's own model of what the gateway serves (hosts, clients, list service,
// network). It is a measuring tool and never part of a gateway.
package fleetlab

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Duration is a span of time, written "1.5s" or "200ms" in a scenario.
type Duration time.Duration

// UnmarshalText reads Go's form of a span.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

func (d Duration) std() time.Duration { return time.Duration(d) }

// Scenario is one experiment: a fleet, its load and a time line of faults. docs/fleetlab.md
// explains every key; keys that a file leaves out have the values of Defaults.
type Scenario struct {
	Name     string   `toml:"name"`
	Seed     uint64   `toml:"seed"`
	Length   Duration `toml:"length"`
	Measure  Duration `toml:"measure_from"` // figures of requests and spread count from here on
	Gateways Gateways `toml:"gateways"`
	Hosts    []Hosts  `toml:"hosts"`
	Rules    Rules    `toml:"rules"`
	Load     Load     `toml:"load"`
	Classes  []Class  `toml:"class"`
	Catalog  Catalog  `toml:"catalog"`
	Net      Net      `toml:"net"`
	Faults   []Fault  `toml:"fault"`
}

// Gateways describes the fleet of gateways.
type Gateways struct {
	Count       int      `toml:"count"`      // ranks 0 to count-1
	Configured  int      `toml:"configured"` // what their settings say there are; 0: count
	Absent      float64  `toml:"absent"`     // share of the ranks that never start
	AbsentHow   string   `toml:"absent_how"` // run, random or every (the k-th of 1/absent)
	StartSpread Duration `toml:"start_spread"`
	Known       float64  `toml:"known"`      // share that starts with a saved list
	Membership  bool     `toml:"membership"` // each has a view of the others
	Detect      Duration `toml:"detect"`     // until a view has one dead that has gone (virtual)
}

// Hosts is a group of hosts of one kind in one zone.
type Hosts struct {
	Count int     `toml:"count"`
	Kind  string  `toml:"kind"`
	Zone  string  `toml:"zone"`
	Cores int     `toml:"cores"`
	Speed float64 `toml:"speed"` // of a core: work of 10 ms takes 10 ms at speed 1
	Cold  bool    `toml:"cold"`  // started at the first moment, else long ago
}

// Rules are what every host keeps to and what gateways are told of it (BRIEF, PROTOCOL).
type Rules struct {
	Queue          int      `toml:"queue"`           // requests a host holds, in work or waiting; more are turned away
	ConnCap        int      `toml:"conn_cap"`        // open connections it accepts
	ConnCost       Duration `toml:"conn_cost"`       // work of a new connection at speed 1
	ConnIdle       Duration `toml:"conn_idle"`       // it closes one that is idle this long
	DialTimeout    Duration `toml:"dial_timeout"`    // a gateway gives up a connection by then
	ColdFrom       float64  `toml:"cold_from"`       // capacity it starts with, as a share
	WarmAfter      Duration `toml:"warm_after"`      // and it is warm after this, rising evenly
	OverloadFactor float64  `toml:"overload_factor"` // cold, it falls at this multiple of its present capacity
	Fall           Duration `toml:"fall"`            // kept up over this window
}

// Load is what clients send.
type Load struct {
	Rate      float64  `toml:"rate"` // requests a second over the whole fleet
	Skew      float64  `toml:"skew"` // weight of a gateway: 1-skew + skew x an exponential
	From      Duration `toml:"from"`
	Retries   int      `toml:"retries"` // a client asks again after a refusal
	RetryWait Duration `toml:"retry_wait"`
	Notice    Duration `toml:"front_notice"` // until the front sees that a gateway has died
	Burst     float64  `toml:"burst"`        // times as many requests
	BurstAt   Duration `toml:"burst_at"`     // ... from then on,
	BurstFor  Duration `toml:"burst_for"`    // ... for so long
}

// Class is one kind of request.
type Class struct {
	Name     string   `toml:"name"`
	Share    float64  `toml:"share"`
	Work     Duration `toml:"work"`  // mean work at speed 1
	Waits    Duration `toml:"waits"` // mean wait on others, which uses no core
	Aim      Duration `toml:"aim"`
	Deadline Duration `toml:"deadline"`
	Effect   string   `toml:"effect"` // idempotent or at_most_once
	Worth    float64  `toml:"worth"`
}

// Catalog is the list service.
type Catalog struct {
	Instances int      `toml:"instances"`
	Call      Duration `toml:"call"`       // what a call takes
	Work      int      `toml:"work"`       // calls in work at most; 1: in turn
	Queue     int      `toml:"queue"`      // calls that wait at most
	CallWait  Duration `toml:"call_wait"`  // a call that waited this long is turned away
	Notice    Duration `toml:"notice"`     // until a change of a host is on the list
	AskWithin Duration `toml:"ask_within"` // as the settings say
	Push      bool     `toml:"push"`       // the gateways need not ask (settings: automatic)
}

// Net is the network between gateways and hosts.
type Net struct {
	Same  Duration `toml:"same"`  // one way within a zone
	Cross Duration `toml:"cross"` // one way between two zones
}

// Fault is one entry of the time line.
type Fault struct {
	At     Duration `toml:"at"`
	For    Duration `toml:"for"`    // until it ends; 0: it stays
	On     string   `toml:"on"`     // gateways, hosts, links or catalog
	Do     string   `toml:"do"`     // see faultActions
	Share  float64  `toml:"share"`  // of the gateways or hosts; 0: all
	How    string   `toml:"how"`    // which: random (default), run, every
	Zone   string   `toml:"zone"`   // only hosts of this zone, or gateways in it
	Hosts  float64  `toml:"hosts"`  // for links: share of hosts at their far end; 0: all
	Factor float64  `toml:"factor"` // for slow: times slower
	Delay  Duration `toml:"delay"`  // for delay and late: added one way; for catalog slow: a call's time
	Steps  int      `toml:"steps"`  // done in this many parts
	Step   Duration `toml:"step"`   // ... one after this time
}

// faultActions are the actions on each target.
var faultActions = map[string][]string{
	"gateways": {"kill", "term", "stop", "restart", "late", "reconfigure"},
	"hosts":    {"kill", "silence", "slow", "fail", "refuse", "cold", "replace", "join"},
	"links":    {"cut", "delay", "black-hole"},
	"members":  {"cut"},
	"catalog":  {"down", "reset", "busy", "slow", "black-hole", "kill-leader"},
}

// Defaults is a scenario with every value that a file may leave out.
func Defaults() Scenario {
	ms := func(n int) Duration { return Duration(time.Duration(n) * time.Millisecond) }
	return Scenario{
		Seed: 1, Length: ms(20_000),
		Gateways: Gateways{AbsentHow: "random", Detect: ms(4_000)},
		Rules: Rules{Queue: 64, ConnCap: 22, ConnCost: ms(6), ConnIdle: ms(60_000), DialTimeout: ms(250),
			ColdFrom: 0.13, WarmAfter: ms(24_000), OverloadFactor: 3, Fall: ms(2_000)},
		Load:    Load{Skew: 0.7, Notice: ms(2_500), RetryWait: ms(100)},
		Catalog: Catalog{Instances: 1, Call: ms(1), Work: 1, Queue: 1024, CallWait: ms(1_000), Notice: ms(1_000), AskWithin: ms(10_000)},
		Net:     Net{Same: Duration(200 * time.Microsecond), Cross: ms(6)},
	}
}

func defaultClasses() []Class {
	ms := func(n int) Duration { return Duration(time.Duration(n) * time.Millisecond) }
	return []Class{
		{Name: "look", Share: 0.5, Work: ms(10), Waits: ms(30), Aim: ms(300), Deadline: ms(1200), Effect: "idempotent", Worth: 2},
		{Name: "save", Share: 0.5, Work: ms(10), Waits: ms(30), Aim: ms(800), Deadline: ms(4000), Effect: "at_most_once", Worth: 5},
	}
}

// Load reads and checks a scenario file. An error is one line that names the file's line.
func LoadScenario(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// Parse reads a scenario strictly: an unknown key, a wrong type or an impossible value is
// an error "line N: ...", and nothing is started.
func Parse(text []byte) (*Scenario, error) {
	s := Defaults()
	dec := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) && len(strict.Errors) > 0 {
			e := strict.Errors[0]
			row, _ := e.Position()
			return nil, fmt.Errorf("line %d: unknown key %q", row, strings.Join(e.Key(), "."))
		}
		var bad *toml.DecodeError
		if errors.As(err, &bad) {
			row, _ := bad.Position()
			return nil, fmt.Errorf("line %d: %s", row, strings.TrimPrefix(bad.Error(), "toml: "))
		}
		return nil, err
	}
	if s.Classes == nil {
		s.Classes = defaultClasses()
	}
	for i := range s.Hosts {
		h := &s.Hosts[i]
		h.Cores = max(h.Cores, 1)
		if h.Speed == 0 {
			h.Speed = 1
		}
		if h.Kind == "" {
			h.Kind = "host"
		}
		if h.Zone == "" {
			h.Zone = "a"
		}
	}
	if s.Gateways.Configured == 0 {
		s.Gateways.Configured = s.Gateways.Count
	}
	if err := s.check(text); err != nil {
		return nil, err
	}
	return &s, nil
}

// check refuses impossible values, each with the line of its key.
func (s *Scenario) check(text []byte) error {
	var err error
	bad := func(ok bool, table string, n int, key, format string, args ...any) {
		if !ok && err == nil {
			err = fmt.Errorf("line %d: %s%s: %s", lineOf(text, table, n, key), dotted(table), key, fmt.Sprintf(format, args...))
		}
	}
	share := func(x float64) bool { return x >= 0 && x <= 1 }
	oneOf := func(v string, list ...string) bool {
		for _, l := range list {
			if v == l {
				return true
			}
		}
		return false
	}
	g, r, l, c := &s.Gateways, &s.Rules, &s.Load, &s.Catalog
	bad(s.Name != "", "", 0, "name", "missing")
	bad(s.Length > 0 && s.Length.std() <= time.Hour, "", 0, "length", "%v is not above 0 and up to 1h", s.Length.std())
	bad(s.Measure >= 0 && s.Measure < s.Length, "", 0, "measure_from", "not within the length")
	bad(g.Count >= 1 && g.Count <= 10_000, "gateways", 0, "count", "%d is not between 1 and 10000", g.Count)
	bad(g.Configured >= 1 && g.Configured <= 1<<20, "gateways", 0, "configured", "%d is not between 1 and %d", g.Configured, 1<<20)
	bad(g.Absent >= 0 && g.Absent < 1, "gateways", 0, "absent", "%v is not a share below 1", g.Absent)
	bad(oneOf(g.AbsentHow, "run", "random", "every"), "gateways", 0, "absent_how", "%q is not run, random or every", g.AbsentHow)
	bad(share(g.Known), "gateways", 0, "known", "%v is not a share", g.Known)
	bad(g.StartSpread >= 0 && g.StartSpread < s.Length, "gateways", 0, "start_spread", "not within the length")
	bad(len(s.Hosts) > 0, "", 0, "hosts", "there are none")
	for i, h := range s.Hosts {
		bad(h.Count >= 1 && h.Count <= 10_000, "hosts", i, "count", "%d is not between 1 and 10000", h.Count)
		bad(h.Cores <= 64, "hosts", i, "cores", "%d is not between 1 and 64", h.Cores)
		bad(h.Speed > 0 && h.Speed <= 100, "hosts", i, "speed", "%v is not above 0 and up to 100", h.Speed)
	}
	bad(r.Queue >= 1, "rules", 0, "queue", "%d is below 1", r.Queue)
	bad(r.ConnCap >= 1, "rules", 0, "conn_cap", "%d is below 1", r.ConnCap)
	bad(r.ConnCost >= 0, "rules", 0, "conn_cost", "below 0")
	bad(r.ConnIdle > 0, "rules", 0, "conn_idle", "not above 0")
	bad(r.DialTimeout > 0, "rules", 0, "dial_timeout", "not above 0")
	bad(r.ColdFrom > 0 && r.ColdFrom <= 1, "rules", 0, "cold_from", "%v is not above 0 and up to 1", r.ColdFrom)
	bad(r.WarmAfter > 0, "rules", 0, "warm_after", "not above 0")
	bad(r.OverloadFactor >= 1 && r.OverloadFactor <= 1000, "rules", 0, "overload_factor", "%v is not between 1 and 1000", r.OverloadFactor)
	bad(r.Fall > 0, "rules", 0, "fall", "not above 0")
	bad(l.Rate >= 0 && l.Rate <= 1e6, "load", 0, "rate", "%v is not between 0 and 1e6", l.Rate)
	bad(share(l.Skew), "load", 0, "skew", "%v is not a share", l.Skew)
	bad(l.Retries >= 0 && l.Retries <= 10, "load", 0, "retries", "%d is not between 0 and 10", l.Retries)
	bad(l.Burst >= 0 && l.Burst <= 100, "load", 0, "burst", "%v is not between 0 and 100", l.Burst)
	bad(l.BurstAt >= 0 && l.BurstFor >= 0 && (l.BurstFor == 0 || l.Burst > 0), "load", 0, "burst_at", "a time is below 0, or there is no burst")
	bad(l.From >= 0 && l.Notice >= 0 && l.RetryWait >= 0, "load", 0, "from", "a time is below 0")
	sum := 0.0
	for i, k := range s.Classes {
		sum += k.Share
		bad(k.Name != "", "class", i, "name", "missing")
		bad(k.Share >= 0, "class", i, "share", "below 0")
		bad(k.Work > 0, "class", i, "work", "not above 0")
		bad(k.Waits >= 0, "class", i, "waits", "below 0")
		bad(k.Aim > 0 && k.Aim <= k.Deadline, "class", i, "aim", "not above 0 and up to the deadline")
		bad(oneOf(k.Effect, "idempotent", "at_most_once"), "class", i, "effect", "%q is not idempotent or at_most_once", k.Effect)
	}
	bad(sum > 0, "class", 0, "share", "the classes have no share")
	bad(c.Instances == 1 || c.Instances == 3, "catalog", 0, "instances", "%d is not 1 or 3", c.Instances)
	bad(c.Call >= 0 && c.CallWait > 0 && c.Notice >= 0, "catalog", 0, "call", "a time is below 0")
	bad(c.Work >= 1, "catalog", 0, "work", "%d is below 1", c.Work)
	bad(c.Queue >= 1, "catalog", 0, "queue", "%d is below 1", c.Queue)
	bad(c.AskWithin > 0, "catalog", 0, "ask_within", "not above 0")
	bad(s.Net.Same >= 0 && s.Net.Cross >= 0, "net", 0, "same", "a time is below 0")
	for i, f := range s.Faults {
		bad(f.At >= 0 && f.At < s.Length, "fault", i, "at", "not within the length")
		bad(f.For >= 0, "fault", i, "for", "below 0")
		actions, ok := faultActions[f.On]
		bad(ok, "fault", i, "on", "%q is not gateways, hosts, links, members or catalog", f.On)
		bad(!ok || oneOf(f.Do, actions...), "fault", i, "do", "%q is not one of %s", f.Do, strings.Join(actions, ", "))
		bad(share(f.Share), "fault", i, "share", "%v is not a share", f.Share)
		bad(share(f.Hosts), "fault", i, "hosts", "%v is not a share", f.Hosts)
		bad(oneOf(f.How, "", "random", "run", "every"), "fault", i, "how", "%q is not random, run or every", f.How)
		bad(f.Do != "slow" || f.On != "hosts" || f.Factor > 0, "fault", i, "factor", "slow hosts need a factor above 0")
		bad(f.Delay >= 0, "fault", i, "delay", "below 0")
		bad(f.Steps >= 0 && f.Steps <= 1000 && f.Step >= 0, "fault", i, "steps", "not between 0 and 1000")
		bad(f.Zone == "" || s.hasZone(f.Zone), "fault", i, "zone", "no host is in zone %q", f.Zone)
	}
	return err
}

func (s *Scenario) hasZone(name string) bool {
	for _, h := range s.Hosts {
		if h.Zone == name {
			return true
		}
	}
	return false
}

func dotted(table string) string {
	if table == "" {
		return ""
	}
	return table + "."
}

// lineOf finds the line of a key in the n-th table of that name, or the table's, or 1.
func lineOf(text []byte, table string, n int, key string) int {
	at, seen, line := "", map[string]int{}, 1
	for i, l := range strings.Split(string(text), "\n") {
		l = strings.TrimSpace(l)
		if strings.HasPrefix(l, "[") {
			at = strings.Trim(strings.SplitN(l, "#", 2)[0], "[] ")
			seen[at]++
			if at == table && seen[at] == n+1 {
				line = i + 1
			}
			continue
		}
		k, _, found := strings.Cut(l, "=")
		if found && strings.TrimSpace(k) == key && at == table && (table == "" || seen[at] == n+1) {
			return i + 1
		}
	}
	return line
}
