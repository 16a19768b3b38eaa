package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
)

// fakeDiscovery is a discovery server that sends each string received on lines to an open watch. It
// signals on watched when a watch opens and on watchEnded when one ends. lastIndex holds the index that
// the last watch asked for.
type fakeDiscovery struct {
	*httptest.Server
	lines               chan string
	watched, watchEnded chan struct{}
	lastIndex           atomic.Value
}

func newFakeDiscovery(t *testing.T) *fakeDiscovery {
	d := &fakeDiscovery{lines: make(chan string), watched: make(chan struct{}, 100), watchEnded: make(chan struct{}, 100)}
	d.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.lastIndex.Store(r.FormValue("index"))
		w.(http.Flusher).Flush()
		d.watched <- struct{}{}
		for {
			select {
			case line := <-d.lines:
				fmt.Fprintln(w, line)
				w.(http.Flusher).Flush()
			case <-r.Context().Done():
				d.watchEnded <- struct{}{}
				return
			}
		}
	}))
	t.Cleanup(d.Close)
	t.Cleanup(d.CloseClientConnections)
	return d
}

func (d *fakeDiscovery) addr() string { return strings.TrimPrefix(d.URL, "http://") }
