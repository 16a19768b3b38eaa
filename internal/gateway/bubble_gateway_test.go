package gateway

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"bramblelock"
	"bramblelock/internal/gateway/config"
	"bramblelock/internal/gateway/discovery"
	"bramblelock/internal/gateway/hostlist"
)

// drainGrace is how long after a change counts as notified a request may still be sent.
const drainGrace = time.Second

// bubbleGateway is a gateway in the bubble without a server for clients.
type bubbleGateway struct {
	cfg  *config.Config
	loop *Loop
	d    *discovery.Client
}

// startBubble starts a gateway of a fleet.
func startBubble(t *testing.T, ctx context.Context, n *bubbleNet, cfg *config.Config) *bubbleGateway {
	pool := NewPool(cfg)
	pool.dial = n.dial
	d := discovery.New(cfg)
	d.Dial = n.dial
	loop, err := NewLoop(cfg, pool, d.Watch)
	if err != nil {
		t.Fatal(err)
	}
	go loop.Run(ctx)
	loop.HandleList(bramblelock.ListSaved, cfg.Known)
	go d.Run(ctx, loop)
	return &bubbleGateway{cfg, loop, d}
}

func bubbleConfig(onDemand bool, instances, rank int, discovery string, hosts []*bubbleHost) *config.Config {
	cfg := testConfig()
	cfg.Seed, cfg.Discovery = uint64(rank), discovery
	cfg.DialTimeout = 2 * time.Second
	cfg.Settings.WatchHosts, cfg.Settings.Instances, cfg.Settings.Rank = onDemand, instances, rank
	cfg.Settings.Classes = []bramblelock.Class{{LatencyTarget: 2 * time.Second, Deadline: 4 * time.Second}}
	cfg.Classes = map[string]int{"look": 0}
	for _, h := range hosts {
		cfg.Known.Servers = append(cfg.Known.Servers, hostlist.Member{ID: h.id, Addr: h.addr, State: "ready"})
	}
	return cfg
}

// usable returns whether a gateway would send requests to a host.
func (g *bubbleGateway) usable(id string) bool {
	known := make(chan bool, 1)
	g.loop.post(func(bramblelock.Time) {
		h := g.loop.hosts[hostID(id)]
		known <- h != nil && h.usable.Load()
	})
	return <-known
}

// send submits a request of a client that waits for the answer.
func (g *bubbleGateway) send(n int) *exchange {
	x := &exchange{
		method: "GET", uri: "/api/" + strconv.Itoa(n), host: "service", answer: make(chan answer, 1),
		header:      http.Header{requestIDHeader: {strconv.Itoa(n)}, "X-Priority-Class": {"look"}},
		capDeadline: func(t time.Time) time.Time { return t },
		timeout:     4 * time.Second, deadline: time.Now().Add(4 * time.Second), rules: &g.cfg.Rules,
	}
	g.loop.Submit(x)
	return x
}

// endBubble ends everything that runs in the bubble.
func endBubble(cancel func(), discos ...*bubbleDiscovery) {
	cancel()
	for _, d := range discos {
		d.down()
	}
	time.Sleep(time.Minute)
}
