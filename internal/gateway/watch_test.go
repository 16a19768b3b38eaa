package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"bramblelock"
	"bramblelock/internal/gateway/hostlist"
)

// malformedLine is a line that cannot be parsed.
const malformedLine = "no list"

// watchServer is a discovery service on a loopback socket. What is sent on lines goes to the watch
// that is open; an empty string ends it.
type watchServer struct {
	*httptest.Server
	lines chan string
	mu    sync.Mutex
	calls []string // path, stream and index of each call
}

func newWatchServer(t *testing.T) *watchServer {
	s := &watchServer{lines: make(chan string)}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls = append(s.calls, r.URL.Path+" "+r.FormValue("stream")+" "+r.FormValue("index"))
		s.mu.Unlock()
		w.(http.Flusher).Flush()
		for {
			select {
			case line := <-s.lines:
				if line == "" {
					return
				}
				fmt.Fprintln(w, line)
				w.(http.Flusher).Flush()
				if line == malformedLine {
					return
				}
			case <-r.Context().Done():
				return
			}
		}
	}))
	t.Cleanup(s.CloseClientConnections)
	return s
}

// After a watch ends, a new one begins from the version received last. After a line that cannot be
// parsed, the full list is requested, as changes have been lost.
func TestWatchLost(t *testing.T) {
	first, second := newHost(t, answerWith(okAnswer)), newHost(t, answerWith(okAnswer))
	cfg := testConfig(first)
	cfg.Known.Version = 41
	disco := newWatchServer(t)
	cfg.Discovery = strings.TrimPrefix(disco.URL, "http://")
	g := startGateway(t, cfg)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		NewDiscovery(cfg).Run(ctx, g.loop)
		close(done)
	}()
	t.Cleanup(func() { cancel(); <-done })
	sendList := func(version int, full bool, m ...hostlist.Member) {
		var list []string
		for _, m := range m {
			list = append(list, fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"a","kind":"m2","cell":3,"state":%q,"weight":1.0,"started_ms":0}`,
				m.ID, m.Addr, m.State))
		}
		disco.lines <- fmt.Sprintf(`{"version":%d,"full":%t,"servers":[%s]}`, version, full, strings.Join(list, ","))
	}
	untilUsed := func(what string, h *testHost) {
		before, _, _ := h.counts()
		until(t, what, func() bool {
			g.request("look", "/api/1", "")
			n, _, _ := h.counts()
			return n > before
		})
	}
	sendList(42, false, hostlist.Member{ID: "s-1", Addr: second.addr(), State: "ready"})
	untilUsed("a host among the changes is used", second)
	disco.lines <- ""
	sendList(43, false, hostlist.Member{ID: "s-1", Addr: second.addr(), State: "gone"})
	untilUsed("the host that stays is used", first)
	disco.lines <- malformedLine
	sendList(44, true, hostlist.Member{ID: "s-1", Addr: second.addr(), State: "ready"})
	untilUsed("the host of the whole list is used", second)
	disco.mu.Lock()
	defer disco.mu.Unlock()
	if got, want := strings.Join(disco.calls, ", "), pathMembers+" 1 41, "+pathMembers+" 1 42, "+pathMembers+" 1 0"; got != want {
		t.Errorf("watches of %s, want %s", got, want)
	}
}

// A watch on which nothing arrives, not even an empty line, is reopened: its connection may be
// dead.
func TestSilentWatch(t *testing.T) {
	cfg := testConfig()
	disco := newWatchServer(t)
	cfg.Discovery = strings.TrimPrefix(disco.URL, "http://")
	g := startGateway(t, cfg)
	d := NewDiscovery(cfg)
	d.SilenceTimeout = 50 * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.Run(ctx, g.loop)
	until(t, "a second watch", func() bool {
		disco.mu.Lock()
		defer disco.mu.Unlock()
		return len(disco.calls) > 1
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
	cfg := testConfig()
	cfg.Settings.WatchHosts = true
	disco := newWatchServer(t)
	cfg.Discovery = strings.TrimPrefix(disco.URL, "http://")
	d := NewDiscovery(cfg)
	d.SilenceTimeout = 300 * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	received := make(listRecorder, 8)
	go d.Run(ctx, received)
	d.Watch()
	for _, line := range lines {
		disco.lines <- line
	}
	until(t, "a second watch after one request for it", func() bool {
		disco.mu.Lock()
		defer disco.mu.Unlock()
		return len(disco.calls) > 1
	})
	for len(received) > 0 {
		if kind := <-received; kind == bramblelock.ListFailed {
			t.Error("a failure was reported to the module, which would wait")
		}
	}
}

// If the module asks for watches, it decides when one begins, and failures are reported to it.
func TestWatchOnlyWhenAsked(t *testing.T) {
	cfg := testConfig()
	cfg.Settings.WatchHosts = true
	disco := newWatchServer(t)
	cfg.Discovery = strings.TrimPrefix(disco.URL, "http://")
	g := startGateway(t, cfg)
	d := NewDiscovery(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.Run(ctx, g.loop)
	for n := 1; n <= 2; n++ {
		d.Watch()
		disco.lines <- ""
		disco.mu.Lock()
		if len(disco.calls) != n {
			t.Errorf("%d watches after %d requests for one", len(disco.calls), n)
		}
		disco.mu.Unlock()
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
	a, b := newWatchServer(t), newWatchServer(t)
	cfg := testConfig()
	cfg.Discovery = strings.TrimPrefix(a.URL, "http://") + "," + strings.TrimPrefix(b.URL, "http://")
	d := NewDiscovery(cfg)
	recorder := &versionRecorder{}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		d.Run(ctx, recorder)
		close(done)
	}()
	t.Cleanup(func() { cancel(); <-done })
	a.lines <- `{"version":10,"full":true,"servers":[]}`
	a.lines <- ""
	b.lines <- `{"version":7,"full":true,"servers":[]}`
	a.lines <- `{"version":11,"full":false,"servers":[]}`
	until(t, "version 11", func() bool { return strings.HasSuffix(recorder.String(), " 11]") })
	if got := recorder.String(); got != "[10 11]" {
		t.Errorf("received the versions %s, want [10 11]", got)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.calls) != 1 || !strings.HasSuffix(b.calls[0], " 10") {
		t.Errorf("watches at the second instance: %v, want one from 10", b.calls)
	}
}
