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
	Name        string      `toml:"name"`
	Seed        uint64      `toml:"seed"`
	Length      Duration    `toml:"length"`
	MeasureFrom Duration    `toml:"measure_from"` // figures of requests and spread count from here on
	Gateways    Gateways    `toml:"gateways"`
	Hosts       []HostGroup `toml:"hosts"`
	Rules       Rules       `toml:"rules"`
	Load        Load        `toml:"load"`
	Classes     []Class     `toml:"class"`
	Catalog     Catalog     `toml:"catalog"`
	Net         Net         `toml:"net"`
	Faults      []Fault     `toml:"fault"`
}

// Gateways describes the fleet of gateways.
type Gateways struct {
	Count           int      `toml:"count"`      // ranks 0 to count-1
	Configured      int      `toml:"configured"` // what their settings say there are; 0: count
	AbsentShare     float64  `toml:"absent"`     // share of the ranks that never start
	AbsentSelection string   `toml:"absent_how"` // run, random or every (the k-th of 1/absent)
	StartSpread     Duration `toml:"start_spread"`
	SavedListShare  float64  `toml:"known"`      // share that starts with a saved list
	Membership      bool     `toml:"membership"` // each has a view of the others
	PeerDetection   Duration `toml:"detect"`     // until a view has one dead that has gone (virtual)
}

// HostGroup is a group of hosts of one kind in one zone.
type HostGroup struct {
	Count int     `toml:"count"`
	Kind  string  `toml:"kind"`
	Zone  string  `toml:"zone"`
	Cores int     `toml:"cores"`
	Speed float64 `toml:"speed"` // of a core: work of 10 ms takes 10 ms at speed 1
	Cold  bool    `toml:"cold"`  // started at the first moment, else long ago
}

// Rules are what every host keeps to and what gateways are told of it (BRIEF, PROTOCOL).
type Rules struct {
	QueueLimit     int      `toml:"queue"`           // requests a host holds, in work or waiting; more are turned away
	MaxConns       int      `toml:"conn_cap"`        // open connections it accepts
	ConnCost       Duration `toml:"conn_cost"`       // work of a new connection at speed 1
	ConnIdle       Duration `toml:"conn_idle"`       // it closes one that is idle this long
	DialTimeout    Duration `toml:"dial_timeout"`    // a gateway gives up a connection by then
	ColdFrom       float64  `toml:"cold_from"`       // capacity it starts with, as a share
	WarmAfter      Duration `toml:"warm_after"`      // and it is warm after this, rising evenly
	OverloadFactor float64  `toml:"overload_factor"` // cold, it falls at this multiple of its present capacity
	OverloadPeriod Duration `toml:"fall"`            // kept up over this window
}

// Load is what clients send.
type Load struct {
	Rate          float64  `toml:"rate"` // requests a second over the whole fleet
	Skew          float64  `toml:"skew"` // weight of a gateway: 1-skew + skew x an exponential
	Start         Duration `toml:"from"`
	Retries       int      `toml:"retries"` // a client asks again after a refusal
	RetryWait     Duration `toml:"retry_wait"`
	EdgeDetection Duration `toml:"front_notice"` // until the front sees that a gateway has died
	BurstFactor   float64  `toml:"burst"`        // times as many requests
	BurstStart    Duration `toml:"burst_at"`     // ... from then on,
	BurstLength   Duration `toml:"burst_for"`    // ... for so long
}

// Class is one kind of request.
type Class struct {
	Name          string   `toml:"name"`
	Share         float64  `toml:"share"`
	Work          Duration `toml:"work"`  // mean work at speed 1
	WaitTime      Duration `toml:"waits"` // mean wait on others, which uses no core
	LatencyTarget Duration `toml:"aim"`
	Deadline      Duration `toml:"deadline"`
	Effect        string   `toml:"effect"` // idempotent or at_most_once
	Importance    float64  `toml:"worth"`
}

// Catalog is the list service.
type Catalog struct {
	Instances    int      `toml:"instances"`
	CallTime     Duration `toml:"call"`       // what a call takes
	MaxInWork    int      `toml:"work"`       // calls in work at most; 1: in turn
	QueueLimit   int      `toml:"queue"`      // calls that wait at most
	MaxCallWait  Duration `toml:"call_wait"`  // a call that waited this long is turned away
	ListingDelay Duration `toml:"notice"`     // until a change of a host is on the list
	AskWithin    Duration `toml:"ask_within"` // as the settings say
	Push         bool     `toml:"push"`       // the gateways need not ask (settings: automatic)
}

// Net is the network between gateways and hosts.
type Net struct {
	SameZone  Duration `toml:"same"`  // one way within a zone
	CrossZone Duration `toml:"cross"` // one way between two zones
}

