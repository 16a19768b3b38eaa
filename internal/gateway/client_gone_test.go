package gateway

import (
	"bufio"
	"fmt"
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

const lookHead = "GET /api/1 HTTP/1.1\r\nHost: a\r\nX-Request-ID: id-1\r\nX-Priority-Class: look\r\n\r\n"

// A client leaves while its request waits for a host: no attempt is made when a host becomes
// available. Clients that stay are served. Tested with many clients that leave at once, and every
// way to leave.
func TestNoAttemptForClientGoneWhileQueued(t *testing.T) {
	for name, leave := range map[string]func(net.Conn){
		"by a close":      func(c net.Conn) { c.Close() },
		"by a half-close": func(c net.Conn) { c.(*net.TCPConn).CloseWrite() },
		"by a reset": func(c net.Conn) {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		},
	} {
		host := newHost(t, answerWith(okAnswer))
		cfg := testConfig(host)
		cfg.Settings.Classes[0].LatencyTarget = cfg.Settings.Classes[0].Deadline // requests wait in the queue for a share of that
		cfg.Known.Servers[0].State = "draining"
		g := startGateway(t, cfg)
		var leaving []net.Conn
		for range 40 {
			leaving = append(leaving, g.openConn(lookHead))
		}
		remaining := g.openConn(lookHead)
		until(t, "all wait", func() bool { return g.openRequests() == len(leaving)+1 })
		for _, c := range leaving {
			leave(c)
		}
		until(t, name+": the requests of clients that left are released", func() bool { return g.openRequests() == 1 })
		cfg.Known.Servers[0].State = "ready"
		g.loop.HandleList(bramblelock.ListFull, cfg.Known)
		if resp, err := http.ReadResponse(bufio.NewReader(remaining), nil); err != nil || resp.StatusCode != 200 {
			t.Errorf("%s: the client that stayed got %v, %v", name, resp, err)
		}
		if n, _, _ := host.counts(); n != 1 {
			t.Errorf("%s: the host got %d requests for one client that waits", name, n)
		}
	}
}

// A request whose client leaves during the dial to a host is not sent.
func TestNoAttemptForClientGoneDuringDial(t *testing.T) {
	host := newHost(t, answerWith(okAnswer))
	g := startGateway(t, testConfig(host))
	dialling, left := make(chan struct{}, 8), make(chan struct{})
	g.loop.pool.dialer.Control = func(string, string, syscall.RawConn) error {
		dialling <- struct{}{}
		<-left
		return nil
	}
	c := g.openConn(lookHead)
	<-dialling
	c.Close()
	x := make(chan bool, 1)
	until(t, "the client is known to have left", func() bool {
		g.loop.post(func(bramblelock.Time) {
			over := true
			for _, e := range g.loop.openRequests {
				over = over && e.finished.Load()
			}
			x <- over
		})
		return <-x
	})
	close(left)
	until(t, "the request is released", func() bool { return g.openRequests() == 0 })
	if n, _, _ := host.counts(); n != 0 {
		t.Errorf("the host got %d requests", n)
	}
	until(t, "no connection is in use", func() bool {
		open, idle := g.loop.pool.counts(g.loop.hosts[hostID("s-0")])
		return open == idle
	})
}

// A client that leaves while its answer is streamed ends the attempt at the host.
func TestClientGoneDuringAnswerEndsAttempt(t *testing.T) {
	host := newHost(t, func(c net.Conn, _ *http.Request, _ int) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n"+string(testBytes(1000)))
		return true
	})
	g := startGateway(t, testConfig(host))
	c := g.openConn(lookHead)
	if _, err := io.ReadFull(c, make([]byte, 500)); err != nil {
		t.Fatal(err)
	}
	c.Close()
	until(t, "the host sees its connection end", func() bool {
		_, accepted, ended := host.counts()
		return accepted == 1 && ended == 1
	})
	until(t, "the request is released", func() bool { return g.openRequests() == 0 })
}

// Unread bytes hide the end of a connection from its reader: bytes behind a request, and a body
// that is read only once there is a host. No attempt is made for clients that have left behind such
// bytes, while clients that stay are served.
func TestNoAttemptForClientGoneBehindUnreadBytes(t *testing.T) {
	const long = 150_000 // longer than what is buffered, shorter than the receive buffer
	heads := map[string]string{
		"part of another request": lookHead + "GET /api/2 HTTP/1.1\r\nHost: a\r\nX-Req",
		"another request":         lookHead + lookHead,
		"a long body": "POST /api/1 HTTP/1.1\r\nHost: a\r\nX-Request-ID: id-1\r\nX-Priority-Class: book\r\n" +
			"Content-Length: 150000\r\n\r\n" + string(testBytes(long)),
	}
	leaves := map[string]func(net.Conn){
		"a close":      func(c net.Conn) { c.Close() },
		"a half-close": func(c net.Conn) { c.(*net.TCPConn).CloseWrite() },
		"a reset": func(c net.Conn) {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		},
	}
	for what, head := range heads {
		for how, leave := range leaves {
			t.Run(what+", "+how, func(t *testing.T) {
				testGoneClients(t, head, leave)
			})
		}
	}
}

