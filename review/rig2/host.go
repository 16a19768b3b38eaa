package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// call is one attempt that a host has received whole.
type call struct {
	id, method, uri string
	length          int64 // Content-Length; -1 if it is unknown
	body            int   // bytes that have arrived
	timeout         string
	at              time.Time
	firstByteAt     time.Time
	conn            net.Conn
}

// host is a stand-in for a host. answer answers a call and returns whether the connection stays open.
type host struct {
	id, addr string
	ln       net.Listener
	late     *lateListener // ln, if connections to the host come up late; else nil
	rec      *record
	answer   func(h *host, c *call) bool
	onStart  func(h *host, c *call) // called when the head of a request has arrived; may be nil

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func startHost(rec *record, id string, answer func(h *host, c *call) bool) (*host, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return startHostOn(rec, id, ln, answer), nil
}

// startLateHost starts a host to which connections come up late while the gate of its listener is shut.
func startLateHost(rec *record, id string, answer func(h *host, c *call) bool) (*host, error) {
	ln, err := newLateListener()
	if err != nil {
		return nil, err
	}
	h := startHostOn(rec, id, ln, answer)
	h.late = ln
	return h, nil
}

func startHostOn(rec *record, id string, ln net.Listener, answer func(h *host, c *call) bool) *host {
	h := &host{id: id, addr: ln.Addr().String(), ln: ln, rec: rec, answer: answer, conns: map[net.Conn]bool{}}
	go h.accept()
	return h
}

func (h *host) accept() {
	for {
		c, err := h.ln.Accept()
		if err != nil {
			return
		}
		h.mu.Lock()
		h.conns[c] = true
		h.mu.Unlock()
		go h.serve(c)
	}
}

func (h *host) serve(c net.Conn) {
	defer func() {
		h.mu.Lock()
		delete(h.conns, c)
		h.mu.Unlock()
		c.Close()
	}()
	in := bufio.NewReader(c)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		first := time.Now()
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		k := &call{id: r.Header.Get("X-Request-ID"), method: r.Method, uri: r.RequestURI, length: r.ContentLength, timeout: r.Header.Get("X-Timeout"), conn: c, firstByteAt: first}
		if h.onStart != nil {
			h.onStart(h, k)
		}
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			h.rec.add("host %s: the body of %s ends after %d bytes", h.id, k.id, n)
			return
		}
		k.body, k.at = int(n), time.Now()
		h.rec.add("host %s runs %s (%s)", h.id, k.id, k.method)
		if !h.answer(h, k) {
			return
		}
	}
}

// write answers with a status, more header lines and a body.
func (k *call) write(status, header, body string) bool {
	_, err := fmt.Fprintf(k.conn, "HTTP/1.1 %s\r\nContent-Length: %d\r\n%s\r\n%s", status, len(body), header, body)
	return err == nil
}

// reset resets the connection of the call.
func (k *call) reset() bool {
	k.conn.(*net.TCPConn).SetLinger(0)
	return false
}
