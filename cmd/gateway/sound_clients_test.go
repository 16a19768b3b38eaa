package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// lateAnswerSlack is how long after its time an answer may still come without being lost.
const lateAnswerSlack = 500 * time.Millisecond

// soundClients send valid requests at a steady rate and keep their connections.
type soundClients struct {
	addr    string
	timeout time.Duration

	mu     sync.Mutex
	idle   []net.Conn
	counts soundCounts
}

// soundCounts are the ends of the requests of soundClients.
type soundCounts struct {
	sent, served, refused, failed int
	late                          int // answered after their time, or never
	lost                          int // answered more than lateAnswerSlack after their time, or never
	slowest                       time.Duration
}

func (c soundCounts) String() string {
	return fmt.Sprintf("%d sent, %d served, %d refused, %d failed, %d late, %d lost, slowest %.3f s",
		c.sent, c.served, c.refused, c.failed, c.late, c.lost, c.slowest.Seconds())
}

// run sends requests at a rate a second for a time and returns how they ended.
func (s *soundClients) run(rate int, length time.Duration) soundCounts {
	var requests sync.WaitGroup
	interval := time.Second / time.Duration(rate)
	begin := time.Now()
	for at := time.Duration(0); at < length; at += interval {
		time.Sleep(time.Until(begin.Add(at)))
		requests.Go(func() { s.send(fmt.Sprint("sound-", at)) })
	}
	requests.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.idle {
		conn.Close()
	}
	s.idle = nil
	return s.counts
}

// idleConnection returns an idle connection, or nil if there is none.
func (s *soundClients) idleConnection() (conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.idle); n > 0 {
		conn, s.idle = s.idle[n-1], s.idle[:n-1]
	}
	return conn
}

// send sends one request and counts how it ends. A request that an idle connection does not take, because the
// gateway closes it meanwhile, is sent once more on a new connection.
func (s *soundClients) send(id string) {
	sentAt := time.Now()
	status, reusable := 0, false
	conn := s.idleConnection()
	if conn != nil {
		var closed bool
		status, reusable, closed = exchangeOn(conn, id, s.timeout)
		if closed {
			conn.Close()
			conn, sentAt = nil, time.Now()
		}
	}
	if conn == nil {
		var err error
		if conn, err = net.DialTimeout("tcp", s.addr, s.timeout); err == nil {
			status, reusable, _ = exchangeOn(conn, id, s.timeout)
		}
	}
	took := time.Since(sentAt)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case reusable:
		s.idle = append(s.idle, conn)
	case conn != nil:
		conn.Close()
	}
	s.counts.count(status, took, s.timeout)
}

// exchangeOn sends a request on a connection and returns the status of the answer, or 0 if none came whole
// before the client gives up. closed means that the connection was closed before any of an answer came.
func exchangeOn(conn net.Conn, id string, timeout time.Duration) (status int, reusable, closed bool) {
	conn.SetDeadline(time.Now().Add(timeout + 2*lateAnswerSlack))
	_, err := fmt.Fprintf(conn, "POST /api/1 HTTP/1.1\r\nHost: x\r\nX-Request-ID: %s\r\nX-Priority-Class: book\r\nX-Timeout: %.3f\r\nContent-Length: 4\r\n\r\nbody",
		id, timeout.Seconds())
	if err != nil {
		return 0, false, !errors.Is(err, os.ErrDeadlineExceeded)
	}
	in := bufio.NewReader(conn)
	if _, err := in.Peek(1); err != nil {
		return 0, false, !errors.Is(err, os.ErrDeadlineExceeded)
	}
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, false, false
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, false, false
	}
	return resp.StatusCode, !resp.Close, false
}

// count records how a request ended: status is that of its answer, or 0 without one.
func (c *soundCounts) count(status int, took, timeout time.Duration) {
	c.sent++
	c.slowest = max(c.slowest, took)
	if status == 0 || took > timeout {
		c.late++
	}
	if status == 0 || took > timeout+lateAnswerSlack {
		c.lost++
	}
	switch status {
	case http.StatusOK:
		c.served++
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		c.refused++
	default:
		c.failed++
	}
}
