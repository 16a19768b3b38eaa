// Package faultnet injects faults between real processes on loopback. It has a TCP proxy per link
// that forwards, delays, resets, black-holes or refuses connections, meshes of such links that can
// be partitioned, helpers that build, start and signal this module's binaries, and wrappers that
// make system calls fail. It is test support; nothing here listens beyond loopback.
package faultnet

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Mode is how a link treats its traffic.
type Mode int

const (
	// Pass forwards traffic in both directions.
	Pass Mode = iota
	// Blackhole simulates a machine that is cut off from the network: open and new connections
	// stay open, nothing is forwarded and nothing is closed. A change to another mode resets
	// these connections, as such a machine does once it is reachable again.
	Blackhole
	// Reset resets every open connection, and each new one as soon as it is accepted.
	Reset
	// Refuse simulates a dead process: open connections are reset and new ones refused.
	Refuse
)

// Link is a TCP proxy from Addr to a target. Create it with NewLink.
type Link struct {
	Addr            string       // address on which the link accepts connections
	accepted        atomic.Int64 // connections accepted
	bytesFromTarget atomic.Int64 // bytes forwarded from the target
	onAccept        atomic.Pointer[func()]

	mu      sync.Mutex
	target  string
	ln      net.Listener // nil in mode Refuse and after Close
	mode    Mode
	delay   time.Duration         // added before each chunk forwarded
	changed chan struct{}         // closed and replaced when Set sets the mode
	conns   map[net.Conn]struct{} // open connections of both sides: accepted ones and those to the target
	closed  bool                  // Close was called
}

// NewLink returns a Link that listens on a free loopback port and forwards to target.
func NewLink(target string) (*Link, error) {
	ln, err := net.Listen("tcp", ProcessIP(linkHost)+":0")
	if err != nil {
		return nil, err
	}
	l := &Link{Addr: ln.Addr().String(), target: target, ln: ln,
		changed: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	go l.acceptLoop(ln)
	return l, nil
}

// Set sets the mode, which applies to open connections at once.
func (l *Link) Set(mode Mode) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	oldMode := l.mode
	l.mode = mode
	close(l.changed)
	l.changed = make(chan struct{})
	if mode == Reset || mode == Refuse || (oldMode == Blackhole && mode != Blackhole) {
		l.resetConnsLocked()
	}
	if mode == Refuse && l.ln != nil {
		l.ln.Close()
		l.ln = nil
	}
	if mode != Refuse && l.ln == nil && !l.closed {
		ln, err := net.Listen("tcp", l.Addr)
		if err != nil {
			return err
		}
		l.ln = ln
		go l.acceptLoop(ln)
	}
	return nil
}

// Accepted returns how many connections the link has accepted.
func (l *Link) Accepted() int64 { return l.accepted.Load() }

// OnAccept registers f to be called for each connection accepted from now on, in place of an
// earlier function. f must not block.
func (l *Link) OnAccept(f func()) { l.onAccept.Store(&f) }

// BytesFromTarget returns how many bytes the link has forwarded from its target.
func (l *Link) BytesFromTarget() int64 { return l.bytesFromTarget.Load() }

// Retarget makes new connections go to addr. Open connections keep their target.
func (l *Link) Retarget(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = addr
}

// Delay sets the delay before each chunk that is forwarded in either direction.
func (l *Link) Delay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// Close stops the link and resets every connection through it.
func (l *Link) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.ln != nil {
		l.ln.Close()
		l.ln = nil
	}
	l.resetConnsLocked()
}

// resetConnsLocked resets all connections in l.conns. The caller holds l.mu.
func (l *Link) resetConnsLocked() {
	for c := range l.conns {
		l.resetConnLocked(c)
	}
}

// resetConn resets one connection.
func (l *Link) resetConn(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resetConnLocked(c)
}

// resetConnLocked resets one connection and deletes it from l.conns. The caller holds l.mu.
func (l *Link) resetConnLocked(c net.Conn) {
	if tc, ok := c.(*net.TCPConn); ok {
		tc.SetLinger(0) // makes Close send RST
	}
	c.Close()
	delete(l.conns, c)
}

// track adds a connection to l.conns, so that Set and Close reset it. If Close was already called,
// track closes the connection and returns false.
func (l *Link) track(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		c.Close()
		return false
	}
	l.conns[c] = struct{}{}
	return true
}

// currentMode returns the mode, the delay and a channel that is closed when Set sets the mode.
func (l *Link) currentMode() (Mode, time.Duration, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode, l.delay, l.changed
}

// acceptLoop accepts connections from ln until it is closed.
func (l *Link) acceptLoop(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		l.accepted.Add(1)
		if f := l.onAccept.Load(); f != nil {
			(*f)()
		}
		if !l.track(c) {
			continue
		}
		go l.serve(c)
	}
}

// serve forwards an accepted connection to the target, as the mode allows.
func (l *Link) serve(c net.Conn) {
	for {
		mode, _, changed := l.currentMode()
		switch mode {
		case Reset, Refuse:
			l.resetConn(c) // it may have been accepted after Set reset the others
			return
		case Blackhole:
			<-changed // the connection stays open and silent; Set resets it when the mode changes
			continue
		}
		break
	}
	l.mu.Lock()
	target := l.target
	l.mu.Unlock()
	upstream, err := net.DialTimeout("tcp", target, 2*time.Second)
	if err != nil {
		l.resetConn(c) // not the others, which may be open to an earlier target
		return
	}
	if !l.track(upstream) {
		c.Close()
		return
	}
	upstreamDone := make(chan struct{})
	go func() {
		if !l.pipe(upstream, c, false) {
			upstream.Close()
			c.Close()
		}
		close(upstreamDone)
	}()
	if !l.pipe(c, upstream, true) {
		upstream.Close()
		c.Close()
	}
	<-upstreamDone
	upstream.Close()
	c.Close()
	l.mu.Lock()
	delete(l.conns, c)
	delete(l.conns, upstream)
	l.mu.Unlock()
}

// pipe copies src to dst chunk by chunk, as the mode allows. At the end of src it closes the
// writing side of dst and returns true. In any other case it returns false, and the caller must
// close both connections.
func (l *Link) pipe(dst, src net.Conn, fromTarget bool) bool {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		for n > 0 {
			mode, delay, changed := l.currentMode()
			if mode == Blackhole {
				<-changed
				continue
			}
			if mode != Pass {
				return false
			}
			if delay > 0 {
				time.Sleep(delay)
			}
			if _, werr := dst.Write(buf[:n]); werr != nil {
				return false
			}
			if fromTarget {
				l.bytesFromTarget.Add(int64(n))
			}
			break
		}
		if err != nil {
			if tc, ok := dst.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
				tc.CloseWrite()
				return true
			}
			return false
		}
	}
}
