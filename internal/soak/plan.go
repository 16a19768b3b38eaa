package soak

import (
	"fmt"
	"time"

	"bramblelock/internal/faultnet"
)

// disruption is one planned event of a soak, such as a fault or a restart, with its start and duration.
type disruption struct {
	name     string
	target   string        // name of the gateway, host or catalog; empty for all of discovery
	at       time.Duration // time since the load began
	duration time.Duration
	run      func(*disruption) // carries out the disruption itself, which it gets as its argument, to its end
}

func (d *disruption) String() string {
	return fmt.Sprintf("%6.2f s for %4.2f s: %s %s", d.at.Seconds(), d.duration.Seconds(), d.name, d.target)
}

// plan draws the disruptions. Their average gap keeps about Overlap of them active at any time, except
// for a quiet period in the middle, which ends with an outage of discovery.
func (s *soak) plan() []disruption {
	const meanDuration = 3 * time.Second // of one disruption
	var plan []disruption
	gap := float64(meanDuration) / float64(max(s.opt.Overlap, 1))
	quietFrom, quietTo := s.opt.Length*2/5, s.opt.Length/2
	for at := 2 * time.Second; at < s.opt.Length-4*time.Second; at += time.Duration(s.planRand.ExpFloat64() * gap) {
		if at > quietFrom && at < quietTo {
			continue
		}
		d := s.drawDisruption()
		d.at = at
		d.duration = time.Second + time.Duration(s.planRand.Float64()*float64(2*(meanDuration-time.Second)))
		plan = append(plan, d)
	}
	unreachable := s.discoveryDisruption("away", faultnet.Refuse)
	unreachable.at = quietTo
	unreachable.duration = 5 * time.Second
	return append(plan, unreachable)
}

// disruptionKind is the number that a plan draws for a disruption.
type disruptionKind int

// Kinds of disruptions. Drains take three of the numbers, and upgrades two, so that they come more often.
const (
	terminateGateway disruptionKind = iota
	terminateAmongSignals
	killGateway
	pauseGateway
	reloadGateway
	drainHost
	drainHostSecond
	drainHostThird
	hangHost
	resetHost
	closeIdleAtHost
	refuseAtHost
	failOrRejectAtHost
	sendBadClients
	cutDiscovery
	disturbCatalogs
	terminateWhilePaused
	floodGateway
	floodWhileDiscoveryAway
	stallHost
	readSlowlyAtHost
	upgradeGateway
	upgradeGatewaySecond
	disruptionKinds // their number
)

// endsProcess says whether a kind ends the process of a gateway.
func (kind disruptionKind) endsProcess() bool {
	return kind <= killGateway || kind == terminateWhilePaused
}

// drawDisruption draws a disruption without its times. A gateway whose processes share a socket is upgraded
// where another one would be terminated or killed. Without such a gateway, an upgrade is a termination or
// a kill.
func (s *soak) drawDisruption() disruption {
	g := s.gateways[s.planRand.IntN(len(s.gateways))]
	h := s.hosts[s.planRand.IntN(len(s.hosts))]
	kind := disruptionKind(s.planRand.IntN(int(disruptionKinds)))
	if kind == upgradeGateway || kind == upgradeGatewaySecond {
		if shared := s.upgradableGateways(); len(shared) > 0 {
			g = shared[s.planRand.IntN(len(shared))]
		}
		kind = disruptionKind(s.planRand.IntN(int(killGateway) + 1))
	}
	if g.sharedSocket != nil && kind.endsProcess() {
		return s.upgradeDisruption(g, kind)
	}
	switch kind {
	case drainHost, drainHostSecond, drainHostThird, hangHost, resetHost, closeIdleAtHost, refuseAtHost, failOrRejectAtHost, stallHost, readSlowlyAtHost:
		return s.drawHostDisruption(h, kind)
	case cutDiscovery, disturbCatalogs:
		return s.drawDiscoveryDisruption(kind)
	}
	return s.gatewayDisruption(g, kind)
}

// drawHostDisruption returns the disruption of a kind at a host, and draws what the kind leaves open.
func (s *soak) drawHostDisruption(h *host, kind disruptionKind) disruption {
	switch kind {
	case hangHost:
		return s.hostDisruption("hang", h, hostHangs)
	case resetHost:
		return s.hostDisruption("reset", h, hostResets)
	case closeIdleAtHost:
		return s.hostDisruption("close resting connections", h, hostClosesIdle)
	case refuseAtHost:
		return s.hostDisruption("refuse", h, hostDown)
	case failOrRejectAtHost:
		return s.hostDisruption("err or turn away", h, []hostMode{hostFails, hostRejects}[s.planRand.IntN(2)])
	case stallHost:
		return s.hostDisruption("stall", h, hostStalls)
	case readSlowlyAtHost:
		return s.hostDisruption("read slowly", h, hostReadsSlowly)
	}
	return disruption{name: "drain", target: h.name, run: func(d *disruption) { s.drain(h, d) }}
}

// drawDiscoveryDisruption draws a disruption of the links to discovery or of the catalogs.
func (s *soak) drawDiscoveryDisruption(kind disruptionKind) disruption {
	if kind == cutDiscovery {
		if s.planRand.IntN(2) == 0 {
			return s.discoveryDisruption("silent", faultnet.Blackhole)
		}
		return s.discoveryDisruption("reset", faultnet.Reset)
	}
	switch s.planRand.IntN(3) {
	case 0:
		return disruption{name: "discovery slow", run: s.slowDiscovery}
	case 1:
		i := s.planRand.IntN(s.opt.Catalogs)
		return disruption{name: "kill catalog", target: fmt.Sprint("c", i+1), run: func(d *disruption) { s.restartCatalog(i, d) }}
	}
	return disruption{name: "discovery counts anew", run: func(*disruption) { s.recordOutage(false, s.catalogs.restartEmpty) }}
}

// upgradableGateways returns the gateways whose processes share a listening socket.
func (s *soak) upgradableGateways() (shared []*gateway) {
	for _, g := range s.gateways {
		if g.sharedSocket != nil {
			shared = append(shared, g)
		}
	}
	return shared
}
