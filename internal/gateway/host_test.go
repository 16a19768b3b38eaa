package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"bramblelock"
)

const (
	waitTimeout  = 20 * time.Second // long, as the machine may be busy
	pollInterval = 2 * time.Millisecond
)

// until waits for a condition.
func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !ok(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			t.Fatalf("gave up waiting: %s", what)
		}
	}
}

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

func newTestPool() *Pool {
	return NewPool(&Config{ConnIdle: time.Minute, DialTimeout: waitTimeout, Sockets: 1024})
}

// newPoolHost returns a host as the loop would create it.
func newPoolHost(p *Pool, addr string) *host {
	h := &host{id: "s-1"}
	p.updateHost(h, addr, 0, true)
	return h
}

// newAttempt returns an attempt without a loop.
func newAttempt() *attempt {
	return &attempt{cancel: func(error) {}, onUploadComplete: func() {}, onResponseStarted: func() {}, chargedFrom: time.Now()}
}

func newExchange(body string) *exchange {
	x := &exchange{
		method: http.MethodPost, uri: "/api/1", host: "service.internal", header: http.Header{},
		body: []byte(body), timeout: waitTimeout, deadline: time.Now().Add(waitTimeout), answer: make(chan answer, 1),
		capDeadline: func(t time.Time) time.Time { return t },
	}
	return x
}

// attemptOnce runs one attempt with plenty of time.
func attemptOnce(t *testing.T, p *Pool, h *host, x *exchange) (bramblelock.Result, answer) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	return p.runAttempt(ctx, h, x, newAttempt())
}

func (p *Pool) counts(h *host) (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openConns, len(p.idle[h])
}

