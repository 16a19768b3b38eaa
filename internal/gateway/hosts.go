package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lynxspool"
)

const (
	maxHead    = 64 << 10 // of an answer
	idleShare  = 0.5      // of the hosts' idle limit that we keep a connection: its end must not cross a request
	sweepEvery = time.Second

	headRequestID    = "X-Request-ID"
	headTimeout      = "X-Timeout"
	headNotProcessed = "X-Not-Processed" // "1" proves that the attempt never ran
)

// Pool makes the attempts and keeps the connections to all hosts. http.Transport
// would not do: it sends requests again by itself and dials more connections than
// it is asked for. Here an attempt writes its request whole once at most.
type Pool struct {
	dialer  net.Dialer
	dial    DialFunc // the dialer's, but in tests without sockets
	maxIdle time.Duration
	limit   int // connections at most, all hosts together
	kept    *budget
	audit   *Audit
	grace   time.Duration // after which nothing new goes to a server that leaves

	mu     sync.Mutex
	open   int               // connections, in use, idle and being dialled
	budget int               // of them; less than limit while another process has its part
	idle   map[*host][]*conn // the warmest last
}

// host is where attempts go. The loop creates it and updates it through the Pool;
// Pool.mu guards all but id and usable.
type host struct {
	id      string
	usable  atomic.Bool               // it takes new requests: not so when draining, gone or banned
	leftAt  atomic.Pointer[time.Time] // since when it is not usable; nil: it is, or never was
	ready   bool                      // so the list says
	banned  bool                      // an operator has taken it out
	addr    string
	started int64     // no connection outlives the process it was made to
	heard   time.Time // last whole answer

	// Of the loop: when it says that it started, as told and by the module's clock.
	startedMS int64
	startedAt lynxspool.Time
}

// conn is a connection to a host. It belongs to one attempt or, while idle, to the
// Pool.
type conn struct {
	net.Conn
	host    *host
	addr    string
	started int64
	reused  bool
	limit   *io.LimitedReader // guards against an answer without end
	in      *bufio.Reader
	idleAt  time.Time
	since   time.Time // it belongs to the present attempt
}

// NewPool returns a Pool that keeps to the limits of cfg.
func NewPool(cfg *Config) *Pool {
	p := &Pool{
		dialer:  net.Dialer{Timeout: cfg.DialTimeout},
		maxIdle: time.Duration(idleShare * float64(cfg.ConnIdle)),
		limit:   cfg.Sockets * hostSockets / 100,
		budget:  cfg.Sockets * hostSockets / 100,
		idle:    map[*host][]*conn{},
		kept:    newBudget(cfg),
		audit:   &Audit{},
		grace:   cfg.Settings.DrainGrace,
	}
	if p.grace == 0 {
		p.grace = time.Second
	}
	p.dial = p.dialer.DialContext
	return p
}

// DialFunc dials a server.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// WrapDial puts something round the dialling of servers, before the first attempt.
func (p *Pool) WrapDial(wrap func(DialFunc) DialFunc) { p.dial = wrap(p.dial) }

// Overlap says whether another process serves beside this one: the two have the
// descriptors together. Clients share theirs out by coming to one or the other.
func (p *Pool) Overlap(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget = p.limit
	if on {
		p.budget /= 2
	}
	for p.open > p.budget && p.closeColdest() {
	}
}

// Run closes idle connections that hosts have closed or soon will, until ctx ends.
func (p *Pool) Run(ctx context.Context) {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			p.sweep()
		}
	}
}

func (p *Pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for h, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if time.Since(c.idleAt) < p.maxIdle && c.quiet() {
				kept = append(kept, c)
			} else {
				p.close(c)
			}
		}
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(p.idle, h)
		} else {
			p.idle[h] = kept
		}
	}
}

// update takes over what the list says of a host. Idle connections to one that
// takes nothing new, that has moved or that was started anew are of no more use.
func (p *Pool) update(h *host, addr string, started int64, ready bool) {
	p.mu.Lock()
	h.ready = ready
	usable := ready && !h.banned
	h.setUsable(usable)
	stale := !usable || h.addr != addr || h.started != started
	h.addr, h.started = addr, started
	p.mu.Unlock()
	if stale {
		p.closeIdle(h)
	}
}

