package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// result is how a request ended for its client. status is 0 if it got no whole answer.
type result struct {
	id     string
	status int
	body   string
	err    error
	sent   time.Time
	took   time.Duration
}

type clientConn struct {
	net.Conn
	in   *bufio.Reader
	used bool
}

// clients sends requests to one gateway, one at a time on a connection, and keeps the connections.
type clients struct {
	rec  *record
	g    *gateway
	next atomic.Int64

	mu   sync.Mutex
	idle []*clientConn
}

func (c *clients) newID() string { return fmt.Sprintf("%s-%06d", c.g.name, c.next.Add(1)) }

func (c *clients) get() (*clientConn, error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 {
		conn := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return conn, nil
	}
	c.mu.Unlock()
	return c.dial()
}

func (c *clients) dial() (*clientConn, error) {
	nc, err := net.DialTimeout("tcp", c.g.addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: nc, in: bufio.NewReader(nc)}, nil
}

func head(id, class, effect string, timeout time.Duration, length int) string {
	method := "POST"
	if effect == "idempotent" {
		method = "GET"
	}
	text := fmt.Sprintf("%s /api HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\nX-Tenant-Id: t-1\r\nX-Timeout: %.3f\r\n",
		method, id, class, timeout.Seconds())
	if effect == "deduplicated" {
		text += "Idempotency-Key: " + id + "\r\n"
	}
	if method == "POST" {
		text += fmt.Sprintf("Content-Length: %d\r\n", length)
	}
	return text + "\r\n"
}

var errEnded = errors.New("the connection ended before the first byte of an answer")

// do sends one request and waits for its answer. Where a kept connection ends before the first byte of the
// answer, the request is sent once more on a new one, as PROTOCOL says.
func (c *clients) do(class, effect string, timeout time.Duration, body string) result {
	id := c.newID()
	conn, err := c.get()
	if err != nil {
		return result{id: id, err: err, sent: time.Now()}
	}
	used := conn.used
	res := c.on(conn, id, class, effect, timeout, body)
	if used && errors.Is(res.err, errEnded) {
		if conn, err = c.dial(); err != nil {
			return res
		}
		res = c.on(conn, id, class, effect, timeout, body)
	}
	return res
}

func (c *clients) on(conn *clientConn, id, class, effect string, timeout time.Duration, body string) result {
	res := result{id: id, sent: time.Now()}
	fail := func(err error) result {
		conn.Close()
		res.err, res.took = err, time.Since(res.sent)
		c.rec.add("client: %s %s ends without an answer: %v", class, id, err)
		return res
	}
	c.rec.add("client sends %s %s", class, id)
	if _, err := io.WriteString(conn, head(id, class, effect, timeout, len(body))+body); err != nil {
		return fail(errEnded)
	}
	conn.SetReadDeadline(time.Now().Add(timeout + 2*time.Second))
	if _, err := conn.in.Peek(1); err != nil {
		var network net.Error
		if errors.As(err, &network) && network.Timeout() {
			return fail(err)
		}
		return fail(errEnded)
	}
	resp, err := http.ReadResponse(conn.in, nil)
	if err != nil {
		return fail(err)
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return fail(err)
	}
	res.status, res.body, res.took = resp.StatusCode, string(text), time.Since(res.sent)
	c.rec.add("client: %s %s is answered %d %.60q", class, id, res.status, strings.TrimSpace(res.body))
	if resp.Close {
		conn.Close()
	} else {
		conn.used = true
		c.mu.Lock()
		c.idle = append(c.idle, conn)
		c.mu.Unlock()
	}
	return res
}

func (c *clients) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		conn.Close()
	}
	c.idle = nil
}
