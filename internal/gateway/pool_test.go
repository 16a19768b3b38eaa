package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"bramblelock"
	"bramblelock/internal/gateway/config"
)

func newTestPool() *Pool {
	return NewPool(&config.Config{ConnIdle: time.Minute, DialTimeout: waitTimeout, Sockets: 1024})
}

// newPoolHost returns a host as the loop would create it.
func newPoolHost(p *Pool, addr string) *host {
	h := &host{id: "s-1"}
	p.updateHost(h, addr, 0, true)
	return h
}

func (p *Pool) counts(h *host) (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openConns, len(p.idle[h])
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
