package fleetlab

import (
	"encoding/json"
	"time"
)

// SettingsJSON returns the settings of the gateway of a rank, in the format of the protocol. The gateways
// of both engines parse it. configured is the number of gateways that the settings state; a settings
// change during the run may alter it.
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
		"obligations": object{"ask_within": microseconds(s.Catalog.MaxWatchGap), "cold_from": rules.ColdCapacity, "warm_after": microseconds(rules.WarmAfter),
			"overload_factor": rules.OverloadFactor, "fall": microseconds(rules.OverloadWindow), "drain_grace": 1000000, "grace_to_answer": 58000},
	})
	if err != nil {
		panic(err) // unreachable: the object holds only numbers and strings
	}
	return text
}

// appendUnique appends s to list unless list contains it.
func appendUnique(list []string, s string) []string {
	for _, o := range list {
		if o == s {
			return list
		}
	}
	return append(list, s)
}

// indexOf returns the index of s in list, or -1.
func indexOf(list []string, s string) int {
	for i, o := range list {
		if o == s {
			return i
		}
	}
	return -1
}
