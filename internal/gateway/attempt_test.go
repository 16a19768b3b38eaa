package gateway

import (
	"context"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"bramblelock"
	"bramblelock/internal/gateway/gatewaytest"
)

// newAttempt returns an attempt without a loop.
func newAttempt() *attempt {
	return &attempt{cancel: func(error) {}, onUploadComplete: func() {}, onHeadForwarded: func() {}, onResponseStarted: func() {}, chargedFrom: time.Now()}
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
					time.Sleep(gatewaytest.PollInterval)
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
