package gateway

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

	"lynxspool"
)

// lists collects what discovery tells.
type lists chan lynxspool.ListKind

func (l lists) HandleList(kind lynxspool.ListKind, _ MemberList) { l <- kind }

// A time to come back at is heeded with a little added by chance, never beyond what a list
// may go unasked, nor with a list beyond half of the clock of notifications; what is no such time
// is ignored.
func TestRetryAfterIsHeededWithinBounds(t *testing.T) {
	const second = time.Second
	for _, c := range []struct {
		value    string
		listed   bool // there is a list, of which changes are to be heard in time
		from, to time.Duration
	}{
		{"", false, 0, 0}, {"soon", false, 0, 0}, {"-3", false, 0, 0}, {"NaN", false, 0, 0},
		{"Wed, 21 Oct 2026 07:28:00 GMT", false, 0, 0},
		{"2", false, 2 * second, 5 * second / 2}, {"0.25", false, second / 4, 320 * time.Millisecond},
		{"99999999999999999999", false, 10 * second, 10 * second}, {"Inf", false, 10 * second, 10 * second},
		{"", true, 0, 0}, {"NaN", true, 0, 0}, {"2", true, 2 * second, 5 * second / 2}, {"4", true, 3 * second, 3 * second},
		{"99999999999999999999", true, 3 * second, 3 * second}, {"Inf", true, 3 * second, 3 * second},
	} {
		d := &Discovery{maxRetryDelay: 10 * time.Second, haveList: c.listed}
		before := time.Now()
		d.applyRetryAfter(c.value)
		if c.to == 0 {
			if !d.retryAt.IsZero() {
				t.Errorf("%q: rests", c.value)
			}
			continue
		}
		if wait := d.retryAt.Sub(before); wait < c.from || wait > c.to+time.Second { // the look at the clock may come late
			t.Errorf("%q, with a list %t: rests %v, want %v to %v", c.value, c.listed, wait, c.from, c.to)
		}
	}
}

// A busy discovery and then one whose list is endless: the list in use is kept, the loop is
// told of two failures and of nothing else, and the calls say that there is a list.
func TestEndlessListIsRefused(t *testing.T) {
	calls := 0
	have := make(chan string, 8)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		have <- r.Header.Get("X-Catalog-Have")
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
	cfg := &Config{Discovery: strings.TrimPrefix(srv.URL, "http://"), Known: MemberList{Version: 5, Servers: []Member{{ID: "s-1"}}}}
	cfg.Settings.WatchHosts, cfg.Settings.MaxWatchGap = true, time.Second
	d := NewDiscovery(cfg)
	told := make(lists, 8)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go d.Run(ctx, told)
	for range 2 {
		d.Watch()
		if kind := <-told; kind != lynxspool.ListFailed {
			t.Fatalf("the loop is told a list of kind %v", kind)
		}
		if h := <-have; h != "5" {
			t.Errorf("the call says that it has %q", h)
		}
	}
}

// Of three instances one refuses and one answers 503 without a time: what the module asked
// for once reaches the third, and only when all fail is it told.
func TestNextInstanceIsTriedAtOnce(t *testing.T) {
	var calls atomic.Int64
	busy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer busy.Close()
	well := newWatchServer(t)
	down := httptest.NewServer(http.NotFoundHandler())
	down.Close()
	addr := func(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }
	for _, c := range []struct {
		third string
		want  lynxspool.ListKind
	}{{addr(well.Server), lynxspool.ListFull}, {addr(busy), lynxspool.ListFailed}} {
		calls.Store(0)
		cfg := &Config{Discovery: addr(down) + "," + addr(busy) + "," + c.third}
		cfg.Settings.WatchHosts = true
		d := NewDiscovery(cfg)
		told := make(lists, 8)
		ctx, cancel := context.WithCancel(t.Context())
		go d.Run(ctx, told)
		d.Watch()
		if c.want == lynxspool.ListFull {
			well.lines <- `{"version":3,"full":true,"servers":[]}`
		}
		if kind := <-told; kind != c.want {
			t.Errorf("the module is told %v, want %v", kind, c.want)
		}
		if n := calls.Load(); n > 2 {
			t.Errorf("%d calls at the busy instance for one asked for", n)
		}
		cancel()
	}
}

