package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Host is a stand-in for a host. Serve is called for each whole request and says whether the
// connection stays open.
// ServeFunc serves a whole request and says whether the connection stays open.
type ServeFunc = func(h *Host, c net.Conn, r *http.Request, body []byte) (keep bool)

type Host struct {
	ID, Addr string
	Rec      *Record
	Serve    func(h *Host, c net.Conn, r *http.Request, body []byte) (keep bool)

	core    sync.Mutex // its one core
	mu      sync.Mutex
	waiting int // requests in hand
}

// StartHost starts a host at a free port.
func StartHost(rec *Record, id string, serve func(h *Host, c net.Conn, r *http.Request, body []byte) bool) (*Host, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &Host{ID: id, Addr: ln.Addr().String(), Rec: rec, Serve: serve}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go h.serveConn(c)
		}
	}()
	return h, nil
}

func (h *Host) serveConn(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		h.Rec.Add("host %s got %s", h.ID, r.Header.Get("X-Request-ID"))
		if !h.Serve(h, c, r, body) {
			return
		}
	}
}

// Enter takes a place in the waiting room of the host, which has max places, and says whether it got one.
func (h *Host) Enter(max int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.waiting >= max {
		return false
	}
	h.waiting++
	return true
}

// Leave gives the place back.
func (h *Host) Leave() {
	h.mu.Lock()
	h.waiting--
	h.mu.Unlock()
}

// Work works on the host's one core and then waits on others.
func (h *Host) Work(work, wait time.Duration) {
	h.core.Lock()
	time.Sleep(work)
	h.core.Unlock()
	time.Sleep(wait)
}

// Answer writes a 200 answer whole, with one write.
func Answer(c net.Conn, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// TurnAway writes the answer of a host whose queue is full.
func TurnAway(c net.Conn) bool {
	_, err := io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
	return err == nil
}
