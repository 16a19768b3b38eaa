package main

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"lynxspool"
	"lynxspool/internal/catalogfleet"
	"lynxspool/internal/faultnet"
	"lynxspool/internal/gateway"
)

// sink takes what a gateway's discovery client tells, as the Loop would.
type sink struct {
	mu      sync.Mutex
	version uint64
}

func (s *sink) HandleList(kind lynxspool.ListKind, l gateway.MemberList) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !kind.IsLoss() {
		s.version = max(s.version, l.Version)
	}
}

func (s *sink) at() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// Hard case 4: 300 gateways' discovery clients lose the catalog at once and come back
// when it restarts: their calls are spread by jitter, and the catalog stays within
// its memory and descriptor bounds.
func TestWatchersReturnSpreadAfterRestart(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	const watchers = 300
	c := testCluster(t, 1)
	addr := c.HTTPAddr[c.WaitForLeader()]
	for i := 0; i < 200; i++ {
		catalogfleet.PutMember(addr, fmt.Sprintf("s-%03d", i), fmt.Sprintf(`{"addr":"127.0.0.1:%d","zone":"a"}`, 20000+i))
	}
	want, _ := catalogfleet.FetchList(addr)
	link, err := faultnet.NewLink(addr)
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sinks := make([]*sink, watchers)
	for i := range sinks {
		sinks[i] = &sink{}
		d := gateway.NewDiscovery(&gateway.Config{Discovery: link.Addr})
		go d.Run(ctx, sinks[i])
	}
	all := func(v uint64) bool {
		for _, s := range sinks {
			if s.at() < v {
				return false
			}
		}
		return true
	}
	for i := 0; i < 300 && !all(want.Version); i++ {
		time.Sleep(50 * time.Millisecond)
	}
	if !all(want.Version) {
		t.Fatal("the watchers do not all have the list")
	}
	c.Processes["c1"].Kill()
	time.Sleep(3 * time.Second) // every client is in its backoff by now
	c.Start("c1")
	c.WaitForLeader()
	start := link.Accepted()
	// Calls at the catalog in each 100 ms until all are back on a watch.
	var buckets []int64
	prev := start
	for i := 0; i < 100; i++ {
		time.Sleep(100 * time.Millisecond)
		now := link.Accepted()
		buckets = append(buckets, now-prev)
		prev = now
		if st, err := catalogfleet.FetchStatus(addr); err == nil && st.Watches >= watchers {
			break
		}
	}
	var most int64
	for _, b := range buckets {
		most = max(most, b)
	}
	rss, fds := catalogfleet.ProcessUsage(c.Processes["c1"].Pid())
	t.Logf("calls a 100 ms after the restart: %v (most %d); catalog %d kB, %d descriptors", buckets, most, rss, fds)
	if st, err := catalogfleet.FetchStatus(addr); err != nil || st.Watches < watchers {
		t.Fatalf("watches open after the restart: %+v %v", st, err)
	}
	if most > watchers/2 {
		t.Errorf("%d of %d watchers came back within one 100 ms", most, watchers)
	}
	if rss > 192<<10 || fds > watchers+100 {
		t.Errorf("catalog holds %d kB and %d descriptors for %d watches", rss, fds, watchers)
	}
}
