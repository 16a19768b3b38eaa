package fleetlab

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

// What presses on a gateway that has been told to end.
const (
	comeTime     = 300 * time.Millisecond // new connections come for so long after SIGTERM
	comeEvery    = 15 * time.Millisecond
	restingConns = 8 // connections that rest at SIGTERM, beside those of other clients
	lastMoments  = 60 * time.Millisecond
)

// endPressed ends a gateway in order while clients use all the connections that are open to it until
// the kill, and new ones come for a while.
func (s *soak) endPressed(g *soakGateway, around ...func(ended <-chan struct{})) {
	resting := s.clients.rest(g, restingConns)
	draws := rand.New(rand.NewPCG(s.opt.Seed, uint64(s.now())))
	around = append(around, func(ended <-chan struct{}) { s.clients.press(g, resting, draws, ended) })
	g.endInOrder(around...)
}

// rest opens connections that have had an answer.
func (c *soakClients) rest(g *soakGateway, n int) (conns []*soakConn) {
	for range n {
		conn, _, err := c.connect(g, true, false)
		if err != nil {
			return conns
		}
		fmt.Fprint(conn, "GET /_health HTTP/1.1\r\nHost: soak\r\n\r\n")
		conn.SetReadDeadline(time.Now().Add(time.Second))
		resp, err := http.ReadResponse(conn.in, nil)
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

// press uses each resting connection at some time until the kill, one in three in the last moments
// before it, and asks on new connections for a while.
func (c *soakClients) press(g *soakGateway, resting []*soakConn, draws *rand.Rand, ended <-chan struct{}) {
	const untilKill = 3*time.Second + soakKillAfter
	var out sync.WaitGroup
	at := func(after time.Duration, do func()) {
		out.Add(1)
		go func() {
			defer out.Done()
			time.Sleep(after)
			do()
		}()
	}
	plain := func() soakAsk { return soakAsk{class: drawClass(draws.Float64()), keep: true, ending: true} }
	c.mu.Lock()
	resting = append(resting, c.idle[g]...)
	delete(c.idle, g)
	c.mu.Unlock()
	for i, conn := range resting {
		after := time.Duration(draws.Float64() * float64(untilKill))
		if i%3 == 0 {
			after = untilKill - time.Duration(draws.Float64()*float64(lastMoments))
		}
		ask := plain()
		at(after, func() { c.askOn(conn, g, ask, true, "") })
	}
	for after := time.Duration(0); after < comeTime; after += comeEvery {
		ask := plain()
		at(after, func() { c.ask(g, ask, "") })
	}
	out.Wait()
	<-ended
}

// signalsInARow sends new settings before and behind SIGTERM, and SIGTERM again.
func (g *soakGateway) signalsInARow(ended <-chan struct{}) {
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

// heldUpAtTheEnd stops the process for up to 0.15 s at a time while it ends.
func (g *soakGateway) heldUpAtTheEnd(ended <-chan struct{}) {
	for range 4 {
		g.holdUp(holdUpTime)
		select {
		case <-ended:
			return
		case <-time.After(150 * time.Millisecond):
		}
	}
}

// reloadsInARow signals new settings several times within milliseconds.
func (g *soakGateway) reloadsInARow() {
	for range 3 {
		g.reload()
		time.Sleep(20 * time.Millisecond)
	}
}

// crowdSize is how many idle clients hold the places of a gateway, which may have 1,024 descriptors.
const crowdSize = 1100

// crowdAt fills the places of a gateway with idle clients, half of them after an answer.
func (s *soak) crowdAt(g *soakGateway, t *trouble) {
	if up, _ := g.serving(); !up {
		return
	}
	i := 0
	s.ledger.note(func() {
		i = len(s.ledger.crowds)
		s.ledger.crowds = append(s.ledger.crowds, crowd{span: span{from: time.Now()}, gateway: g.name})
	})
	var conns []net.Conn
	for n := range crowdSize {
		c, err := net.DialTimeout("tcp", g.addr, 200*time.Millisecond)
		if err != nil {
			continue
		}
		if n%2 == 0 {
			fmt.Fprint(c, "GET /_health HTTP/1.1\r\nHost: soak\r\n\r\n")
		}
		conns = append(conns, c)
	}
	s.sleep(s.now() + t.last)
	for _, c := range conns {
		c.Close()
	}
	s.ledger.note(func() { s.ledger.crowds[i].to = time.Now() })
}
