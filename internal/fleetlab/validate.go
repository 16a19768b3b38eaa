package fleetlab

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// validate returns an error for the first value that is out of range, with the line of its key.
func (s *Scenario) validate(text []byte) error {
	v := &validator{scenario: s, text: text}
	v.checkRun()
	v.checkGateways()
	v.checkHosts()
	v.checkRules()
	v.checkLoad()
	v.checkClasses()
	v.checkCatalog()
	v.checkFaults()
	return v.err
}

// validator checks the values of a scenario and keeps the first error.
type validator struct {
	scenario *Scenario
	text     []byte // of the scenario file
	err      error
}

// require notes an error about a key unless ok is set or there is an error before. table is the key's table,
// or "" for the top level, and n the index of the table among those of its name.
func (v *validator) require(ok bool, table string, n int, key, format string, args ...any) {
	if !ok && v.err == nil {
		v.err = fmt.Errorf("line %d: %s%s: %s", lineOf(v.text, table, n, key), keyPrefix(table), key, fmt.Sprintf(format, args...))
	}
}

// isShare reports whether x is between 0 and 1.
func isShare(x float64) bool { return x >= 0 && x <= 1 }

// checkRun checks the keys of the top level.
func (v *validator) checkRun() {
	v.require(v.scenario.Name != "", "", 0, "name", "missing")
	v.require(v.scenario.Length > 0 && v.scenario.Length.std() <= time.Hour, "", 0, "length", "%v is not above 0 and up to 1h", v.scenario.Length.std())
	v.require(v.scenario.MeasureFrom >= 0 && v.scenario.MeasureFrom < v.scenario.Length, "", 0, "measure_from", "not within the length")
}

// checkGateways checks the table gateways.
func (v *validator) checkGateways() {
	g := &v.scenario.Gateways
	v.require(g.Count >= 1 && g.Count <= 10_000, "gateways", 0, "count", "%d is not between 1 and 10000", g.Count)
	v.require(g.Configured >= 1 && g.Configured <= 1<<20, "gateways", 0, "configured", "%d is not between 1 and %d", g.Configured, 1<<20)
	v.require(g.AbsentShare >= 0 && g.AbsentShare < 1, "gateways", 0, "absent", "%v is not a share below 1", g.AbsentShare)
	v.require(oneOf(g.AbsentSelection, SelectRun, SelectRandom, SelectEvery), "gateways", 0, "absent_how", "%q is not run, random or every", g.AbsentSelection)
	v.require(isShare(g.SavedListShare), "gateways", 0, "known", "%v is not a share", g.SavedListShare)
	v.require(g.StartSpread >= 0 && g.StartSpread < v.scenario.Length, "gateways", 0, "start_spread", "not within the length")
}

// checkHosts checks the tables hosts.
func (v *validator) checkHosts() {
	v.require(len(v.scenario.Hosts) > 0, "", 0, "hosts", "there are none")
	for i, h := range v.scenario.Hosts {
		v.require(h.Count >= 1 && h.Count <= 10_000, "hosts", i, "count", "%d is not between 1 and 10000", h.Count)
		v.require(h.Cores <= 64, "hosts", i, "cores", "%d is not between 1 and 64", h.Cores)
		v.require(h.Speed > 0 && h.Speed <= 100, "hosts", i, "speed", "%v is not above 0 and up to 100", h.Speed)
	}
}

// checkRules checks the table rules.
func (v *validator) checkRules() {
	r := &v.scenario.Rules
	v.require(r.QueueLimit >= 1, "rules", 0, "queue", "%d is below 1", r.QueueLimit)
	v.require(r.MaxConns >= 1, "rules", 0, "conn_cap", "%d is below 1", r.MaxConns)
	v.require(r.ConnCost >= 0, "rules", 0, "conn_cost", "below 0")
	v.require(r.ConnIdle > 0, "rules", 0, "conn_idle", "not above 0")
	v.require(r.DialTimeout > 0, "rules", 0, "dial_timeout", "not above 0")
	v.require(r.ColdCapacity > 0 && r.ColdCapacity <= 1, "rules", 0, "cold_from", "%v is not above 0 and up to 1", r.ColdCapacity)
	v.require(r.WarmAfter > 0, "rules", 0, "warm_after", "not above 0")
	v.require(r.OverloadFactor >= 1 && r.OverloadFactor <= 1000, "rules", 0, "overload_factor", "%v is not between 1 and 1000", r.OverloadFactor)
	v.require(r.OverloadWindow > 0, "rules", 0, "fall", "not above 0")
}

