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
		cfg.Settings.Classes[0].Aim = cfg.Settings.Classes[0].Deadline // it waits for a share of that
		cfg.Known.Servers[0].State = "draining"
		g := startGateway(t, cfg)
		var crowd []net.Conn
		for range 40 {
			crowd = append(crowd, g.open(lookHead))
		}
		stays := g.open(lookHead)
		until(t, "all wait", func() bool { return g.openRequests() == len(crowd)+1 })
		for _, c := range crowd {
			leave(c)
		}
		until(t, name+": those who left are forgotten", func() bool { return g.openRequests() == 1 })
		cfg.Known.Servers[0].State = "ready"
		g.loop.Members(lynxspool.ListFull, cfg.Known)
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
	c := g.open(lookHead)
	<-dialling
	c.Close()
	x := make(chan bool, 1)
	until(t, "the client is known to have left", func() bool {
		g.loop.post(func(lynxspool.Time) {
			over := true
			for _, e := range g.loop.open {
				over = over && e.over.Load()
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
	c := g.open(lookHead)
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
