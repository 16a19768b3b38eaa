package bramblelock

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkListChange measures a change of one host, which is removed or listed again, by the number of hosts.
func BenchmarkListChange(b *testing.B) {
	for _, hosts := range []int{200, 3200, 10_000} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			set := basicSettings()
			set.Instances, set.Rank, set.WarmAfter, set.ColdCapacity = 900, 7, 24*time.Second, 0.13
			balancer, err := New(set, 1)
			if err != nil {
				b.Fatal(err)
			}
			balancer.Start(0)
			list := testHosts(hosts)
			for i := range list {
				list[i].Kind = i % 3
			}
			balancer.UpdateHosts(0, ListFull, list)
			now := Time(time.Second)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += Time(time.Millisecond)
				changed := list[i/2%hosts]
				if i%2 == 0 {
					changed.State = Removed
				}
				balancer.UpdateHosts(now, ListChanges, []Host{changed})
				balancer.TakeActions(nil)
			}
		})
	}
}