// checkLoad checks the table load.
func (v *validator) checkLoad() {
	l := &v.scenario.Load
	v.require(l.Rate >= 0 && l.Rate <= 1e6, "load", 0, "rate", "%v is not between 0 and 1e6", l.Rate)
	v.require(isShare(l.Skew), "load", 0, "skew", "%v is not a share", l.Skew)
	v.require(l.Retries >= 0 && l.Retries <= 10, "load", 0, "retries", "%d is not between 0 and 10", l.Retries)
	v.require(l.BurstFactor >= 0 && l.BurstFactor <= 100, "load", 0, "burst", "%v is not between 0 and 100", l.BurstFactor)
	v.require(l.BurstStart >= 0 && l.BurstLength >= 0 && (l.BurstLength == 0 || l.BurstFactor > 0), "load", 0, "burst_at", "a time is below 0, or there is no burst")
	v.require(l.Start >= 0 && l.EdgeDetection >= 0 && l.RetryWait >= 0, "load", 0, "from", "a time is below 0")
}

// checkClasses checks the tables class.
func (v *validator) checkClasses() {
	totalShare := 0.0
	for i, k := range v.scenario.Classes {
		totalShare += k.Share
		v.require(k.Name != "", "class", i, "name", "missing")
		v.require(k.Share >= 0, "class", i, "share", "below 0")
		v.require(k.Work > 0, "class", i, "work", "not above 0")
		v.require(k.WaitTime >= 0, "class", i, "waits", "below 0")
		v.require(k.LatencyTarget > 0 && k.LatencyTarget <= k.Deadline, "class", i, "aim", "not above 0 and up to the deadline")
		v.require(oneOf(k.Effect, Idempotent, AtMostOnce), "class", i, "effect", "%q is not idempotent or at_most_once", k.Effect)
	}
	v.require(totalShare > 0, "class", 0, "share", "the classes have no share")
}

// checkCatalog checks the tables catalog and net.
func (v *validator) checkCatalog() {
	c := &v.scenario.Catalog
	v.require(c.Instances == 1 || c.Instances == 3, "catalog", 0, "instances", "%d is not 1 or 3", c.Instances)
	v.require(c.CallTime >= 0 && c.MaxCallWait > 0 && c.ListingDelay >= 0, "catalog", 0, "call", "a time is below 0")
	v.require(c.MaxInWork >= 1, "catalog", 0, "work", "%d is below 1", c.MaxInWork)
	v.require(c.QueueLimit >= 1, "catalog", 0, "queue", "%d is below 1", c.QueueLimit)
	v.require(c.MaxWatchGap > 0, "catalog", 0, "ask_within", "not above 0")
	v.require(v.scenario.Net.SameZone >= 0 && v.scenario.Net.CrossZone >= 0, "net", 0, "same", "a time is below 0")
}

// checkFaults checks the tables fault.
func (v *validator) checkFaults() {
	for i, f := range v.scenario.Faults {
		v.require(f.Start >= 0 && f.Start < v.scenario.Length, "fault", i, "at", "not within the length")
		v.require(f.Length >= 0, "fault", i, "for", "below 0")
		actions, ok := faultActions[f.Target]
		v.require(ok, "fault", i, "on", "%q is not gateways, hosts, links, members or catalog", f.Target)
		v.require(!ok || oneOf(f.Action, actions...), "fault", i, "do", "%q is not one of %s", f.Action, joinActions(actions))
		v.require(isShare(f.Share), "fault", i, "share", "%v is not a share", f.Share)
		v.require(isShare(f.HostShare), "fault", i, "hosts", "%v is not a share", f.HostShare)
		v.require(oneOf(f.Selection, "", SelectRandom, SelectRun, SelectEvery), "fault", i, "how", "%q is not random, run or every", f.Selection)
		v.require(f.Action != FaultSlow || f.Target != TargetHosts || f.Factor > 0, "fault", i, "factor", "slow hosts need a factor above 0")
		v.require(f.Delay >= 0, "fault", i, "delay", "below 0")
		v.require(f.Steps >= 0 && f.Steps <= 1000 && f.StepInterval >= 0, "fault", i, "steps", "not between 0 and 1000")
		v.require(f.Zone == "" || v.scenario.hasZone(f.Zone), "fault", i, "zone", "no host is in zone %q", f.Zone)
	}
}

// oneOf reports whether a list has a value.
func oneOf[T comparable](value T, list ...T) bool { return slices.Contains(list, value) }

// joinActions returns a list of actions as text.
func joinActions(actions []FaultAction) string {
	var words []string
	for _, action := range actions {
		words = append(words, string(action))
	}
	return strings.Join(words, ", ")
}

// hasZone reports whether any host is in a zone.
func (s *Scenario) hasZone(name string) bool {
	for _, h := range s.Hosts {
		if h.Zone == name {
			return true
		}
	}
	return false
}

// keyPrefix returns the prefix of a key of a table in an error: the table's name and a dot, or "" for the
// top level.
func keyPrefix(table string) string {
	if table == "" {
		return ""
	}
	return table + "."
}

// lineOf returns the line number of a key in the table of a name and an index among the tables of that name.
// If the key is missing it returns the line of the table's header, or 1 without such a table.
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
