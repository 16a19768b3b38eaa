package bramblelock

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// However it came about, the ring depends on its hosts alone, with few kinds and with many.
func TestRingDependsOnHostsAlone(t *testing.T) {
	for _, kinds := range []int{1, 3, maxMergedKinds + 4} {
		rng := rand.New(rand.NewPCG(1, uint64(kinds)))
		set := basicSettings()
		changed := startGateway(t, set, testHosts(100)...)
		for range 300 {
			h := Host{ID: HostID(1 + rng.IntN(120)), Kind: rng.IntN(kinds), State: HostState(rng.IntN(3))}
			changed.updateHosts(ListChanges, h)
		}
		var list []Host
		for _, h := range changed.b.hosts {
			list = append(list, h.Host)
		}
		slices.Reverse(list)
		atOnce := startGateway(t, set, list...)
		ids := func(ring []*host) (ids []HostID) {
			for _, h := range ring {
				ids = append(ids, h.ID)
			}
			return ids
		}
		if got, want := ids(changed.b.ring), ids(atOnce.b.ring); !slices.Equal(got, want) {
			t.Errorf("%d kinds: ring %v after changes, %v of one list", kinds, got, want)
		}
	}
}
