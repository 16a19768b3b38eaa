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

// Four processes lose their watches at once without a word, and a host begins to drain. Each
// comes back by itself, though discovery takes their calls in turn and refuses the first of
// them; from the grace on after the last was told, the host gets nothing from any.
func TestBankHearsOfADrainThroughSilence(t *testing.T) {
	const bank = 4
	asked, addrs := twoHosts(t)
	var turn sync.Mutex
	var calls, told, refused atomic.Int64
	end := make(chan struct{})
	disco := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := calls.Add(1)
		if n == bank+1 {
			refused.Add(1)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		turn.Lock()
		time.Sleep(200 * time.Millisecond)
		turn.Unlock()
		list := fmt.Sprintf(`{"version":2,"full":true,"servers":[{"id":"s-0","addr":%q,"state":"ready"},{"id":"s-1","addr":%q,"state":"ready"}]}`, addrs[0], addrs[1])
		if n > bank {
			list = fmt.Sprintf(`{"version":3,"full":true,"servers":[{"id":"s-1","addr":%q,"state":"ready"}]}`, addrs[1])
		}
		fmt.Fprintln(w, list)
		w.(http.Flusher).Flush()
		if n > bank {
			told.Add(1)
		}
		for { // the first ones say nothing more
			select {
			case <-end:
				return
			case <-r.Context().Done():
				return
			case <-time.After(time.Second):
			}
			if n > bank {
				fmt.Fprintln(w)
				w.(http.Flusher).Flush()
			}
		}
	}))
	defer disco.Close()
	defer close(end)
	var gws []*program
	listens := distinct(t, "127.0.0.83", bank)
	for rank := range bank {
		text := config(addrs...)
		text = strings.Replace(text, "127.0.0.1:1", strings.TrimPrefix(disco.URL, "http://"), 1)
		text = strings.Replace(text, `"balancers":1`, fmt.Sprintf(`"balancers":%d,"rank":%d,"discovery":"subscribe"`, bank, rank), 1)
		if !strings.Contains(text, "subscribe") {
			t.Fatal("the configuration has no balancers")
		}
		gws = append(gws, start(t, text, listens[rank]))
	}
	for _, p := range gws {
		p.ready(t)
	}
	all := func() {
		for _, p := range gws {
			p.serve(t, 1)
		}
	}
	for limit := time.Now().Add(patience); told.Load() < bank; all() {
		if time.Now().After(limit) {
			for rank, p := range gws {
				t.Logf("gateway %d:\n%s", rank, p.out.String())
			}
			t.Fatalf("%d of %d are told, %d calls", told.Load(), bank, calls.Load())
		}
	}
	if asked[0].Load() == 0 {
		t.Error("the host got nothing before it began to drain")
	}
	time.Sleep(time.Second) // the grace
	before, other := asked[0].Load(), asked[1].Load()
	for range 8 {
		all()
	}
	if now := asked[0].Load(); now != before {
		t.Errorf("the host got %d requests more than the grace after the last gateway was told", now-before)
	}
	if asked[1].Load() == other {
		t.Error("the host that is ready got nothing")
	}
	if n := calls.Load(); refused.Load() != 1 || n > 3*bank {
		t.Errorf("%d calls, %d refused; want %d and one refused at best", n, refused.Load(), 2*bank+1)
	}
}
