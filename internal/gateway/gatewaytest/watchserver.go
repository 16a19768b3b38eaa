package gatewaytest

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
)

// MalformedLine is a line of a watch that cannot be parsed. It ends the watch.
const MalformedLine = "no list"

// WatchServer is a discovery service on a loopback socket. What is sent on Lines goes to the watch
// that is open; an empty string ends it.
type WatchServer struct {
	*httptest.Server
	Lines chan string

	mu    sync.Mutex
	calls []string
}

// NewWatchServer starts a WatchServer. Its connections are closed at the end of the test.
func NewWatchServer(t *testing.T) *WatchServer {
	s := &WatchServer{Lines: make(chan string)}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls = append(s.calls, r.URL.Path+" "+r.FormValue("stream")+" "+r.FormValue("index"))
		s.mu.Unlock()
		w.(http.Flusher).Flush()
		for {
			select {
			case line := <-s.Lines:
				if line == "" {
					return
				}
				fmt.Fprintln(w, line)
				w.(http.Flusher).Flush()
				if line == MalformedLine {
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

// Calls returns the path, the stream and the index of each call, with spaces between them.
func (s *WatchServer) Calls() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.calls)
}
