package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["refused"] = refusedCase }

// refusedCase: the watches of three gateways are reset. For 8 s discovery turns away the calls of one of them,
// n1; the others are let in. A host begins to drain right after the reset. That counts as told 6 s later at the
// latest; from 1 s and 50 ms after that, the host must get nothing new.
func refusedCase(t *trial) ([]string, error) {
	const told, grace, slack = 6 * time.Second, time.Second, 50 * time.Millisecond
	var mu sync.Mutex
	attempts := map[string][]*call{}
	answer := func(h *host, c *call) bool {
		mu.Lock()
		attempts[h.id] = append(attempts[h.id], c)
		mu.Unlock()
		time.Sleep(time.Duration(30+rand.IntN(60)) * time.Millisecond)
		return c.write("200 OK", "", "done "+c.id)
	}
	d, err := t.deploy(3, 9, limits{memoryMB: 128, sockets: 1024}, siteClasses(), answer)
	if err != nil {
		return nil, err
	}
	var drainedAt time.Time
	const refuseAfter, drainAfter, refuseFor, length = 6 * time.Second, 100 * time.Millisecond, 8 * time.Second, 24 * time.Second
	go func() {
		time.Sleep(refuseAfter)
		if t.trouble {
			d.disco.setRefuse(d.gateways[0].discoveryAddr)
			d.disco.resetWatches()
		}
		time.Sleep(drainAfter)
		mu.Lock()
		drainedAt = time.Now()
		mu.Unlock()
		d.disco.setState("s-1", "draining")
		time.Sleep(refuseFor - drainAfter)
		if t.trouble {
			d.disco.setRefuse("")
		}
	}()
	var sent, served atomic.Int64
	var next atomic.Int64
	traffic(170, length, func() {
		cl := d.clients[int(next.Add(1))%len(d.clients)]
		sent.Add(1)
		if res := cl.do("search", "idempotent", 1200*time.Millisecond, ""); res.status == 200 {
			served.Add(1)
		}
	})
	mu.Lock()
	defer mu.Unlock()
	before := 0
	var broken []string
	for _, c := range attempts["s-1"] {
		since := c.firstByteAt.Sub(drainedAt)
		if since <= 0 {
			before++
		}
		if since > told+grace+slack {
			broken = append(broken, fmt.Sprintf("the draining host s-1 got %s %.3f s after discovery had the drain", c.id, since.Seconds()))
		}
	}
	byGateway := map[string]int{}
	for _, c := range attempts["s-1"] {
		if c.firstByteAt.Sub(drainedAt) > told+grace+slack {
			byGateway[c.id[:2]]++
		}
	}
	t.rec.say("attempts too late by gateway: %v", byGateway)
	t.rec.say("%d requests, %d served; s-1 got %d before it drained and %d later than %v after", sent.Load(), served.Load(), before, len(broken), told+grace+slack)
	if before == 0 || served.Load() < sent.Load()/2 {
		return nil, fmt.Errorf("the deployment did not serve")
	}
	return broken, nil
}
