package soak

import (
	"math/rand/v2"
	"sync"
	"time"

	"bramblelock/internal/faultnet"
)

// gatewayDisruption returns the disruption of a kind at a gateway.
func (s *soak) gatewayDisruption(g *gateway, kind disruptionKind) disruption {
	d := disruption{target: g.name}
	switch kind {
	case terminateGateway:
		d.name = "end in order"
		d.run = func(*disruption) {
			s.terminateUnderLoad(g)
			g.restart()
		}
	case terminateAmongSignals:
		d.name = "end among signals"
		d.run = func(*disruption) {
			g.reloadInBurst()
			s.terminateUnderLoad(g, g.signalRepeatedly)
			g.restart()
		}
	case terminateWhilePaused:
		d.name = "end while held up"
		d.run = func(*disruption) {
			s.terminateUnderLoad(g, g.pauseWhileStopping)
			g.restart()
		}
	case killGateway:
		d.name = "kill"
		d.run = func(*disruption) {
			g.kill()
			s.sleepUntil(s.elapsed() + time.Second)
			g.restart()
		}
	case pauseGateway:
		d.name = "hold up"
		d.run = func(d *disruption) { s.pauseRepeatedly(g, d) }
	case reloadGateway:
		d.name = "new settings in a row"
		d.run = func(d *disruption) { s.reloadRepeatedly(g, d) }
	case sendBadClients:
		d.name = "bad clients"
		d.run = func(d *disruption) { s.runBadClients(g, d) }
	case floodGateway:
		d.name = "crowd"
		d.run = func(d *disruption) { s.floodConns(g, d) }
	case floodWhileDiscoveryAway:
		unreachable := s.discoveryDisruption("away", faultnet.Refuse)
		d.name = "crowd while discovery is away"
		d.run = func(d *disruption) {
			s.background.Add(1)
			go func() { defer s.background.Done(); unreachable.run(d) }()
			s.floodConns(g, d)
		}
	}
	return d
}

// upgradeDisruption returns an upgrade in place of the termination or kill of the drawn kind.
func (s *soak) upgradeDisruption(g *gateway, kind disruptionKind) disruption {
	load := func(ended <-chan struct{}) {
		s.clients.sendUntilExit(g, s.clients.openIdleConns(g, idleConnsAtTerm), rand.New(rand.NewPCG(s.opt.Seed, uint64(kind))), ended)
	}
	switch kind {
	case terminateAmongSignals:
		return disruption{name: "upgrades in a row", target: g.name, run: func(*disruption) {
			g.upgrade(load)
			g.upgrade(load)
		}}
	case killGateway:
		return disruption{name: "upgrade among new settings", target: g.name, run: func(*disruption) {
			g.reloadInBurst()
			g.upgrade(load)
			g.reload()
		}}
	}
	return disruption{name: "upgrade", target: g.name, run: func(*disruption) { g.upgrade(load) }}
}

// recordOutage runs a disruption of discovery and records its start and end. reachable says whether
// discovery can still be reached meanwhile.
func (s *soak) recordOutage(reachable bool, do func()) {
	i := 0
	s.ledger.update(func() {
		i = len(s.ledger.outages)
		s.ledger.outages = append(s.ledger.outages, outage{span: span{from: time.Now()}, reachable: reachable})
	})
	do()
	s.ledger.update(func() { s.ledger.outages[i].to = time.Now() })
}

// discoveryDisruption sets all links to discovery to a mode for the duration.
func (s *soak) discoveryDisruption(name string, mode faultnet.Mode) disruption {
	return disruption{name: "discovery " + name, run: func(d *disruption) {
		s.recordOutage(false, func() {
			for _, link := range s.catalogs.links {
				link.Set(mode)
			}
			s.sleepUntil(s.elapsed() + d.duration)
			for _, link := range s.catalogs.links {
				link.Set(faultnet.Pass)
			}
		})
	}}
}

// restartCatalog kills a catalog and starts it again after the duration. Discovery is reachable meanwhile if
// there are others.
func (s *soak) restartCatalog(i int, d *disruption) {
	s.recordOutage(s.opt.Catalogs > 1, func() {
		s.catalogs.killCatalog(i)
		s.sleepUntil(s.elapsed() + d.duration)
		s.catalogs.startCatalog(i)
	})
}

// slowDiscovery delays all links to discovery for the duration.
func (s *soak) slowDiscovery(d *disruption) {
	s.recordOutage(true, func() {
		for _, link := range s.catalogs.links {
			link.Delay(300 * time.Millisecond)
		}
		s.sleepUntil(s.elapsed() + d.duration)
		for _, link := range s.catalogs.links {
			link.Delay(0)
		}
	})
}

// hostDisruption sets a host to a mode for the duration and then to hostHealthy.
func (s *soak) hostDisruption(name string, h *host, mode hostMode) disruption {
	return disruption{name: name, target: h.name, run: func(d *disruption) {
		h.setMode(mode)
		s.sleepUntil(s.elapsed() + d.duration)
		h.setMode(hostHealthy)
	}}
}

// pauseTime is how long a process is stopped at a time. Gateways have to withstand up to 0.15 s.
const pauseTime = 140 * time.Millisecond

// pauseRepeatedly stops and continues a process for the duration.
func (s *soak) pauseRepeatedly(g *gateway, d *disruption) {
	for end := s.elapsed() + d.duration; s.elapsed() < end; {
		g.pause(pauseTime)
		s.sleepUntil(s.elapsed() + 200*time.Millisecond)
	}
}

// reloadRepeatedly changes the settings of a gateway several times within the duration.
func (s *soak) reloadRepeatedly(g *gateway, d *disruption) {
	for range 4 {
		g.reload()
		s.sleepUntil(s.elapsed() + d.duration/8)
	}
}

// drain lists a host as draining while it goes on serving. After 9 s and the duration it takes the host
// down for 200 ms and lists it as a host that has just started. It does nothing if the host is already
// draining.
func (s *soak) drain(h *host, d *disruption) {
	h.mu.Lock()
	if h.draining {
		h.mu.Unlock()
		return
	}
	h.draining = true
	h.mu.Unlock()
	if s.catalogs.put(h, stateDraining) != nil {
		return
	}
	i := 0
	s.ledger.update(func() {
		i = len(s.ledger.drains)
		s.ledger.drains = append(s.ledger.drains, hostDrain{host: h.name, ackedAt: time.Now()})
	})
	s.sleepUntil(s.elapsed() + 9*time.Second + d.duration)
	h.setMode(hostDown)
	s.sleepUntil(s.elapsed() + 200*time.Millisecond)
	h.setMode(hostHealthy)
	h.mu.Lock()
	h.started = time.Now()
	h.mu.Unlock()
	s.ledger.update(func() { s.ledger.drains[i].relistedAt = time.Now() })
	if s.catalogs.put(h, stateReady) == nil {
		s.ledger.update(func() {
			s.ledger.hostStarts = append(s.ledger.hostStarts, hostStart{host: h.name, ackedAt: time.Now()})
		})
	}
	h.mu.Lock()
	h.draining = false
	h.mu.Unlock()
}

// runBadClients starts one bad client of every kind every 50 ms for the duration and waits for their
// ends.
func (s *soak) runBadClients(g *gateway, d *disruption) {
	var clients sync.WaitGroup
	for end := s.elapsed() + d.duration; s.elapsed() < end; s.sleepUntil(s.elapsed() + 50*time.Millisecond) {
		for i := range badClientKinds {
			clients.Add(1)
			go func() {
				defer clients.Done()
				s.runBadClient(g, &badClientKinds[i])
			}()
		}
	}
	clients.Wait()
}