// The answer of a host decides whether the request may have run: a wrong result here would let an
// unsafe request run twice.
func TestAnswersAndTheirResults(t *testing.T) {
	tests := []struct {
		name, answer string
		want         bramblelock.Result
		wantConns    int // connections kept for the next attempt
	}{
		{"good", okAnswer, bramblelock.OK, 1},
		{"good after 100", "HTTP/1.1 100 Continue\r\n\r\n" + okAnswer, bramblelock.OK, 1},
		{"good, chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n", bramblelock.OK, 1},
		{"good, then closing", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\ngood", bramblelock.OK, 0},
		{"error", errorAnswer, bramblelock.Failed, 1},
		{"request at fault", "HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n", bramblelock.Rejected, 1},
		{"request without an id", "HTTP/1.1 404 None\r\nContent-Length: 0\r\n\r\n", bramblelock.Rejected, 1},
		{"no answer of a host's", "HTTP/1.1 302 Elsewhere\r\nContent-Length: 0\r\n\r\n", bramblelock.Failed, 1},
		{"turned away", notProcessedAnswer, bramblelock.Full, 1},
		{"turned away as over", "HTTP/1.1 504 Over\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", bramblelock.Full, 1},
		{"503 without the proof", "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", bramblelock.Failed, 1},
		{"proof on another status", "HTTP/1.1 500 Oops\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", bramblelock.Failed, 1},
		{"proof that is none", "HTTP/1.1 503 Full\r\nX-Not-Processed: 0\r\nContent-Length: 0\r\n\r\n", bramblelock.Failed, 1},
		{"longer than announced", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\ngood", bramblelock.Failed, 0},
		{"too long a failure", "HTTP/1.1 500 Oops\r\nContent-Length: 65537\r\n\r\n" + strings.Repeat("x", 65537), bramblelock.Failed, 0},
		{"head without end", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*maxHeadBytes), bramblelock.Failed, 0},
		{"another protocol", "ICY 200 OK\r\nContent-Length: 4\r\n\r\ngood", bramblelock.Failed, 0},
		{"no status", "HTTP/1.1 2x0 OK\r\nContent-Length: 4\r\n\r\ngood", bramblelock.Failed, 0},
		{"no header", "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 4\r\n\r\ngood", bramblelock.Failed, 0},
		{"no chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\ngood\r\n0\r\n\r\n", bramblelock.Failed, 0},
		{"chunks in the old protocol", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n", bramblelock.Failed, 0},
		{"chunks in the old protocol behind a long head", "HTTP/1.0 200 OK\r\nX-Pad: " + strings.Repeat("x", 9<<10) +
			"\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n", bramblelock.Failed, 0},
		{"a good one of the old protocol with a long head", "HTTP/1.0 200 OK\r\nX-Pad: " + strings.Repeat("x", 9<<10) +
			"\r\nContent-Length: 4\r\n\r\ngood", bramblelock.OK, 0},
		{"a good one of the old protocol", "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\ngood", bramblelock.OK, 0},
		{"a later protocol", "HTTP/2.0 200 OK\r\nContent-Length: 4\r\n\r\ngood", bramblelock.Failed, 0},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 2\r\n\r\ngood", bramblelock.Failed, 0},
		{"a length below 0", "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\ngood", bramblelock.Failed, 0},
		{"a length that is no number", "HTTP/1.1 200 OK\r\nContent-Length: 4x\r\n\r\ngood", bramblelock.Failed, 0},
		{"an encoding that is none", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chonked\r\n\r\n4\r\ngood\r\n0\r\n\r\n", bramblelock.Failed, 0},
		{"many ahead of the answer", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 4000) + okAnswer, bramblelock.Failed, 0},
		{"no body by its status", "HTTP/1.1 204 None\r\n\r\n", bramblelock.Failed, 1},
		{"no HTTP", "\x8f\x00\r\n\r\n", bramblelock.Failed, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, host := newTestPool(), newHost(t, answerWith(tt.answer))
			h := newPoolHost(p, host.addr())
			got, a := attemptOnce(t, p, h, newExchange("b"))
			if got != tt.want {
				t.Errorf("result %v, want %v", got, tt.want)
			}
			if body := string(a.body); (got == bramblelock.OK) != (body == "good") {
				t.Errorf("result %v with the body %q", got, body)
			}
			if open, idle := p.counts(h); open != tt.wantConns || idle != tt.wantConns {
				t.Errorf("%d connections open and %d idle, want %d", open, idle, tt.wantConns)
			}
			if requests, _, _ := host.counts(); requests != 1 {
				t.Errorf("the host got %d requests", requests)
			}
		})
	}
}

// An answer whose body ends early is not served.
func TestCutShortBody(t *testing.T) {
	for name, text := range map[string]string{
		"announced": "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\ngood",
		"chunked":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n",
		"no answer": "",
	} {
		p := newTestPool()
		host := newHost(t, func(c net.Conn, _ *http.Request, _ int) bool {
			io.WriteString(c, text)
			return false
		})
		h := newPoolHost(p, host.addr())
		if got, _ := attemptOnce(t, p, h, newExchange("b")); got != bramblelock.Reset {
			t.Errorf("%s: result %v, want Reset", name, got)
		}
		if open, _ := p.counts(h); open != 0 {
			t.Errorf("%s: %d connections left open", name, open)
		}
	}
}

func TestConnectionRefused(t *testing.T) {
	p := newTestPool()
	ln := listen(t, "127.0.0.1:0", nil)
	h := newPoolHost(p, ln.Addr().String())
	ln.Close()
	if got, _ := attemptOnce(t, p, h, newExchange("b")); got != bramblelock.ConnectFailed {
		t.Errorf("result %v, want ConnectFailed", got)
	}
	if open, _ := p.counts(h); open != 0 {
		t.Errorf("%d connections are counted as open", open)
	}
}

// silentAddr returns an address that does not answer a dial, like a machine that has vanished.
func silentAddr(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: name.(*syscall.SockaddrInet4).Port}).String()
	// No connection is accepted, so the backlog is full as soon as one connection is established.
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	up := make(chan struct{}, 8)
	for range cap(up) {
		go func() {
			if c, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr); err == nil {
				defer c.Close()
				up <- struct{}{}
				<-ctx.Done()
			}
		}()
	}
	<-up
	return addr
}

