package gateway

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"bramblelock"
	"bramblelock/internal/gateway/config"
	"bramblelock/internal/gateway/requestids"
	"bramblelock/internal/gateway/socket"
)

const (
	idleLimitShare = 0.5 // share of the hosts' idle limit for which a connection is kept: a host must not close it while a request is being sent
	sweepInterval  = time.Second

	// maxUploadPercent is the share of the connections to hosts that uploads may hold. Each holds one for as long as
	// its client takes to send the body.
	maxUploadPercent = 50
)

// Pool runs attempts and keeps the connections to all hosts. http.Transport is unsuitable because
// it resends requests by itself and dials more connections than requested. Here an attempt writes
// its whole request at most once.
type Pool struct {
	dialer       net.Dialer
	dial         DialFunc // dialer.DialContext, except in tests without sockets
	maxIdleTime  time.Duration
	maxConns     int // limit on the connections to all hosts together
	memory       *memoryBudget
	audit        *Audit
	sentIDs      *requestids.Table
	repeatLog    rateLimitedLog
	endings      endings
	streams      openStreams  // the answers that are being streamed
	drainGrace   atomic.Int64 // a time.Duration: an attempt that is sent to a host after it has been unusable for longer counts as a violation in the audit
	updateSource UpdateSource // source of changes of the list of hosts; may be nil

	mu         sync.Mutex
	openConns  int               // connections in use, idle connections and dials in progress
	connBudget int               // limit on openConns; below maxConns while another process shares the descriptors
	uploads    int               // requests whose body is streamed to a host
	idle       map[*host][]*conn // the connection used last is at the end
}

// host is a host that attempts can be sent to. The loop creates it and updates it through the Pool.
// Pool.mu guards all fields but id, which does not change, the atomic ones, and those that the loop
// owns.
type host struct {
	id            string
	usable        atomic.Bool               // whether it takes new requests: false while it is draining, gone or in maintenance
	unusableSince atomic.Pointer[time.Time] // when usable became false; nil while the host is usable, and until its state is first set
	listedReady   bool                      // the list of hosts says that it is ready
	inMaintenance bool
	addr          string
	started       int64     // start time that the list states, in Unix ms; a connection made before a restart is not used after it
	lastAnswerAt  time.Time // when an answer was last received whole or began to be streamed

	// Owned by the loop, as the list states them: the start time, in Unix ms and on the module's clock, the
	// numbers of the zone and the kind, and the cell.
	startedMS        int64
	startedAt        bramblelock.Time
	zone, kind, cell int
}

// conn is a connection to a host. It belongs to one attempt or, while idle, to the Pool.
type conn struct {
	net.Conn
	raw        syscall.RawConn // of Conn; nil if there is no socket, as in some tests
	host       *host
	addr       string        // host.addr at the time of the dial
	started    int64         // host.started at the time of the dial
	reused     bool          // it has been idle in the Pool before
	limited    *answerReader // limits the head of an answer
	reader     *bufio.Reader
	earlyHead  *earlyHead // of an answer that began before the request was written whole; nil if none has
	idleSince  time.Time
	acquiredAt time.Time // when the present attempt got the connection
}

// NewPool returns a Pool with the limits of cfg.
func NewPool(cfg *config.Config) *Pool {
	p := &Pool{
		dialer:      net.Dialer{Timeout: cfg.DialTimeout},
		maxIdleTime: time.Duration(idleLimitShare * float64(cfg.ConnIdle)),
		maxConns:    maxHostConns(cfg),
		connBudget:  maxHostConns(cfg),
		idle:        map[*host][]*conn{},
		memory:      newBufferBudget(cfg),
		audit:       &Audit{},
		sentIDs:     newSentIDs(cfg),
	}
	p.setDrainGrace(cfg.Settings.DrainGrace)
	p.dial = p.dialer.DialContext
	return p
}

// setDrainGrace sets the drain grace by which the audit judges attempts from now on. If grace is 0, it
// is 1 s.
func (p *Pool) setDrainGrace(grace time.Duration) {
	if grace == 0 {
		grace = time.Second
	}
	p.drainGrace.Store(int64(grace))
}

// DialFunc connects to a host.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// WrapDial replaces the function that connects to hosts by a wrapper of it. It must be called
// before the first attempt.
func (p *Pool) WrapDial(wrap func(DialFunc) DialFunc) { p.dial = wrap(p.dial) }

// SetOverlap says whether another process serves beside this one, in which case each uses half of
// the connections to hosts. The connections of clients need no such limit: each client connects to
// one process or the other.
func (p *Pool) SetOverlap(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connBudget = p.maxConns
	if on {
		p.connBudget /= 2
	}
	for p.openConns > p.connBudget && p.closeLongestIdleLocked() {
	}
}

