package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"bramblelock"
)

// sendParts sends text to the gateway, in parts that are separated by |, and returns the statuses of
// the answers until the gateway closes the connection.
func (g *testGateway) sendParts(text string) (statuses []int) {
	g.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(g.url, "http://"))
	if err != nil {
		g.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(waitTimeout))
	for part := range strings.SplitSeq(text, "|") {
		if _, err := io.WriteString(c, part); err != nil {
			break // closed before the rest
		}
	}
	in := bufio.NewReader(c)
	for {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return statuses
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			g.Errorf("the answer broke off: %v", err)
		}
		statuses = append(statuses, resp.StatusCode)
		if resp.Close {
			if n, err := in.Read(make([]byte, 1)); n > 0 || err == nil {
				g.Error("more data after an answer that announced the end of the connection")
			}
			return statuses
		}
	}
}

const chunked = "Transfer-Encoding: chunked\r\n"

func head(line, id, more string) string {
	return line + "\r\nHost: service.internal\r\nX-Request-ID: " + id +
		"\r\nX-Priority-Class: book\r\nX-Timeout: 30\r\n" + more + "\r\n"
}

// Text in the body of a request must not be taken for a request of its own, however the sender and
// the gateway may differ on where the body ends.
func TestRequestInsideBodyReachesNoHost(t *testing.T) {
	inner := head("POST /api/inner HTTP/1.1", "inner", "Connection: close\r\nContent-Length: 0\r\n")
	length := func(body string) string { return fmt.Sprintf("Content-Length: %d\r\n", len(body)) }
	hidden := "0\r\n\r\n" + inner
	for _, tt := range []struct{ name, text string }{
		{"both lengths", head("POST /api HTTP/1.1", "outer", length(hidden)+chunked) + hidden},
		{"the other way round", head("POST /api HTTP/1.1", "outer", chunked+length(hidden)) + hidden},
		{"in odd case", head("POST /api HTTP/1.1", "outer", "cOnTent-LENGTH: 9\r\ntransfer-encoding: Chunked\r\n") + hidden},
		{"in parts", head("POST /api HTTP/1.1", "outer", "Content-|Length: 90\r|\nTransfer|-Encoding: chunked\r\n") + hidden},
		{"after a long line", head("POST /api HTTP/1.1", "outer", "X-Long: "+strings.Repeat("x", 9000)+"\r\n"+length(hidden)+chunked) + hidden},
		{"a health check", head("GET /_health HTTP/1.1", "outer", length(hidden)+chunked) + hidden},
		{"HTTP/1.0", head("POST /api HTTP/1.0", "outer", "Connection: keep-alive\r\n"+chunked) + inner},
		{"HTTP/1.0 and both", head("POST /api HTTP/1.0", "outer", "Connection: keep-alive\r\nContent-Length: 5\r\n"+chunked) + hidden},
	} {
		host := newHost(t, answerWith(okAnswer))
		g := startGateway(t, testConfig(host))
		g.T = t
		if got := g.sendParts(tt.text); len(got) != 1 || got[0] != http.StatusBadRequest {
			t.Errorf("%s: answers %v, want a single 400", tt.name, got)
		}
		if requests, _, _ := host.counts(); requests != 0 {
			t.Errorf("%s: the host got %d requests", tt.name, requests)
		}
	}
}

