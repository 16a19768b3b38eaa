package fleetlab

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"lynxspool/internal/faultnet"
)

// trouble is one trouble of a soak: it begins at a time and lasts for some.
type trouble struct {
	name string
	on   string
	at   time.Duration
	last time.Duration
	do   func(*trouble)
}

func (t *trouble) String() string {
	return fmt.Sprintf("%6.2f s for %4.2f s: %s %s", t.at.Seconds(), t.last.Seconds(), t.name, t.on)
}

// plan draws the troubles. They come so often that about Overlap of them are under way at any
// time, but for a quiet time in the middle, which an outage of discovery ends.
func (s *soak) plan() []trouble {
	const mean = 3 * time.Second // that one lasts
	var out []trouble
	gap := float64(mean) / float64(max(s.opt.Overlap, 1))
	quietFrom, quietTo := s.opt.Length*2/5, s.opt.Length/2
	for at := 2 * time.Second; at < s.opt.Length-4*time.Second; at += time.Duration(s.rng.ExpFloat64() * gap) {
		if at > quietFrom && at < quietTo {
			continue
		}
		t := s.draw()
		t.at, t.last = at, time.Second+time.Duration(s.rng.Float64()*float64(2*(mean-time.Second)))
		out = append(out, t)
	}
	away := s.discoveryTrouble("away", faultnet.Refuse)
	away.at, away.last = quietTo, 5*time.Second
	return append(out, away)
}

// draw draws a trouble.
func (s *soak) draw() trouble {
	g := s.gateways[s.rng.IntN(len(s.gateways))]
	v := s.servers[s.rng.IntN(len(s.servers))]
	kind := s.rng.IntN(22)
	if kind >= 20 {
		if shared := s.upgradable(); len(shared) > 0 {
			g = shared[s.rng.IntN(len(shared))]
		}
		kind = s.rng.IntN(3)
	}
	if g.socket != nil && (kind < 3 || kind == 16) {
		return s.upgrades(g, kind)
	}
	switch kind {
	case 0:
		return trouble{name: "end in order", on: g.name, do: func(t *trouble) { s.endPressed(g); g.startProcess() }}
	case 1:
		return trouble{name: "end among signals", on: g.name, do: func(t *trouble) {
			g.reloadsInARow()
			s.endPressed(g, g.signalsInARow)
			g.startProcess()
		}}
	case 16:
		return trouble{name: "end while held up", on: g.name, do: func(t *trouble) {
			s.endPressed(g, g.heldUpAtTheEnd)
			g.startProcess()
		}}
	case 17:
		return trouble{name: "crowd", on: g.name, do: func(t *trouble) { s.crowdAt(g, t) }}
	case 18:
		away := s.discoveryTrouble("away", faultnet.Refuse)
		return trouble{name: "crowd while discovery is away", on: g.name, do: func(t *trouble) {
			s.busy.Add(1)
			go func() { defer s.busy.Done(); away.do(t) }()
			s.crowdAt(g, t)
		}}
	case 19:
		return s.serverTrouble("stall", v, serverStalls)
	case 2:
		return trouble{name: "kill", on: g.name, do: func(t *trouble) { g.kill(); s.sleep(s.now() + time.Second); g.startProcess() }}
	case 3:
		return trouble{name: "hold up", on: g.name, do: func(t *trouble) { s.holdUp(g, t) }}
	case 4:
		return trouble{name: "new settings in a row", on: g.name, do: func(t *trouble) { s.reloads(g, t) }}
	case 5, 6, 7:
		return trouble{name: "drain", on: v.name, do: func(t *trouble) { s.drain(v, t) }}
	case 8:
		return s.serverTrouble("hang", v, serverHangs)
	case 9:
		return s.serverTrouble("reset", v, serverResets)
	case 10:
		return s.serverTrouble("close resting connections", v, serverClosesFast)
	case 11:
		return s.serverTrouble("refuse", v, serverDown)
	case 12:
		return s.serverTrouble("err or turn away", v, []serverMode{serverErrs, serverFull}[s.rng.IntN(2)])
	case 13:
		return trouble{name: "bad clients", on: g.name, do: func(t *trouble) { s.badClients(g, t) }}
	case 14:
		return s.discoveryTrouble([]string{"silent", "reset"}[s.rng.IntN(2)], faultnet.Blackhole)
	}
	switch s.rng.IntN(3) {
	case 0:
		return trouble{name: "discovery slow", do: func(t *trouble) { s.slowDiscovery(t) }}
	case 1:
		i := s.rng.IntN(s.opt.Catalogs)
		return trouble{name: "kill catalog", on: fmt.Sprint("c", i+1), do: func(t *trouble) {
			s.outage(s.opt.Catalogs > 1, func() { s.list.killOne(i); s.sleep(s.now() + t.last); s.list.startOne(i) })
		}}
	}
	return trouble{name: "discovery counts anew", do: func(t *trouble) { s.outage(false, s.list.countAnew) }}
}

