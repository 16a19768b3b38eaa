package fleetlab

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// soakKeepShare is the share of clients that keep their connection for the next request.
const soakKeepShare = 0.7

// askKind is how a client asks.
type askKind int

const (
	askPlain     askKind = iota
	askLeave             // it closes its connection at some time while it waits
	askImpatient         // so it does, and asks again at once on another
	askSlow              // it writes in pieces
	askPipelined         // it writes another request behind the first
	askLong              // it sends a long body
)

// askShares are the shares of kinds other than askPlain.
var askShares = []struct {
	kind  askKind
	share float64
}{{askLeave, 0.05}, {askImpatient, 0.04}, {askSlow, 0.03}, {askPipelined, 0.04}, {askLong, 0.02}}

func drawKind(x float64) askKind {
	for _, s := range askShares {
		if x -= s.share; x < 0 {
			return s.kind
		}
	}
	return askPlain
}

// soakConn is a client's connection that may be kept.
type soakConn struct {
	net.Conn
	in   *bufio.Reader
	life int
}

// soakClients keeps connections by gateway.
type soakClients struct {
	s      *soak
	nextID atomic.Int64
	mu     sync.Mutex
	idle   map[*soakGateway][]*soakConn
}

// runClients sends requests at the rate until the length is over, and waits for their ends.
func (s *soak) runClients() {
	c := s.clients
	draws := rand.New(rand.NewPCG(s.opt.Seed, 2))
	var out sync.WaitGroup
	for at := time.Duration(0); at < s.opt.Length; at += time.Duration(draws.ExpFloat64() / s.opt.Rate * float64(time.Second)) {
		if !s.sleep(at) {
			break
		}
		g := s.gateways[draws.IntN(len(s.gateways))]
		ask := soakAsk{class: drawClass(draws.Float64()), keep: draws.Float64() < soakKeepShare, kind: drawKind(draws.Float64()),
			patience: time.Duration(1+draws.IntN(400)) * time.Millisecond}
		out.Add(1)
		go func() {
			defer out.Done()
			c.ask(g, ask, "")
		}()
	}
	out.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conns := range c.idle {
		for _, conn := range conns {
			conn.Close()
		}
	}
}

func drawClass(x float64) *soakClass {
	for i := range soakClasses {
		if x -= soakClasses[i].share; x < 0 {
			return &soakClasses[i]
		}
	}
	return &soakClasses[0]
}

// soakAsk is how a client asks.
type soakAsk struct {
	class    *soakClass
	kind     askKind
	keep     bool
	patience time.Duration // after which one leaves that does, or the next request is written behind this one
	retried  bool          // it says that it has asked before
	ending   bool          // it goes on coming though its gateway has been told to end
}

// connect takes a resting connection or makes one.
func (c *soakClients) connect(g *soakGateway, fresh, ending bool) (conn *soakConn, reused bool, err error) {
	up, life := g.serving()
	c.mu.Lock()
	for list := c.idle[g]; len(list) > 0 && !fresh; list = c.idle[g] {
		conn = list[len(list)-1]
		c.idle[g] = list[:len(list)-1]
		// Clients go on using what stays open through the end of a process.
		if conn.life == life {
			c.mu.Unlock()
			return conn, true, nil
		}
		conn.Close()
	}
	c.mu.Unlock()
	if !up && !ending {
		return nil, false, errNotServing
	}
	nc, err := net.DialTimeout("tcp", g.addr, time.Second)
	if err != nil {
		return nil, false, err
	}
	return &soakConn{Conn: nc, in: bufio.NewReader(nc), life: life}, false, nil
}

