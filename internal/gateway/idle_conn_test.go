package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// openIdleConn returns a client's connection that has had an answer and is idle.
func openIdleConn(g *testGateway) (net.Conn, *bufio.Reader) {
	g.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(g.url, "http://"))
	if err != nil {
		g.Fatal(err)
	}
	g.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(waitTimeout))
	in := bufio.NewReader(c)
	wantServed(g, c, in, head("POST /api/first HTTP/1.1", "first", "Content-Length: 0\r\n"))
	until(g.T, "the connection is idle", func() bool {
		g.server.mu.Lock()
		defer g.server.mu.Unlock()
		for _, cs := range g.server.conns {
			if cs.state == http.StateIdle {
				return true
			}
		}
		return false
	})
	return c, in
}

// wantServed sends a request and expects an answer of a host.
func wantServed(g *testGateway, c net.Conn, in *bufio.Reader, request string) {
	g.Helper()
	if _, err := io.WriteString(c, request); err != nil {
		g.Fatal(err)
	}
	g.wantServedAnswer(in)
}

// wantServedAnswer expects the next answer to be that of a host.
func (g *testGateway) wantServedAnswer(in *bufio.Reader) {
	g.Helper()
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		g.Fatalf("no answer: %v", err)
	}
	if text, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != http.StatusOK || string(text) != "good" {
		g.Errorf("answer %d %q, %v", resp.StatusCode, text, err)
	}
}

// framedConns returns the connections of clients. The caller holds g.server.mu.
func (g *testGateway) framedConns() (conns []*framedConn) {
	for c := range g.server.conns {
		conns = append(conns, c.(*framedConn))
	}
	return conns
}

// A request, whole or in part, is read from an idle connection just as the gateway looks for idle
// connections to close. It has been read, so it must be answered. net/http reports the connection as
// active only some steps after the read; the test holds net/http up there.
func TestRequestReadFromIdleConnectionIsAnswered(t *testing.T) {
	second := head("POST /api/second HTTP/1.1", "second", "Content-Length: 0\r\n")
	for name, first := range map[string]int{"whole": len(second), "in part": 20} {
		t.Run(name, func(t *testing.T) {
			g := startGateway(t, testConfig(newHost(t, answerWith(okAnswer))))
			c, in := openIdleConn(g)
			g.server.mu.Lock()
			if _, err := io.WriteString(c, second[:first]); err != nil {
				t.Fatal(err)
			}
			until(t, "it is read", func() bool {
				conn := g.framedConns()[0]
				conn.mu.Lock()
				defer conn.mu.Unlock()
				return conn.parser.HasPartialHead() || conn.parser.HasPendingHead()
			})
			g.server.evictLocked()
			g.server.mu.Unlock()
			if _, err := io.WriteString(c, second[first:]); err != nil {
				t.Fatal(err)
			}
			g.wantServedAnswer(in)
		})
	}
}

// Bytes that have arrived on an idle connection and are not read yet also keep it open.
func TestIdleConnectionWithUnreadBytesStays(t *testing.T) {
	g := startGateway(t, testConfig(newHost(t, answerWith(okAnswer))))
	c, in := openIdleConn(g)
	g.server.mu.Lock()
	conn := g.framedConns()[0]
	conn.mu.Lock() // nothing can be read and parsed
	if _, err := io.WriteString(c, head("POST /api/second HTTP/1.1", "second", "Content-Length: 0\r\n")); err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(100*time.Millisecond, conn.mu.Unlock)
	g.server.evictLocked()
	g.server.mu.Unlock()
	g.wantServedAnswer(in)
}

// A body that has arrived whole keeps its connection open, even if its handler has yet to record it.
func TestConnectionWithCompleteBodyStays(t *testing.T) {
	g := startGateway(t, testConfig(newHost(t, answerWith(okAnswer))))
	c, in := openIdleConn(g)
	if _, err := io.WriteString(c, head("POST /api/second HTTP/1.1", "second", "Content-Length: 4\r\n")+"bo"); err != nil {
		t.Fatal(err)
	}
	until(t, "the body is read", func() bool {
		g.server.mu.Lock()
		defer g.server.mu.Unlock()
		for _, cs := range g.server.conns {
			if cs.readingBody {
				return true
			}
		}
		return false
	})
	time.Sleep(minEvictionAge) // from now on it could be evicted
	g.server.mu.Lock()
	if _, err := io.WriteString(c, "dy"); err != nil {
		t.Fatal(err)
	}
	until(t, "the body has arrived", func() bool {
		conn := g.framedConns()[0]
		conn.mu.Lock()
		defer conn.mu.Unlock()
		return conn.parser.InHead()
	})
	g.server.evictLocked()
	g.server.mu.Unlock()
	g.wantServedAnswer(in)
}