// setUsable says whether a host takes new requests, and since when not.
func (h *host) setUsable(usable bool) {
	if h.usable.Swap(usable); usable {
		h.leftAt.Store(nil)
	} else if h.leftAt.Load() == nil {
		now := time.Now()
		h.leftAt.Store(&now)
	}
}

// ban takes a host out of use or calls it back. It is started anew meanwhile, so no
// idle connection outlives the ban.
func (p *Pool) ban(h *host, out bool) {
	p.mu.Lock()
	h.banned = out
	h.setUsable(h.ready && !out)
	p.mu.Unlock()
	p.closeIdle(h)
}

// unheard follows an attempt that was given up. If the host has answered nothing
// since, its idle connections may be half-dead: a machine that has vanished leaves
// them open and silent, and what is written there may have run for all we know. A dial
// fails soon, which proves that nothing ran.
func (p *Pool) unheard(h *host, wrote time.Time) {
	p.mu.Lock()
	silent := h.heard.Before(wrote)
	p.mu.Unlock()
	if silent {
		p.closeIdle(h)
	}
}

// closeIdle closes the idle connections to a host.
func (p *Pool) closeIdle(h *host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[h] {
		p.close(c)
	}
	delete(p.idle, h)
}

// close closes a connection; p.mu is held.
func (p *Pool) close(c *conn) {
	c.Conn.Close()
	p.open--
}

// drop closes a connection that an attempt is done with.
func (p *Pool) drop(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.close(c)
}

// put keeps a connection for the next attempt.
func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := c.host
	if !h.usable.Load() || c.addr != h.addr || c.started != h.started {
		p.close(c)
		return
	}
	c.reused, c.idleAt = true, time.Now()
	p.idle[h] = append(p.idle[h], c)
}

var errNoSockets = errors.New("gateway: too many connections to hosts")

// get returns the warmest idle connection to a host, or dials one. The dial is
// counted before it is made, so that the budget holds.
func (p *Pool) get(ctx context.Context, h *host) (*conn, error) {
	p.mu.Lock()
	for list := p.idle[h]; len(list) > 0; list = p.idle[h] {
		c := list[len(list)-1]
		p.idle[h] = list[:len(list)-1]
		if c.quiet() {
			p.mu.Unlock()
			c.since = time.Now()
			return c, nil
		}
		p.close(c)
	}
	if p.open >= p.budget && !p.closeColdest() {
		p.mu.Unlock()
		return nil, errNoSockets
	}
	p.open++
	c := &conn{host: h, addr: h.addr, started: h.started}
	p.mu.Unlock()
	nc, err := p.dial(ctx, "tcp", c.addr)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	c.Conn, c.since = nc, time.Now()
	c.limit = &io.LimitedReader{R: nc}
	c.in = bufio.NewReader(c.limit)
	return c, nil
}

// closeColdest makes room by closing the connection that was idle longest; p.mu is
// held.
func (p *Pool) closeColdest() bool {
	var coldest *conn
	for _, list := range p.idle {
		if len(list) > 0 && (coldest == nil || list[0].idleAt.Before(coldest.idleAt)) {
			coldest = list[0]
		}
	}
	if coldest == nil {
		return false
	}
	p.idle[coldest.host] = p.idle[coldest.host][1:]
	p.close(coldest)
	return true
}

// quiet says whether an idle connection is open with nothing to read: one that the
// host has closed, or on which it said something unasked, carries no request.
func (c *conn) quiet() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		_, err := peek(int(fd))
		open = err == syscall.EAGAIN
		return true
	})
	return err == nil && open
}

// try is one attempt as the loop sees it.
type try struct {
	cancel context.CancelCauseFunc
	whole  func() // tells the loop that a body sent as it comes is with the host
	begun  func() // ... that the answer is being passed on

	by time.Time // the request must be written whole by then or not at all; zero: at any time

	from time.Time     // what the host is charged with runs from here
	took time.Duration // ... for this long, if it does not run to the end

	mu     sync.Mutex
	ended  bool             // belongs to the loop
	result lynxspool.Result // ... as does this
	over   bool
	passes bool // the answer is being passed on: it cannot be called off any more
}

