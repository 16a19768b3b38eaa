package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"

	"bramblelock/internal/gateway/gatewaytest"
)

const waitTimeout = gatewaytest.WaitTimeout

var until = gatewaytest.Until

// testHost is a host on a loopback socket whose answers are written by a script.
type testHost struct {
	net.Listener
	script func(c net.Conn, r *http.Request, n int) (keep bool)

	mu       sync.Mutex
	accepted int
	ended    int // connections that the gateway has closed
	requests []*http.Request
	bodies   []string
}

// newHost starts a host. The script is called for each request with its number, counted from 0 over
// all connections. It writes the answer to the connection and returns whether the connection stays
// open.
func newHost(t *testing.T, script func(c net.Conn, r *http.Request, n int) bool) *testHost {
	t.Helper()
	return newHostOn(t, listen(t, "127.0.0.1:0", nil), script)
}

func newHostOn(t *testing.T, ln net.Listener, script func(c net.Conn, r *http.Request, n int) bool) *testHost {
	h := &testHost{Listener: ln, script: script}
	t.Cleanup(func() { h.Close() })
	go func() {
		for {
			c, err := h.Accept()
			if err != nil {
				return
			}
			h.mu.Lock()
			h.accepted++
			h.mu.Unlock()
			go h.serve(c)
		}
	}()
	return h
}

func listen(t *testing.T, addr string, control func(string, string, syscall.RawConn) error) net.Listener {
	t.Helper()
	ln, err := (&net.ListenConfig{Control: control}).Listen(context.Background(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

func (h *testHost) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			h.mu.Lock()
			h.ended++
			h.mu.Unlock()
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil { // the body is incomplete
			h.mu.Lock()
			h.ended++
			h.mu.Unlock()
			return
		}
		r.RemoteAddr = c.RemoteAddr().String()
		h.mu.Lock()
		n := len(h.requests)
		h.requests = append(h.requests, r)
		h.bodies = append(h.bodies, string(body))
		h.mu.Unlock()
		if !h.script(c, r, n) {
			return
		}
	}
}

func (h *testHost) addr() string { return h.Listener.Addr().String() }

// counts returns the numbers of complete requests, of accepted connections and of connections that
// the gateway has closed.
func (h *testHost) counts() (requests, accepted, ended int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.requests), h.accepted, h.ended
}

// describeRequests returns a line for each complete request, which says what it was and where it came from.
func (h *testHost) describeRequests() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var lines strings.Builder
	for _, r := range h.requests {
		fmt.Fprintf(&lines, "\n%s %s to %s from %s, header %v", r.Method, r.RequestURI, r.Host, r.RemoteAddr, r.Header)
	}
	return lines.String()
}

// answerWith returns a script that always writes the same answer.
func answerWith(text string) func(net.Conn, *http.Request, int) bool {
	return func(c net.Conn, _ *http.Request, _ int) bool {
		io.WriteString(c, text)
		return true
	}
}

const (
	okAnswer           = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"
	errorAnswer        = "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"
	notProcessedAnswer = "HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
)

// neverAnswer is a script that sends no answer. The host keeps reading, so that it sees the
// connection end.
func neverAnswer(net.Conn, *http.Request, int) bool { return true }

// resetConn is a script that resets the connection.
func resetConn(c net.Conn, _ *http.Request, _ int) bool {
	c.(*net.TCPConn).SetLinger(0)
	return false
}
