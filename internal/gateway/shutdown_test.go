package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// openConn dials the gateway and sends text.
func (g *testGateway) openConn(text string) net.Conn {
	g.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(g.url, "http://"))
	if err != nil {
		g.Fatal(err)
	}
	g.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(waitTimeout))
	fmt.Fprint(c, text)
	return c
}

// A request that was accepted before shutdown and is due after it is answered before the process
// exits: the host hangs, and the client would wait for a minute.
func TestInFlightRequestIsAnsweredBeforeExit(t *testing.T) {
	host := newHost(t, neverAnswer)
	g := startGateway(t, testConfig(host))
	c := g.openConn(head("POST /api/1 HTTP/1.1", "i", "X-Priority-Class: book\r\nContent-Length: 0\r\n"))
	until(t, "the host has the request", func() bool { n, _, _ := host.counts(); return n == 1 })
	g.server.Shutdown()
	g.server.http.Close() // as the exit of the process does
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != http.StatusBadGateway {
		t.Errorf("answer %v, %v", resp, err)
	}
	if n, _, _ := host.counts(); n != 1 {
		t.Errorf("the host got the request %d times", n)
	}
}

// A request that arrives on a connection after the end of service is not accepted: nobody would
// answer it, and its host would work in vain.
func TestRequestAfterShutdownIsNotAccepted(t *testing.T) {
	host := newHost(t, answerWith(okAnswer))
	g := startGateway(t, testConfig(host))
	c := g.openConn("")
	until(t, "the connection is open", func() bool { return g.server.hasConns() })
	g.server.Shutdown()
	fmt.Fprint(c, head("POST /api/1 HTTP/1.1", "i", "Content-Length: 0\r\n"))
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
		t.Errorf("answer %v after the end of service", resp.Status)
	}
	if n, _, _ := host.counts(); n != 0 {
		t.Errorf("the host got %d requests", n)
	}
}

// A connection that was accepted just before the listener closed may bring its first request after
// that. The request is answered.
func TestNewConnectionIsServedDuringShutdown(t *testing.T) {
	host := newHost(t, answerWith(okAnswer))
	g := startGateway(t, testConfig(host))
	c := g.openConn("")
	until(t, "the connection is open", func() bool { return g.server.hasConns() })
	g.server.mu.Lock()
	for c, cs := range g.server.conns {
		cs.since = time.Now().Add(waitTimeout) // counts as new for as long as this test may take
		g.server.conns[c] = cs
	}
	g.server.mu.Unlock()
	ended := g.startShutdown()
	until(t, "the listener is closed", func() bool { return !g.server.accepting.Load() })
	fmt.Fprint(c, head("POST /api/1 HTTP/1.1", "i", "Content-Length: 0\r\n"))
	wantFinalAnswer(t, bufio.NewReader(c))
	<-ended
}

// wantFinalAnswer reads a good answer, whole, that announces the end of its connection and is
// followed by it.
func wantFinalAnswer(t *testing.T, in *bufio.Reader) {
	t.Helper()
	resp, err := http.ReadResponse(in, nil)
	if err != nil || resp.StatusCode != 200 || !resp.Close {
		t.Fatalf("answer %v, %v", resp, err)
	}
	if body, err := io.ReadAll(resp.Body); string(body) != "good" {
		t.Errorf("answer %q, %v", body, err)
	}
	if n, err := in.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the connection stays open: %d bytes, %v", n, err)
	}
}

// An answer during shutdown announces the end of its connection, whenever its request arrived, and
// the connection is not kept for another request.
func TestAnswerDuringShutdownClosesConnection(t *testing.T) {
	for name, phase := range map[string]func(s *Server) bool{
		"shutdown has begun":  func(s *Server) bool { return s.stopping.Load() },
		"the listener closed": func(s *Server) bool { return s.stopping.Load() && !s.accepting.Load() },
	} {
		release := make(chan struct{})
		host := newHost(t, func(c net.Conn, _ *http.Request, _ int) bool {
			<-release
			io.WriteString(c, okAnswer)
			return true
		})
		g := startGateway(t, testConfig(host))
		c := g.openConn(head("POST /api/1 HTTP/1.1", "i", "Content-Length: 0\r\n"))
		until(t, "the host has the request", func() bool { n, _, _ := host.counts(); return n == 1 })
		ended := g.startShutdown()
		until(t, name, func() bool { return phase(g.server) })
		close(release)
		wantFinalAnswer(t, bufio.NewReader(c))
		<-ended
	}
}

// startShutdown runs Shutdown in the background and returns when it has begun.
func (g *testGateway) startShutdown() (ended chan struct{}) {
	ended = make(chan struct{})
	go func() {
		g.server.Shutdown()
		close(ended)
	}()
	until(g.T, "shutdown has begun", func() bool { return g.server.stopping.Load() })
	return ended
}

// readWholeAnswer reads a whole answer and returns its status and body.
func readWholeAnswer(t *testing.T, what string, in *bufio.Reader) (int, string) {
	t.Helper()
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Errorf("%s: %v", what, err)
		return 0, ""
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Errorf("%s: %v after %d bytes", what, err, len(body))
	}
	return resp.StatusCode, string(body)
}