// An instance that takes calls and says nothing is left for the next long before a watch
// that is silent is taken for dead.
func TestSilentInstanceIsLeftSoon(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close() // it never accepts: the backlog takes the call
	well := newWatchServer(t)
	cfg := &Config{Discovery: ln.Addr().String() + "," + strings.TrimPrefix(well.URL, "http://")}
	cfg.Settings.WatchHosts = true
	d := NewDiscovery(cfg)
	d.answerTimeout, d.silenceTimeout = 50*time.Millisecond, time.Hour
	told := make(lists, 8)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go d.Run(ctx, told)
	d.Watch()
	select {
	case well.lines <- `{"version":3,"full":true,"servers":[]}`:
	case <-time.After(20 * time.Second):
		t.Fatal("the second instance is not called")
	}
	if kind := <-told; kind != lynxspool.ListFull {
		t.Errorf("the module is told %v", kind)
	}
}

// A call that is never answered is made anew at once, but once only: the module is told then,
// and its turns keep the calls of the bank apart.
func TestUnansweredCallIsMadeAnewOnce(t *testing.T) {
	calls := make(chan struct{}, 100)
	host := newHost(t, func(net.Conn, *http.Request, int) bool {
		calls <- struct{}{}
		return true
	})
	cfg := testConfig()
	cfg.Settings.WatchHosts, cfg.Discovery = true, host.addr()
	d := NewDiscovery(cfg)
	d.silenceTimeout = 300 * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	told, done := make(lists, 8), make(chan struct{})
	go func() {
		d.Run(ctx, told)
		close(done)
	}()
	t.Cleanup(func() { cancel(); <-done })
	d.Watch()
	if kind := <-told; kind != lynxspool.ListFailed {
		t.Errorf("told %v", kind)
	}
	if n := len(calls); n != 2 {
		t.Errorf("%d calls before the module was told, want 2", n)
	}
}

// A list may be indented, so that it stands on many lines, also among others that are not.
func TestIndentedListIsRead(t *testing.T) {
	var list MemberList
	for i := range 3 {
		list.Servers = append(list.Servers, Member{ID: fmt.Sprint("s-", i), Addr: "127.0.0.1:9", State: "ready"})
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
	told := make(lists, 8)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go NewDiscovery(&Config{Discovery: strings.TrimPrefix(srv.URL, "http://")}).Run(ctx, told)
	for n := range 5 {
		want := lynxspool.ListChanges
		if n == 0 {
			want = lynxspool.ListFull
		}
		select {
		case kind := <-told:
			if kind != want {
				t.Errorf("list %d is told as of kind %v, want %v", n, kind, want)
			}
		case <-time.After(patience):
			t.Fatalf("only %d lists are told", n)
		}
	}
}

// A watch that is resumed from the version in use, on which a blank line comes and no list, says
// that the list is current: the module is told so, once, and sends by it.
func TestBlankLineSaysThatTheListIsCurrent(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rc := http.NewResponseController(w)
		for range 3 {
			fmt.Fprintln(w)
			rc.Flush()
		}
		<-r.Context().Done()
	}))
	cfg := testConfig()
	cfg.Discovery, cfg.Settings.WatchHosts = strings.TrimPrefix(server.URL, "http://"), true
	cfg.Known = MemberList{Version: 41, Full: true, Servers: []Member{{ID: "s-0", Addr: "127.0.0.1:1", State: "ready"}}}
	d := NewDiscovery(cfg)
	told := make(lists, 8)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { d.Run(ctx, told); close(ended) }()
	defer func() { cancel(); <-ended; server.Close() }()
	d.Watch()
	select {
	case kind := <-told:
		if kind != lynxspool.ListChanges {
			t.Errorf("told of %v, want changes", kind)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the module is told of nothing")
	}
	select {
	case kind := <-told:
		t.Errorf("told again, of %v", kind)
	case <-time.After(100 * time.Millisecond):
	}
}