// Chunked bodies are valid, also on a connection that carries several requests.
func TestChunkedBodyIsServed(t *testing.T) {
	host := newHost(t, answerWith(okAnswer))
	g := startGateway(t, testConfig(host))
	c, err := net.Dial("tcp", strings.TrimPrefix(g.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	in := bufio.NewReader(c)
	for i, framing := range []string{chunked, "Content-Length: 4\r\n", chunked} {
		body := "4\r\nbody\r\n0\r\n\r\n"
		if framing != chunked {
			body = "body"
		}
		io.WriteString(c, head("POST /api HTTP/1.1", freshID(), framing)+body)
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		if text, _ := io.ReadAll(resp.Body); resp.StatusCode != 200 || string(text) != "good" {
			t.Errorf("answer %d: %d %q", i, resp.StatusCode, text)
		}
	}
	host.mu.Lock()
	defer host.mu.Unlock()
	for _, body := range host.bodies {
		if body != "body" {
			t.Errorf("the host got the body %q", body)
		}
	}
}

// crossingConn delivers a request, and another one at the moment when it is closed.
type crossingConn struct {
	net.Conn
	first, second string
	readTimedOut  chan struct{} // the read deadline has passed
	closing       chan struct{} // closed by the first Close
	ended         chan struct{} // closed by the second Close, which ends service
	mu            sync.Mutex
	closes        int
}

func (c *crossingConn) Read(p []byte) (n int, err error) {
	if c.first == "" {
		select {
		case <-c.readTimedOut:
			return 0, os.ErrDeadlineExceeded
		case <-c.closing:
			c.first, c.second = c.second, ""
		}
	}
	if n = copy(p, c.first); n == 0 {
		return 0, io.EOF
	}
	c.first = c.first[n:]
	return n, nil
}

// SetReadDeadline makes a waiting Read return when net/http interrupts it.
func (c *crossingConn) SetReadDeadline(t time.Time) error {
	select {
	case <-c.readTimedOut:
	default:
	}
	if !t.IsZero() && t.Before(time.Now()) {
		c.readTimedOut <- struct{}{}
	}
	return nil
}

func (c *crossingConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.closes++; c.closes {
	case 1:
		close(c.closing)
	case 2:
		close(c.ended)
	}
	return c.Conn.Close()
}

type oneConnListener struct {
	net.Listener
	conn chan net.Conn
}

func (l oneConnListener) Accept() (net.Conn, error) {
	if c, ok := <-l.conn; ok {
		return c, nil
	}
	return l.Listener.Accept()
}

// A client repeats a request that crossed the close of its idle connection. The gateway must not
// process the original too, whichever way the connection is closed.
func TestRequestCrossingCloseIsNotSent(t *testing.T) {
	for name, closeIdle := range map[string]func(*testGateway){
		"over budget": func(g *testGateway) {
			c, err := net.Dial("tcp", strings.TrimPrefix(g.url, "http://"))
			if err != nil {
				g.Fatal(err)
			}
			g.Cleanup(func() { c.Close() })
		},
		"shutting down": func(g *testGateway) { g.server.closeIdleConns() },
	} {
		host := newHost(t, answerWith(okAnswer))
		g := startGateway(t, testConfig(host))
		near, far := net.Pipe()
		go io.Copy(io.Discard, far)
		c := &crossingConn{
			Conn: near, readTimedOut: make(chan struct{}, 1), closing: make(chan struct{}), ended: make(chan struct{}),
			first:  head("POST /api/first HTTP/1.1", "first", "Content-Length: 0\r\n"),
			second: head("POST /api/second HTTP/1.1", "second", "Content-Length: 0\r\n"),
		}
		g.server.mu.Lock()
		g.server.connBudget = 1
		g.server.mu.Unlock()
		l := oneConnListener{listen(t, "127.0.0.1:0", nil), make(chan net.Conn, 1)}
		g.url = "http://" + l.Addr().String()
		l.conn <- c
		close(l.conn)
		go g.server.Serve(l)
		until(t, "the connection is idle", func() bool {
			g.server.mu.Lock()
			defer g.server.mu.Unlock()
			for _, cs := range g.server.conns {
				if cs.state == http.StateIdle {
					return true
				}
			}
			return false
		})
		closeIdle(g)
		<-c.ended
		taken := make(chan bramblelock.RequestID)
		g.loop.post(func(bramblelock.Time) { taken <- g.loop.lastID })
		if n := <-taken; n != 1 {
			t.Errorf("%s: %d requests were accepted, want only the first", name, n)
		}
	}
}

// deadlineConn records how long the server will wait for the next byte, 0 meaning no limit.
type deadlineConn struct {
	net.Conn
	mu   sync.Mutex
	wait time.Duration
	set  int
}

func (c *deadlineConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wait, c.set = 0, c.set+1
	if !t.IsZero() {
		c.wait = time.Until(t)
	}
	return c.Conn.SetReadDeadline(t)
}

func (c *deadlineConn) readWait() (wait time.Duration, set int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wait, c.set
}

// A peer that sends nothing, or part of a request, is disconnected or answered within 3 s of
// connecting, whether or not the handler reads the request.
func TestReadDeadlinesBoundIncompleteRequests(t *testing.T) {
	const limit = 3 * time.Second
	for name, class := range map[string]string{"in order": "book", "unknown": "other"} {
		g := startGateway(t, testConfig(newHost(t, answerWith(okAnswer))))
		near, far := net.Pipe()
		c := &deadlineConn{Conn: near}
		l := oneConnListener{listen(t, "127.0.0.1:0", nil), make(chan net.Conn, 1)}
		l.conn <- c
		close(l.conn)
		go g.server.Serve(l)
		until(t, "the head is waited for", func() bool { _, set := c.readWait(); return set > 0 })
		wait, before := c.readWait()
		if wait == 0 || wait >= limit {
			t.Errorf("class %s: the server waits %v for a head", name, wait)
		}
		part := strings.Replace(head("POST /api HTTP/1.1", "id", "Content-Length: 9\r\n"), "book", class, 1) + "part"
		io.WriteString(far, part)
		until(t, "the body is waited for", func() bool { _, set := c.readWait(); return set > before })
		if wait, _ := c.readWait(); wait == 0 || wait >= limit {
			t.Errorf("class %s: the server waits %v for a body", name, wait)
		}
		far.Close()
	}
}