// A machine that has vanished does not answer a dial. The dial must end by its own time-out or by
// the deadline of its request, whichever is earlier, as a proof that nothing ran, and must leave no
// connection behind.
func TestSilentConnect(t *testing.T) {
	addr := silentAddr(t)
	for name, c := range map[string]struct {
		dial, request time.Duration
		cause         error
		want          bramblelock.Result
	}{
		"the dial's time":                       {100 * time.Millisecond, waitTimeout, nil, bramblelock.ConnectFailed},
		"the request's time":                    {waitTimeout, 100 * time.Millisecond, context.DeadlineExceeded, bramblelock.ConnectFailed},
		"canceled":                              {waitTimeout, 100 * time.Millisecond, context.Canceled, bramblelock.Canceled},
		"deadline shortly after the dial began": {waitTimeout, waitTimeout, context.DeadlineExceeded, bramblelock.NotSent},
	} {
		p, x := newTestPool(), newExchange("b")
		p.dialer.Timeout, x.timeout = c.dial, c.request
		h := newPoolHost(p, addr)
		ctx, cancel := context.WithCancelCause(context.Background())
		if c.cause != nil {
			time.AfterFunc(min(c.request, waitTimeout/100), func() { cancel(c.cause) })
		}
		if got, _ := p.runAttempt(ctx, h, x, newAttempt()); got != c.want {
			t.Errorf("%s: result %v, want %v", name, got, c.want)
		}
		cancel(nil)
		if open, idle := p.counts(h); open != 0 || idle != 0 {
			t.Errorf("%s: %d connections are counted as open, %d as idle", name, open, idle)
		}
	}
}

// smallBuffer returns a control function that makes a socket's buffer too small for a long request.
func smallBuffer(option int) func(string, string, syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) (err error) {
		cerr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, option, 4096)
		})
		if cerr != nil {
			return cerr
		}
		return err
	}
}

func TestResetBeforeTheLastByte(t *testing.T) {
	ln := listen(t, "127.0.0.1:0", smallBuffer(syscall.SO_RCVBUF))
	defer ln.Close()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			c.Read(make([]byte, 1))
			resetConn(c, nil, 0)
			c.Close()
		}
	}()
	p := newTestPool()
	p.dialer.Control = smallBuffer(syscall.SO_SNDBUF)
	h := newPoolHost(p, ln.Addr().String())
	if got, _ := attemptOnce(t, p, h, newExchange(strings.Repeat("x", 4*maxBufferedBytes))); got != bramblelock.ConnectFailed {
		t.Errorf("result %v, want ConnectFailed", got)
	}
}

func TestResetAfterTheLastByte(t *testing.T) {
	p, host := newTestPool(), newHost(t, resetConn)
	if got, _ := attemptOnce(t, p, newPoolHost(p, host.addr()), newExchange("b")); got != bramblelock.Reset {
		t.Errorf("result %v, want Reset", got)
	}
	if requests, _, _ := host.counts(); requests != 1 {
		t.Errorf("the host got %d requests", requests)
	}
}

// A connection that the host closed while it was idle must not make a request fail.
func TestStaleIdleConnection(t *testing.T) {
	p := newTestPool()
	host := newHost(t, func(c net.Conn, _ *http.Request, _ int) bool {
		io.WriteString(c, okAnswer)
		return false
	})
	h := newPoolHost(p, host.addr())
	for i := range 3 {
		if got, _ := attemptOnce(t, p, h, newExchange("b")); got != bramblelock.OK {
			t.Fatalf("attempt %d: result %v", i, got)
		}
		p.mu.Lock()
		c := p.idle[h][0]
		p.mu.Unlock()
		until(t, "the idle connection is seen to be closed", func() bool { return !c.quiet() })
	}
	p.sweep()
	if open, idle := p.counts(h); open != 0 || idle != 0 {
		t.Errorf("%d connections open and %d idle after a sweep", open, idle)
	}
}

// An idle connection on which the host has sent something must not carry a request: that data would
// be taken for the answer.
func TestUnrequestedAnswerIsNotUsed(t *testing.T) {
	p := newTestPool()
	host := newHost(t, func(c net.Conn, _ *http.Request, n int) bool {
		io.WriteString(c, okAnswer)
		return true
	})
	h := newPoolHost(p, host.addr())
	attemptOnce(t, p, h, newExchange("b"))
	p.mu.Lock()
	c := p.idle[h][0]
	p.mu.Unlock()
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil || raw == nil {
		t.Fatal(err)
	}
	c.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n")) // causes an answer that nobody reads
	until(t, "the answer is there", func() bool { return !c.quiet() })
	if got, _ := attemptOnce(t, p, h, newExchange("b")); got != bramblelock.OK {
		t.Errorf("result %v", got)
	}
	if _, accepted, _ := host.counts(); accepted != 2 {
		t.Errorf("%d connections, want a new one", accepted)
	}
}