// Fault is one entry of the time line.
type Fault struct {
	Start        Duration `toml:"at"`
	Length       Duration `toml:"for"`    // until it ends; 0: it stays
	Target       string   `toml:"on"`     // gateways, hosts, links or catalog
	Action       string   `toml:"do"`     // see faultActions
	Share        float64  `toml:"share"`  // of the gateways or hosts; 0: all
	Selection    string   `toml:"how"`    // which: random (default), run, every
	Zone         string   `toml:"zone"`   // only hosts of this zone, or gateways in it
	HostShare    float64  `toml:"hosts"`  // for links: share of hosts at their far end; 0: all
	Factor       float64  `toml:"factor"` // for slow: times slower
	Delay        Duration `toml:"delay"`  // for delay and late: added one way; for catalog slow: a call's time
	Steps        int      `toml:"steps"`  // done in this many parts
	StepInterval Duration `toml:"step"`   // ... one after this time
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
		Gateways: Gateways{AbsentSelection: "random", PeerDetection: ms(4_000)},
		Rules: Rules{QueueLimit: 64, MaxConns: 22, ConnCost: ms(6), ConnIdle: ms(60_000), DialTimeout: ms(250),
			ColdFrom: 0.13, WarmAfter: ms(24_000), OverloadFactor: 3, OverloadPeriod: ms(2_000)},
		Load:    Load{Skew: 0.7, EdgeDetection: ms(2_500), RetryWait: ms(100)},
		Catalog: Catalog{Instances: 1, CallTime: ms(1), MaxInWork: 1, QueueLimit: 1024, MaxCallWait: ms(1_000), ListingDelay: ms(1_000), AskWithin: ms(10_000)},
		Net:     Net{SameZone: Duration(200 * time.Microsecond), CrossZone: ms(6)},
	}
}

