package wire

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"bramblelock"
)

// settings is the part of the settings object that the balancer uses. Its fields are named after
// their keys. Unknown keys are ignored, and the fields of absent keys are zero.
type settings struct {
	Balancers      int     // number of instances
	Rank           int     // rank of this instance, from 0
	Step           micros  // minimum interval between the times at which events are handled
	Discovery      string  // discovery mode, a key of watchByDiscovery
	OverShareWorth float64 `json:"over_share_worth"` // factor on the priority weight of requests over quota
	Classes        []struct {
		Name       string
		Promise    micros  // latency target
		HardLimit  micros  `json:"hard_limit"` // deadline of a request
		Importance float64 // priority weight
		Effect     string  // a key of effectsByName
		Group      string  // a key of dedupScopesByName
		Window     micros  // deduplication window
	}
	Tenants []struct {
		Name           string
		QuotaPerSecond float64 `json:"quota_per_s"` // requests per second
	}
	Caps struct {
		Cancel        bool   // cancel actions are allowed
		MaxAttempts   int    `json:"max_attempts"`    // attempts per request
		MaxRetryAfter micros `json:"max_retry_after"` // longest retry delay of a refusal
		RetryAfter    bool   `json:"retry_after"`     // refusals may carry a retry delay
	}
	Obligations struct {
		AskWithin      micros  `json:"ask_within"`      // longest time without a watch or a call for the host list
		ColdFrom       float64 `json:"cold_from"`       // share of its capacity that a host has when it starts
		WarmAfter      micros  `json:"warm_after"`      // time from the start of a host until it has its full capacity
		OverloadFactor float64 `json:"overload_factor"` // overload of a cold host, as a multiple of its present capacity
		Fall           micros  // time that a cold host withstands an overload
		DrainGrace     micros  `json:"drain_grace"` // time for which sends to a host may still begin when it is draining or gone
	}
}

// micros is a duration in microseconds, which may have a fraction.
type micros float64

// duration converts m. A value outside the range of time.Duration is clamped to it, so that
// bramblelock.New rejects it: a wrapped value could be valid.
func (m micros) duration() time.Duration {
	if ns := float64(m) * float64(timeUnit); ns < math.MaxInt64 {
		return time.Duration(max(ns, math.MinInt64))
	}
	return math.MaxInt64
}

// effectsByName maps the names of effects, one of which each class must have.
var effectsByName = map[string]bramblelock.Effect{
	"idempotent": bramblelock.Idempotent, "deduplicated": bramblelock.Deduplicated, "at_most_once": bramblelock.AtMostOnce,
}

// dedupScopesByName maps the names of deduplication groups. A class without a group is deduplicated
// among all hosts.
var dedupScopesByName = map[string]bramblelock.DedupScope{
	"": bramblelock.DedupAll, "all": bramblelock.DedupAll,
	"zone": bramblelock.DedupZone, "cell": bramblelock.DedupCell,
}

// watchByDiscovery maps each discovery mode to whether the balancer has to watch the host list. In
// the other modes, which include the default, the list is pushed.
var watchByDiscovery = map[string]bool{"": false, "automatic": false, "subscribe": true}

