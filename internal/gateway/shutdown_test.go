package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// open dials the gateway and sends what is given.
func (g *testGateway) open(text string) net.Conn {
	g.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(g.url, "http://"))
	if err != nil {
		g.Fatal(err)
	}
	g.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	fmt.Fprint(c, text)
	return c
}

// A request that was taken before the end was told, and is due after it, is answered before
// it: the host hangs, and the client would wait for a minute.
func TestWhatIsOutIsAnsweredBeforeTheEnd(t *testing.T) {
	host := newHost(t, hang)
	g := startGateway(t, testConfig(host))
	c := g.open(head("POST /api/1 HTTP/1.1", "i", "X-Priority-Class: book\r\nContent-Length: 0\r\n"))
	until(t, "the host has the request", func() bool { n, _, _ := host.counts(); return n == 1 })
	g.server.Shutdown()
	g.server.http.Close() // as the end of the process does
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != http.StatusBadGateway {
		t.Errorf("answer %v, %v", resp, err)
	}
	if n, _, _ := host.counts(); n != 1 {
		t.Errorf("the host got the request %d times", n)
	}
}

// A request that comes on a connection after the end of service is not taken: nobody would
// answer it, and its host would do the work for nothing.
func TestNothingIsTakenAfterTheEnd(t *testing.T) {
	host := newHost(t, says(good))
	g := startGateway(t, testConfig(host))
	c := g.open("")
	until(t, "the connection is there", func() bool { return g.server.connected() })
	g.server.Shutdown()
	fmt.Fprint(c, head("POST /api/1 HTTP/1.1", "i", "Content-Length: 0\r\n"))
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
		t.Errorf("answer %v after the end", resp.Status)
	}
	if n, _, _ := host.counts(); n != 0 {
		t.Errorf("the host got %d requests", n)
	}
}

// A connection that was accepted just before the listener closed may bring its first request
// after that: it is answered.
func TestYoungConnectionIsServedThroughTheEnd(t *testing.T) {
	host := newHost(t, says(good))
	g := startGateway(t, testConfig(host))
	c := g.open("")
	until(t, "the connection is there", func() bool { return g.server.connected() })
	g.server.mu.Lock()
	for c, cs := range g.server.conns {
		cs.since = time.Now().Add(patience) // it stays young for as long as this test may take
		g.server.conns[c] = cs
	}
	g.server.mu.Unlock()
	ended := make(chan struct{})
	go func() {
		g.server.Shutdown()
		close(ended)
	}()
	until(t, "the listener is closed", func() bool { return !g.server.accepting.Load() })
	fmt.Fprint(c, head("POST /api/1 HTTP/1.1", "i", "Content-Length: 0\r\n"))
	wantLast(t, bufio.NewReader(c))
	<-ended
}

// wantLast reads a good answer, whole, that ends its connection and says so.
func wantLast(t *testing.T, in *bufio.Reader) {
	t.Helper()
	resp, err := http.ReadResponse(in, nil)
	if err != nil || resp.StatusCode != 200 || !resp.Close {
		t.Fatalf("answer %v, %v", resp, err)
	}
	if body, err := io.ReadAll(resp.Body); string(body) != "good" {
		t.Errorf("answer %q, %v", body, err)
	}
	if n, err := in.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the connection stays: %d bytes, %v", n, err)
	}
}

// An answer that is given while service ends says that its connection does, whenever its
// request came, and the connection is not kept for another.
func TestLastAnswerEndsItsConnection(t *testing.T) {
	for name, phase := range map[string]func(s *Server) bool{
		"the end is told":     func(s *Server) bool { return s.stopping.Load() },
		"the listener closed": func(s *Server) bool { return s.stopping.Load() && !s.accepting.Load() },
	} {
		release := make(chan struct{})
		host := newHost(t, func(c net.Conn, _ *http.Request, _ int) bool {
			<-release
			io.WriteString(c, good)
			return true
		})
		g := startGateway(t, testConfig(host))
		c := g.open(head("POST /api/1 HTTP/1.1", "i", "Content-Length: 0\r\n"))
		until(t, "the host has the request", func() bool { n, _, _ := host.counts(); return n == 1 })
		ended := make(chan struct{})
		go func() {
			g.server.Shutdown()
			close(ended)
		}()
		until(t, name, func() bool { return phase(g.server) })
		close(release)
		wantLast(t, bufio.NewReader(c))
		<-ended
	}
}