// A second answer, part of a line or a single byte that a host sends late on an idle connection
// must affect neither the last answer nor the next.
func TestLateDataAffectsNoOtherAnswer(t *testing.T) {
	for name, more := range map[string]string{
		"a second answer": "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate",
		"half a line":     "HTTP/1.1 200 O",
		"a byte":          "\x00",
	} {
		late := make(chan struct{})
		host := newHost(t, func(c net.Conn, _ *http.Request, n int) bool {
			io.WriteString(c, okAnswer)
			if n == 0 {
				<-late
				io.WriteString(c, more)
			}
			return true
		})
		p := newTestPool()
		h := newPoolHost(p, host.addr())
		if got, a := attemptOnce(t, p, h, newExchange("b")); got != bramblelock.OK || string(a.body) != "good" {
			t.Errorf("%s: result %v, %q", name, got, a.body)
		}
		p.mu.Lock()
		c := p.idle[h][0]
		p.mu.Unlock()
		close(late)
		until(t, name+" is there", func() bool { return !c.quiet() })
		if got, a := attemptOnce(t, p, h, newExchange("b")); got != bramblelock.OK || string(a.body) != "good" {
			t.Errorf("%s: the next has result %v, %q", name, got, a.body)
		}
		if open, idle := p.counts(h); open != 1 || idle != 1 {
			t.Errorf("%s: %d connections open, %d idle", name, open, idle)
		}
	}
}

// Handshakes cost hosts work: the connection that was used last is used again, and the one that has
// been idle for longest is left to be closed.
func TestWarmestConnectionIsReused(t *testing.T) {
	p, host := newTestPool(), newHost(t, answerWith(okAnswer))
	h := newPoolHost(p, host.addr())
	ctx := context.Background()
	a, errA := p.get(ctx, h)
	b, errB := p.get(ctx, h)
	if errA != nil || errB != nil {
		t.Fatal(errA, errB)
	}
	p.put(a)
	p.put(b)
	if c, _ := p.get(ctx, h); c != b {
		t.Error("the connection that was used last was not used again")
	} else {
		p.put(c)
	}
	attemptOnce(t, p, h, newExchange("b"))
	attemptOnce(t, p, h, newExchange("b"))
	until(t, "both dials are accepted", func() bool {
		_, accepted, _ := host.counts()
		return accepted == 2
	})
	if open, idle := p.counts(h); open != 2 || idle != 2 {
		t.Errorf("%d connections open and %d idle, want the two dialled", open, idle)
	}
	p.maxIdleTime = 0
	p.sweep()
	if open, _ := p.counts(h); open != 0 {
		t.Errorf("%d connections open, although all were idle for too long", open)
	}
}

// Old connections to a host that is restarted, moved or draining carry no more requests.
func TestIdleConnectionsEndWithTheHost(t *testing.T) {
	for name, change := range map[string]func(p *Pool, h *host){
		"restarted": func(p *Pool, h *host) { p.updateHost(h, h.addr, 1, true) },
		"moved":     func(p *Pool, h *host) { p.updateHost(h, "127.0.0.1:1", 0, true) },
		"draining":  func(p *Pool, h *host) { p.updateHost(h, h.addr, 0, false) },
	} {
		p, host := newTestPool(), newHost(t, answerWith(okAnswer))
		h := newPoolHost(p, host.addr())
		attemptOnce(t, p, h, newExchange("b"))
		change(p, h)
		if open, idle := p.counts(h); open != 0 || idle != 0 {
			t.Errorf("%s: %d connections open and %d idle", name, open, idle)
		}
		until(t, name+": the host sees its connection end", func() bool {
			_, _, ended := host.counts()
			return ended == 1
		})
	}
}

