package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"bramblelock"
	"bramblelock/internal/faultnet"
	"bramblelock/internal/gateway/discovery"
)

// fakeDiscovery is a discovery service with a list of its own: each call gets the whole list and
// then every change, until the watches are silenced.
type fakeDiscovery struct {
	t  *testing.T
	ln net.Listener

	mu      sync.Mutex
	version int
	states  map[string]string // by id of the host
	addrs   map[string]string
	watches map[net.Conn]bool // watches that receive changes
	calls   int
}

// freeDiscoveryAddr returns an address for discovery whose port the kernel chooses. No client dials from it, so
// that the port stays free while discovery is down.
func freeDiscoveryAddr() string { return faultnet.ProcessIP(84) + ":0" }

func newFakeDiscovery(t *testing.T, hosts ...*testHost) *fakeDiscovery {
	r := &fakeDiscovery{t: t, version: 50, states: map[string]string{}, addrs: map[string]string{}, watches: map[net.Conn]bool{}}
	for i, h := range hosts {
		id := "s-" + strconv.Itoa(i)
		r.states[id], r.addrs[id] = "ready", h.addr()
	}
	r.start(freeDiscoveryAddr())
	t.Cleanup(r.stop)
	return r
}

func (r *fakeDiscovery) start(addr string) {
	ln := listen(r.t, addr, nil)
	r.ln = ln
	go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.calls++
		r.watches[c] = true
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		r.sendList(c)
	}))
}

// sendList writes the whole list as one chunk. The caller holds r.mu.
func (r *fakeDiscovery) sendList(c net.Conn) {
	var list []string
	for id, state := range r.states {
		list = append(list, fmt.Sprintf(`{"id":%q,"addr":%q,"state":%q}`, id, r.addrs[id], state))
	}
	line := fmt.Sprintf(`{"version":%d,"full":true,"servers":[%s]}`+"\n", r.version, strings.Join(list, ","))
	fmt.Fprintf(c, "%x\r\n%s\r\n", len(line), line)
}

// drain sets a host to draining and sends the list to all watches.
func (r *fakeDiscovery) drain(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	r.states[id] = "draining"
	for c := range r.watches {
		r.sendList(c)
	}
}

// silenceWatches keeps the open watches open but sends them nothing from now on.
func (r *fakeDiscovery) silenceWatches() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.watches)
}

// resetWatches resets the connections of the open watches.
func (r *fakeDiscovery) resetWatches() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.watches {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	clear(r.watches)
}

func (r *fakeDiscovery) stop() {
	r.ln.Close()
	r.resetWatches()
}

func (r *fakeDiscovery) callCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls
}

// Hosts that begin to drain right after all watches fell silent or were reset, after discovery came
// back, or together with a new configuration receive no new attempts once the gateway can know of
// it. Each fault occurs twice, so that a recovery that works only once is not enough.
func TestDrainIsAppliedDespiteDiscoveryFaults(t *testing.T) {
	for name, fault := range map[string]func(r *fakeDiscovery, d *discovery.Client) *fakeDiscovery{
		"silence": func(r *fakeDiscovery, _ *discovery.Client) *fakeDiscovery { r.silenceWatches(); return r },
		"reset":   func(r *fakeDiscovery, _ *discovery.Client) *fakeDiscovery { r.resetWatches(); return r },
		"outage": func(r *fakeDiscovery, _ *discovery.Client) *fakeDiscovery {
			addr := r.ln.Addr().String()
			r.stop()
			r.start(addr)
			return r
		},
		"a new configuration": func(r *fakeDiscovery, d *discovery.Client) *fakeDiscovery {
			r.silenceWatches() // the old address sends nothing more
			moved := &fakeDiscovery{t: r.t, version: 1, states: r.states, addrs: r.addrs, watches: map[net.Conn]bool{}}
			moved.start(freeDiscoveryAddr())
			r.t.Cleanup(moved.stop)
			d.SetAddrs(moved.ln.Addr().String())
			return moved
		},
	} {
		for _, onDemand := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, on demand %t", name, onDemand), func(t *testing.T) {
				t.Parallel()
				testDrainDespiteFault(t, onDemand, fault)
			})
		}
	}
}

func testDrainDespiteFault(t *testing.T, onDemand bool, fault func(r *fakeDiscovery, d *discovery.Client) *fakeDiscovery) {
	hosts := []*testHost{newHost(t, answerWith(okAnswer)), newHost(t, answerWith(okAnswer)), newHost(t, answerWith(okAnswer))}
	cfg := testConfig(hosts...)
	r := newFakeDiscovery(t, hosts...)
	cfg.Discovery = r.ln.Addr().String()
	cfg.Settings.WatchHosts, cfg.Settings.MaxWatchGap = onDemand, time.Second
	ctx, cancel := context.WithCancel(context.Background())
	d := discovery.New(cfg)
	d.SilenceTimeout = 300 * time.Millisecond
	g := startGatewayWithWatch(t, cfg, d.Watch)
	loop := g.loop
	done := make(chan struct{})
	go func() {
		d.Run(ctx, loop)
		close(done)
	}()
	t.Cleanup(func() { cancel(); <-done })
	until(t, "the list is received", func() bool {
		select {
		case <-loop.Listed():
			return true
		default:
			return false
		}
	})
	usable := func(id string) (ok bool) {
		known := make(chan bool, 1)
		loop.post(func(bramblelock.Time) {
			h := loop.hosts[hostID(id)]
			known <- h != nil && h.usable.Load()
		})
		return <-known
	}
	for n := range 2 {
		before := r.callCount()
		r = fault(r, d)
		id := "s-" + strconv.Itoa(n)
		r.drain(id)
		until(t, id+" is known to drain", func() bool { return !usable(id) })
		old, _, _ := hosts[n].counts()
		for range 20 {
			if resp, body := g.request("book", "/api/1", "b"); resp.StatusCode != 200 {
				t.Errorf("answer %d %q", resp.StatusCode, body)
			}
		}
		if now, _, _ := hosts[n].counts(); now != old {
			t.Errorf("%s got %d requests after it was known to drain", id, now-old)
		}
		if calls := r.callCount() - before; calls > 40 {
			t.Errorf("%d calls to discovery for one fault", calls)
		}
	}
}
