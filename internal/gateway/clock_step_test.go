package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"bramblelock"
	"bramblelock/internal/gateway/gatewaytest"
	"bramblelock/internal/gateway/hostlist"
)

// The wall clock of all machines, or only of the gateway's, is stepped while the gateway runs, and
// then a host is restarted. The host gets few requests while it is cold, and its full share once it
// is warm.
func TestRestartedHostIsColdAcrossClockStep(t *testing.T) {
	for _, step := range []time.Duration{0, time.Hour, -time.Hour, 5 * time.Second, -5 * time.Second} {
		for _, all := range []bool{true, false} {
			t.Run(fmt.Sprintf("%v, on all machines %t", step, all), func(t *testing.T) {
				gatewaytest.RunInBubble(t, func(t *testing.T) { testRestartAfterStep(t, step, all) })
			})
		}
	}
}

func testRestartAfterStep(t *testing.T, step time.Duration, all bool) {
	const warmAfter = 20 * time.Second
	n := newBubbleNet()
	hosts := bubbleHosts(n, 2)
	for _, h := range hosts {
		h.serviceTime = 400 * time.Millisecond // a host serves 2.5 requests a second one after the other, so a cold one may get 5
	}
	cfg := bubbleConfig(false, 1, 0, "discovery:80", hosts)
	cfg.Settings.ColdCapacity, cfg.Settings.WarmAfter = 0.1, warmAfter
	cfg.Settings.OverloadFactor, cfg.Settings.OverloadWindow = 2, time.Second
	ctx, cancel := context.WithCancel(t.Context())
	g := startBubble(t, ctx, n, cfg)
	defer endBubble(cancel)
	stop := make(chan struct{})
	defer close(stop)
	fleetTraffic([]*bubbleGateway{g}, stop)
	time.Sleep(5 * time.Second)
	g.loop.post(func(bramblelock.Time) {
		g.loop.wallClock = func() time.Time { return time.Now().Add(step) }
	})
	began := time.Now()
	started := began
	if all {
		started = began.Add(step)
	}
	g.loop.HandleList(bramblelock.ListChanges, hostlist.List{Version: 60, Servers: []hostlist.Member{
		{ID: hosts[0].id, Addr: hosts[0].addr, State: "ready", StartedMS: started.UnixMilli()}}})
	time.Sleep(warmAfter + 10*time.Second)
	// At 40 requests a second a warm host gets half of them.
	if got := hosts[0].requestsBetween(began, began.Add(time.Second)); got > 6 {
		t.Errorf("the host gets %d requests in the first second after its start", got)
	}
	if got := hosts[0].requestsBetween(began.Add(warmAfter+5*time.Second), time.Now()); got < 50 {
		t.Errorf("once it is warm the host gets %d requests in 5 s", got)
	}
}