// Clients write more than the receive buffer of their connections takes, and leave: the ends of their
// connections stay in their own sockets, behind a body of 1 or 3 MB or thousands of requests. No attempt may
// begin later than goneClientSlack after that. Before, such a request was sent whenever a host came up
// (review/8: 70 of 582), as the end of the connection was looked for without reading what hid it.
func TestNoAttemptForClientGoneBehindMoreThanReceiveBuffer(t *testing.T) {
	longBody := func(n int) string {
		return head("POST /api/1 HTTP/1.1", "id-1", fmt.Sprintf("Content-Length: %d\r\n", n)) + string(testBytes(n))
	}
	for name, text := range map[string]string{
		"a body of 1 MB":        longBody(1 << 20),
		"a body of 3 MB":        longBody(3 << 20),
		"thousands of requests": strings.Repeat(lookHead, 5000),
	} {
		t.Run(name, func(t *testing.T) {
			const leaving = 5
			host := newHost(t, answerWith(okAnswer))
			cfg := testConfig(host)
			for i := range cfg.Settings.Classes {
				cfg.Settings.Classes[i].LatencyTarget = cfg.Settings.Classes[i].Deadline // requests wait in the queue for a share of that
			}
			cfg.Known.Servers[0].State = "draining"
			g := startGateway(t, cfg)
			var clients sync.WaitGroup
			for range leaving {
				c := g.openConn("")
				clients.Go(func() {
					io.WriteString(c, text) // returns once the sockets have taken it
					c.Close()
				})
			}
			clients.Wait()
			time.Sleep(goneClientSlack)
			remaining := g.openConn(lookHead)
			until(t, "the client that stays waits", func() bool { return g.openRequests() >= 1 })
			cfg.Known.Servers[0].State = "ready"
			g.loop.HandleList(bramblelock.ListFull, cfg.Known)
			if resp, err := http.ReadResponse(bufio.NewReader(remaining), nil); err != nil || resp.StatusCode != 200 {
				t.Errorf("the client that stayed got %v, %v", resp, err)
			}
			until(t, "all requests are released", func() bool { return g.openRequests() == 0 })
			if n, _, _ := host.counts(); n != 1 {
				t.Errorf("the host got %d requests, one client stayed", n)
			}
			until(t, "the memory is returned to the budget", func() bool {
				return g.loop.pool.memory.remaining.Load() == newBufferBudget(g.cfg).remaining.Load()
			})
		})
	}
}

func testGoneClients(t *testing.T, head string, leave func(net.Conn)) {
	host := newHost(t, answerWith(okAnswer))
	cfg := testConfig(host)
	for i := range cfg.Settings.Classes {
		cfg.Settings.Classes[i].LatencyTarget = cfg.Settings.Classes[i].Deadline // requests wait in the queue for a share of that
	}
	cfg.Known.Servers[0].State = "draining"
	g := startGateway(t, cfg)
	const leavingCount = 20
	var conns []net.Conn
	for range leavingCount {
		conns = append(conns, g.openConn(head))
	}
	remaining := g.openConn(head)
	until(t, "all wait", func() bool { return g.openRequests() == leavingCount+1 })
	for _, c := range conns {
		leave(c)
	}
	until(t, "the ends of their connections have arrived", func() bool {
		g.server.mu.Lock()
		defer g.server.mu.Unlock()
		there := 0
		for c := range g.server.conns {
			if !c.(*framedConn).clientGone() {
				there++
			}
		}
		return there == 1
	})
	cfg.Known.Servers[0].State = "ready"
	g.loop.HandleList(bramblelock.ListFull, cfg.Known)
	if resp, err := http.ReadResponse(bufio.NewReader(remaining), nil); err != nil || resp.StatusCode != 200 {
		t.Errorf("the client that stayed got %v, %v", resp, err)
	}
	remaining.Close()
	until(t, "all are released", func() bool { return g.openRequests() == 0 })
	if n, _, _ := host.counts(); n > 2 { // the client that stays may have sent two
		t.Errorf("the host got %d requests, one client stayed", n)
	}
}
