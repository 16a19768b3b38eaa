package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bramblelock"
	"bramblelock/internal/gateway/config"
	"bramblelock/internal/gateway/hostlist"
)

// testGateway is a gateway in this process that listens on a loopback address.
type testGateway struct {
	*testing.T
	cfg    *config.Config
	loop   *Loop
	server *Server
	url    string
	stop   context.CancelFunc
}

// testConfig returns a configuration with the given hosts and one class of each effect.
func testConfig(hosts ...*testHost) *config.Config {
	second := time.Second
	cfg := &config.Config{
		Sockets: 1024, ConnIdle: time.Minute, DialTimeout: waitTimeout, Seed: 7,
		Zones: map[string]int{}, Kinds: map[string]int{},
		Rules: config.Rules{
			Classes: map[string]int{"look": 0, "book": 1, "report": 2},
			Settings: bramblelock.Settings{
				Instances: 1, MaxAttempts: 4, CancelAllowed: true, MaxRetryAfter: second, EventInterval: 5 * time.Millisecond,
				Classes: []bramblelock.Class{
					{LatencyTarget: 10 * second, Deadline: 60 * second},
					{LatencyTarget: 10 * second, Deadline: 60 * second, Effect: bramblelock.AtMostOnce},
					{LatencyTarget: 10 * second, Deadline: 60 * second, Effect: bramblelock.Deduplicated, DedupWindow: 30 * second},
				},
			},
		},
	}
	for i, h := range hosts {
		cfg.Known.Servers = append(cfg.Known.Servers, hostlist.Member{ID: fmt.Sprint("s-", i), Addr: h.addr(), State: "ready"})
	}
	return cfg
}

func startGateway(t *testing.T, cfg *config.Config) *testGateway {
	t.Helper()
	return startGatewayWithWatch(t, cfg, func() {})
}

// startGatewayWithWatch starts a gateway that calls requestWatch when the module asks for a watch
// of the list.
func startGatewayWithWatch(t *testing.T, cfg *config.Config, requestWatch func()) *testGateway {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	pool := NewPool(cfg)
	loop, err := NewLoop(cfg, pool, requestWatch)
	if err != nil {
		t.Fatal(err)
	}
	g := &testGateway{T: t, cfg: cfg, loop: loop, server: NewServer(cfg, loop), stop: cancel}
	ln := listen(t, "127.0.0.1:0", nil)
	g.url = "http://" + ln.Addr().String()
	go pool.Run(ctx)
	go loop.Run(ctx)
	go g.server.Serve(ln)
	loop.HandleList(bramblelock.ListSaved, cfg.Known)
	t.Cleanup(func() {
		g.server.http.Close()
		cancel()
		<-loop.done
	})
	return g
}

// lastID is the last number that freshID returned.
var lastID atomic.Int64

// freshID returns an id that no other request has. One that may run once only is not sent again with the same id.
func freshID() string { return fmt.Sprint("id-", lastID.Add(1)) }

// request sends a request with a fresh id and returns the answer and its body.
func (g *testGateway) request(class, path, body string, headers ...string) (*http.Response, string) {
	g.Helper()
	method := http.MethodPost
	if class == "look" {
		method = http.MethodGet
	}
	r, err := http.NewRequest(method, g.url+path, strings.NewReader(body))
	if err != nil {
		g.Fatal(err)
	}
	r.Header.Set("X-Priority-Class", class)
	r.Header.Set("X-Request-ID", freshID())
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: waitTimeout}).Do(r)
	if err != nil {
		g.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		g.Fatal(err)
	}
	return resp, string(text)
}

func (g *testGateway) openRequests() int {
	n := make(chan int, 1)
	g.loop.post(func(bramblelock.Time) { n <- len(g.loop.openRequests) })
	return <-n
}