// end calls the attempt off.
func (t *try) end(cause error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.passes {
		t.over = true
		t.cancel(cause)
	}
}

// pass says that the client's answer begins, unless the attempt was called off or the
// client has another answer.
func (t *try) pass(x *exchange, a answer) bool {
	t.mu.Lock()
	won := !t.over && x.close()
	t.passes = won
	t.mu.Unlock()
	if won {
		t.took = time.Since(t.from)
		x.answer <- a
		t.begun()
	}
	return won
}

// attempt sends a request to a host once and says how that ended. ctx ends when the
// attempt is to be given up, by its deadline or by being called off.
func (p *Pool) attempt(ctx context.Context, h *host, x *exchange, t *try) (lynxspool.Result, answer) {
	for {
		dialled := time.Now()
		c, err := p.getBy(ctx, h, t.by)
		switch {
		case t.late():
			if err == nil {
				p.put(c) // nothing was written to it
			}
			return lynxspool.NotSent, answer{}
		case ctx.Err() != nil:
			if err == nil {
				p.put(c) // nothing was written to it
			} else if context.Cause(ctx) == context.DeadlineExceeded && time.Since(dialled) > x.left/2 {
				// The dial had most of the time that there was: the host could not be
				// connected to, though the dial's own time-out is longer.
				return lynxspool.ConnectFailed, answer{}
			}
			return unsent(ctx), answer{}
		case err == errNoSockets || localFailure(err):
			return lynxspool.NotSent, answer{} // the want is ours, not the host's
		case err != nil:
			return lynxspool.ConnectFailed, answer{}
		}
		// The dial may have taken long: look again whether the request may go out. It
		// guards against sending to a host that drains by now, or what has its answer, or for
		// a client that has left while bytes that it had sent hid that.
		if !p.permit(h, x) {
			p.put(c)
			return lynxspool.NotSent, answer{}
		}
		reused := c.reused
		result, a := p.exchange(ctx, c, x, t)
		if result == lynxspool.ConnectFailed && reused && ctx.Err() == nil && !x.spent() {
			// It closed after the look and before the last byte: nothing ran, and
			// that tells nothing of the host. Each round uses up one idle connection.
			continue
		}
		return result, a
	}
}

// permit is the last look before the first byte of an attempt: whether the server still takes
// requests, and whether the request still wants an answer and has a client to give it to.
func (p *Pool) permit(h *host, x *exchange) bool {
	if x.gone != nil && x.gone() {
		x.leave()
		x.finish(answer{kind: failed})
	}
	return !x.over.Load() && h.usable.Load()
}

// localFailure says that a call to the system failed for want of something on this machine:
// descriptors, ports, buffers, memory, or its network as a whole. It tells nothing of the host.
// A network that has no way to a host (ENETUNREACH, EHOSTUNREACH) is the host's failure: others
// can be reached.
func localFailure(err error) bool {
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return false
	}
	switch errno {
	case syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE,
		syscall.EAGAIN, syscall.ENETDOWN:
		return true
	}
	return false
}

// late says whether it is too late to write the request.
func (t *try) late() bool { return !t.by.IsZero() && !time.Now().Before(t.by) }

// getBy gets a connection that is up in time for the request to be written to it.
func (p *Pool) getBy(ctx context.Context, h *host, by time.Time) (*conn, error) {
	if by.IsZero() {
		return p.get(ctx, h)
	}
	ctx, cancel := context.WithDeadline(ctx, by)
	defer cancel()
	return p.get(ctx, h)
}

// unsent is the result of an attempt that was given up before its last byte.
func unsent(ctx context.Context) lynxspool.Result {
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return lynxspool.Canceled
	}
	return lynxspool.NotSent
}