// Idle connections end with a change of maintenance, and not with a call that changes nothing.
func TestRepeatedMaintenanceCallKeepsConnections(t *testing.T) {
	p, host := newTestPool(), newHost(t, answerWith(okAnswer))
	h := newPoolHost(p, host.addr())
	for _, tt := range []struct {
		on   bool
		idle int
	}{{false, 1}, {true, 0}, {true, 0}, {false, 0}, {false, 1}} {
		if !h.inMaintenance {
			attemptOnce(t, p, h, newExchange("b"))
		}
		p.setMaintenance(h, tt.on)
		if _, idle := p.counts(h); idle != tt.idle {
			t.Errorf("maintenance set to %t: %d idle connections, want %d", tt.on, idle, tt.idle)
		}
	}
}

// Giving up an attempt closes its connection, so that the host can stop working on it, and nothing
// else is sent on it.
func TestUnansweredAttemptIsGivenUp(t *testing.T) {
	for _, tt := range []struct {
		name string
		ctx  func() (context.Context, context.CancelFunc)
		want bramblelock.Result
	}{
		{"deadline", func() (context.Context, context.CancelFunc) {
			return context.WithTimeout(context.Background(), 300*time.Millisecond)
		}, bramblelock.TimedOut},
		{"canceled", func() (context.Context, context.CancelFunc) {
			return context.WithCancel(context.Background())
		}, bramblelock.Canceled},
	} {
		p, host := newTestPool(), newHost(t, neverAnswer)
		h := newPoolHost(p, host.addr())
		ctx, cancel := tt.ctx()
		if tt.want == bramblelock.Canceled {
			go func() {
				for requests := 0; requests == 0; requests, _, _ = host.counts() {
					time.Sleep(pollInterval)
				}
				cancel()
			}()
		}
		got, _ := p.runAttempt(ctx, h, newExchange("b"), newAttempt())
		requests, _, _ := host.counts()
		want := tt.want
		if requests == 0 {
			want = bramblelock.NotSent // the machine was so slow that nothing was sent
		}
		if got != want {
			t.Errorf("%s: result %v, want %v", tt.name, got, want)
		}
		cancel()
		until(t, tt.name+": the host sees the connection end", func() bool {
			_, accepted, ended := host.counts()
			return accepted == ended
		})
		if open, idle := p.counts(h); open != 0 || idle != 0 {
			t.Errorf("%s: %d connections open and %d idle", tt.name, open, idle)
		}
	}
}

// A machine that has vanished leaves its connections open and silent. Once an attempt has been
// given up and the host has answered nothing since, its idle connections carry no more requests. If
// it has answered another request meanwhile, they do.
func TestHalfOpenIdleConnections(t *testing.T) {
	for _, answers := range []bool{false, true} {
		p := newTestPool()
		host := newHost(t, func(c net.Conn, r *http.Request, _ int) bool {
			if r.URL.Path != "/hang" {
				io.WriteString(c, okAnswer)
			}
			return true
		})
		h := newPoolHost(p, host.addr())
		a, errA := p.get(context.Background(), h)
		b, errB := p.get(context.Background(), h)
		if errA != nil || errB != nil {
			t.Fatal(errA, errB)
		}
		p.put(a)
		p.put(b)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan bramblelock.Result, 1)
		go func() {
			x := newExchange("b")
			x.uri = "/hang"
			got, _ := p.runAttempt(ctx, h, x, newAttempt())
			done <- got
		}()
		until(t, "the host has the request", func() bool {
			requests, _, _ := host.counts()
			return requests == 1
		})
		if answers {
			attemptOnce(t, p, h, newExchange("b"))
		}
		cancel()
		if got := <-done; got != bramblelock.Canceled {
			t.Errorf("result %v, want Canceled", got)
		}
		want := 0
		if answers {
			want = 1
		}
		if _, idle := p.counts(h); idle != want {
			t.Errorf("other answers %t: %d idle connections are kept, want %d", answers, idle, want)
		}
	}
}

