package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// The watches of four gateways go silent at the same time, and a host begins to drain. Each gateway must
// reconnect by itself although discovery answers one call at a time and rejects the first of them. Once
// the drain grace period after the last notification has passed, the host must get no more requests.
func TestFleetLearnsOfDrainAfterSilentWatchLoss(t *testing.T) {
	const gatewayCount = 4
	requestCounts, addrs := startTwoHosts(t)
	var callMu sync.Mutex
	var calls, notified, rejected atomic.Int64
	endWatches := make(chan struct{})
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := calls.Add(1)
		if n == gatewayCount+1 {
			rejected.Add(1)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		callMu.Lock()
		time.Sleep(200 * time.Millisecond)
		callMu.Unlock()
		list := fmt.Sprintf(`{"version":2,"full":true,"servers":[{"id":"s-0","addr":%q,"state":"ready"},{"id":"s-1","addr":%q,"state":"ready"}]}`, addrs[0], addrs[1])
		if n > gatewayCount {
			list = fmt.Sprintf(`{"version":3,"full":true,"servers":[{"id":"s-1","addr":%q,"state":"ready"}]}`, addrs[1])
		}
		fmt.Fprintln(w, list)
		w.(http.Flusher).Flush()
		if n > gatewayCount {
			notified.Add(1)
		}
		for { // the first watches stay open but send nothing more
			select {
			case <-endWatches:
				return
			case <-r.Context().Done():
				return
			case <-time.After(time.Second):
			}
			if n > gatewayCount {
				fmt.Fprintln(w)
				w.(http.Flusher).Flush()
			}
		}
	}))
	defer discovery.Close()
	defer close(endWatches)
	var gateways []*program
	listens := freeAddrs(t, serviceHost, gatewayCount)
	for rank := range gatewayCount {
		text := configJSON(addrs...)
		text = strings.Replace(text, "127.0.0.1:1", strings.TrimPrefix(discovery.URL, "http://"), 1)
		text = strings.Replace(text, `"balancers":1`, fmt.Sprintf(`"balancers":%d,"rank":%d,"discovery":"subscribe"`, gatewayCount, rank), 1)
		if !strings.Contains(text, "subscribe") {
			t.Fatal("the configuration has no balancers")
		}
		gateways = append(gateways, startGateway(t, text, listens[rank]))
	}
	for _, p := range gateways {
		p.waitReady(t)
	}
	sendToAll := func() {
		for _, p := range gateways {
			p.sendUntilServed(t, 1)
		}
	}
	for end := time.Now().Add(waitTimeout); notified.Load() < gatewayCount; sendToAll() {
		if time.Now().After(end) {
			for rank, p := range gateways {
				t.Logf("gateway %d:\n%s", rank, p.output.String())
			}
			t.Fatalf("%d of %d gateways are notified after %d calls", notified.Load(), gatewayCount, calls.Load())
		}
	}
	if requestCounts[0].Load() == 0 {
		t.Error("the host got no requests before it began to drain")
	}
	time.Sleep(time.Second) // drain grace period
	drainingBefore, readyBefore := requestCounts[0].Load(), requestCounts[1].Load()
	for range 8 {
		sendToAll()
	}
	if count := requestCounts[0].Load(); count != drainingBefore {
		t.Errorf("the host got %d requests after the drain grace period of the last notified gateway", count-drainingBefore)
	}
	if requestCounts[1].Load() == readyBefore {
		t.Error("the ready host got no requests")
	}
	if n := calls.Load(); rejected.Load() != 1 || n > 3*gatewayCount {
		t.Errorf("%d calls, %d rejected; want one rejected and ideally %d calls", n, rejected.Load(), 2*gatewayCount+1)
	}
}
