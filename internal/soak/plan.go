package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
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
		d.at, d.duration = at, time.Second+time.Duration(s.planRand.Float64()*float64(2*(meanDuration-time.Second)))
		plan = append(plan, d)
	}
	unreachable := s.discoveryDisruption("away", faultnet.Refuse)
	unreachable.at, unreachable.duration = quietTo, 5*time.Second
	return append(plan, unreachable)
}

// drawDisruption draws a disruption without its times. A gateway whose processes share a socket is upgraded
// where another one would be terminated or killed. Kinds 20 and 21 stand for such an upgrade, or for a
// termination or kill if there is no such gateway.
func (s *soak) drawDisruption() disruption {
	g := s.gateways[s.planRand.IntN(len(s.gateways))]
	h := s.hosts[s.planRand.IntN(len(s.hosts))]
	kind := s.planRand.IntN(22)
	if kind >= 20 {
		if shared := s.upgradableGateways(); len(shared) > 0 {
			g = shared[s.planRand.IntN(len(shared))]
		}
		kind = s.planRand.IntN(3)
	}
	if g.sharedSocket != nil && (kind < 3 || kind == 16) {
		return s.upgradeDisruption(g, kind)
	}
	switch kind {
	case 0:
		return disruption{name: "end in order", target: g.name, run: func(d *disruption) { s.terminateUnderLoad(g); g.restart() }}
	case 1:
		return disruption{name: "end among signals", target: g.name, run: func(d *disruption) {
			g.reloadInBurst()
			s.terminateUnderLoad(g, g.signalRepeatedly)
			g.restart()
		}}
	case 16:
		return disruption{name: "end while held up", target: g.name, run: func(d *disruption) {
			s.terminateUnderLoad(g, g.pauseWhileStopping)
			g.restart()
		}}
	case 17:
		return disruption{name: "crowd", target: g.name, run: func(d *disruption) { s.floodConns(g, d) }}
	case 18:
		unreachable := s.discoveryDisruption("away", faultnet.Refuse)
		return disruption{name: "crowd while discovery is away", target: g.name, run: func(d *disruption) {
			s.background.Add(1)
			go func() { defer s.background.Done(); unreachable.run(d) }()
			s.floodConns(g, d)
		}}
	case 19:
		return s.hostDisruption("stall", h, hostStalls)
	case 2:
		return disruption{name: "kill", target: g.name, run: func(d *disruption) { g.kill(); s.sleepUntil(s.elapsed() + time.Second); g.restart() }}
	case 3:
		return disruption{name: "hold up", target: g.name, run: func(d *disruption) { s.pauseRepeatedly(g, d) }}
	case 4:
		return disruption{name: "new settings in a row", target: g.name, run: func(d *disruption) { s.reloadRepeatedly(g, d) }}
	case 5, 6, 7:
		return disruption{name: "drain", target: h.name, run: func(d *disruption) { s.drain(h, d) }}
	case 8:
		return s.hostDisruption("hang", h, hostHangs)
	case 9:
		return s.hostDisruption("reset", h, hostResets)
	case 10:
		return s.hostDisruption("close resting connections", h, hostClosesIdle)
	case 11:
		return s.hostDisruption("refuse", h, hostDown)
	case 12:
		return s.hostDisruption("err or turn away", h, []hostMode{hostFails, hostRejects}[s.planRand.IntN(2)])
	case 13:
		return disruption{name: "bad clients", target: g.name, run: func(d *disruption) { s.runBadClients(g, d) }}
	case 14:
		return s.discoveryDisruption([]string{"silent", "reset"}[s.planRand.IntN(2)], faultnet.Blackhole)
	}
	switch s.planRand.IntN(3) {
	case 0:
		return disruption{name: "discovery slow", run: func(d *disruption) { s.slowDiscovery(d) }}
	case 1:
		i := s.planRand.IntN(s.opt.Catalogs)
		return disruption{name: "kill catalog", target: fmt.Sprint("c", i+1), run: func(d *disruption) {
			s.recordOutage(s.opt.Catalogs > 1, func() { s.catalogs.killCatalog(i); s.sleepUntil(s.elapsed() + d.duration); s.catalogs.startCatalog(i) })
		}}
	}
	return disruption{name: "discovery counts anew", run: func(d *disruption) { s.recordOutage(false, s.catalogs.restartEmpty) }}
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

// upgradeDisruption returns an upgrade in place of the termination or kill of the drawn kind.
func (s *soak) upgradeDisruption(g *gateway, kind int) disruption {
	load := func(ended <-chan struct{}) {
		s.clients.sendUntilExit(g, s.clients.openIdleConns(g, idleConnsAtTerm), rand.New(rand.NewPCG(s.opt.Seed, uint64(kind))), ended)
	}
	switch kind {
	case 1:
		return disruption{name: "upgrades in a row", target: g.name, run: func(*disruption) { g.upgrade(load); g.upgrade(load) }}
	case 2:
		return disruption{name: "upgrade among new settings", target: g.name, run: func(*disruption) { g.reloadInBurst(); g.upgrade(load); g.reload() }}
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

// discoveryDisruption sets all links to discovery to a mode for the duration. The name "reset" stands for
// faultnet.Reset, whatever the mode is.
func (s *soak) discoveryDisruption(name string, mode faultnet.Mode) disruption {
	if name == "reset" {
		mode = faultnet.Reset
	}
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
