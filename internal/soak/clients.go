package soak

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// keepAliveShare is the share of clients that keep their connection for another request.
const keepAliveShare = 0.7

// requestKind is the way in which a client sends a request.
type requestKind int

const (
	requestPlain               requestKind = iota
	requestAbandoned                       // closes the connection after a random wait
	requestAbandonedAndRetried             // closes the connection after a random wait and sends the request again at once on another one
	requestSlow                            // writes the request in pieces, with pauses between them
	requestPipelined                       // writes a second request before the answer to the first
	requestLong                            // sends a long body if the class is not idempotent
	requestLongAnswer                      // asks for a long answer
)

// requestKindShares are the shares that the kinds other than requestPlain have of all requests.
var requestKindShares = []struct {
	kind  requestKind
	share float64
}{{requestAbandoned, 0.05}, {requestAbandonedAndRetried, 0.04}, {requestSlow, 0.03}, {requestPipelined, 0.04}, {requestLong, 0.02}, {requestLongAnswer, 0.05}}

// requestKindAt returns the kind for a random number between 0 and 1.
func requestKindAt(x float64) requestKind {
	for _, s := range requestKindShares {
		if x -= s.share; x < 0 {
			return s.kind
		}
	}
	return requestPlain
}

// clients sends requests and keeps the idle connections to each gateway.
type clients struct {
	s         *soak
	nextID    atomic.Int64 // number in the id of the latest request
	mu        sync.Mutex   // guards idleConns
	idleConns map[*gateway][]*clientConn
}

// runClients sends requests at the configured rate for the length of the run, waits for their ends and
// closes the idle connections.
func (s *soak) runClients() {
	clients := s.clients
	draws := rand.New(rand.NewPCG(s.opt.Seed, 2))
	var requests sync.WaitGroup
	for at := time.Duration(0); at < s.opt.Length; at += time.Duration(draws.ExpFloat64() / s.opt.Rate * float64(time.Second)) {
		if !s.sleepUntil(at) {
			break
		}
		g := s.gateways[draws.IntN(len(s.gateways))]
		options := requestOptions{class: classAt(draws.Float64()), keepAlive: draws.Float64() < keepAliveShare, kind: requestKindAt(draws.Float64()),
			patience: time.Duration(1+draws.IntN(400)) * time.Millisecond}
		requests.Add(1)
		go func() {
			defer requests.Done()
			clients.send(g, options, "")
		}()
	}
	requests.Wait()
	clients.mu.Lock()
	defer clients.mu.Unlock()
	for _, conns := range clients.idleConns {
		for _, conn := range conns {
			conn.Close()
		}
	}
}

// classAt returns the class for a random number between 0 and 1.
func classAt(x float64) *requestClass {
	for i := range requestClasses {
		if x -= requestClasses[i].share; x < 0 {
			return &requestClasses[i]
		}
	}
	return &requestClasses[0]
}

// requestOptions says how a client sends a request.
type requestOptions struct {
	class     *requestClass
	kind      requestKind
	keepAlive bool
	patience  time.Duration // time until the client abandons the request; the pipelined one is written after a tenth of it
	retried   bool          // sends X-Retried
	afterTerm bool          // opens a new connection even if the gateway is terminating or has no ready process
}

// connect takes an idle connection, or opens one if there is none or newConn is set. Without afterTerm it
// opens connections only to a gateway that serves clients, and returns errNoReadyProcess otherwise.
func (c *clients) connect(g *gateway, newConn, afterTerm bool) (conn *clientConn, reused bool, err error) {
	up, generation := g.serving()
	c.mu.Lock()
	for list := c.idleConns[g]; len(list) > 0 && !newConn; list = c.idleConns[g] {
		conn = list[len(list)-1]
		c.idleConns[g] = list[:len(list)-1]
		// Clients go on using open connections to a process that is terminating, but not to an earlier one.
		if conn.generation == generation {
			c.mu.Unlock()
			return conn, true, nil
		}
		conn.Close()
	}
	c.mu.Unlock()
	if !up && !afterTerm {
		return nil, false, errNoReadyProcess
	}
	nc, err := net.DialTimeout("tcp", g.addr, time.Second)
	if err != nil {
		return nil, false, err
	}
	return &clientConn{Conn: nc, reader: bufio.NewReader(nc), generation: generation}, false, nil
}

// servingGateway returns a gateway that serves clients, preferably the given one. It returns the given one
// if none does.
func (c *clients) servingGateway(g *gateway) *gateway {
	if up, _ := g.serving(); up {
		return g
	}
	for _, other := range c.s.gateways {
		if up, _ := other.serving(); up {
			return other
		}
	}
	return g
}

var errNoReadyProcess = errors.New("the gateway has no ready process")

