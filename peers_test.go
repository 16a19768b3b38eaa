package bramblelock

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"
)

// startFleet starts a fleet of instances with skewed request rates and n hosts. Each has a view of
// the fleet, which is updated ten times.
func startFleet(t *testing.T, instances, n int) (fleet []*gateway, rates []float64) {
	rng := rand.New(rand.NewSource(1))
	var peers []Peer
	for rank := range instances {
		rates = append(rates, 0.3+0.7*rng.ExpFloat64())
		peers = append(peers, Peer{Rank: rank, Rate: rates[rank]})
	}
	for rank := range instances {
		set := basicSettings()
		set.Instances, set.Rank = instances, rank
		g := startGateway(t, set)
		g.b.UpdatePeers(g.now, peers)
		g.updateHosts(ListFull, testHosts(n)...)
		g.updateView(peers, 10)
		fleet = append(fleet, g)
	}
	return fleet, rates
}

// updateView passes a view to the instance the given number of times, once a second, each with a
// request after it.
func (g *gateway) updateView(peers []Peer, times int) {
	for range times {
		g.b.UpdatePeers(g.now, peers)
		id := g.request(0, time.Second)
		for _, a := range g.actions {
			if a.Kind == Send {
				g.outcome(id, 0, OK, 10*ms)
			}
		}
		g.advance(time.Second)
	}
}

// The traffic shares that instances choose independently, each on its own view, give all hosts
// nearly the same load. No instance sends more than half of its traffic to one host.
func TestViewBalancesHostLoad(t *testing.T) {
	const instances, n = 90, 60
	fleet, rates := startFleet(t, instances, n)
	load, sum, evenLoad := map[HostID]float64{}, 0.0, map[HostID]float64{}
	for i, g := range fleet {
		total := 0.0
		for _, h := range g.b.subset {
			total += g.b.trafficShare(h)
		}
		for _, h := range g.b.subset {
			share := g.b.trafficShare(h) / total
			if share > maxTrafficShare+0.02 {
				t.Errorf("instance %d sends host %d a share of %.2f of its traffic, want at most half", i, h.ID, share)
			}
			load[h.ID] += rates[i] * share
			evenLoad[h.ID] += rates[i] / float64(len(g.b.subset))
		}
		sum += rates[i]
	}
	cv := func(load map[HostID]float64) float64 {
		squares := 0.0
		for _, h := range testHosts(n) {
			squares += math.Pow(load[h.ID]/(sum/n)-1, 2)
		}
		return math.Sqrt(squares / n)
	}
	if fitted, even := cv(load), cv(evenLoad); fitted > 0.1 || fitted > even/2 {
		t.Errorf("coefficient of variation of the loads %.3f, with even shares %.3f", fitted, even)
	}
}

// Where all hosts are equally fast, picks of two by traffic share give each ready host its share.
// The two hosts always differ.
func TestPickTwoFollowsTrafficShares(t *testing.T) {
	fleet, _ := startFleet(t, 1, 4)
	b := fleet[0].b
	b.ready = append(b.ready[:0], b.ring...)
	for i, share := range []float64{0.5, 0.3, 0.15, 0.05} {
		b.ring[i].trafficShare = share
	}
	const picks = 20000
	got := map[*host]float64{}
	for range picks {
		i, j := b.pickTwo()
		if i == j {
			t.Fatal("the same host was picked twice")
		}
		got[b.ready[i]] += 0.5 / picks // each is taken half of the time
		got[b.ready[j]] += 0.5 / picks
	}
	for _, h := range b.ring {
		if math.Abs(got[h]-h.trafficShare) > 0.02 {
			t.Errorf("host %d gets a share of %.3f of the picks, want its traffic share %.2f", h.ID, got[h], h.trafficShare)
		}
	}
}

// A network partition splits the fleet into halves for 10 s. Each side keeps its share of the
// limits of hosts as if all instances were present, so that their sum stays within the limits. An
// instance that sees no other one adds at most one host a second to its subset. In a partition that
// lasts, the absent instances stop counting.
func TestPartitionKeepsSharesOfLimits(t *testing.T) {
	const instances, n = 90, 60
	fleet, _ := startFleet(t, instances, n)
	half := make([]Peer, 0, instances/2)
	for rank := range instances / 2 {
		half = append(half, Peer{Rank: rank, Rate: 1})
	}
	for _, g := range fleet[:3] {
		g.updateView(half, 10)
		if got := g.b.instances(); got < instances {
			t.Errorf("limits are shared by %.0f instances 10 s into the partition, want at least %d", got, instances)
		}
		g.updateView(half, 120)
		if got := g.b.instances(); got > instances/2+1 {
			t.Errorf("limits are shared by %.0f instances after 130 s, want about the %d present", got, len(half))
		}
	}
	alone := fleet[5]
	before := len(alone.b.subset)
	alone.updateView([]Peer{{Rank: 5, Rate: 1}}, 10)
	if added := len(alone.b.subset) - before; added > 11 || alone.b.instances() < instances {
		t.Errorf("alone for 10 s, the instance uses %d more hosts and limits are shared by %.0f", added, alone.b.instances())
	}
}

// BenchmarkPick measures a request with its pick by number of hosts, with and without a view of 300
// instances.
func BenchmarkPick(bm *testing.B) {
	for _, n := range []int{40, 200, 2000} {
		for _, view := range []bool{false, true} {
			bm.Run(fmt.Sprintf("hosts=%d/view=%v", n, view), func(bm *testing.B) {
				set := basicSettings()
				set.Instances, set.Rank = 300, 7
				b, _ := New(set, 1)
				now := time.Hour
				b.Start(now)
				var peers []Peer
				for rank := range set.Instances {
					peers = append(peers, Peer{Rank: rank, Rate: 3})
				}
				if view {
					b.UpdatePeers(now, peers)
				}
				b.UpdateHosts(now, ListFull, testHosts(n))
				actions := b.TakeActions(nil)
				bm.ReportAllocs()
				for i := 0; bm.Loop(); i++ {
					now += 300 * ms // 3.3 requests a second
					b.Request(now, Request{ID: RequestID(i), Remaining: time.Second})
					b.Outcome(now+40*ms, Outcome{Request: RequestID(i), Elapsed: 40 * ms, Answered: true})
					actions = b.TakeActions(actions[:0])
				}
			})
		}
	}
}
