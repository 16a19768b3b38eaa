package discovery

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"bramblelock"
	"bramblelock/internal/gateway/config"
	"bramblelock/internal/gateway/gatewaytest"
	"bramblelock/internal/gateway/hostlist"
)

// A watch on which nothing arrives, not even an empty line, is reopened: its connection may be
// dead.
func TestSilentWatch(t *testing.T) {
	cfg := &config.Config{}
	disco := gatewaytest.NewWatchServer(t)
	cfg.Discovery = strings.TrimPrefix(disco.URL, "http://")
	d := New(cfg)
	d.SilenceTimeout = 50 * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.Run(ctx, &versionRecorder{})
	gatewaytest.Until(t, "a second watch", func() bool {
		return len(disco.Calls()) > 1
	})
}

// A silent watch that the module has requested is reopened at once, without a new request: what it
// has missed would count as notified while the module waits for its next call. That also holds for
// a watch that was opened and never sent anything.
func TestSilentWatchIsReopenedAtOnce(t *testing.T) {
	for name, lines := range map[string][]string{
		"after a line":   {`{"version":50,"full":false,"servers":[]}`},
		"from its start": nil,
	} {
		t.Run(name, func(t *testing.T) { testSilentWatch(t, lines) })
	}
}

func testSilentWatch(t *testing.T, lines []string) {
	cfg := &config.Config{}
	cfg.Settings.WatchHosts = true
	disco := gatewaytest.NewWatchServer(t)
	cfg.Discovery = strings.TrimPrefix(disco.URL, "http://")
	d := New(cfg)
	d.SilenceTimeout = 300 * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	received := make(listRecorder, 8)
	go d.Run(ctx, received)
	d.Watch()
	for _, line := range lines {
		disco.Lines <- line
	}
	gatewaytest.Until(t, "a second watch after one request for it", func() bool {
		return len(disco.Calls()) > 1
	})
	for len(received) > 0 {
		if kind := <-received; kind == bramblelock.ListFailed {
			t.Error("a failure was reported to the module, which would wait")
		}
	}
}

// If the module asks for watches, it decides when one begins, and failures are reported to it.
func TestWatchOnlyWhenAsked(t *testing.T) {
	cfg := &config.Config{}
	cfg.Settings.WatchHosts = true
	disco := gatewaytest.NewWatchServer(t)
	cfg.Discovery = strings.TrimPrefix(disco.URL, "http://")
	d := New(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.Run(ctx, &versionRecorder{})
	for n := 1; n <= 2; n++ {
		d.Watch()
		disco.Lines <- ""
		if calls := len(disco.Calls()); calls != n {
			t.Errorf("%d watches after %d requests for one", calls, n)
		}
	}
}

// Gateways that lose discovery together must return to it at different times.
func TestBackoffIsJittered(t *testing.T) {
	const d = time.Second
	shortest, longest := time.Hour, time.Duration(0)
	for range 1000 {
		j := jitter(d)
		shortest, longest = min(shortest, j), max(longest, j)
	}
	if shortest < 0 || longest >= 2*d || longest-shortest < d {
		t.Errorf("waits from %v to %v for %v", shortest, longest, d)
	}
}

// versionRecorder is a ListHandler that records the versions it receives.
type versionRecorder struct {
	mu       sync.Mutex
	received []uint64
}

func (v *versionRecorder) HandleList(kind bramblelock.ListKind, l hostlist.List) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.received = append(v.received, l.Version)
}

func (v *versionRecorder) String() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return fmt.Sprint(v.received)
}

// After a watch ends, the next instance is watched from the version received last. An older list,
// from an instance that lags behind, is rejected, and the next instance is called.
func TestOlderListOfNextInstanceIsRejected(t *testing.T) {
	a, b := gatewaytest.NewWatchServer(t), gatewaytest.NewWatchServer(t)
	cfg := &config.Config{}
	cfg.Discovery = strings.TrimPrefix(a.URL, "http://") + "," + strings.TrimPrefix(b.URL, "http://")
	d := New(cfg)
	recorder := &versionRecorder{}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		d.Run(ctx, recorder)
		close(done)
	}()
	t.Cleanup(func() { cancel(); <-done })
	a.Lines <- `{"version":10,"full":true,"servers":[]}`
	a.Lines <- ""
	b.Lines <- `{"version":7,"full":true,"servers":[]}`
	a.Lines <- `{"version":11,"full":false,"servers":[]}`
	gatewaytest.Until(t, "version 11", func() bool { return strings.HasSuffix(recorder.String(), " 11]") })
	if got := recorder.String(); got != "[10 11]" {
		t.Errorf("received the versions %s, want [10 11]", got)
	}
	if calls := b.Calls(); len(calls) != 1 || !strings.HasSuffix(calls[0], " 10") {
		t.Errorf("watches at the second instance: %v, want one from 10", calls)
	}
}
