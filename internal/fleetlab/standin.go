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

// loopbackHost is a host on a loopback socket for the real engine: the Host model told by real
// events. A request's work and wait stand in its path, /api/WORK/WAITS in microseconds.
type loopbackHost struct {
	run  *realRun
	addr string

	mu       sync.Mutex
	model    *Host
	listener net.Listener // nil while its process is down
	conns    map[net.Conn]int
	timer    *time.Timer
}

func newLoopbackHost(p *realRun, h *Host, addr string) (*loopbackHost, error) {
	s := &loopbackHost{run: p, model: h, addr: addr, conns: map[net.Conn]int{}}
	s.timer = time.AfterFunc(time.Hour, s.advance)
	return s, s.listen()
}

// listen begins to accept. A machine that is back may find its port held for a moment.
func (s *loopbackHost) listen() error {
	ln, err := listenAndServe(s.addr, s.serve)
	if err != nil {
		return fmt.Errorf("host %s: %w", s.model.ID, err)
	}
	s.mu.Lock()
	s.listener = ln
	s.mu.Unlock()
	return nil
}

// listenAndServe serves the connections that come to an address, which may have been served just now.
func listenAndServe(addr string, serve func(net.Conn)) (net.Listener, error) {
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

// update lets a change be made to the model; down resets all connections and refuses new ones,
// until listen.
func (s *loopbackHost) update(change func(h *Host), down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.Advance(s.run.now())
	change(s.model)
	if down && s.listener != nil {
		s.listener.Close()
		s.listener = nil
	}
	if down || s.model.Condition == Dead {
		for c := range s.conns {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}
}

// advance brings the model up to now. s.mu is not held.
func (s *loopbackHost) advance() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advanceLocked()
}

func (s *loopbackHost) advanceLocked() {
	now := s.run.now()
	for _, j := range s.model.Advance(now) {
		time.AfterFunc(j.WaitTime, func() {
			s.mu.Lock()
			ok := s.model.Release(j)
			s.mu.Unlock()
			if ok {
				j.Done(true)
			}
		})
	}
	if next := s.model.NextCompletion(); next != 0 {
		s.timer.Reset(max(0, next-now))
	}
}

// serve speaks with one connection until it ends.
func (s *loopbackHost) serve(conn net.Conn) {
	defer conn.Close()
	s.run.record(func(request *Recorder, now Time) { request.RecordNewConn(s.model.Index, now) })
	s.mu.Lock()
	incarnation, accepted := s.model.Incarnation, s.model.Connect()
	s.conns[conn] = incarnation
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.conns, conn)
		if accepted {
			s.model.Disconnect(incarnation)
		}
		s.mu.Unlock()
	}()
	// A reader of its own, so that a caller that hangs up is seen while its request runs.
	requests := make(chan *http.Request)
	ended := make(chan struct{})
	served := make(chan struct{})
	defer close(served)
	go func() {
		defer close(ended)
		in := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			select {
			case requests <- r:
			case <-served:
				return
			}
		}
	}()
	for first := true; ; first = false {
		select {
		case r := <-requests:
			if !s.handleRequest(conn, r, first, accepted, ended) {
				return
			}
		case <-ended:
			return
		}
	}
}

// handleRequest takes one request and says whether the connection goes on.
func (s *loopbackHost) handleRequest(conn net.Conn, r *http.Request, first, accepted bool, ended <-chan struct{}) bool {
	if !accepted {
		writeResponse(conn, "503 Service Unavailable", "X-Not-Processed: 1\r\nConnection: close\r\n", "")
		return false
	}
	work, waits, err := parseWork(r.URL.Path)
	if err != nil {
		writeResponse(conn, "404 Not Found", "", "")
		return true
	}
	s.run.record(func(rec *Recorder, now Time) { rec.RecordHostRequest(s.model.Index, now) })
	done := make(chan bool, 1)
	job := &Job{Work: work, WaitTime: waits, Notified: true, Done: func(ok bool) { done <- ok }}
	if first {
		job.Work += s.model.rules.ConnCost.std()
	}
	s.mu.Lock()
	s.advanceLocked()
	verdict := s.model.Arrive(s.run.now(), job)
	s.advanceLocked()
	overloaded := s.model.Overloaded
	s.mu.Unlock()
	switch verdict {
	case Rejected:
		return writeResponse(conn, "503 Service Unavailable", "X-Not-Processed: 1\r\n", "")
	case FastError:
		time.Sleep(fastErrorDelay)
		return writeResponse(conn, "500 Internal Server Error", "", "")
	case ConnectionReset:
		if overloaded {
			s.update(func(*Host) {}, true)
		}
		conn.(*net.TCPConn).SetLinger(0)
		return false
	case NoAnswer:
		<-ended
		return false
	}
	select {
	case <-done:
		return writeResponse(conn, "200 OK", "", "done")
	case <-ended:
		s.mu.Lock()
		s.model.Cancel(s.run.now(), job)
		s.advanceLocked()
		s.mu.Unlock()
		return false
	}
}

func parseWork(path string) (work, waits time.Duration, err error) {
	parts := strings.Split(path, "/")
	if len(parts) != 4 {
		return 0, 0, errors.New("no such path")
	}
	w, err1 := strconv.Atoi(parts[2])
	x, err2 := strconv.Atoi(parts[3])
	return time.Duration(w) * time.Microsecond, time.Duration(x) * time.Microsecond, errors.Join(err1, err2)
}

func writeResponse(conn net.Conn, status, header, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
	return err == nil
}

// close ends it.
func (s *loopbackHost) close() {
	s.update(func(h *Host) { h.Kill() }, true)
	s.timer.Stop()
}