// Whatever state a request is in when shutdown begins, it gets one whole answer: waiting for a host,
// half received, received but for its last byte, or half answered.
func TestEveryInFlightRequestGetsOneWholeAnswer(t *testing.T) {
	more := make(chan struct{})
	long := string(testBytes(200_000))
	host := newHost(t, func(c net.Conn, r *http.Request, _ int) bool {
		if r.Header.Get("X-Request-ID") != "long" {
			io.WriteString(c, okAnswer)
			return true
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(long), long[:70_000])
		<-more
		io.WriteString(c, long[70_000:])
		return true
	})
	g := startGateway(t, testConfig(host))
	streamed := g.openConn(head("POST /api/1 HTTP/1.1", "long", "Content-Length: 0\r\n"))
	first := make([]byte, 30)
	if _, err := io.ReadFull(streamed, first); err != nil {
		t.Fatal(err)
	}
	upload := g.openConn(head("POST /api/1 HTTP/1.1", "up", fmt.Sprintf("Content-Length: %d\r\n", len(long))) + long[:100_000])
	almost := g.openConn(head("POST /api/1 HTTP/1.1", "almost", "Content-Length: 4\r\n") + "bod")
	until(t, "two requests are with the module", func() bool { return g.openRequests() == 2 })

	ended := g.startShutdown()
	fmt.Fprint(upload, long[100_000:])
	fmt.Fprint(almost, "y")
	close(more)
	for what, c := range map[string]net.Conn{"half received": upload, "received but for its last byte": almost} {
		if status, body := readWholeAnswer(t, what, bufio.NewReader(c)); status != 200 || body != "good" {
			t.Errorf("%s: answer %d %q", what, status, body)
		}
	}
	in := bufio.NewReader(io.MultiReader(strings.NewReader(string(first)), streamed))
	if status, body := readWholeAnswer(t, "half answered", in); status != 200 || body != long {
		t.Errorf("half answered: answer %d, %d bytes", status, len(body))
	}
	<-ended
	if n, _, _ := host.counts(); n != 3 {
		t.Errorf("the host got %d requests", n)
	}
}

// A request that waits for a host when shutdown begins is refused, as it was never sent to one.
func TestQueuedRequestIsRefusedBeforeExit(t *testing.T) {
	cfg := testConfig(newHost(t, answerWith(okAnswer)))
	cfg.Known.Servers[0].State = "draining"
	g := startGateway(t, cfg)
	c := g.openConn(head("POST /api/1 HTTP/1.1", "i", "Content-Length: 0\r\n"))
	until(t, "the request waits", func() bool { return g.openRequests() == 1 })
	ended := g.startShutdown()
	if status, _ := readWholeAnswer(t, "waiting", bufio.NewReader(c)); status != http.StatusServiceUnavailable {
		t.Errorf("answer %d", status)
	}
	<-ended
}

// Clients that keep idle connections until these are closed, or send another request at once on
// every connection that stays open, lose nothing: each request gets one whole answer, or its
// connection ends without a byte and the host never saw the request.
func TestKeptConnectionsDuringShutdown(t *testing.T) {
	host := newHost(t, answerWith(okAnswer))
	g := startGateway(t, testConfig(host))
	idleConn := g.openConn(head("POST /api/1 HTTP/1.1", "first", "Content-Length: 0\r\n"))
	idleIn := bufio.NewReader(idleConn)
	readWholeAnswer(t, "the first request of the idle connection", idleIn)
	var wg sync.WaitGroup
	var answered, unanswered atomic.Int64
	const clients = 8
	for client := range clients {
		c := g.openConn("")
		wg.Add(1)
		go func() {
			defer wg.Done()
			in := bufio.NewReader(c)
			for n := 0; ; n++ {
				if _, err := fmt.Fprint(c, head("POST /api/1 HTTP/1.1", fmt.Sprint(client, "-", n), "Content-Length: 0\r\n")); err != nil {
					return
				}
				if _, err := in.Peek(1); err != nil {
					unanswered.Add(1)
					return
				}
				resp, err := http.ReadResponse(in, nil)
				if err == nil {
					_, err = io.ReadAll(resp.Body)
				}
				if err != nil || resp.StatusCode != 200 {
					t.Errorf("answer %v, %v", resp, err)
					return
				}
				answered.Add(1)
			}
		}()
	}
	until(t, "all clients have sent several requests", func() bool { return answered.Load() > 10*clients })
	ended := g.startShutdown()
	wg.Wait()
	<-ended
	if n, err := idleIn.Read(make([]byte, 1)); n > 0 || err != io.EOF {
		t.Errorf("the idle connection got %d bytes, %v", n, err)
	}
	if n, _, _ := host.counts(); int64(n) != answered.Load()+1 {
		t.Errorf("the host got %d requests, %d and the first were answered, %d went unanswered", n, answered.Load(), unanswered.Load())
	}
}

// blockingListener hands over a connection only after its release, as on a busy CPU core.
type blockingListener struct {
	net.Listener
	accepted, release chan struct{}
}

func (l blockingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		close(l.accepted)
		<-l.release
	}
	return c, err
}

// A connection that was taken from the accept queue just as the listener closed is served too.
func TestConnectionAcceptedAsListenerCloses(t *testing.T) {
	host := newHost(t, answerWith(okAnswer))
	g := startGateway(t, testConfig(host))
	until(t, "the first listener accepts", func() bool { return g.server.accepting.Load() })
	held := blockingListener{listen(t, "127.0.0.1:0", nil), make(chan struct{}), make(chan struct{})}
	(*g.server.ln.Load()).Close()
	until(t, "the first listener is closed", func() bool { return !g.server.accepting.Load() })
	go g.server.Serve(held)
	g.url = "http://" + held.Addr().String()
	c := g.openConn(head("POST /api/1 HTTP/1.1", "i", "Content-Length: 0\r\n"))
	<-held.accepted
	ended := g.startShutdown()
	until(t, "idle connections are closed", func() bool {
		g.server.mu.Lock()
		defer g.server.mu.Unlock()
		return g.server.closingIdle
	})
	select {
	case <-ended:
		t.Error("service has ended with a connection not yet handed over")
	case <-time.After(50 * time.Millisecond): // several polls of the remaining connections
	}
	close(held.release)
	wantFinalAnswer(t, bufio.NewReader(c))
	<-ended
}
