package discovery

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bramblelock"
	"bramblelock/internal/gateway/config"
	"bramblelock/internal/gateway/gatewaytest"
	"bramblelock/internal/gateway/hostlist"
)

// listRecorder is a ListHandler that passes on the kinds of what it receives.
type listRecorder chan bramblelock.ListKind

func (l listRecorder) HandleList(kind bramblelock.ListKind, _ hostlist.List) { l <- kind }

// A Retry-After is applied with a small random addition, but never beyond the time that a list may
// go without a call, nor, with a list, beyond half of the deadline for notifications. A value that
// is not a number of seconds is ignored.
func TestRetryAfterIsAppliedWithinLimits(t *testing.T) {
	const second = time.Second
	for _, c := range []struct {
		value            string
		haveList         bool // there is a list, whose changes must be received in time
		minWait, maxWait time.Duration
	}{
		{"", false, 0, 0}, {"soon", false, 0, 0}, {"-3", false, 0, 0}, {"NaN", false, 0, 0},
		{"Wed, 21 Oct 2026 07:28:00 GMT", false, 0, 0},
		{"2", false, 2 * second, 5 * second / 2}, {"0.25", false, second / 4, 320 * time.Millisecond},
		{"99999999999999999999", false, 10 * second, 10 * second}, {"Inf", false, 10 * second, 10 * second},
		{"", true, 0, 0}, {"NaN", true, 0, 0}, {"2", true, 2 * second, 5 * second / 2}, {"4", true, 3 * second, 3 * second},
		{"99999999999999999999", true, 3 * second, 3 * second}, {"Inf", true, 3 * second, 3 * second},
	} {
		d := &Client{maxRetryDelay: 10 * time.Second, haveList: c.haveList}
		before := time.Now()
		d.applyRetryAfter(c.value)
		if c.maxWait == 0 {
			if !d.retryAt.IsZero() {
				t.Errorf("%q: sets a delay", c.value)
			}
			continue
		}
		if wait := d.retryAt.Sub(before); wait < c.minWait || wait > c.maxWait+time.Second { // the clock may be read late
			t.Errorf("%q, with a list %t: a delay of %v, want %v to %v", c.value, c.haveList, wait, c.minWait, c.maxWait)
		}
	}
}

// Discovery is busy, and then sends an endless list: the list in use is kept, the loop receives two
// failures and nothing else, and the calls state that there is a list.
func TestEndlessListIsRejected(t *testing.T) {
	calls := 0
	statedVersions := make(chan string, 8)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		statedVersions <- r.Header.Get("X-Catalog-Have")
		if calls++; calls == 1 {
			w.Header().Set("Retry-After", "0.001")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Write([]byte(`{"version":9,"full":true,"servers":[`))
		for range 10 << 10 { // 10 MB
			if _, err := w.Write(bytes.Repeat([]byte(" "), 1<<10)); err != nil {
				return
			}
		}
	}))
	defer srv.Close()
	cfg := &config.Config{Discovery: strings.TrimPrefix(srv.URL, "http://"), Known: hostlist.List{Version: 5, Servers: []hostlist.Member{{ID: "s-1"}}}}
	cfg.Settings.WatchHosts, cfg.Settings.MaxWatchGap = true, time.Second
	d := New(cfg)
	received := make(listRecorder, 8)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go d.Run(ctx, received)
	for range 2 {
		d.Watch()
		if kind := <-received; kind != bramblelock.ListFailed {
			t.Fatalf("the loop received a list of kind %v", kind)
		}
		if h := <-statedVersions; h != "5" {
			t.Errorf("the call states the version %q", h)
		}
	}
}

// Of three instances one refuses connections and one answers 503 without a time. One request of the
// module for a watch reaches the third, and a failure is reported only if all fail.
func TestNextInstanceIsTriedAtOnce(t *testing.T) {
	var calls atomic.Int64
	busy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer busy.Close()
	available := gatewaytest.NewWatchServer(t)
	down := httptest.NewServer(http.NotFoundHandler())
	down.Close()
	addr := func(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }
	for _, c := range []struct {
		third string
		want  bramblelock.ListKind
	}{{addr(available.Server), bramblelock.ListFull}, {addr(busy), bramblelock.ListFailed}} {
		calls.Store(0)
		cfg := &config.Config{Discovery: addr(down) + "," + addr(busy) + "," + c.third}
		cfg.Settings.WatchHosts = true
		d := New(cfg)
		received := make(listRecorder, 8)
		ctx, cancel := context.WithCancel(t.Context())
		go d.Run(ctx, received)
		d.Watch()
		if c.want == bramblelock.ListFull {
			available.Lines <- `{"version":3,"full":true,"servers":[]}`
		}
		if kind := <-received; kind != c.want {
			t.Errorf("the module received %v, want %v", kind, c.want)
		}
		if n := calls.Load(); n > 2 {
			t.Errorf("%d calls at the busy instance for one request", n)
		}
		cancel()
	}
}

