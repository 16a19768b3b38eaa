package main

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"bramblelock"
	"bramblelock/internal/catalogfleet"
	"bramblelock/internal/faultnet"
	"bramblelock/internal/gateway/config"
	"bramblelock/internal/gateway/discovery"
	"bramblelock/internal/gateway/hostlist"
)

// versionRecorder receives the lists of a gateway's discovery client in place of a gateway.Loop and
// keeps the latest version.
type versionRecorder struct {
	mu      sync.Mutex
	version uint64
}

func (s *versionRecorder) HandleList(kind bramblelock.ListKind, l hostlist.List) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !kind.IsLoss() {
		s.version = max(s.version, l.Version)
	}
}

func (s *versionRecorder) latestVersion() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// The discovery clients of 300 gateways lose the catalog at once and reconnect when it restarts. Jitter
// must spread their calls, and the catalog must stay within its memory and descriptor limits.
func TestReconnectsAreSpreadAfterCatalogRestart(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	const watchers = 300
	c := startCluster(t, 1)
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
	recorders := make([]*versionRecorder, watchers)
	for i := range recorders {
		recorders[i] = &versionRecorder{}
		d := discovery.New(&config.Config{Discovery: link.Addr})
		go d.Run(ctx, recorders[i])
	}
	allHaveVersion := func(v uint64) bool {
		for _, s := range recorders {
			if s.latestVersion() < v {
				return false
			}
		}
		return true
	}
	for i := 0; i < 300 && !allHaveVersion(want.Version); i++ {
		time.Sleep(50 * time.Millisecond)
	}
	if !allHaveVersion(want.Version) {
		t.Fatal("not all watchers have the list")
	}
	c.Processes["c1"].Kill()
	time.Sleep(3 * time.Second) // every client is in backoff by then
	c.Start("c1")
	c.WaitForLeader()
	connsBefore := link.Accepted()
	// Counts the connections to the catalog per 100 ms until all clients have a watch again.
	var callsPer100ms []int64
	previous := connsBefore
	for i := 0; i < 100; i++ {
		time.Sleep(100 * time.Millisecond)
		now := link.Accepted()
		callsPer100ms = append(callsPer100ms, now-previous)
		previous = now
		if st, err := catalogfleet.FetchStatus(addr); err == nil && st.Watches >= watchers {
			break
		}
	}
	var maxCalls int64
	for _, b := range callsPer100ms {
		maxCalls = max(maxCalls, b)
	}
	rss, fds := catalogfleet.ProcessUsage(c.Processes["c1"].Pid())
	t.Logf("calls per 100 ms after the restart: %v (maximum %d); catalog uses %d kB, %d descriptors", callsPer100ms, maxCalls, rss, fds)
	if st, err := catalogfleet.FetchStatus(addr); err != nil || st.Watches < watchers {
		t.Fatalf("watches open after the restart: %+v %v", st, err)
	}
	if maxCalls > watchers/2 {
		t.Errorf("%d of %d watchers reconnected within 100 ms", maxCalls, watchers)
	}
	if rss > 192<<10 || fds > watchers+100 {
		t.Errorf("catalog uses %d kB and %d descriptors for %d watches", rss, fds, watchers)
	}
}