// exchange writes the request to the connection and reads its answer. What fails before
// the last byte is written never ran, after it it may have.
func (p *Pool) exchange(ctx context.Context, c *conn, x *exchange, t *try) (lynxspool.Result, answer) {
	// Giving up an attempt is closing its connection.
	stop := context.AfterFunc(ctx, func() { c.Conn.Close() })
	keep := false
	defer func() {
		if stop() && keep {
			p.put(c)
		} else {
			p.drop(c)
		}
	}()
	if !t.by.IsZero() {
		c.SetWriteDeadline(t.by)
		defer c.SetWriteDeadline(time.Time{}) // ahead of the put below, as it is set later
	}
	head, told := x.encode()
	p.audit.sent(c.host, x, time.Now(), told, p.grace)
	early, err := c.write(x, head)
	if err != nil {
		switch {
		case errors.Is(err, errClient):
			// Answered by whoever reads the client; nothing ran, and the host is not to blame.
			x.finish(answer{kind: rejected, err: err})
			return lynxspool.NotSent, answer{}
		case ctx.Err() != nil:
			return unsent(ctx), answer{}
		}
		if localFailure(err) {
			return lynxspool.NotSent, answer{}
		}
		if x.upload != nil {
			t.took = max(1, c.since.Sub(t.from)) // the rest is the client's time
		}
		return lynxspool.ConnectFailed, answer{}
	}
	wrote := time.Now()
	if x.upload != nil && !early {
		t.from = wrote
		t.whole()
	}
	status, a, keep, err := c.read(x.method, p.kept)
	if early {
		keep = false // what it did not read of the request would follow
	}
	if err != nil && ctx.Err() != nil {
		p.unheard(c.host, wrote)
	}
	switch {
	case err == nil:
		p.mu.Lock()
		c.host.heard = time.Now()
		p.mu.Unlock()
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return lynxspool.TimedOut, answer{}
	case ctx.Err() != nil:
		return lynxspool.Canceled, answer{}
	case localFailure(err):
		return lynxspool.Canceled, answer{} // it may have run, and nothing is known of the host
	case early && broken(err):
		return lynxspool.ConnectFailed, answer{}
	case broken(err):
		return lynxspool.Reset, answer{}
	default:
		return lynxspool.Failed, answer{} // the host has answered, if not as it should
	}
	switch {
	case status == http.StatusOK && early:
		a.drop()
		return lynxspool.Failed, answer{} // it cannot have run what it has not got
	case status == http.StatusOK && a.stream != nil:
		var result lynxspool.Result
		result, keep = c.pass(x, t, a, keep)
		return result, answer{}
	case status == http.StatusOK:
		return lynxspool.OK, a
	}
	a.drop()
	switch {
	case (status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout) &&
		a.header.Get(headNotProcessed) == "1":
		return lynxspool.Full, answer{}
	case status == http.StatusBadRequest || status == http.StatusNotFound:
		return lynxspool.Rejected, answer{} // of the answers to a fault of the client, hosts give these
	}
	return lynxspool.Failed, answer{}
}

// pass hands an answer that is still coming to the client's side, and waits for its end.
func (c *conn) pass(x *exchange, t *try, a answer, keep bool) (lynxspool.Result, bool) {
	if !t.pass(x, a) {
		return lynxspool.Canceled, false
	}
	err := <-a.stream.done
	c.SetReadDeadline(time.Time{})
	switch {
	case err == nil:
		return lynxspool.OK, keep && c.in.Buffered() == 0
	case err == errClientGone:
		return lynxspool.Canceled, false
	case broken(err):
		return lynxspool.Reset, false
	}
	return lynxspool.Failed, false
}

// errClient marks what went wrong on the client's side while its body was passed on.
var errClient = errors.New("the body did not arrive")