// An instance that accepts calls and does not answer is given up for the next one long before a
// silent watch would count as dead.
func TestSilentInstanceIsSkippedSoon(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close() // never accepts: the call waits in the backlog
	available := gatewaytest.NewWatchServer(t)
	cfg := &config.Config{Discovery: ln.Addr().String() + "," + strings.TrimPrefix(available.URL, "http://")}
	cfg.Settings.WatchHosts = true
	d := New(cfg)
	d.answerTimeout, d.SilenceTimeout = 50*time.Millisecond, time.Hour
	received := make(listRecorder, 8)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go d.Run(ctx, received)
	d.Watch()
	select {
	case available.Lines <- `{"version":3,"full":true,"servers":[]}`:
	case <-time.After(20 * time.Second):
		t.Fatal("the second instance is not called")
	}
	if kind := <-received; kind != bramblelock.ListFull {
		t.Errorf("the module received %v", kind)
	}
}

// A call without an answer is repeated at once, but only once: then the failure is reported to the
// module, which spaces the calls of the fleet.
func TestUnansweredCallIsRepeatedOnce(t *testing.T) {
	calls := make(chan struct{}, 100)
	silent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		calls <- struct{}{}
		<-r.Context().Done()
	}))
	t.Cleanup(silent.Close)
	cfg := &config.Config{}
	cfg.Settings.WatchHosts, cfg.Discovery = true, strings.TrimPrefix(silent.URL, "http://")
	d := New(cfg)
	d.SilenceTimeout = 300 * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	received, done := make(listRecorder, 8), make(chan struct{})
	go func() {
		d.Run(ctx, received)
		close(done)
	}()
	t.Cleanup(func() { cancel(); <-done })
	d.Watch()
	if kind := <-received; kind != bramblelock.ListFailed {
		t.Errorf("received %v", kind)
	}
	if n := len(calls); n != 2 {
		t.Errorf("%d calls before the failure was reported, want 2", n)
	}
}

// A list may be indented and so span several lines, also between lists that are not.
func TestIndentedListIsRead(t *testing.T) {
	var list hostlist.List
	for i := range 3 {
		list.Servers = append(list.Servers, hostlist.Member{ID: fmt.Sprint("s-", i), Addr: "127.0.0.1:9", State: "ready"})
	}
	var served []byte
	for version, indent := range []string{"", "  ", "\t", "", "    "} {
		list.Version, list.Full = uint64(version+50), version == 0
		line, err := json.Marshal(list)
		if indent != "" {
			line, err = json.MarshalIndent(list, "", indent)
		}
		if err != nil {
			t.Fatal(err)
		}
		served = append(append(served, line...), "\n\n\n"...)
	}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for _, b := range bytes.SplitAfter(served, []byte("\n")) {
			w.Write(b)
			w.(http.Flusher).Flush()
		}
		<-r.Context().Done()
	}))
	defer srv.Close()
	received := make(listRecorder, 8)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go New(&config.Config{Discovery: strings.TrimPrefix(srv.URL, "http://")}).Run(ctx, received)
	for n := range 5 {
		want := bramblelock.ListChanges
		if n == 0 {
			want = bramblelock.ListFull
		}
		select {
		case kind := <-received:
			if kind != want {
				t.Errorf("list %d has the kind %v, want %v", n, kind, want)
			}
		case <-time.After(gatewaytest.WaitTimeout):
			t.Fatalf("only %d lists were received", n)
		}
	}
}

// A watch that is resumed from the version in use receives a blank line and no list. That means
// that the list is current, which is reported to the module once.
func TestBlankLineMeansListIsCurrent(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rc := http.NewResponseController(w)
		for range 3 {
			fmt.Fprintln(w)
			rc.Flush()
		}
		<-r.Context().Done()
	}))
	cfg := &config.Config{}
	cfg.Discovery, cfg.Settings.WatchHosts = strings.TrimPrefix(server.URL, "http://"), true
	cfg.Known = hostlist.List{Version: 41, Full: true, Servers: []hostlist.Member{{ID: "s-0", Addr: "127.0.0.1:1", State: "ready"}}}
	d := New(cfg)
	received := make(listRecorder, 8)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { d.Run(ctx, received); close(ended) }()
	defer func() { cancel(); <-ended; server.Close() }()
	d.Watch()
	select {
	case kind := <-received:
		if kind != bramblelock.ListChanges {
			t.Errorf("received %v, want changes", kind)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the module received nothing")
	}
	select {
	case kind := <-received:
		t.Errorf("received a second list, of kind %v", kind)
	case <-time.After(100 * time.Millisecond):
	}
}