func defaultClasses() []Class {
	ms := func(n int) Duration { return Duration(time.Duration(n) * time.Millisecond) }
	return []Class{
		{Name: "look", Share: 0.5, Work: ms(10), WaitTime: ms(30), LatencyTarget: ms(300), Deadline: ms(1200), Effect: "idempotent", Importance: 2},
		{Name: "save", Share: 0.5, Work: ms(10), WaitTime: ms(30), LatencyTarget: ms(800), Deadline: ms(4000), Effect: "at_most_once", Importance: 5},
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
	if err := s.validate(text); err != nil {
		return nil, err
	}
	return &s, nil
}

// validate refuses impossible values, each with the line of its key.
func (s *Scenario) validate(text []byte) error {
	var err error
	require := func(ok bool, table string, n int, key, format string, args ...any) {
		if !ok && err == nil {
			err = fmt.Errorf("line %d: %s%s: %s", lineOf(text, table, n, key), keyPrefix(table), key, fmt.Sprintf(format, args...))
		}
	}
	isShare := func(x float64) bool { return x >= 0 && x <= 1 }
	oneOf := func(v string, list ...string) bool {
		for _, l := range list {
			if v == l {
				return true
			}
		}
		return false
	}
	g, r, l, c := &s.Gateways, &s.Rules, &s.Load, &s.Catalog
	require(s.Name != "", "", 0, "name", "missing")
	require(s.Length > 0 && s.Length.std() <= time.Hour, "", 0, "length", "%v is not above 0 and up to 1h", s.Length.std())
	require(s.MeasureFrom >= 0 && s.MeasureFrom < s.Length, "", 0, "measure_from", "not within the length")
	require(g.Count >= 1 && g.Count <= 10_000, "gateways", 0, "count", "%d is not between 1 and 10000", g.Count)
	require(g.Configured >= 1 && g.Configured <= 1<<20, "gateways", 0, "configured", "%d is not between 1 and %d", g.Configured, 1<<20)
	require(g.AbsentShare >= 0 && g.AbsentShare < 1, "gateways", 0, "absent", "%v is not a share below 1", g.AbsentShare)
	require(oneOf(g.AbsentSelection, "run", "random", "every"), "gateways", 0, "absent_how", "%q is not run, random or every", g.AbsentSelection)
	require(isShare(g.SavedListShare), "gateways", 0, "known", "%v is not a share", g.SavedListShare)
	require(g.StartSpread >= 0 && g.StartSpread < s.Length, "gateways", 0, "start_spread", "not within the length")
	require(len(s.Hosts) > 0, "", 0, "hosts", "there are none")
	for i, h := range s.Hosts {
		require(h.Count >= 1 && h.Count <= 10_000, "hosts", i, "count", "%d is not between 1 and 10000", h.Count)
		require(h.Cores <= 64, "hosts", i, "cores", "%d is not between 1 and 64", h.Cores)
		require(h.Speed > 0 && h.Speed <= 100, "hosts", i, "speed", "%v is not above 0 and up to 100", h.Speed)
	}
	require(r.QueueLimit >= 1, "rules", 0, "queue", "%d is below 1", r.QueueLimit)
	require(r.MaxConns >= 1, "rules", 0, "conn_cap", "%d is below 1", r.MaxConns)
	require(r.ConnCost >= 0, "rules", 0, "conn_cost", "below 0")
	require(r.ConnIdle > 0, "rules", 0, "conn_idle", "not above 0")
	require(r.DialTimeout > 0, "rules", 0, "dial_timeout", "not above 0")
	require(r.ColdFrom > 0 && r.ColdFrom <= 1, "rules", 0, "cold_from", "%v is not above 0 and up to 1", r.ColdFrom)
	require(r.WarmAfter > 0, "rules", 0, "warm_after", "not above 0")
	require(r.OverloadFactor >= 1 && r.OverloadFactor <= 1000, "rules", 0, "overload_factor", "%v is not between 1 and 1000", r.OverloadFactor)
	require(r.OverloadPeriod > 0, "rules", 0, "fall", "not above 0")
	require(l.Rate >= 0 && l.Rate <= 1e6, "load", 0, "rate", "%v is not between 0 and 1e6", l.Rate)
	require(isShare(l.Skew), "load", 0, "skew", "%v is not a share", l.Skew)
	require(l.Retries >= 0 && l.Retries <= 10, "load", 0, "retries", "%d is not between 0 and 10", l.Retries)
	require(l.BurstFactor >= 0 && l.BurstFactor <= 100, "load", 0, "burst", "%v is not between 0 and 100", l.BurstFactor)
	require(l.BurstStart >= 0 && l.BurstLength >= 0 && (l.BurstLength == 0 || l.BurstFactor > 0), "load", 0, "burst_at", "a time is below 0, or there is no burst")
	require(l.Start >= 0 && l.EdgeDetection >= 0 && l.RetryWait >= 0, "load", 0, "from", "a time is below 0")
	totalShare := 0.0
	for i, k := range s.Classes {
		totalShare += k.Share
		require(k.Name != "", "class", i, "name", "missing")
		require(k.Share >= 0, "class", i, "share", "below 0")
		require(k.Work > 0, "class", i, "work", "not above 0")
		require(k.WaitTime >= 0, "class", i, "waits", "below 0")
		require(k.LatencyTarget > 0 && k.LatencyTarget <= k.Deadline, "class", i, "aim", "not above 0 and up to the deadline")
		require(oneOf(k.Effect, "idempotent", "at_most_once"), "class", i, "effect", "%q is not idempotent or at_most_once", k.Effect)
	}
	require(totalShare > 0, "class", 0, "share", "the classes have no share")
	require(c.Instances == 1 || c.Instances == 3, "catalog", 0, "instances", "%d is not 1 or 3", c.Instances)
	require(c.CallTime >= 0 && c.MaxCallWait > 0 && c.ListingDelay >= 0, "catalog", 0, "call", "a time is below 0")
	require(c.MaxInWork >= 1, "catalog", 0, "work", "%d is below 1", c.MaxInWork)
	require(c.QueueLimit >= 1, "catalog", 0, "queue", "%d is below 1", c.QueueLimit)
	require(c.AskWithin > 0, "catalog", 0, "ask_within", "not above 0")
	require(s.Net.SameZone >= 0 && s.Net.CrossZone >= 0, "net", 0, "same", "a time is below 0")
	for i, f := range s.Faults {
		require(f.Start >= 0 && f.Start < s.Length, "fault", i, "at", "not within the length")
		require(f.Length >= 0, "fault", i, "for", "below 0")
		actions, ok := faultActions[f.Target]
		require(ok, "fault", i, "on", "%q is not gateways, hosts, links, members or catalog", f.Target)
		require(!ok || oneOf(f.Action, actions...), "fault", i, "do", "%q is not one of %s", f.Action, strings.Join(actions, ", "))
		require(isShare(f.Share), "fault", i, "share", "%v is not a share", f.Share)
		require(isShare(f.HostShare), "fault", i, "hosts", "%v is not a share", f.HostShare)
		require(oneOf(f.Selection, "", "random", "run", "every"), "fault", i, "how", "%q is not random, run or every", f.Selection)
		require(f.Action != "slow" || f.Target != "hosts" || f.Factor > 0, "fault", i, "factor", "slow hosts need a factor above 0")
		require(f.Delay >= 0, "fault", i, "delay", "below 0")
		require(f.Steps >= 0 && f.Steps <= 1000 && f.StepInterval >= 0, "fault", i, "steps", "not between 0 and 1000")
		require(f.Zone == "" || s.hasZone(f.Zone), "fault", i, "zone", "no host is in zone %q", f.Zone)
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

func keyPrefix(table string) string {
	if table == "" {
		return ""
	}
	return table + "."
}

// lineOf finds the line of a key in the n-th table of that name, or the table's, or 1.
func lineOf(text []byte, table string, index int, key string) int {
	current, tableCount, line := "", map[string]int{}, 1
	for i, l := range strings.Split(string(text), "\n") {
		l = strings.TrimSpace(l)
		if strings.HasPrefix(l, "[") {
			current = strings.Trim(strings.SplitN(l, "#", 2)[0], "[] ")
			tableCount[current]++
			if current == table && tableCount[current] == index+1 {
				line = i + 1
			}
			continue
		}
		k, _, found := strings.Cut(l, "=")
		if found && strings.TrimSpace(k) == key && current == table && (table == "" || tableCount[current] == index+1) {
			return i + 1
		}
	}
	return line
}