// newClients returns clients without connections.
func newClients(s *soak) *clients {
	return &clients{s: s, idleConns: map[*gateway][]*clientConn{}}
}

// send sends one request and records its result, or does nothing if there is no connection for it. retryOf
// is the id of the request that it replaces, which takes a new connection; empty: it replaces none.
func (c *clients) send(g *gateway, options requestOptions, retryOf string) {
	conn, reused, err := c.connect(g, retryOf != "", options.afterTerm)
	if err != nil {
		return // nothing was sent
	}
	c.sendOn(conn, g, options, reused, retryOf)
}

// newRequest records a request that is about to be sent.
func (c *clients) newRequest(conn *clientConn, g *gateway, options requestOptions, reused bool, retryOf string) *request {
	req := &request{id: fmt.Sprintf("q%d-%06d", c.s.opt.Seed, c.nextID.Add(1)), class: options.class, gateway: g.name, generation: conn.generation,
		newConn: !reused, slowWrite: options.kind == requestSlow, longAnswer: options.isLong(), retryOf: retryOf, firstByteAt: time.Now()}
	c.s.ledger.addRequest(req)
	return req
}

// sendOn sends one request on a connection, or two that are pipelined, and records how they ended. reused
// says that the connection has carried an answer before.
func (c *clients) sendOn(conn *clientConn, g *gateway, options requestOptions, reused bool, retryOf string) {
	req := c.newRequest(conn, g, options, reused, retryOf)
	err := c.write(conn, req, options)
	switch {
	case err == nil && (options.kind == requestAbandoned || options.kind == requestAbandonedAndRetried):
		c.abandon(conn, g, options, req)
	case err == nil && options.kind == requestPipelined:
		c.pipeline(conn, g, options, req, reused)
	default:
		c.awaitAnswer(conn, g, options, req, reused, err)
	}
}

// abandon closes the connection after options.patience. For requestAbandonedAndRetried it then sends the
// request again, under another id.
func (c *clients) abandon(conn *clientConn, g *gateway, options requestOptions, req *request) {
	time.Sleep(options.patience)
	conn.Close()
	c.s.ledger.update(func() { req.abandonedAt, req.endedAt = time.Now(), time.Now() })
	if options.kind == requestAbandonedAndRetried {
		options.kind = requestPlain
		options.retried = true
		c.send(g, options, "")
	}
}

// pipeline writes a second request before the answer to the first and awaits both answers. If the
// connection ends with the first answer, the second request is sent again on a new connection.
func (c *clients) pipeline(conn *clientConn, g *gateway, options requestOptions, first *request, reused bool) {
	time.Sleep(options.patience / 10)
	next := options
	next.kind = requestPlain
	second := c.newRequest(conn, g, next, true, "")
	err := c.write(conn, second, next)
	options.keepAlive = true
	if !c.awaitAnswer(conn, g, options, first, reused, nil) {
		if err == nil {
			err = errEndedWithPrevious
		}
		c.finish(second, 0, err)
		c.send(c.servingGateway(g), next, second.id)
		return
	}
	c.awaitAnswer(conn, g, next, second, true, err)
}

var errEndedWithPrevious = errors.New("the connection ended with the previous answer")

// awaitAnswer records the answer to a request, or the error err of sending it, and says whether the
// connection stays open. If a reused connection failed before the first byte of an answer, the request is
// sent again once on a new connection.
func (c *clients) awaitAnswer(conn *clientConn, g *gateway, options requestOptions, req *request, reused bool, err error) bool {
	status, closing, started := 0, true, false
	if err == nil {
		patience := options.class.deadline + 5*time.Second
		if options.isLong() {
			patience = longAnswerPatience
		}
		conn.SetReadDeadline(time.Now().Add(patience))
		status, closing, started, err = conn.receive(req, func() {
			c.s.ledger.update(func() { req.answeredAt = time.Now() })
		})
	}
	c.finish(req, status, err)
	switch {
	case err != nil:
		conn.Close()
		if reused && !started && req.retryOf == "" {
			c.send(c.servingGateway(g), options, req.id) // it may have crossed the close of an idle connection
		}
		return false
	case closing || !options.keepAlive:
		conn.Close()
		return false
	case options.kind == requestPipelined:
		return true // the next answer is still to come
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleConns[g] = append(c.idleConns[g], conn)
	return true
}

// finish records how a request ended.
func (c *clients) finish(req *request, status int, err error) {
	c.s.ledger.update(func() { req.status, req.err, req.endedAt = status, err, time.Now() })
}

// write sends a request and records when its last byte was written.
func (c *clients) write(conn *clientConn, req *request, options requestOptions) error {
	err := conn.send(req, options)
	if err == nil {
		c.s.ledger.update(func() { req.sentAt = time.Now() })
	}
	return err
}