// write sends the request, its last byte last. A body that is too long to be kept is
// passed on as it comes; early says that the host has answered ahead of its end.
func (c *conn) write(x *exchange, head []byte) (early bool, err error) {
	out := net.Buffers{head}
	up := x.upload
	if up == nil {
		if len(x.body) > 0 {
			out = append(out, x.body)
		}
		_, err := out.WriteTo(c.Conn)
		return false, err
	}
	piece := func(p []byte) error {
		if len(p) > 0 && up.length < 0 {
			out = append(out, strconv.AppendInt(nil, int64(len(p)), 16), crlf, p, crlf)
		} else if len(p) > 0 {
			out = append(out, p)
		}
		c.SetWriteDeadline(time.Now().Add(hostStall))
		defer c.SetWriteDeadline(time.Time{})
		_, err := out.WriteTo(c.Conn)
		out = nil
		return err
	}
	if err := piece(x.body); err != nil {
		return false, err
	}
	buf := pieces.Get().(*[pieceSize]byte)
	defer pieces.Put(buf)
	for {
		if !c.quiet() {
			return true, nil
		}
		up.spent = true
		n, err := up.Read(buf[:])
		if err == nil && up.got == up.length {
			err = io.EOF // the host will not wait for it to be told
		}
		if err != nil && err != io.EOF {
			return false, fmt.Errorf("%w: %w", errClient, err)
		}
		if err == io.EOF {
			// All of it has come, so its time begins.
			x.deadline = x.due(time.Now().Add(x.left))
		}
		if err == io.EOF && up.length < 0 {
			if err := piece(buf[:n]); err != nil {
				return false, err
			}
			out = net.Buffers{lastChunk}
			n = 0
		}
		if err := piece(buf[:n]); err != nil {
			return false, err
		}
		if err == io.EOF {
			close(up.whole)
			return false, nil
		}
	}
}

var (
	crlf      = []byte("\r\n")
	lastChunk = []byte("0\r\n\r\n")
)

var errBadAnswer = errors.New("gateway: answer cannot be passed on")

// broken says whether reading failed with the connection, which ended or broke, and not
// because of what was read from it.
func broken(err error) bool {
	var network net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network)
}

// read reads an answer and says whether the connection can carry another request. One
// that is long, or is not whole soon after its head, comes as a stream. Any other that is
// not sure to be whole is an error: it is not served.
func (c *conn) read(method string, kept *budget) (status int, a answer, keep bool, err error) {
	c.limit.N = maxHead
	var resp *http.Response
	for {
		odd := c.chunksOfOld()
		resp, err = http.ReadResponse(c.in, &http.Request{Method: method})
		if err != nil && c.limit.N <= 0 {
			return 0, a, false, errBadAnswer // a head without end
		} else if err != nil {
			return 0, a, false, err
		} else if resp.ProtoMajor != 1 || odd {
			return 0, a, false, errBadAnswer // its framing is not that of its head
		}
		if resp.StatusCode >= 200 {
			break // those below come ahead of the answer
		}
	}
	c.limit.N = math.MaxInt64
	a = answer{kind: served, header: resp.Header}
	if resp.StatusCode != http.StatusOK {
		// Only its head tells anything; the rest is read for the next answer's sake.
		switch n, err := io.CopyN(io.Discard, resp.Body, maxSmall+1); {
		case n > maxSmall || err == io.EOF && c.in.Buffered() > 0:
			return 0, answer{}, false, errBadAnswer // too long, or more than it announced
		case err != io.EOF:
			return 0, answer{}, false, err
		}
		return resp.StatusCode, a, !resp.Close, nil
	}
	st := &stream{conn: c, body: resp.Body, length: resp.ContentLength, done: make(chan error, 1)}
	size := maxSmall
	if st.length >= 0 && st.length < maxSmall {
		size = int(st.length)
	}
	if st.length > maxSmall || !kept.take(size) {
		// One byte at least has come when it begins: until then it can be repeated.
		if _, err := c.in.Peek(1); err != nil {
			return 0, a, false, err
		}
		a.stream = st
		return resp.StatusCode, a, !resp.Close, nil
	}
	a.give = func() { kept.give(size) }
	defer func() {
		if err != nil {
			a.drop()
			a = answer{}
		}
	}()
	soon := time.Now().Add(streamAfter)
	buf := make([]byte, 0, min(size+1, 4<<10))
	for {
		if st.length < 0 && len(buf) > 0 {
			more, err := c.more(soon)
			if err != nil {
				return 0, a, false, err
			}
			if !more {
				break
			}
		}
		if len(buf) == cap(buf) {
			buf = slices.Grow(buf, len(buf))
		}
		n, err := resp.Body.Read(buf[len(buf):min(cap(buf), maxSmall+1)])
		buf = buf[:len(buf)+n]
		switch {
		case err == io.EOF && c.in.Buffered() > 0:
			return 0, a, false, errBadAnswer // more than it announced
		case err == io.EOF:
			a.body = buf
			return resp.StatusCode, a, !resp.Close, nil
		case err != nil:
			return 0, a, false, err
		}
		if len(buf) > maxSmall {
			break
		}
	}
	st.prefix, a.stream = buf, st
	return resp.StatusCode, a, !resp.Close, nil
}

