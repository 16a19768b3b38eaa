package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// deployment is discovery with hosts, and gateways with the clients of each.
type deployment struct {
	disco    *discovery
	hosts    []*host
	gateways []*gateway
	clients  []*clients
}

// deploy starts hosts that answer with answer, discovery that lists them, and gateways.
func (t *trial) deploy(gateways, hosts int, lim limits, classes []object, answer func(h *host, c *call) bool) (*deployment, error) {
	d := &deployment{}
	var err error
	if d.disco, err = startDiscovery(t.rec, gateways); err != nil {
		return nil, err
	}
	for i := range hosts {
		h, err := startHost(t.rec, fmt.Sprintf("s-%d", i+1), answer)
		if err != nil {
			return nil, err
		}
		d.hosts = append(d.hosts, h)
		d.disco.set(entry{ID: h.id, Addr: h.addr, Zone: string(rune('a' + i%3)), Kind: "std-1", State: "ready", Weight: 1})
	}
	for i := range gateways {
		g, err := t.gateway(fmt.Sprintf("n%d", i+1), d.disco.addrs[i], lim, d.disco.known(), settings(gateways, i, classes))
		if err != nil {
			return nil, err
		}
		d.gateways = append(d.gateways, g)
		d.clients = append(d.clients, &clients{rec: t.rec, g: g})
	}
	return d, nil
}

// traffic calls send for random arrivals at a rate a second for a time, each in a goroutine of its own, and
// waits for all of them.
func traffic(rate float64, length time.Duration, send func()) {
	var wg sync.WaitGroup
	for at, start := time.Duration(0), time.Now(); at < length; at += time.Duration(rand.ExpFloat64() / rate * float64(time.Second)) {
		time.Sleep(time.Until(start.Add(at)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			send()
		}()
	}
	wg.Wait()
}
