package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Clients sends requests to a gateway, one at a time on a connection, and keeps connections.
type Clients struct {
	rec  *Record
	mu   sync.Mutex
	idle map[string][]*clientConn
}

type clientConn struct {
	net.Conn
	in *bufio.Reader
}

// NewClients returns clients without a connection.
func NewClients(rec *Record) *Clients { return &Clients{rec: rec, idle: map[string][]*clientConn{}} }

// Request is a request of a client.
type Request struct {
	ID, Class, Tenant string
	Post              bool // a request that is unsafe to repeat
	Body              string
	Timeout           time.Duration
}

var lastID atomic.Uint64

// NewID returns an id that no other request has.
func NewID() string { return fmt.Sprintf("%08x%08x", time.Now().Unix(), lastID.Add(1)) }

// Text returns the request as it is sent.
func (q *Request) Text() string {
	var b strings.Builder
	method := "GET"
	if q.Post {
		method = "POST"
	}
	fmt.Fprintf(&b, "%s /api HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\n", method, q.ID, q.Class)
	if q.Tenant != "" {
		fmt.Fprintf(&b, "X-Tenant-Id: %s\r\n", q.Tenant)
	}
	fmt.Fprintf(&b, "X-Timeout: %.3f\r\n", q.Timeout.Seconds())
	if q.Post {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.Body))
	}
	b.WriteString("\r\n")
	b.WriteString(q.Body)
	return b.String()
}

// Result is what a client saw of its request.
type Result struct {
	Status     int // 0: no whole answer
	Body       string
	Err        error         // why there is none
	Took       time.Duration // from the last byte of the request to the last byte of the answer or the error
	Unaccepted bool          // no connection could be made: the gateway did not take the request
}

// Do sends a request on a kept connection, or on a new one, and reads its answer. If a kept connection
// ends before a byte of the answer, the request crossed the close of a resting connection, and it is
// sent once more on a new one, as the protocol page says.
func (cl *Clients) Do(addr string, q *Request) Result {
	c := cl.take(addr)
	if c != nil {
		res, started := cl.exchange(addr, c, q)
		if res.Status != 0 || started || res.Took >= q.Timeout {
			return res
		}
		old := q.ID
		q.ID = NewID()
		cl.rec.Add("client: connection ended under %s (%v), sent once more as %s", old, res.Err, q.ID)
	}
	nc, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return Result{Err: err, Unaccepted: true}
	}
	res, _ := cl.exchange(addr, &clientConn{nc, bufio.NewReader(nc)}, q)
	return res
}

func (cl *Clients) take(addr string) *clientConn {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	list := cl.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	cl.idle[addr] = list[:len(list)-1]
	return c
}

// exchange sends a request and reads the answer, for up to a second longer than the client would wait.
// started says that part of an answer came.
func (cl *Clients) exchange(addr string, c *clientConn, q *Request) (res Result, started bool) {
	cl.rec.Add("client sends %s class %s to %s", q.ID, q.Class, addr)
	_, err := io.WriteString(c, q.Text())
	sent := time.Now()
	fail := func(err error) Result {
		c.Close()
		return Result{Err: err, Took: time.Since(sent)}
	}
	if err != nil {
		return fail(err), false
	}
	c.SetReadDeadline(sent.Add(q.Timeout + time.Second))
	if _, err := c.in.Peek(1); err != nil {
		return fail(err), false
	}
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return fail(err), true
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return fail(err), true
	}
	res = Result{Status: resp.StatusCode, Body: string(body), Took: time.Since(sent)}
	if resp.Close {
		c.Close()
		return res, true
	}
	c.SetReadDeadline(time.Time{})
	cl.mu.Lock()
	cl.idle[addr] = append(cl.idle[addr], c)
	cl.mu.Unlock()
	return res, true
}