// The list may change, or the request end, during a dial: the request is not sent then.
func TestAttemptIsCheckedAgainAfterDial(t *testing.T) {
	for name, change := range map[string]func(p *Pool, h *host, x *exchange){
		"drain during a dial":    func(p *Pool, h *host, _ *exchange) { p.updateHost(h, h.addr, 0, false) },
		"answered during a dial": func(_ *Pool, _ *host, x *exchange) { x.claimAnswer() },
	} {
		p, host := newTestPool(), newHost(t, answerWith(okAnswer))
		h, x := newPoolHost(p, host.addr()), newExchange("b")
		p.dialer.Control = func(_, _ string, _ syscall.RawConn) error {
			change(p, h, x)
			return nil
		}
		if got, _ := attemptOnce(t, p, h, x); got != bramblelock.NotSent {
			t.Errorf("%s: result %v, want NotSent", name, got)
		}
		p.closeIdle(h)
		until(t, name+": the connection ends", func() bool {
			_, accepted, ended := host.counts()
			return accepted == 1 && ended == 1
		})
		if requests, _, _ := host.counts(); requests != 0 {
			t.Errorf("%s: the host got %d requests", name, requests)
		}
	}
}

// A retry is sent within the deduplication window or not at all, however long its dial takes: after
// the window the host would no longer recognize it as a duplicate.
func TestRetryIsNotWrittenAfterDedupWindow(t *testing.T) {
	windowOver := make(chan struct{})
	cfg := testConfig()
	window := 300 * time.Millisecond
	cfg.Settings.Classes[2].DedupWindow = window
	first := func(c net.Conn, r *http.Request, n int) bool {
		time.AfterFunc(window, func() { close(windowOver) })
		return resetConn(c, r, n)
	}
	host := newHost(t, first)
	cfg.Known.Servers = testConfig(host).Known.Servers
	g := startGateway(t, cfg)
	dials := 0
	g.loop.pool.dialer.Control = func(_, _ string, _ syscall.RawConn) error {
		if dials++; dials > 1 {
			<-windowOver
		}
		return nil
	}
	resp, _ := g.request("report", "/api/1", "b", "Idempotency-Key", "k")
	if resp.StatusCode == 200 {
		t.Errorf("answer %d", resp.StatusCode)
	}
	until(t, "the request is released", func() bool { return g.openRequests() == 0 })
	if n, _, _ := host.counts(); n != 1 {
		t.Errorf("the host got the request %d times", n)
	}
}

// The connections stay within the budget: an idle one is closed to make room, and if there is none,
// the attempt is not sent, which proves that it did not run.
func TestConnectionBudget(t *testing.T) {
	p, first, second := newTestPool(), newHost(t, answerWith(okAnswer)), newHost(t, neverAnswer)
	p.connBudget = 1
	a, b := newPoolHost(p, first.addr()), newPoolHost(p, second.addr())
	attemptOnce(t, p, a, newExchange("b"))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan bramblelock.Result, 1)
	go func() {
		got, _ := p.runAttempt(ctx, b, newExchange("b"), newAttempt())
		done <- got
	}()
	until(t, "the second host gets its request", func() bool {
		requests, _, _ := second.counts()
		return requests == 1
	})
	if got, _ := attemptOnce(t, p, a, newExchange("b")); got != bramblelock.NotSent {
		t.Errorf("beyond the budget: result %v, want NotSent", got)
	}
	cancel()
	<-done
	if got, _ := attemptOnce(t, p, a, newExchange("b")); got != bramblelock.OK {
		t.Errorf("within the budget again: result %v", got)
	}
}

// Two processes that serve at the same time share the descriptors: idle connections beyond the
// smaller share are closed.
func TestConnectionsWhileProcessesOverlap(t *testing.T) {
	p, host := newTestPool(), newHost(t, answerWith(okAnswer))
	p.maxConns, p.connBudget = 4, 4
	h := newPoolHost(p, host.addr())
	var conns []*conn
	get := func() (err error) {
		c, err := p.get(context.Background(), h)
		if err == nil {
			conns = append(conns, c)
		}
		return err
	}
	for range 4 {
		if err := get(); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range conns[:3] {
		p.put(c)
	}
	p.SetOverlap(true)
	if open, idle := p.counts(h); open != 2 || idle != 1 {
		t.Errorf("%d connections open, %d idle; want 2 and 1", open, idle)
	}
	get()
	if err := get(); err != errTooManyConns {
		t.Errorf("a third connection: %v", err)
	}
	p.SetOverlap(false)
	if err := get(); err != nil {
		t.Errorf("without the other process: %v", err)
	}
}
