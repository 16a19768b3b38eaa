package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Load on a gateway that is terminating.
const (
	newConnPeriod     = 300 * time.Millisecond // new connections are opened for this long after SIGTERM
	newConnInterval   = 15 * time.Millisecond
	idleConnsAtTerm   = 8                     // number of idle connections opened before SIGTERM, beside those of other clients
	lastMomentsPeriod = 60 * time.Millisecond // period before the SIGKILL in which a third of the idle connections are used
)

// terminateUnderLoad terminates a gateway while clients use their idle connections to it until the SIGKILL
// and open new ones for newConnPeriod. The functions of alongside run until the process has exited.
func (s *soak) terminateUnderLoad(g *gateway, alongside ...func(ended <-chan struct{})) {
	idle := s.clients.openIdleConns(g, idleConnsAtTerm)
	draws := rand.New(rand.NewPCG(s.opt.Seed, uint64(s.elapsed())))
	alongside = append(alongside, func(ended <-chan struct{}) { s.clients.sendUntilExit(g, idle, draws, ended) })
	g.terminate(alongside...)
}

// openIdleConns opens up to n connections and gets the answer to a health check on each, after which they
// are idle.
func (c *clients) openIdleConns(g *gateway, n int) (conns []*clientConn) {
	for range n {
		conn, _, err := c.connect(g, true, false)
		if err != nil {
			return conns
		}
		fmt.Fprint(conn, "GET /_health HTTP/1.1\r\nHost: soak\r\n\r\n")
		conn.SetReadDeadline(time.Now().Add(time.Second))
		resp, err := http.ReadResponse(conn.reader, nil)
		if err != nil {
			conn.Close()
			continue
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		conns = append(conns, conn)
	}
	return conns
}

// sendUntilExit sends a request on each idle connection to a gateway at some time before the SIGKILL, on
// one in three within the last lastMomentsPeriod, and opens new connections for newConnPeriod. It returns
// when ended is closed and all requests have ended.
func (c *clients) sendUntilExit(g *gateway, idle []*clientConn, draws *rand.Rand, ended <-chan struct{}) {
	const untilKill = longestDeadline + killMargin
	var requests sync.WaitGroup
	runAfter := func(after time.Duration, do func()) {
		requests.Add(1)
		go func() {
			defer requests.Done()
			time.Sleep(after)
			do()
		}()
	}
	plainRequest := func() requestOptions {
		return requestOptions{class: classAt(draws.Float64()), keepAlive: true, afterTerm: true}
	}
	c.mu.Lock()
	idle = append(idle, c.idleConns[g]...)
	delete(c.idleConns, g)
	c.mu.Unlock()
	for i, conn := range idle {
		after := time.Duration(draws.Float64() * float64(untilKill))
		if i%3 == 0 {
			after = untilKill - time.Duration(draws.Float64()*float64(lastMomentsPeriod))
		}
		options := plainRequest()
		runAfter(after, func() { c.sendOn(conn, g, options, true, "") })
	}
	for after := time.Duration(0); after < newConnPeriod; after += newConnInterval {
		options := plainRequest()
		runAfter(after, func() { c.send(g, options, "") })
	}
	requests.Wait()
	<-ended
}

// signalRepeatedly sends SIGHUP and SIGTERM in turns while the process terminates.
func (g *gateway) signalRepeatedly(ended <-chan struct{}) {
	const apart = 40 * time.Millisecond
	for i := range 6 {
		select {
		case <-ended:
			return
		case <-time.After(apart):
		}
		g.signal([]syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}[i%2])
	}
}

// pauseWhileStopping pauses the process several times for pauseTime while it terminates.
func (g *gateway) pauseWhileStopping(ended <-chan struct{}) {
	for range 4 {
		g.pause(pauseTime)
		select {
		case <-ended:
			return
		case <-time.After(150 * time.Millisecond):
		}
	}
}

// reloadInBurst reloads the settings several times within milliseconds.
func (g *gateway) reloadInBurst() {
	for range 3 {
		g.reload()
		time.Sleep(20 * time.Millisecond)
	}
}

// connFloodSize is how many idle clients exhaust the connections of a gateway, which may have 1,024
// descriptors.
const connFloodSize = 1100

// floodConns exhausts the connections of a gateway with idle clients for the duration. Half of them have
// sent a health check.
func (s *soak) floodConns(g *gateway, d *disruption) {
	if up, _ := g.serving(); !up {
		return
	}
	i := 0
	s.ledger.update(func() {
		i = len(s.ledger.connFloods)
		s.ledger.connFloods = append(s.ledger.connFloods, connFlood{span: span{from: time.Now()}, gateway: g.name})
	})
	var conns []net.Conn
	for n := range connFloodSize {
		c, err := net.DialTimeout("tcp", g.addr, 200*time.Millisecond)
		if err != nil {
			continue
		}
		if n%2 == 0 {
			fmt.Fprint(c, "GET /_health HTTP/1.1\r\nHost: soak\r\n\r\n")
		}
		conns = append(conns, c)
	}
	s.sleepUntil(s.elapsed() + d.duration)
	for _, c := range conns {
		c.Close()
	}
	s.ledger.update(func() { s.ledger.connFloods[i].to = time.Now() })
}
