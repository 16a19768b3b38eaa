package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// bubbleNet connects dials in the bubble to the handler of an address.
type bubbleNet struct {
	mu         sync.Mutex
	handlers   map[string]func(net.Conn) // a connection to an address without a handler is refused
	dialDelays map[string]time.Duration  // time that a connection to an address takes
}

func newBubbleNet() *bubbleNet {
	return &bubbleNet{handlers: map[string]func(net.Conn){}, dialDelays: map[string]time.Duration{}}
}

func (n *bubbleNet) setHandler(addr string, serve func(net.Conn)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[addr] = serve
}

// setDialDelay sets how long connections to an address take.
func (n *bubbleNet) setDialDelay(addr string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dialDelays[addr] = d
}

func (n *bubbleNet) dial(ctx context.Context, _, addr string) (net.Conn, error) {
	n.mu.Lock()
	serve, hang := n.handlers[addr], n.dialDelays[addr]
	n.mu.Unlock()
	if hang > 0 {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(hang):
		}
	}
	if serve == nil {
		return nil, fmt.Errorf("dial %s: %w", addr, syscall.ECONNREFUSED)
	}
	ours, theirs := net.Pipe()
	var wasReset atomic.Bool
	go serve(bubbleServerConn{theirs, &wasReset})
	return bubbleClientConn{ours, &wasReset}, nil
}

// bubbleServerConn is the server's end of a connection, which it can reset.
type bubbleServerConn struct {
	net.Conn
	wasReset *atomic.Bool
}

// reset closes the connection so that the client reads ECONNRESET in place of the end.
func (c bubbleServerConn) reset() {
	c.wasReset.Store(true)
	c.Close()
}

// bubbleClientConn is the client's end of a connection.
type bubbleClientConn struct {
	net.Conn
	wasReset *atomic.Bool
}

func (c bubbleClientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF && c.wasReset.Load() {
		err = &net.OpError{Op: "read", Net: "pipe", Err: syscall.ECONNRESET}
	}
	return n, err
}

// bubbleHost answers requests and records when they arrive.
type bubbleHost struct {
	id, addr    string
	answer      string
	serviceTime time.Duration

	mu           sync.Mutex
	requestTimes []time.Time // arrival of the first byte of each request
}

func (h *bubbleHost) handle(c net.Conn) {
	defer c.Close()
	c.SetReadDeadline(time.Now().Add(20 * time.Second)) // some connections carry no request
	in := bufio.NewReader(c)
	if _, err := in.Peek(1); err != nil {
		return
	}
	came := time.Now()
	if _, err := http.ReadRequest(in); err != nil {
		return
	}
	h.mu.Lock()
	h.requestTimes = append(h.requestTimes, came)
	h.mu.Unlock()
	time.Sleep(h.serviceTime)
	io.WriteString(c, h.answer)
}

// requestsBetween returns how many requests arrived between two times.
func (h *bubbleHost) requestsBetween(from, to time.Time) (n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, at := range h.requestTimes {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// lastRequestAt returns when the last request arrived.
func (h *bubbleHost) lastRequestAt() (at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.requestTimes {
		if s.After(at) {
			at = s
		}
	}
	return at
}

func bubbleHosts(n *bubbleNet, count int) (hosts []*bubbleHost) {
	for i := range count {
		h := &bubbleHost{id: "s-" + strconv.Itoa(i), addr: "host-" + strconv.Itoa(i) + ":80",
			answer: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood", serviceTime: 20 * time.Millisecond}
		n.setHandler(h.addr, h.handle)
		hosts = append(hosts, h)
	}
	return hosts
}