// chunksOfOld says whether the answer that comes next is one of HTTP/1.0 that names an
// encoding: its framing is faulty, and ReadResponse drops the name, so that the chunk lines
// would pass for its body. The head is looked at whole, as far as a head may go.
func (c *conn) chunksOfOld() bool {
	const old = "HTTP/1.0"
	for n := range len(old) { // byte by byte: what is no HTTP may be shorter
		if b, err := c.in.Peek(n + 1); err != nil || b[n] != old[n] {
			return false
		}
	}
	for n := 0; ; {
		head, err := c.in.Peek(min(max(n+1, c.in.Buffered()), c.in.Size()))
		i := bytes.Index(head, []byte("\r\n\r\n"))
		if i < 0 && err == nil && len(head) == c.in.Size() && len(head) < maxHead {
			// Few heads are so long, so the buffer of each connection is not.
			c.in = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(head)), c.limit), maxHead)
			continue
		}
		if i >= 0 || err != nil || len(head) == c.in.Size() {
			if i >= 0 {
				head = head[:i]
			}
			return bytes.Contains(bytes.ToLower(head), []byte("\ntransfer-encoding"))
		}
		n = len(head)
	}
}

// more waits until there is more to read of an answer, or it has ended, and says whether
// that is so by then. A connection tells that it was reset just once, and a read after that
// finds an end in order; so the error is the caller's to heed.
func (c *conn) more(until time.Time) (bool, error) {
	if c.in.Buffered() > 0 {
		return true, nil
	}
	c.SetReadDeadline(until)
	defer c.SetReadDeadline(time.Time{})
	switch _, err := c.in.Peek(1); {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return false, nil
	case err == nil || err == io.EOF:
		return true, nil // the end comes again to who reads the body
	default:
		return false, err
	}
}

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// endToEnd returns the headers that are passed on.
func endToEnd(in http.Header) http.Header {
	out := in.Clone()
	for _, v := range in.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

// encode is the head of the request as it goes to a host, with the time left as of now, which
// it returns too. Method, path and query go out just as they came.
func (x *exchange) encode() (head []byte, left time.Duration) {
	header := endToEnd(x.header)
	left = x.left
	if x.upload == nil {
		left = max(0, time.Until(x.deadline))
	}
	header.Set(headTimeout, strconv.FormatFloat(left.Seconds(), 'f', 3, 64))
	switch {
	case x.upload != nil && x.upload.length < 0:
		header.Set("Transfer-Encoding", "chunked")
	case x.upload != nil:
		header.Set("Content-Length", strconv.FormatInt(x.upload.length, 10))
	case len(x.body) > 0 || x.method == http.MethodPost || x.method == http.MethodPut || x.method == http.MethodPatch:
		header.Set("Content-Length", strconv.Itoa(len(x.body)))
	}
	target := x.uri
	if !strings.HasPrefix(target, "/") {
		target = x.url.RequestURI() // it came with the name of a host
	}
	var buf bytes.Buffer
	fmt.Fprintf(&buf, "%s %s HTTP/1.1\r\nHost: %s\r\n", x.method, target, x.host)
	header.Write(&buf) // a bytes.Buffer takes all
	buf.WriteString("\r\n")
	return buf.Bytes(), left
}
