package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// After SIGHUP the program must switch to the discovery address in the changed file and use the list
// that it gets there. A malformed file must change nothing.
func TestReloadFollowsDiscovery(t *testing.T) {
	old, moved := newFakeDiscovery(t), newFakeDiscovery(t)
	hosts := make([]*httptest.Server, 2)
	requestCounts := make([]atomic.Int64, 2)
	for i := range hosts {
		hosts[i] = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			requestCounts[i].Add(1)
			io.WriteString(w, "done")
		}))
		defer hosts[i].Close()
	}
	text := strings.Replace(configJSON(strings.TrimPrefix(hosts[0].URL, "http://")), "127.0.0.1:1", old.addr(), 1)
	t.Setenv("GW_DISCOVERY", old.addr()) // must be used at the start only, not after the reload
	p := startGateway(t, text, freeAddr(t))
	p.waitReady(t)
	<-old.watched
	for _, text := range []string{"{", strings.Replace(text, old.addr(), moved.addr(), 1)} {
		if err := os.WriteFile(p.configPath, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := p.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		if text == "{" {
			if _, err := sendRequest(p.url); err != nil { // it must keep its current configuration
				t.Fatal(err)
			}
		}
	}
	select {
	case <-moved.watched:
	case <-p.exited:
		t.Fatalf("SIGHUP ended the program: %s", p.output.String())
	case <-time.After(waitTimeout):
		t.Fatal("the new discovery address is not watched")
	}
	select {
	case <-old.watchEnded:
	case <-time.After(waitTimeout):
		t.Error("the old discovery address is still watched")
	}
	moved.lines <- fmt.Sprintf(`{"version":9,"full":true,"servers":[{"id":"s-1","addr":%q,"state":"ready"}]}`,
		strings.TrimPrefix(hosts[1].URL, "http://"))
	for end := time.Now().Add(waitTimeout); requestCounts[1].Load() == 0; time.Sleep(5 * time.Millisecond) {
		if _, err := sendRequest(p.url); err != nil {
			t.Fatal(err)
		}
		if time.Now().After(end) {
			t.Fatal("the new list is not used")
		}
	}
	if got := moved.lastIndex.Load(); got != "0" {
		t.Errorf("the first watch at the new address starts at index %v, want 0 for the whole list", got)
	}
}
