package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	"lynxspool"
)

const lookHead = "GET /api/1 HTTP/1.1\r\nHost: a\r\nX-Request-ID: id-1\r\nX-Priority-Class: look\r\n\r\n"

// Clients that leave while their requests wait for a host are not sent on when one comes;
// who stayed is served. So it is with a crowd that leaves at once, and in every way to leave.
func TestWhoLeftWhileWaitingIsNotSentOn(t *testing.T) {
	for name, leave := range map[string]func(net.Conn){
		"by a close":      func(c net.Conn) { c.Close() },
		"by a half-close": func(c net.Conn) { c.(*net.TCPConn).CloseWrite() },
		"by a reset": func(c net.Conn) {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		},
	} {
		host := newHost(t, says(good))
		cfg := testConfig(host)
		cfg.Settings.Classes[0].LatencyTarget = cfg.Settings.Classes[0].Deadline // it waits for a share of that
		cfg.Known.Servers[0].State = "draining"
		g := startGateway(t, cfg)
		var crowd []net.Conn
		for range 40 {
			crowd = append(crowd, g.openConn(lookHead))
		}
		stays := g.openConn(lookHead)
		until(t, "all wait", func() bool { return g.openRequests() == len(crowd)+1 })
		for _, c := range crowd {
			leave(c)
		}
		until(t, name+": those who left are forgotten", func() bool { return g.openRequests() == 1 })
		cfg.Known.Servers[0].State = "ready"
		g.loop.HandleList(lynxspool.ListFull, cfg.Known)
		if resp, err := http.ReadResponse(bufio.NewReader(stays), nil); err != nil || resp.StatusCode != 200 {
			t.Errorf("%s: who stayed got %v, %v", name, resp, err)
		}
		if n, _, _ := host.counts(); n != 1 {
			t.Errorf("%s: the host got %d requests, one client waits", name, n)
		}
	}
}

// Nor is one sent on whose connection to a host comes up only after its client has left.
func TestWhoLeftDuringASlowDialIsNotSentOn(t *testing.T) {
	host := newHost(t, says(good))
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
		g.loop.post(func(lynxspool.Time) {
			over := true
			for _, e := range g.loop.openRequests {
				over = over && e.finished.Load()
			}
			x <- over
		})
		return <-x
	})
	close(left)
	until(t, "the request is forgotten", func() bool { return g.openRequests() == 0 })
	if n, _, _ := host.counts(); n != 0 {
		t.Errorf("the host got %d requests", n)
	}
	until(t, "no connection is left over", func() bool {
		open, idle := g.loop.pool.counts(g.loop.hosts[hostID("s-0")])
		return open == idle
	})
}

// A client that leaves while its answer is passed on ends the attempt at the host.
func TestWhoLeftWhileAnsweredEndsTheAttempt(t *testing.T) {
	host := newHost(t, func(c net.Conn, _ *http.Request, _ int) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n"+string(text(1000)))
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
	until(t, "the request is forgotten", func() bool { return g.openRequests() == 0 })
}

// Bytes that nobody has read hide the end of a connection from who reads it: those behind a
// request, and a body that is sent on only once there is a host. Clients that leave like that
// are not sent on either, be it that their requests wait for a host, one after the other or in
// a crowd, or for a connection to it, or for a repeat; those who stay are.
func TestWhoLeftBehindUnreadBytesIsNotSentOn(t *testing.T) {
	const long = 150_000 // more than is kept, less than the receive buffer takes
	heads := map[string]string{
		"part of another request": lookHead + "GET /api/2 HTTP/1.1\r\nHost: a\r\nX-Req",
		"another request":         lookHead + lookHead,
		"a long body": "POST /api/1 HTTP/1.1\r\nHost: a\r\nX-Request-ID: id-1\r\nX-Priority-Class: book\r\n" +
			"Content-Length: 150000\r\n\r\n" + string(text(long)),
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
				whoLeft(t, head, leave)
			})
		}
	}
}

func whoLeft(t *testing.T, head string, leave func(net.Conn)) {
	host := newHost(t, says(good))
	cfg := testConfig(host)
	for i := range cfg.Settings.Classes {
		cfg.Settings.Classes[i].LatencyTarget = cfg.Settings.Classes[i].Deadline // they wait for a share of that
	}
	cfg.Known.Servers[0].State = "draining"
	g := startGateway(t, cfg)
	const crowd = 20
	var conns []net.Conn
	for range crowd {
		conns = append(conns, g.openConn(head))
	}
	stays := g.openConn(head)
	until(t, "all wait", func() bool { return g.openRequests() == crowd+1 })
	for _, c := range conns {
		leave(c)
	}
	until(t, "their ends have come", func() bool {
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
	g.loop.HandleList(lynxspool.ListFull, cfg.Known)
	if resp, err := http.ReadResponse(bufio.NewReader(stays), nil); err != nil || resp.StatusCode != 200 {
		t.Errorf("who stayed got %v, %v", resp, err)
	}
	stays.Close()
	until(t, "all are forgotten", func() bool { return g.openRequests() == 0 })
	if n, _, _ := host.counts(); n > 2 { // who stays may have asked for two
		t.Errorf("the host got %d requests, one client stayed", n)
	}
}
