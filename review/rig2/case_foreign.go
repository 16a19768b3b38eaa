package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["foreign"] = foreignCase }

// foreignCase: one of twenty answers is followed by a second one, some milliseconds late. What a client gets
// with status 200 must be what a host has answered to its request.
func foreignCase(t *trial) ([]string, error) {
	var spoilt atomic.Int64
	answer := func(h *host, c *call) bool {
		time.Sleep(time.Duration(30+rand.IntN(60)) * time.Millisecond)
		if !c.write("200 OK", "", "done "+c.id) {
			return false
		}
		if t.trouble && rand.IntN(20) == 0 {
			late := time.Duration(3+rand.IntN(7)) * time.Millisecond
			time.Sleep(late)
			spoilt.Add(1)
			h.rec.add("host %s sends a second answer to %s, %v after the first", h.id, c.id, late)
			return c.write("200 OK", "", "done "+c.id)
		}
		return true
	}
	d, err := t.deploy(3, 9, limits{memoryMB: 128, sockets: 1024}, siteClasses(), answer)
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var broken []string
	var sent, served int
	var next atomic.Int64
	traffic(170, 50*time.Second, func() {
		cl := d.clients[int(next.Add(1))%len(d.clients)]
		name, effect, timeout := "search", "idempotent", 1200*time.Millisecond
		switch x := rand.Float64(); {
		case x < 0.36:
			name, effect, timeout = "save-address", "at_most_once", 4*time.Second
		case x < 0.5:
			name, effect, timeout = "issue-code", "at_most_once", 2*time.Second
		}
		body := ""
		if effect != "idempotent" {
			body = "address"
		}
		res := cl.do(name, effect, timeout, body)
		mu.Lock()
		defer mu.Unlock()
		sent++
		if res.status != 200 {
			return
		}
		served++
		if got := strings.TrimSpace(res.body); got != "done "+res.id {
			broken = append(broken, fmt.Sprintf("%s %s was answered 200 with %q, which no host made for it", name, res.id, got))
		}
	})
	t.rec.say("%d requests, %d served, %d second answers, %d clients got a foreign answer", sent, served, spoilt.Load(), len(broken))
	if served < sent/2 {
		return nil, fmt.Errorf("only %d of %d requests were served", served, sent)
	}
	return broken, nil
}