// upgradable are the gateways whose processes share a listening socket.
func (s *soak) upgradable() (shared []*soakGateway) {
	for _, g := range s.gateways {
		if g.socket != nil {
			shared = append(shared, g)
		}
	}
	return shared
}

// upgrades is an upgrade in place of an end of that kind.
func (s *soak) upgrades(g *soakGateway, kind int) trouble {
	press := func(ended <-chan struct{}) {
		s.clients.press(g, s.clients.rest(g, restingConns), rand.New(rand.NewPCG(s.opt.Seed, uint64(kind))), ended)
	}
	switch kind {
	case 1:
		return trouble{name: "upgrades in a row", on: g.name, do: func(*trouble) { g.upgrade(press); g.upgrade(press) }}
	case 2:
		return trouble{name: "upgrade among new settings", on: g.name, do: func(*trouble) { g.reloadsInARow(); g.upgrade(press); g.reload() }}
	}
	return trouble{name: "upgrade", on: g.name, do: func(*trouble) { g.upgrade(press) }}
}

// outage runs a trouble of discovery, through which it may still be reachable, and notes its time.
func (s *soak) outage(reachable bool, do func()) {
	i := 0
	s.ledger.note(func() {
		i = len(s.ledger.outages)
		s.ledger.outages = append(s.ledger.outages, outage{span: span{from: time.Now()}, reachable: reachable})
	})
	do()
	s.ledger.note(func() { s.ledger.outages[i].to = time.Now() })
}

func (s *soak) discoveryTrouble(name string, mode faultnet.Mode) trouble {
	if name == "reset" {
		mode = faultnet.Reset
	}
	return trouble{name: "discovery " + name, do: func(t *trouble) {
		s.outage(false, func() {
			for _, link := range s.list.links {
				link.Set(mode)
			}
			s.sleep(s.now() + t.last)
			for _, link := range s.list.links {
				link.Set(faultnet.Pass)
			}
		})
	}}
}

func (s *soak) slowDiscovery(t *trouble) {
	s.outage(true, func() {
		for _, link := range s.list.links {
			link.Delay(300 * time.Millisecond)
		}
		s.sleep(s.now() + t.last)
		for _, link := range s.list.links {
			link.Delay(0)
		}
	})
}

func (s *soak) serverTrouble(name string, v *soakServer, mode serverMode) trouble {
	return trouble{name: name, on: v.name, do: func(t *trouble) {
		v.set(mode)
		s.sleep(s.now() + t.last)
		v.set(serverWell)
	}}
}

// holdUpTime is how long a process is stopped at a time; the pages name up to 0.15 s.
const holdUpTime = 140 * time.Millisecond

// holdUp stops a process again and again.
func (s *soak) holdUp(g *soakGateway, t *trouble) {
	for end := s.now() + t.last; s.now() < end; {
		g.holdUp(holdUpTime)
		s.sleep(s.now() + 200*time.Millisecond)
	}
}

func (s *soak) reloads(g *soakGateway, t *trouble) {
	for range 4 {
		g.reload()
		s.sleep(s.now() + t.last/8)
	}
}

// drain lets a server drain, goes on serving there, and lists it anew as a server just started.
func (s *soak) drain(v *soakServer, t *trouble) {
	v.mu.Lock()
	if v.draining {
		v.mu.Unlock()
		return
	}
	v.draining = true
	v.mu.Unlock()
	if s.list.put(v, stateDraining) != nil {
		return
	}
	i := 0
	s.ledger.note(func() {
		i = len(s.ledger.drains)
		s.ledger.drains = append(s.ledger.drains, soakDrain{server: v.name, at: time.Now()})
	})
	s.sleep(s.now() + 9*time.Second + t.last)
	v.set(serverDown)
	s.sleep(s.now() + 200*time.Millisecond)
	v.set(serverWell)
	v.mu.Lock()
	v.started = time.Now()
	v.mu.Unlock()
	s.ledger.note(func() { s.ledger.drains[i].back = time.Now() })
	if s.list.put(v, stateReady) == nil {
		s.ledger.note(func() { s.ledger.starts = append(s.ledger.starts, soakStart{server: v.name, at: time.Now()}) })
	}
	v.mu.Lock()
	v.draining = false
	v.mu.Unlock()
}

// badClients is in soak_client.go; the group ends with the trouble.
func (s *soak) badClients(g *soakGateway, t *trouble) {
	var peers sync.WaitGroup
	for end := s.now() + t.last; s.now() < end; s.sleep(s.now() + 50*time.Millisecond) {
		for i := range badKinds {
			peers.Add(1)
			go func() {
				defer peers.Done()
				s.badClient(g, &badKinds[i])
			}()
		}
	}
	peers.Wait()
}
