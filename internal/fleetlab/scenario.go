// Package fleetlab measures how a fleet of gateways behaves when parts of the system fail. It runs a
// scenario file either as a simulation on a virtual clock, in one process, or with real processes on
// loopback, and reports the same figures for both.
//
// The package models the environment of a gateway: hosts, clients, the list service and the network.
// It is a test tool and not part of the gateway.
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

// Duration is a time.Duration that a scenario file writes as text, such as "1.5s" or "200ms".
type Duration time.Duration

// UnmarshalText parses the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// std returns d as a duration of the standard library.
func (d Duration) std() time.Duration { return time.Duration(d) }

// Scenario is one experiment: a fleet, its load and a timeline of faults. Defaults returns the values
// of the keys that a file omits, except those of hosts and classes, which Parse sets. docs/fleetlab.md
// describes every key.
type Scenario struct {
	Name        string      `toml:"name"`
	Seed        uint64      `toml:"seed"`
	Length      Duration    `toml:"length"`
	MeasureFrom Duration    `toml:"measure_from"` // earlier requests are not counted in the figures of requests and spread
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
	Count           int       `toml:"count"`        // the ranks are 0 to Count-1
	Configured      int       `toml:"configured"`   // number of gateways that their settings state; 0: Count
	AbsentShare     float64   `toml:"absent"`       // share of the ranks that never start
	AbsentSelection Selection `toml:"absent_how"`   // which ranks are absent (see chooseShare)
	StartSpread     Duration  `toml:"start_spread"` // gateways start at random times within this period
	SavedListShare  float64   `toml:"known"`        // share of the gateways that start with a saved host list
	Membership      bool      `toml:"membership"`   // every gateway knows which others are alive
	PeerDetection   Duration  `toml:"detect"`       // time until the others know that a gateway has exited (virtual engine)
}

// HostGroup is a group of hosts of one kind in one zone.
type HostGroup struct {
	Count int     `toml:"count"`
	Kind  string  `toml:"kind"`
	Zone  string  `toml:"zone"`
	Cores int     `toml:"cores"`
	Speed float64 `toml:"speed"` // speed of a core: work of 10 ms takes 10 ms at speed 1
	Cold  bool    `toml:"cold"`  // the hosts start when the run starts; otherwise they are warm
}

// Rules are the limits of every host. The settings of the gateways state those on slow start, idle connections
// and the dial timeout.
type Rules struct {
	QueueLimit     int      `toml:"queue"`           // maximum number of requests that a host holds, running or waiting; it rejects more
	MaxConns       int      `toml:"conn_cap"`        // maximum number of open connections of a host
	ConnCost       Duration `toml:"conn_cost"`       // work of a new connection at speed 1
	ConnIdle       Duration `toml:"conn_idle"`       // a host may close a connection that is idle for this long; gateways close it after half of that
	DialTimeout    Duration `toml:"dial_timeout"`    // a gateway gives up opening a connection after this time
	ColdCapacity   float64  `toml:"cold_from"`       // share of its full capacity that a host has when it starts
	WarmAfter      Duration `toml:"warm_after"`      // time from the start of a host until its capacity, which rises linearly, is full
	OverloadFactor float64  `toml:"overload_factor"` // multiple of its present capacity at which a cold host fails
	OverloadWindow Duration `toml:"fall"`            // period over which the load of a cold host is compared with its capacity
}

// Load is what clients send.
type Load struct {
	Rate          float64  `toml:"rate"`         // requests per second over the whole fleet
	Skew          float64  `toml:"skew"`         // a gateway has the weight 1-Skew + Skew * X, with X exponentially distributed of mean 1
	Start         Duration `toml:"from"`         // time of the run at which the load begins
	Retries       int      `toml:"retries"`      // maximum number of retries of a client after refusals
	RetryWait     Duration `toml:"retry_wait"`   // time from a refusal to the client's retry
	EdgeDetection Duration `toml:"front_notice"` // time until the edge balancer sends nothing more to a gateway that has died
	BurstFactor   float64  `toml:"burst"`        // factor on Rate during the burst
	BurstStart    Duration `toml:"burst_at"`
	BurstLength   Duration `toml:"burst_for"`
}

