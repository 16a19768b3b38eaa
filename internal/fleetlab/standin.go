package fleetlab

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// standIn is a host on a loopback socket for the real engine: the Host model told by real
// events. A request's work and wait stand in its path, /api/WORK/WAITS in microseconds.
type standIn struct {
	p    *realPlay
	addr string

	mu    sync.Mutex
	h     *Host
	ln    net.Listener // nil while its process is down
	conns map[net.Conn]int
	timer *time.Timer
}

func newStandIn(p *realPlay, h *Host, addr string) (*standIn, error) {
	s := &standIn{p: p, h: h, addr: addr, conns: map[net.Conn]int{}}
	s.timer = time.AfterFunc(time.Hour, s.tick)
	return s, s.listen()
}

// listen begins to accept. A machine that is back may find its port held for a moment.
func (s *standIn) listen() error {
	ln, err := serveAgain(s.addr, s.serve)
	if err != nil {
		return fmt.Errorf("host %s: %w", s.h.ID, err)
	}
	s.mu.Lock()
	s.ln = ln
	s.mu.Unlock()
	return nil
}

// serveAgain serves the connections that come to an address, which may have been served just now.
func serveAgain(addr string, serve func(net.Conn)) (net.Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1) })
	}}
	ln, err := lc.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return ln, nil
}

// do lets a change be made to the model; down resets all connections and refuses new ones,
// until listen.
func (s *standIn) do(change func(h *Host), down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.h.Advance(s.p.now())
	change(s.h)
	if down && s.ln != nil {
		s.ln.Close()
		s.ln = nil
	}
	if down || s.h.Cond == Dead {
		for c := range s.conns {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}
}

// tick brings the model up to now. s.mu is not held.
func (s *standIn) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tickLocked()
}

func (s *standIn) tickLocked() {
	now := s.p.now()
	for _, j := range s.h.Advance(now) {
		time.AfterFunc(j.Waits, func() {
			s.mu.Lock()
			ok := s.h.Release(j)
			s.mu.Unlock()
			if ok {
				j.Done(true)
			}
		})
	}
	if next := s.h.Next(); next != 0 {
		s.timer.Reset(max(0, next-now))
	}
}

// serve speaks with one connection until it ends.
func (s *standIn) serve(c net.Conn) {
	defer c.Close()
	s.p.record(func(r *Recorder, now Time) { r.NewConn(s.h.Index, now) })
	s.mu.Lock()
	inc, room := s.h.Inc, s.h.Connect()
	s.conns[c] = inc
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		if room {
			s.h.Disconnect(inc)
		}
		s.mu.Unlock()
	}()
	// A reader of its own, so that a caller that hangs up is seen while its request runs.
	reqs := make(chan *http.Request)
	ended := make(chan struct{})
	over := make(chan struct{})
	defer close(over)
	go func() {
		defer close(ended)
		in := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			select {
			case reqs <- r:
			case <-over:
				return
			}
		}
	}()
	for first := true; ; first = false {
		select {
		case r := <-reqs:
			if !s.answer(c, r, first, room, ended) {
				return
			}
		case <-ended:
			return
		}
	}
}

// answer takes one request and says whether the connection goes on.
func (s *standIn) answer(c net.Conn, r *http.Request, first, room bool, ended <-chan struct{}) bool {
	if !room {
		writeAnswer(c, "503 Service Unavailable", "X-Not-Processed: 1\r\nConnection: close\r\n", "")
		return false
	}
	work, waits, err := workOf(r.URL.Path)
	if err != nil {
		writeAnswer(c, "404 Not Found", "", "")
		return true
	}
	s.p.record(func(rec *Recorder, now Time) { rec.Took(s.h.Index, now) })
	done := make(chan bool, 1)
	j := &Job{Work: work, Waits: waits, Told: true, Done: func(ok bool) { done <- ok }}
	if first {
		j.Work += s.h.rules.ConnCost.std()
	}
	s.mu.Lock()
	s.tickLocked()
	v := s.h.Arrive(s.p.now(), j)
	s.tickLocked()
	fell := s.h.Fell
	s.mu.Unlock()
	switch v {
	case TurnAway:
		return writeAnswer(c, "503 Service Unavailable", "X-Not-Processed: 1\r\n", "")
	case FastError:
		time.Sleep(fastError)
		return writeAnswer(c, "500 Internal Server Error", "", "")
	case Broken:
		if fell {
			s.do(func(*Host) {}, true)
		}
		c.(*net.TCPConn).SetLinger(0)
		return false
	case NoAnswer:
		<-ended
		return false
	}
	select {
	case <-done:
		return writeAnswer(c, "200 OK", "", "done")
	case <-ended:
		s.mu.Lock()
		s.h.Cancel(s.p.now(), j)
		s.tickLocked()
		s.mu.Unlock()
		return false
	}
}

func workOf(path string) (work, waits time.Duration, err error) {
	f := strings.Split(path, "/")
	if len(f) != 4 {
		return 0, 0, errors.New("no such path")
	}
	w, err1 := strconv.Atoi(f[2])
	x, err2 := strconv.Atoi(f[3])
	return time.Duration(w) * time.Microsecond, time.Duration(x) * time.Microsecond, errors.Join(err1, err2)
}

func writeAnswer(c net.Conn, status, head, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, head, len(body), body)
	return err == nil
}

// close ends it.
func (s *standIn) close() {
	s.do(func(h *Host) { h.Kill() }, true)
	s.timer.Stop()
}
