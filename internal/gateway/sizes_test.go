package gateway

import (
	"context"
	"testing"
	"time"

	"bramblelock"
	"bramblelock/internal/gateway/gatewaytest"
)

// A gateway of a fleet of 1,024 with 1,024 hosts applies the whole list and each change, and uses
// the ready hosts and no others, with or without a view of the fleet.
func TestThousandHostsAndGateways(t *testing.T) {
	const count = 1024
	for _, onDemand := range []bool{true, false} {
		gatewaytest.RunInBubble(t, func(t *testing.T) {
			n := newBubbleNet()
			hosts := bubbleHosts(n, count)
			disco := newBubbleDiscovery(n, "discovery:80", hosts)
			ctx, cancel := context.WithCancel(t.Context())
			defer endBubble(cancel, disco)
			cfg := bubbleConfig(onDemand, count, count-1, disco.addr, nil) // no saved list: the list of discovery is all it has
			g := startBubble(t, ctx, n, cfg)
			time.Sleep(5 * time.Second)
			if !g.usable("s-0") || !g.usable("s-1023") {
				t.Fatal("the list is not known completely")
			}
			countServed := func(requests int) (good int) {
				var xs []*exchange
				for i := range requests {
					xs = append(xs, g.send(i))
					time.Sleep(10 * time.Millisecond)
				}
				for _, x := range xs {
					if a := <-x.answer; a.kind == answerServed {
						good++
					}
				}
				return good
			}
			if n := countServed(200); n != 200 {
				t.Errorf("on demand %t: %d of 200 requests are served", onDemand, n)
			}
			var peers []bramblelock.Peer
			for rank := range count {
				peers = append(peers, bramblelock.Peer{Rank: rank, Rate: 20})
			}
			if p := g.loop.UpdatePeers(peers); p.Live != count || p.SubsetHosts == 0 {
				t.Errorf("on demand %t: the fleet status is %+v", onDemand, p)
			}
			if n := countServed(200); n != 200 {
				t.Errorf("on demand %t: with a view %d of 200 requests are served", onDemand, n)
			}
			for _, h := range hosts[1:] { // one host is left
				disco.mu.Lock()
				disco.states[h.id] = "draining"
				disco.mu.Unlock()
			}
			disco.drain("s-1")
			time.Sleep(time.Second)
			before := time.Now()
			countServed(20)
			for _, h := range hosts[1:] {
				if h.requestsBetween(before, time.Now()) > 0 {
					t.Fatalf("on demand %t: %s got a request after it began to drain", onDemand, h.id)
				}
			}
			if hosts[0].requestsBetween(before, time.Now()) == 0 {
				t.Errorf("on demand %t: the host that is left got nothing", onDemand)
			}
		})
	}
}