// other is a gateway that the front sends clients to, this one if it does.
func (c *soakClients) other(g *soakGateway) *soakGateway {
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

var errNotServing = errors.New("the front sends nobody there")

// newClients returns clients without connections.
func newClients(s *soak) *soakClients {
	return &soakClients{s: s, idle: map[*soakGateway][]*soakConn{}}
}

// ask sends one request and notes what comes of it. retryOf is a request that it is in place of.
func (c *soakClients) ask(g *soakGateway, ask soakAsk, retryOf string) {
	conn, reused, err := c.connect(g, retryOf != "", ask.ending)
	if err != nil {
		return // nothing was taken
	}
	c.askOn(conn, g, ask, reused, retryOf)
}

// newOp notes a request that is about to be sent.
func (c *soakClients) newOp(conn *soakConn, g *soakGateway, ask soakAsk, reused bool, retryOf string) *soakOp {
	op := &soakOp{id: fmt.Sprintf("q%d-%06d", c.s.opt.Seed, c.nextID.Add(1)), class: ask.class, gateway: g.name, life: conn.life,
		fresh: !reused, slow: ask.kind == askSlow, retryOf: retryOf, began: time.Now()}
	c.s.ledger.begin(op)
	return op
}

// askOn sends one request on a connection, or two.
func (c *soakClients) askOn(conn *soakConn, g *soakGateway, ask soakAsk, reused bool, retryOf string) {
	op := c.newOp(conn, g, ask, reused, retryOf)
	err := c.write(conn, op, ask)
	switch {
	case err == nil && (ask.kind == askLeave || ask.kind == askImpatient):
		c.leave(conn, g, ask, op)
	case err == nil && ask.kind == askPipelined:
		c.pipeline(conn, g, ask, op, reused)
	default:
		c.await(conn, g, ask, op, reused, err)
	}
}

// leave closes the connection after a while; an impatient client asks anew.
func (c *soakClients) leave(conn *soakConn, g *soakGateway, ask soakAsk, op *soakOp) {
	time.Sleep(ask.patience)
	conn.Close()
	c.s.ledger.note(func() { op.left, op.ended = time.Now(), time.Now() })
	if ask.kind == askImpatient {
		ask.kind = askPlain
		ask.retried = true
		c.ask(g, ask, "")
	}
}

// pipeline writes another request while the first is being answered, and awaits both answers.
func (c *soakClients) pipeline(conn *soakConn, g *soakGateway, ask soakAsk, first *soakOp, reused bool) {
	time.Sleep(ask.patience / 10)
	next := ask
	next.kind = askPlain
	second := c.newOp(conn, g, next, true, "")
	err := c.write(conn, second, next)
	ask.keep = true
	if !c.await(conn, g, ask, first, reused, nil) {
		if err == nil {
			err = errClosedBefore
		}
		c.finish(second, 0, err)
		c.ask(c.other(g), next, second.id)
		return
	}
	c.await(conn, g, next, second, true, err)
}

var errClosedBefore = errors.New("the connection ended with the answer before")

// await notes the answer of a request that was sent with err, and says whether its connection stays.
func (c *soakClients) await(conn *soakConn, g *soakGateway, ask soakAsk, op *soakOp, reused bool, err error) bool {
	status, closing, got := 0, true, false
	if err == nil {
		conn.SetReadDeadline(time.Now().Add(ask.class.deadline + 5*time.Second))
		status, closing, got, err = conn.receive(op)
	}
	c.finish(op, status, err)
	switch {
	case err != nil:
		conn.Close()
		if reused && !got && op.retryOf == "" {
			c.ask(c.other(g), ask, op.id) // it may have crossed the close of a resting connection
		}
		return false
	case closing || !ask.keep:
		conn.Close()
		return false
	case ask.kind == askPipelined:
		return true // the next answer is still to come
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[g] = append(c.idle[g], conn)
	return true
}

// finish notes how a request ended.
func (c *soakClients) finish(op *soakOp, status int, err error) {
	c.s.ledger.note(func() { op.status, op.err, op.ended = status, err, time.Now() })
}

// write sends a request, and notes when its last byte was written.
func (c *soakClients) write(conn *soakConn, op *soakOp, ask soakAsk) error {
	err := conn.send(op, ask)
	if err == nil {
		c.s.ledger.note(func() { op.whole = time.Now() })
	}
	return err
}

// longBodies are the lengths of long bodies, in bytes.
var longBodies = []int{80 << 10, 300 << 10, 1 << 20, 6 << 20}

// send writes the request of an op.
func (conn *soakConn) send(op *soakOp, ask soakAsk) error {
	method, body := http.MethodPost, "body of "+op.id
	if op.class.effect == "idempotent" {
		method, body = http.MethodGet, ""
	}
	if ask.kind == askLong && method == http.MethodPost {
		body = strings.Repeat("long body ", longBodies[hash(op.id)%uint32(len(longBodies))]/10)
	}
	head := fmt.Sprintf("%s /api/1 HTTP/1.1\r\nHost: soak\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\nX-Timeout: %.3f\r\n",
		method, op.id, op.class.name, op.class.deadline.Seconds())
	if op.class.effect == "deduplicated" {
		head += "Idempotency-Key: " + op.id + "\r\n"
	}
	if ask.retried {
		head += "X-Retried: 1\r\n"
	}
	text := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	pieces := []string{text}
	if ask.kind == askSlow {
		pieces = []string{text[:10], text[10 : len(text)/2], text[len(text)/2:]}
	}
	conn.SetWriteDeadline(time.Now().Add(20 * time.Second))
	for i, piece := range pieces {
		if i > 0 {
			time.Sleep(60 * time.Millisecond)
		}
		if _, err := io.WriteString(conn, piece); err != nil {
			return err
		}
	}
	return nil
}

// receive reads an answer whole; got says that some of one has come.
func (conn *soakConn) receive(op *soakOp) (status int, closing, got bool, err error) {
	if _, err := conn.in.Peek(1); err != nil {
		return 0, true, false, err
	}
	resp, err := http.ReadResponse(conn.in, nil)
	if err != nil {
		return 0, true, true, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, true, true, err
	}
	if resp.StatusCode == http.StatusOK && string(text) != "done "+op.id {
		return 0, true, true, fmt.Errorf("an answer that no server gave it: %q", text)
	}
	return resp.StatusCode, resp.Close, true, nil
}

// badKind is a way of bringing no proper request.
type badKind struct {
	name  string
	rests bool   // on a connection that has had an answer
	text  string // what it sends, and then it stays
}

const soakBadHead = "POST /api/1 HTTP/1.1\r\nHost: soak\r\nX-Request-ID: %s\r\nX-Priority-Class: book\r\n"

var badKinds = []badKind{
	{name: "nothing"},
	{name: "half a line", text: "POST /ap"},
	{name: "three bytes on a resting connection", rests: true, text: "POS"},
	{name: "half a head", text: soakBadHead},
	{name: "half a head on a resting connection", rests: true, text: soakBadHead},
	{name: "half a body", text: soakBadHead + "Content-Length: 60000\r\n\r\n" + strings.Repeat("b", 50_000)},
	{name: "no HTTP", text: "\x16\x03\x01\x02\x00\x01\x00\r\n\r\n"},
	{name: "two lengths", text: soakBadHead + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody5"},
}

// badClient plays one and notes how long it is kept.
func (s *soak) badClient(g *soakGateway, kind *badKind) {
	up, life := g.serving()
	if !up {
		return
	}
	c, err := net.DialTimeout("tcp", g.addr, time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	in := bufio.NewReader(c)
	if kind.rests {
		io.WriteString(c, "GET /_health HTTP/1.1\r\nHost: soak\r\n\r\n")
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if resp.Close {
			return
		}
	}
	b := badClient{kind: kind.name, gateway: g.name, life: life, from: time.Now()}
	text := kind.text
	if strings.Contains(text, "%s") {
		text = fmt.Sprintf(text, "bad-request")
	}
	io.WriteString(c, text)
	c.SetReadDeadline(time.Now().Add(6 * time.Second))
	_, err = in.Peek(1)
	var network net.Error
	if err == nil || !(errors.As(err, &network) && network.Timeout()) {
		b.took = time.Since(b.from)
	}
	s.ledger.note(func() { s.ledger.bad = append(s.ledger.bad, b) })
}