// Run closes idle connections that hosts have closed or will close soon, until ctx ends.
func (p *Pool) Run(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
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

// sweep closes the idle connections that are too old or that the host has closed.
func (p *Pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for h, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if time.Since(c.idleSince) < p.maxIdleTime && c.quiet() {
				kept = append(kept, c)
			} else {
				p.closeLocked(c)
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

// updateHost applies what the list says of a host. It closes the idle connections to a host that
// takes no new requests, that has another address or that was restarted, as they are of no more
// use.
func (p *Pool) updateHost(h *host, addr string, started int64, ready bool) {
	p.mu.Lock()
	h.listedReady = ready
	usable := ready && !h.inMaintenance
	h.setUsable(usable)
	stale := !usable || h.addr != addr || h.started != started
	h.addr, h.started = addr, started
	p.mu.Unlock()
	if stale {
		p.closeIdle(h)
	}
}

// setUsable sets whether a host takes new requests, and since when it does not. The caller holds
// Pool.mu.
func (h *host) setUsable(usable bool) {
	if h.usable.Swap(usable); usable {
		h.unusableSince.Store(nil)
	} else if h.unusableSince.Load() == nil {
		now := time.Now()
		h.unusableSince.Store(&now)
	}
}

// setMaintenance puts a host into maintenance or ends its maintenance. The host is restarted during
// maintenance, so its idle connections are of no more use then. A repeated call changes nothing.
func (p *Pool) setMaintenance(h *host, on bool) {
	p.mu.Lock()
	changed := h.inMaintenance != on
	h.inMaintenance = on
	h.setUsable(h.listedReady && !on)
	p.mu.Unlock()
	if changed {
		p.closeIdle(h)
	}
}

// closeIdleIfSilent is called after an attempt was given up that had written its request at wrote.
// If the host has answered nothing since, its idle connections may be half-open: a machine that has
// vanished leaves them open and silent, and a request written to one may have run as far as the
// gateway can tell. A dial fails soon instead, which proves that nothing ran.
func (p *Pool) closeIdleIfSilent(h *host, wrote time.Time) {
	p.mu.Lock()
	silent := h.lastAnswerAt.Before(wrote)
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
		p.closeLocked(c)
	}
	delete(p.idle, h)
}

// closeLocked closes a connection. The caller holds p.mu.
func (p *Pool) closeLocked(c *conn) {
	c.Conn.Close()
	p.openConns--
}

// discard closes a connection that its attempt does not return.
func (p *Pool) discard(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(c)
}

// put makes a connection available to the next attempt. It closes the connection if its host takes no
// new requests, has another address or was restarted.
func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := c.host
	if !h.usable.Load() || c.addr != h.addr || c.started != h.started {
		p.closeLocked(c)
		return
	}
	c.reused, c.idleSince = true, time.Now()
	p.idle[h] = append(p.idle[h], c)
}

var errTooManyConns = errors.New("gateway: too many connections to hosts")

// get returns the connection to a host that became idle last, or dials a new one. A dial is counted
// before it begins, so that concurrent dials cannot exceed the budget. If the budget is used up and no
// connection is idle, the error is errTooManyConns.
func (p *Pool) get(ctx context.Context, h *host) (*conn, error) {
	p.mu.Lock()
	for list := p.idle[h]; len(list) > 0; list = p.idle[h] {
		c := list[len(list)-1]
		p.idle[h] = list[:len(list)-1]
		if c.quiet() {
			p.mu.Unlock()
			c.acquiredAt = time.Now()
			return c, nil
		}
		p.closeLocked(c)
	}
	if p.openConns >= p.connBudget && !p.closeLongestIdleLocked() {
		p.mu.Unlock()
		p.streams.endPaused() // makes room for later attempts
		return nil, errTooManyConns
	}
	p.openConns++
	c := &conn{host: h, addr: h.addr, started: h.started}
	p.mu.Unlock()
	netConn, err := p.dial(ctx, "tcp", c.addr)
	if err != nil {
		p.mu.Lock()
		p.openConns--
		p.mu.Unlock()
		return nil, err
	}
	c.Conn, c.raw, c.acquiredAt = netConn, socket.Raw(netConn), time.Now()
	c.limited = &answerReader{conn: netConn}
	c.reader = bufio.NewReader(c.limited)
	return c, nil
}

// acquireUpload counts one more upload, and returns false if there are too many. Each must be ended with releaseUpload.
func (p *Pool) acquireUpload() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.uploads >= max(1, p.connBudget*maxUploadPercent/100) {
		return false
	}
	p.uploads++
	return true
}

// releaseUpload ends acquireUpload.
func (p *Pool) releaseUpload() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.uploads--
}

// closeLongestIdleLocked closes the connection that has been idle for longest, and returns false if
// none is idle. The caller holds p.mu.
func (p *Pool) closeLongestIdleLocked() bool {
	var longestIdle *conn
	for _, list := range p.idle {
		if len(list) > 0 && (longestIdle == nil || list[0].idleSince.Before(longestIdle.idleSince)) {
			longestIdle = list[0]
		}
	}
	if longestIdle == nil {
		return false
	}
	p.idle[longestIdle.host] = p.idle[longestIdle.host][1:]
	p.closeLocked(longestIdle)
	return true
}

// quiet returns whether a connection is open with nothing to read. An idle connection that the host
// has closed, or on which it has sent something unrequested, must not carry a request. quiet returns
// false for a connection without a socket.
func (c *conn) quiet() bool {
	if c.raw == nil {
		return false
	}
	open := false
	err := c.raw.Read(func(fd uintptr) bool {
		_, err := socket.Peek(int(fd))
		open = err == syscall.EAGAIN
		return true
	})
	return err == nil && open
}
