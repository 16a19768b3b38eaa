package fleetlab

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
)

// serverMode is how a server of a soak behaves.
type serverMode int

const (
	serverWell serverMode = iota
	serverHangs
	serverResets     // within or instead of an answer
	serverErrs       // answers 500
	serverFull       // turns away
	serverClosesFast // closes connections that rest for some milliseconds
	serverStalls     // takes nothing of a long body for a while
	serverDown       // refuses connections
)

const (
	// longBody is a body that does not go with its head into the buffers of a connection.
	longBody = 64 << 10
	// serverBuffer is what the system takes of a body for a server that does not read.
	serverBuffer = 64 << 10
	// stallTime is how long a server takes nothing of a long body in serverStalls.
	stallTime = time.Second
)

// soakServer is a server of a soak: it answers, misbehaves on cue, and notes what it gets.
type soakServer struct {
	s    *soak
	name string
	addr string

	mu       sync.Mutex
	mode     serverMode
	ln       net.Listener
	conns    map[net.Conn]bool
	started  time.Time // zero: long ago
	draining bool      // it drains, or is about to be listed anew
}

func startSoakServer(s *soak, i int) (*soakServer, error) {
	v := &soakServer{s: s, name: fmt.Sprintf("s-%02d", i), addr: fmt.Sprintf("%s200.%d:9000", s.net, i+1), conns: map[net.Conn]bool{}}
	return v, v.listen()
}

func (v *soakServer) listen() error {
	ln, err := serveAgain(v.addr, v.serve)
	if err != nil {
		return fmt.Errorf("server %s: %w", v.name, err)
	}
	v.mu.Lock()
	v.ln = ln
	v.mu.Unlock()
	return nil
}

// set changes the mode; what is down resets all connections.
func (v *soakServer) set(mode serverMode) {
	v.mu.Lock()
	old := v.mode
	v.mode = mode
	if mode == serverDown && v.ln != nil {
		v.ln.Close()
		v.ln = nil
		for c := range v.conns {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}
	v.mu.Unlock()
	if old == serverDown && mode != serverDown {
		for range 50 { // its port may be held for a moment
			if v.listen() == nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func (v *soakServer) now() serverMode {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.mode
}

func (v *soakServer) close() { v.set(serverDown) }

// serve speaks with one connection.
func (v *soakServer) serve(c net.Conn) {
	defer c.Close()
	c.(*net.TCPConn).SetReadBuffer(serverBuffer) // what it takes less, it takes later
	v.mu.Lock()
	v.conns[c] = true
	v.mu.Unlock()
	defer func() {
		v.mu.Lock()
		delete(v.conns, c)
		v.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		if v.now() == serverClosesFast {
			c.SetReadDeadline(time.Now().Add(15 * time.Millisecond))
		} else {
			c.SetReadDeadline(time.Time{})
		}
		if _, err := in.Peek(1); err != nil {
			return
		}
		run := soakRun{server: v.name, first: time.Now()}
		c.SetReadDeadline(time.Now().Add(20 * time.Second))
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if v.now() == serverStalls && r.ContentLength > longBody {
			run.stalled = true
			time.Sleep(stallTime)
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		run.whole = time.Now()
		seconds, _ := strconv.ParseFloat(r.Header.Get("X-Timeout"), 64)
		run.told = time.Duration(seconds * float64(time.Second))
		if !v.answer(c, r.Header.Get("X-Request-ID"), run) {
			return
		}
	}
}

// answer answers one request and says whether the connection goes on.
func (v *soakServer) answer(c net.Conn, id string, run soakRun) bool {
	mode, chance := v.now(), hash(id)
	run.turned = mode == serverFull
	v.s.ledger.run(id, run)
	if mode == serverFull {
		return writeAnswer(c, "503 Service Unavailable", "X-Not-Processed: 1\r\n", "")
	}
	time.Sleep(time.Duration(5+chance%36) * time.Millisecond)
	switch {
	case mode == serverHangs:
		io.Copy(io.Discard, c) // until the gateway gives up
		return false
	case mode == serverErrs:
		return writeAnswer(c, "500 Internal Server Error", "", "")
	case mode == serverResets && chance%3 != 0:
		if chance%3 == 1 {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf of it")
		}
		c.(*net.TCPConn).SetLinger(0)
		return false
	}
	switch chance % 8 {
	case 0:
		return writeChunkedAnswer(c, "done ", id)
	case 1: // its end is that of the connection
		io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\ndone "+id)
		return false
	}
	return writeAnswer(c, "200 OK", "", "done "+id)
}

// writeChunkedAnswer writes an answer whose length is not told, with a pause between its parts.
func writeChunkedAnswer(c net.Conn, parts ...string) bool {
	io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	for _, part := range parts {
		fmt.Fprintf(c, "%x\r\n%s\r\n", len(part), part)
		time.Sleep(5 * time.Millisecond)
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// hash draws from an id, so that a request meets the same wherever it goes.
func hash(id string) uint32 {
	h := fnv.New32a()
	io.WriteString(h, id)
	return h.Sum32()
}
