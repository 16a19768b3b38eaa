package soak

import (
	"fmt"
	"time"

	"bramblelock/internal/loopback"
)

// effect says whether a request may be executed more than once, in the words of the settings.
type effect string

const (
	idempotent   effect = "idempotent"
	atMostOnce   effect = "at_most_once"
	deduplicated effect = "deduplicated" // again within the window of its class
)

// requestClass is a request class in the settings of the gateways.
type requestClass struct {
	name     string
	effect   effect
	deadline time.Duration
	window   time.Duration // idempotency window; 0: the class is not deduplicated
	share    float64       // of all requests
}

var requestClasses = []requestClass{
	{name: "look", effect: idempotent, deadline: 1200 * time.Millisecond, share: 0.5},
	{name: "book", effect: atMostOnce, deadline: 2 * time.Second, share: 0.3},
	{name: "report", effect: deduplicated, deadline: 1500 * time.Millisecond, window: 600 * time.Millisecond, share: 0.2},
}

// Slow start, draining and termination in the settings of the soak.
const (
	coldFrom       = 0.2                    // share of its capacity that a host starts with
	warmAfter      = 8 * time.Second        // a host has its full capacity this long after its start
	overloadFactor = 2.5                    // multiple of its present capacity at which a cold host fails
	overloadPeriod = time.Second            // an overload makes a host fail when it lasts this long
	warmRate       = 60                     // requests per second that a warm host can serve
	drainGrace     = time.Second            // a gateway may send to a draining host for this long after it is notified
	killMargin     = 700 * time.Millisecond // time from longestDeadline after SIGTERM to the SIGKILL
)

// configure writes the configuration file. Each settings version changes the deadline of the class look
// and the discovery address that comes first.
func (g *gateway) configure(settingsVersion int) error {
	type obj map[string]any
	us := func(d time.Duration) int64 { return d.Microseconds() }
	var classes []obj
	for _, c := range requestClasses {
		deadline := c.deadline
		if c.name == "look" && settingsVersion%2 == 1 {
			deadline += 200 * time.Millisecond
		}
		classes = append(classes, obj{"name": c.name, "effect": c.effect, "group": "all", "hard_limit": us(deadline),
			"promise": us(deadline / 2), "importance": 1, "window": us(max(c.window, time.Second))})
		if c.window > 0 {
			classes[len(classes)-1]["window"] = us(c.window)
		}
	}
	rank := int(g.name[1]-'0')*10 + int(g.name[2]-'0')
	settings := obj{"balancers": g.s.opt.Gateways, "rank": rank, "step": 2000, "discovery": "subscribe", "azs": []string{}, "kinds": []string{},
		"classes": classes, "tenants": []obj{}, "over_share_worth": 0.05,
		"caps": obj{"cancel": true, "max_attempts": 4, "conn_idle": 10000000, "dial_timeout": 250000, "may_duplicate": false,
			"max_retry_after": 2000000, "retry_after": true},
		"obligations": obj{"ask_within": 10000000, "cold_from": coldFrom, "warm_after": us(warmAfter), "overload_factor": overloadFactor,
			"fall": us(overloadPeriod), "drain_grace": us(drainGrace), "grace_to_answer": 58000}}
	return loopback.WriteJSON(g.configPath, obj{"name": g.name, "listen": g.addr, "operator": g.operatorAddr, "discovery": g.s.catalogs.discoveryAddrs(rank + settingsVersion),
		"seed":   fmt.Sprintf("%x", g.s.opt.Seed*1_000_003+uint64(rank*100+g.generation)+1),
		"limits": obj{"cores": 1, "memory_mb": 192, "sockets": 1024}, "known": obj{"version": 0, "full": true, "servers": []obj{}},
		"settings": settings})
}