// ParseSettings decodes a JSON settings object, such as the one of an EventHello. It rejects
// malformed JSON, values of another type and unknown names. bramblelock.New validates the values and
// fills in defaults.
func ParseSettings(text []byte) (bramblelock.Settings, error) {
	var decoded settings
	var result bramblelock.Settings
	if err := json.Unmarshal(text, &decoded); err != nil {
		return result, fmt.Errorf("settings: %w", err)
	}
	watch, ok := watchByDiscovery[decoded.Discovery]
	if !ok {
		return result, unknownName("discovery", decoded.Discovery, watchByDiscovery)
	}
	result = bramblelock.Settings{
		Instances: decoded.Balancers, Rank: decoded.Rank, EventInterval: decoded.Step.duration(),
		MaxAttempts: decoded.Caps.MaxAttempts, CancelAllowed: decoded.Caps.Cancel, OverQuotaFactor: decoded.OverShareWorth,
		WatchHosts: watch, MaxWatchGap: decoded.Obligations.AskWithin.duration(),
		ColdCapacity: decoded.Obligations.ColdFrom, WarmAfter: decoded.Obligations.WarmAfter.duration(),
		OverloadFactor: decoded.Obligations.OverloadFactor, OverloadWindow: decoded.Obligations.Fall.duration(),
		DrainGrace: decoded.Obligations.DrainGrace.duration(),
	}
	if decoded.Caps.RetryAfter {
		result.MaxRetryAfter = decoded.Caps.MaxRetryAfter.duration()
	}
	for i, c := range decoded.Classes {
		effect, ok := effectsByName[c.Effect]
		if !ok {
			return result, unknownName(fmt.Sprintf("classes[%d].effect", i), c.Effect, effectsByName)
		}
		dedupScope, ok := dedupScopesByName[c.Group]
		if !ok {
			return result, unknownName(fmt.Sprintf("classes[%d].group", i), c.Group, dedupScopesByName)
		}
		result.Classes = append(result.Classes, bramblelock.Class{
			Name: c.Name, LatencyTarget: c.Promise.duration(), Deadline: c.HardLimit.duration(), PriorityWeight: c.Importance,
			Effect: effect, DedupScope: dedupScope, DedupWindow: c.Window.duration(),
		})
	}
	for _, t := range decoded.Tenants {
		result.Tenants = append(result.Tenants, bramblelock.Tenant{Name: t.Name, Quota: t.QuotaPerSecond})
	}
	return result, nil
}

// unknownName returns the error for a name that is not a key of allowed. key is its path in the settings.
func unknownName[V any](key, name string, allowed map[string]V) error {
	var quoted []string
	for _, known := range slices.Sorted(maps.Keys(allowed)) {
		quoted = append(quoted, strconv.Quote(known))
	}
	return fmt.Errorf("settings.%s: %q is not one of %s", key, name, strings.Join(quoted, ", "))
}

// keysByField maps the fields of bramblelock.Settings that have a range to their keys in the settings object.
// An index in the path of a field stands at the same list in the path of its key.
var keysByField = map[string]string{
	"Instances":                "balancers",
	"Rank":                     "rank",
	"EventInterval":            "step",
	"MaxAttempts":              "caps.max_attempts",
	"MaxRetryAfter":            "caps.max_retry_after",
	"OverQuotaFactor":          "over_share_worth",
	"MaxWatchGap":              "obligations.ask_within",
	"ColdCapacity":             "obligations.cold_from",
	"WarmAfter":                "obligations.warm_after",
	"OverloadFactor":           "obligations.overload_factor",
	"OverloadWindow":           "obligations.fall",
	"DrainGrace":               "obligations.drain_grace",
	"Classes":                  "classes",
	"Classes[].LatencyTarget":  "classes[].promise",
	"Classes[].Deadline":       "classes[].hard_limit",
	"Classes[].DedupWindow":    "classes[].window",
	"Classes[].PriorityWeight": "classes[].importance",
	"Tenants[].Quota":          "tenants[].quota_per_s",
}

// listIndex matches the index of a list in the path of a field.
var listIndex = regexp.MustCompile(`\[\d+\]`)

// NameSettingsKey returns an error with the key of the settings object, its value and what is allowed if err is
// a bramblelock.SettingsError, and err itself otherwise. A time is given with its unit, not in microseconds.
func NameSettingsKey(err error) error {
	var invalid *bramblelock.SettingsError
	if !errors.As(err, &invalid) {
		return err
	}
	key, known := keysByField[listIndex.ReplaceAllString(invalid.Field, "[]")]
	if !known {
		return err
	}
	key = strings.Replace(key, "[]", listIndex.FindString(invalid.Field), 1)
	return fmt.Errorf("settings.%s: %v is not %s", key, invalid.Value, invalid.Allowed)
}