// Class is a request class.
type Class struct {
	Name          string   `toml:"name"`
	Share         float64  `toml:"share"` // share of all requests, relative to the sum over the classes
	Work          Duration `toml:"work"`  // mean work at speed 1
	WaitTime      Duration `toml:"waits"` // mean time that a host waits for other services, which uses no core
	LatencyTarget Duration `toml:"aim"`   // an answer after this time counts as late
	Deadline      Duration `toml:"deadline"`
	Effect        Effect   `toml:"effect"`
	Importance    float64  `toml:"worth"` // importance in the settings of the gateways
}

// Catalog describes the list service.
type Catalog struct {
	Instances    int      `toml:"instances"`
	CallTime     Duration `toml:"call"`       // time that an instance works on a call
	MaxInWork    int      `toml:"work"`       // maximum number of calls that an instance works on; 1: one after another
	QueueLimit   int      `toml:"queue"`      // maximum number of waiting calls of an instance
	MaxCallWait  Duration `toml:"call_wait"`  // a call that has waited this long is shed
	ListingDelay Duration `toml:"notice"`     // time until a change of a host is on the list
	MaxWatchGap  Duration `toml:"ask_within"` // longest time that a gateway may be without a watch or a call, as its settings state
	Push         bool     `toml:"push"`       // gateways get the list without asking (discovery = automatic in their settings)
}

// Net describes the latency of the network between gateways and hosts.
type Net struct {
	SameZone  Duration `toml:"same"`  // one way within a zone
	CrossZone Duration `toml:"cross"` // one way between two zones
}

// Fault is one entry of the timeline of faults.
type Fault struct {
	Start        Duration    `toml:"at"`
	Length       Duration    `toml:"for"`    // 0: the fault stays
	Target       FaultTarget `toml:"on"`     // a key of faultActions
	Action       FaultAction `toml:"do"`     // see faultActions
	Share        float64     `toml:"share"`  // share of the gateways or hosts; 0: all
	Selection    Selection   `toml:"how"`    // how they are selected (see chooseShare); empty: SelectRandom
	Zone         string      `toml:"zone"`   // restricts the targets to this zone; for links, the hosts
	HostShare    float64     `toml:"hosts"`  // for links: share of the hosts at their far end; 0: all
	Factor       float64     `toml:"factor"` // for slow hosts: factor on their time of work; for reconfigure: factor on Configured
	Delay        Duration    `toml:"delay"`  // for delay and late: added one way; for a slow catalog: time that it works on a call
	Steps        int         `toml:"steps"`  // the fault starts for the targets in this many groups, one after another; 0: 1
	StepInterval Duration    `toml:"step"`   // time between the groups of two steps
}

// FaultTarget is what a fault strikes.
type FaultTarget string

// Targets of faults.
const (
	TargetGateways FaultTarget = "gateways"
	TargetHosts    FaultTarget = "hosts"
	TargetLinks    FaultTarget = "links"   // between some gateways and some hosts
	TargetMembers  FaultTarget = "members" // the membership among gateways
	TargetCatalog  FaultTarget = "catalog"
)

// FaultAction is what a fault does to its target.
type FaultAction string

// Actions of faults.
const (
	FaultKill        FaultAction = "kill"
	FaultRestart     FaultAction = "restart"     // kills and starts again
	FaultTerm        FaultAction = "term"        // sends SIGTERM
	FaultStop        FaultAction = "stop"        // sends SIGSTOP
	FaultLateLists   FaultAction = "late"        // delays the lists at gateways
	FaultReconfigure FaultAction = "reconfigure" // settings that state another number of gateways
	FaultSilence     FaultAction = "silence"     // hosts accept but do not answer
	FaultSlow        FaultAction = "slow"
	FaultFail        FaultAction = "fail" // hosts answer with errors
	FaultRefuse      FaultAction = "refuse"
	FaultColdRestart FaultAction = "cold"       // hosts restart
	FaultReplace     FaultAction = "replace"    // hosts drain and leave, new ones join
	FaultJoin        FaultAction = "join"       // new hosts join
	FaultCut         FaultAction = "cut"        // resets connections, or parts the membership
	FaultDelay       FaultAction = "delay"      // of messages
	FaultBlackHole   FaultAction = "black-hole" // messages are lost silently
	FaultDown        FaultAction = "down"       // the catalog refuses connections
	FaultReset       FaultAction = "reset"      // the catalog resets connections
	FaultBusy        FaultAction = "busy"       // the catalog answers 503
	FaultKillLeader  FaultAction = "kill-leader"
)

