package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"bramblelock"
	"bramblelock/internal/gateway/gatewaytest"
)

// fleetTraffic sends each gateway a request every 25 ms until stop is closed.
func fleetTraffic(gateways []*bubbleGateway, stop chan struct{}) {
	for _, g := range gateways {
		go func() {
			tick := time.NewTicker(25 * time.Millisecond)
			defer tick.Stop()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-tick.C:
					g.send(i)
				}
			}
		}()
	}
}

// bubbleFleet starts gateways that request their list, and waits until each has one.
func bubbleFleet(t *testing.T, ctx context.Context, n *bubbleNet, disco *bubbleDiscovery, count int) []*bubbleGateway {
	var gateways []*bubbleGateway
	for rank := range count {
		gateways = append(gateways, startBubble(t, ctx, n, bubbleConfig(true, count, rank, disco.addr, disco.hosts)))
	}
	time.Sleep(20 * time.Second)
	for rank, g := range gateways {
		select {
		case <-g.loop.Listed():
		default:
			t.Fatalf("gateway %d has no list", rank)
		}
	}
	return gateways
}

// All watches of a fleet end in order instead of sending that a host drains, and discovery serves
// one call at a time in half a second. What a watch held back when it ended counts as notified two
// seconds later, so no gateway may begin an attempt at the host after three. In the first two
// fleets all calls can be served by then. In the last they cannot, whatever the gateways do, so
// those that are served late send nothing until they are notified, but not for long.
func TestNoRequestToDrainingHostAfterWatchesEnd(t *testing.T) {
	for _, c := range []struct {
		gateways    int
		serviceTime time.Duration
	}{{6, 450 * time.Millisecond}, {6, 560 * time.Millisecond}, {12, 500 * time.Millisecond}} {
		t.Run(fmt.Sprintf("%d gateways, %v a call", c.gateways, c.serviceTime), func(t *testing.T) {
			gatewaytest.RunInBubble(t, func(t *testing.T) { testFleetAfterWatchesEnd(t, c.gateways, c.serviceTime) })
		})
	}
}

func testFleetAfterWatchesEnd(t *testing.T, count int, serviceTime time.Duration) {
	n := newBubbleNet()
	hosts := bubbleHosts(n, 4)
	disco := newBubbleDiscovery(n, "discovery:80", hosts)
	disco.serviceTime = serviceTime
	ctx, cancel := context.WithCancel(t.Context())
	defer endBubble(cancel, disco)
	gateways := bubbleFleet(t, ctx, n, disco, count)
	stop := make(chan struct{})
	defer close(stop)
	fleetTraffic(gateways, stop)
	time.Sleep(5 * time.Second)
	ended := time.Now()
	disco.endWatches()
	disco.drain("s-0")
	time.Sleep(10 * time.Second)
	if late := hosts[0].lastRequestAt().Sub(ended); late > 2*time.Second+drainGrace {
		t.Errorf("a request is sent to the host %v after the watches ended", late)
	}
	from := ended.Add(6 * time.Second)
	if got := hosts[1].requestsBetween(from, from.Add(time.Second)); got == 0 {
		t.Error("no request is sent to a ready host 6 s after the watches ended")
	}
}

// A call that is given up keeps its place at a discovery that serves calls one after the other.
// Repeating it while it waits costs work for nothing, and delays all calls behind it.
func TestQueuedCallIsNotRepeated(t *testing.T) {
	gatewaytest.RunInBubble(t, func(t *testing.T) {
		const gateways = 8
		n := newBubbleNet()
		disco := newBubbleDiscovery(n, "discovery:80", bubbleHosts(n, 4))
		disco.serviceTime = 480 * time.Millisecond
		ctx, cancel := context.WithCancel(t.Context())
		defer endBubble(cancel, disco)
		bubbleFleet(t, ctx, n, disco, gateways)
		before := disco.callCount()
		disco.resetWatches()
		time.Sleep(bramblelock.NotifiedAfter)
		if calls := disco.callCount() - before; calls != gateways {
			t.Errorf("%d gateways made %d calls after their watches were reset", gateways, calls)
		}
	})
}
