package gateway

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"lynxspool"
)

// fleetTraffic gives each gateway a request every 25 ms until stop is closed.
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

// bubbleFleet starts gateways that ask for their list, and waits until each has one.
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

// All watches of a fleet end in order instead of telling that a server drains, and discovery
// takes half a second for a call, in turn. What a watch kept back as it ended counts as
// notified two seconds later, so no gateway may begin a request there after three. The first
// two fleets can all be served by then; the last cannot, whatever its gateways do, so those
// that come late send nothing until they are told, but not for long.
func TestFleetWhoseWatchesEndSendsNothingToAServerThatDrains(t *testing.T) {
	for _, c := range []struct {
		gateways int
		work     time.Duration
	}{{6, 450 * time.Millisecond}, {6, 560 * time.Millisecond}, {12, 500 * time.Millisecond}} {
		t.Run(fmt.Sprintf("%d gateways, %v a call", c.gateways, c.work), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { endedFleet(t, c.gateways, c.work) })
		})
	}
}

func endedFleet(t *testing.T, count int, work time.Duration) {
	n := newBubbleNet()
	hosts := bubbleHosts(n, 4)
	disco := newBubbleDiscovery(n, "discovery:80", hosts)
	disco.work = work
	ctx, cancel := context.WithCancel(t.Context())
	defer settle(cancel, disco)
	gateways := bubbleFleet(t, ctx, n, disco, count)
	stop := make(chan struct{})
	defer close(stop)
	fleetTraffic(gateways, stop)
	time.Sleep(5 * time.Second)
	ended := time.Now()
	disco.finish()
	disco.drain("s-0")
	time.Sleep(10 * time.Second)
	if late := hosts[0].last().Sub(ended); late > 2*time.Second+drainGrace {
		t.Errorf("a request goes to the server %v after the watches ended", late)
	}
	from := ended.Add(6 * time.Second)
	if got := hosts[1].between(from, from.Add(time.Second)); got == 0 {
		t.Error("nothing goes to a ready server 6 s after the watches ended")
	}
}

// called is how many calls came.
func (d *bubbleDiscovery) called() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.calls)
}

// A call that is given up keeps its place at a discovery that serves calls in turn, so one
// that is made anew while it waits is work for nothing, and all behind it are told later.
func TestCallThatWaitsItsTurnIsNotMadeAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const gateways = 8
		n := newBubbleNet()
		disco := newBubbleDiscovery(n, "discovery:80", bubbleHosts(n, 4))
		disco.work = 480 * time.Millisecond
		ctx, cancel := context.WithCancel(t.Context())
		defer settle(cancel, disco)
		bubbleFleet(t, ctx, n, disco, gateways)
		before := disco.called()
		disco.end()
		time.Sleep(lynxspool.NotifiedAfter)
		if calls := disco.called() - before; calls != gateways {
			t.Errorf("%d gateways made %d calls after their watches were reset", gateways, calls)
		}
	})
}
