package fleetlab

import (
	"encoding/json"
	"time"
)

// SettingsJSON is the settings object that the gateway of a rank is given, in the form of
// the protocol; both engines read it as a gateway does. configured is the count that it
// says, which a settings change on the way may alter.
func (s *Scenario) SettingsJSON(rank, configured int) json.RawMessage {
	type object map[string]any
	microseconds := func(d Duration) int64 { return int64(d.std() / time.Microsecond) }
	var classes, tenants []object
	for _, c := range s.Classes {
		classes = append(classes, object{"name": c.Name, "effect": c.Effect, "group": "all",
			"hard_limit": microseconds(c.Deadline), "promise": microseconds(c.LatencyTarget), "importance": c.Importance, "window": 5000000})
	}
	discovery := "subscribe"
	if s.Catalog.Push {
		discovery = "automatic"
	}
	var zones, kinds []string
	for _, h := range s.Hosts {
		zones, kinds = appendUnique(zones, h.Zone), appendUnique(kinds, h.Kind)
	}
	rules := &s.Rules
	text, err := json.Marshal(object{
		"balancers": configured, "rank": rank % configured, "step": 2000, "discovery": discovery,
		"azs": zones, "kinds": kinds, "classes": classes, "tenants": append(tenants, []object{}...), "over_share_worth": 0.05,
		"caps": object{"cancel": true, "max_attempts": 4, "conn_idle": microseconds(rules.ConnIdle), "dial_timeout": microseconds(rules.DialTimeout),
			"may_duplicate": false, "max_retry_after": 2000000, "retry_after": false},
		"obligations": object{"ask_within": microseconds(s.Catalog.AskWithin), "cold_from": rules.ColdFrom, "warm_after": microseconds(rules.WarmAfter),
			"overload_factor": rules.OverloadFactor, "fall": microseconds(rules.OverloadPeriod), "drain_grace": 1000000, "grace_to_answer": 58000},
	})
	if err != nil {
		panic(err) // only numbers and strings are in it
	}
	return text
}

func appendUnique(list []string, s string) []string {
	for _, o := range list {
		if o == s {
			return list
		}
	}
	return append(list, s)
}

func indexOf(list []string, s string) int {
	for i, o := range list {
		if o == s {
			return i
		}
	}
	return -1
}
