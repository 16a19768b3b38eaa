package soak

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"bramblelock/internal/loopback"
)

// hostMode is how a host of a soak behaves.
type hostMode int

const (
	hostHealthy     hostMode = iota
	hostHangs                // sends no answer
	hostResets               // resets the connection before or within the answer to two of three request ids
	hostFails                // answers 500
	hostRejects              // answers 503 with X-Not-Processed
	hostClosesIdle           // closes connections that are idle for 15 ms
	hostStalls               // reads nothing of a long body for stallTime
	hostReadsSlowly          // reads a long body slowly
	hostDown                 // refuses connections
)

const (
	// minLongBody is the length in bytes above which a body does not fit with its head into the buffers
	// of a connection.
	minLongBody = 64 << 10
	// hostReadBuffer is the socket buffer in bytes that fills when the host does not read.
	hostReadBuffer = 64 << 10
	// stallTime is how long a host in hostStalls reads nothing of a long body.
	stallTime = time.Second
	// slowReadPiece bytes are what a host in hostReadsSlowly reads each slowReadPause.
	slowReadPiece = 16 << 10
	slowReadPause = 50 * time.Millisecond
)

// host is a host of a soak. It answers or misbehaves as its mode says, and records the attempts that it
// receives in the ledger.
type host struct {
	s    *soak
	name string
	addr string

	mu       sync.Mutex
	mode     hostMode
	ln       net.Listener
	conns    map[net.Conn]bool // the open connections
	started  time.Time         // start time on the host list; zero: long ago
	draining bool              // the host drains or is about to be listed as ready again
}

func startHost(s *soak, i int) (*host, error) {
	h := &host{s: s, name: fmt.Sprintf("s-%02d", i), addr: fmt.Sprintf("%s200.%d:9000", s.netPrefix, i+1), conns: map[net.Conn]bool{}}
	return h, h.listen()
}

// listen opens the listening socket of the host.
func (h *host) listen() error {
	ln, err := loopback.ListenAndServe(h.addr, h.serve)
	if err != nil {
		return fmt.Errorf("host %s: %w", h.name, err)
	}
	h.mu.Lock()
	h.ln = ln
	h.mu.Unlock()
	return nil
}

// setMode changes the mode. hostDown closes the listening socket and resets all connections; any other mode
// opens the socket again.
func (h *host) setMode(mode hostMode) {
	h.mu.Lock()
	old := h.mode
	h.mode = mode
	if mode == hostDown && h.ln != nil {
		h.ln.Close()
		h.ln = nil
		for c := range h.conns {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}
	h.mu.Unlock()
	if old == hostDown && mode != hostDown {
		for range 50 { // its port may be in use for a moment
			if h.listen() == nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func (h *host) currentMode() hostMode {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.mode
}

func (h *host) close() { h.setMode(hostDown) }

// serve handles the requests of one connection.
func (h *host) serve(c net.Conn) {
	defer c.Close()
	c.(*net.TCPConn).SetReadBuffer(hostReadBuffer) // the rest of a longer body arrives only as the host reads it
	h.mu.Lock()
	h.conns[c] = true
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		delete(h.conns, c)
		h.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		if h.currentMode() == hostClosesIdle {
			c.SetReadDeadline(time.Now().Add(15 * time.Millisecond))
		} else {
			c.SetReadDeadline(time.Time{})
		}
		if _, err := in.Peek(1); err != nil {
			return
		}
		attempt := attempt{host: h.name, firstByteAt: time.Now()}
		c.SetReadDeadline(time.Now().Add(20 * time.Second))
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if h.currentMode() == hostStalls && r.ContentLength > minLongBody {
			attempt.stalled = true
			time.Sleep(stallTime)
		}
		if h.currentMode() == hostReadsSlowly {
			attempt.stalled = true
			for err == nil {
				_, err = io.CopyN(io.Discard, r.Body, slowReadPiece)
				if r.ContentLength > minLongBody {
					time.Sleep(slowReadPause)
				}
			}
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		attempt.receivedAt = time.Now()
		seconds, _ := strconv.ParseFloat(r.Header.Get("X-Timeout"), 64)
		attempt.timeout = time.Duration(seconds * float64(time.Second))
		id := r.Header.Get("X-Request-ID")
		if isLongAnswerRequest(r.URL.Path) {
			attempt.longAnswer = &longAnswer{length: len(longAnswerBody(id))}
		}
		if !h.answer(c, id, attempt) {
			return
		}
	}
}

// answer records an attempt, answers it as the mode and the id demand, and says whether the connection
// stays open.
func (h *host) answer(c net.Conn, id string, attempt attempt) bool {
	mode, idHash := h.currentMode(), hashID(id)
	attempt.rejected = mode == hostRejects
	h.s.ledger.addAttempt(id, attempt)
	if mode == hostRejects {
		return loopback.WriteResponse(c, "503 Service Unavailable", "X-Not-Processed: 1\r\n", "")
	}
	time.Sleep(time.Duration(5+idHash%36) * time.Millisecond)
	switch {
	case mode == hostHangs:
		io.Copy(io.Discard, c) // until the gateway gives up
		return false
	case mode == hostFails:
		return loopback.WriteResponse(c, "500 Internal Server Error", "", "")
	case mode == hostResets && idHash%3 != 0:
		if idHash%3 == 1 {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf of it")
		}
		c.(*net.TCPConn).SetLinger(0)
		return false
	}
	if attempt.longAnswer != nil {
		return h.writeLongAnswer(c, id, attempt.timeout, attempt.longAnswer)
	}
	switch idHash % 8 {
	case 0:
		return writeChunkedAnswer(c, "done ", id)
	case 1: // the end of the answer is the end of the connection
		io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\ndone "+id)
		return false
	}
	return loopback.WriteResponse(c, "200 OK", "", "done "+id)
}

// writeChunkedAnswer writes an answer in chunks, with a pause after each part, and says whether that
// succeeded.
func writeChunkedAnswer(c net.Conn, parts ...string) bool {
	io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	for _, part := range parts {
		fmt.Fprintf(c, "%x\r\n%s\r\n", len(part), part)
		time.Sleep(5 * time.Millisecond)
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// hashID hashes the id of a request, so that hosts in one mode treat all attempts of a request alike.
func hashID(id string) uint32 {
	h := fnv.New32a()
	io.WriteString(h, id)
	return h.Sum32()
}
