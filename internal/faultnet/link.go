// Package faultnet puts faults between real processes on loopback: a TCP proxy a link
// that passes, delays, resets, black-holes or refuses, meshes of such links that can
// be partitioned, and helpers that build, start and signal our binaries. It is test
// support; nothing here listens beyond 127.0.0.1.
package faultnet

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Mode is what a link does with its traffic.
type Mode int

const (
	// Pass forwards both ways.
	Pass Mode = iota
	// Blackhole keeps connections open and silent, new ones too, as a machine that is
	// cut off: nothing is forwarded and nothing is closed. Leaving it resets what it held,
	// as such a machine does once it is back.
	Blackhole
	// Reset resets every open connection and each new one at once.
	Reset
	// Refuse resets every open connection and refuses new ones, as a dead process.
	Refuse
)

// Link is a proxy from Addr to a target. Its zero value is not usable; see NewLink.
type Link struct {
	Addr  string       // dial this to pass through the link
	calls atomic.Int64 // connections accepted
	bytes atomic.Int64 // forwarded from the target
	heard atomic.Pointer[func()]

	mu     sync.Mutex
	target string
	ln     net.Listener // nil while refusing
	mode   Mode
	delay  time.Duration // added before each chunk forwarded
	wake   chan struct{} // closed when mode or delay changes
	conns  map[net.Conn]struct{}
	done   bool
}

// NewLink listens on a fresh loopback port and forwards to target.
func NewLink(target string) (*Link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{Addr: ln.Addr().String(), target: target, ln: ln,
		wake: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	go l.accept(ln)
	return l, nil
}

// Set changes the mode; it acts on open connections at once.
func (l *Link) Set(m Mode) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.mode
	l.mode = m
	close(l.wake)
	l.wake = make(chan struct{})
	if m == Reset || m == Refuse || (old == Blackhole && m != Blackhole) {
		l.resetLocked()
	}
	if m == Refuse && l.ln != nil {
		l.ln.Close()
		l.ln = nil
	}
	if m != Refuse && l.ln == nil && !l.done {
		ln, err := net.Listen("tcp", l.Addr)
		if err != nil {
			return err
		}
		l.ln = ln
		go l.accept(ln)
	}
	return nil
}

// Accepted returns how many connections the link has accepted.
func (l *Link) Accepted() int64 { return l.calls.Load() }

// OnAccept lets f be called at each connection accepted from now on; it must not block.
func (l *Link) OnAccept(f func()) { l.heard.Store(&f) }

// BytesFromTarget returns how many bytes the link has forwarded from its target.
func (l *Link) BytesFromTarget() int64 { return l.bytes.Load() }

// Retarget lets new connections go to another address; open ones stay.
func (l *Link) Retarget(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = addr
}

// Delay adds d before each chunk forwarded either way, from now on.
func (l *Link) Delay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// Close ends the link and every connection through it.
func (l *Link) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.done = true
	if l.ln != nil {
		l.ln.Close()
		l.ln = nil
	}
	l.resetLocked()
}

func (l *Link) resetLocked() {
	for c := range l.conns {
		if tc, ok := c.(*net.TCPConn); ok {
			tc.SetLinger(0) // a close sends RST
		}
		c.Close()
		delete(l.conns, c)
	}
}

func (l *Link) track(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.done {
		c.Close()
		return false
	}
	l.conns[c] = struct{}{}
	return true
}

func (l *Link) state() (Mode, time.Duration, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode, l.delay, l.wake
}

func (l *Link) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		l.calls.Add(1)
		if f := l.heard.Load(); f != nil {
			(*f)()
		}
		if !l.track(c) {
			continue
		}
		go l.serve(c)
	}
}

func (l *Link) serve(c net.Conn) {
	for {
		mode, _, wake := l.state()
		switch mode {
		case Reset, Refuse:
			l.mu.Lock()
			l.conns[c] = struct{}{}
			l.resetLocked()
			l.mu.Unlock()
			return
		case Blackhole:
			<-wake // held open and silent; Set resets it on the way out
			continue
		}
		break
	}
	l.mu.Lock()
	target := l.target
	l.mu.Unlock()
	up, err := net.DialTimeout("tcp", target, 2*time.Second)
	if err != nil {
		l.mu.Lock()
		l.conns[c] = struct{}{}
		l.resetLocked()
		l.mu.Unlock()
		return
	}
	if !l.track(up) {
		c.Close()
		return
	}
	done := make(chan struct{})
	go func() {
		if !l.pipe(up, c, false) {
			up.Close()
			c.Close()
		}
		close(done)
	}()
	if !l.pipe(c, up, true) {
		up.Close()
		c.Close()
	}
	<-done
	up.Close()
	c.Close()
	l.mu.Lock()
	delete(l.conns, c)
	delete(l.conns, up)
	l.mu.Unlock()
}

// pipe copies src to dst chunk by chunk, as the mode allows. At src's end it ends
// dst's sending and reports true; on anything else false, and both are to be closed.
func (l *Link) pipe(dst, src net.Conn, fromTarget bool) bool {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		for n > 0 {
			mode, delay, wake := l.state()
			if mode == Blackhole {
				<-wake
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
				l.bytes.Add(int64(n))
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