// faultActions lists the actions on each target.
var faultActions = map[FaultTarget][]FaultAction{
	TargetGateways: {FaultKill, FaultTerm, FaultStop, FaultRestart, FaultLateLists, FaultReconfigure},
	TargetHosts:    {FaultKill, FaultSilence, FaultSlow, FaultFail, FaultRefuse, FaultColdRestart, FaultReplace, FaultJoin},
	TargetLinks:    {FaultCut, FaultDelay, FaultBlackHole},
	TargetMembers:  {FaultCut},
	TargetCatalog:  {FaultDown, FaultReset, FaultBusy, FaultSlow, FaultBlackHole, FaultKillLeader},
}

// Selection is a way of choosing a share of gateways or hosts (see chooseShare).
type Selection string

// Selections.
const (
	SelectRandom Selection = "random" // distinct random ones
	SelectRun    Selection = "run"    // consecutive ones from a random start
	SelectEvery  Selection = "every"  // evenly spaced ones
)

// Effect says whether a request may be executed more than once.
type Effect string

// Effects of a class.
const (
	Idempotent Effect = "idempotent"
	AtMostOnce Effect = "at_most_once"
)

// Defaults returns a scenario with the values of all keys that a file may omit.
func Defaults() Scenario {
	ms := func(n int) Duration { return Duration(time.Duration(n) * time.Millisecond) }
	return Scenario{
		Seed: 1, Length: ms(20_000),
		Gateways: Gateways{AbsentSelection: SelectRandom, PeerDetection: ms(4_000)},
		Rules: Rules{QueueLimit: 64, MaxConns: 22, ConnCost: ms(6), ConnIdle: ms(60_000), DialTimeout: ms(250),
			ColdCapacity: 0.13, WarmAfter: ms(24_000), OverloadFactor: 3, OverloadWindow: ms(2_000)},
		Load:    Load{Skew: 0.7, EdgeDetection: ms(2_500), RetryWait: ms(100)},
		Catalog: Catalog{Instances: 1, CallTime: ms(1), MaxInWork: 1, QueueLimit: 1024, MaxCallWait: ms(1_000), ListingDelay: ms(1_000), MaxWatchGap: ms(10_000)},
		Net:     Net{SameZone: Duration(200 * time.Microsecond), CrossZone: ms(6)},
	}
}

// defaultClasses returns the classes of a scenario that defines none.
func defaultClasses() []Class {
	ms := func(n int) Duration { return Duration(time.Duration(n) * time.Millisecond) }
	return []Class{
		{Name: "look", Share: 0.5, Work: ms(10), WaitTime: ms(30), LatencyTarget: ms(300), Deadline: ms(1200), Effect: Idempotent, Importance: 2},
		{Name: "save", Share: 0.5, Work: ms(10), WaitTime: ms(30), LatencyTarget: ms(800), Deadline: ms(4000), Effect: AtMostOnce, Importance: 5},
	}
}

// LoadScenario reads and validates a scenario file. An error in the content has one line of text, which
// gives the path and the line in the file.
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

// Parse parses and validates a scenario. An unknown key, a wrong type or a value out of range is an
// error of the form "line N: ...".
func Parse(text []byte) (*Scenario, error) {
	s := Defaults()
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return nil, withLine(err)
	}
	s.setDerivedDefaults()
	if err := s.validate(text); err != nil {
		return nil, err
	}
	return &s, nil
}

// withLine returns an error of the TOML decoder with the line that it concerns.
func withLine(err error) error {
	var unknownKeys *toml.StrictMissingError
	if errors.As(err, &unknownKeys) && len(unknownKeys.Errors) > 0 {
		first := unknownKeys.Errors[0]
		line, _ := first.Position()
		return fmt.Errorf("line %d: unknown key %q", line, strings.Join(first.Key(), "."))
	}
	var malformed *toml.DecodeError
	if errors.As(err, &malformed) {
		line, _ := malformed.Position()
		return fmt.Errorf("line %d: %s", line, strings.TrimPrefix(malformed.Error(), "toml: "))
	}
	return err
}

// setDerivedDefaults sets the omitted values that depend on others, and those of hosts and classes.
func (s *Scenario) setDerivedDefaults() {
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
}
