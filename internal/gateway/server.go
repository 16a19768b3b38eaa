// Package gateway is the gateway process around the decision module, package bramblelock. It speaks
// HTTP with clients, hosts and discovery, and leaves every decision to the Balancer.
package gateway

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"bramblelock"
	"bramblelock/internal/gateway/config"
	"bramblelock/internal/gateway/framing"
	"bramblelock/internal/listener"
)

// Shares of the descriptor limit in percent. The rest is left for the listener, discovery and
// the descriptors of the runtime.
const (
	// Above clientConnBudgetPercent, connections are still accepted, but each change of the state of a
	// connection, except its end, evicts one, idle or without a whole request for minEvictionAge, if
	// there is one, and every answer announces the close of its connection.
	clientConnBudgetPercent = 55
	// At maxClientConnPercent, no connection is accepted until a slot is free. While all slots are
	// taken, a connection is evicted every evictionInterval, if one can be.
	maxClientConnPercent = 60
	maxHostConnPercent   = 35 // hard limit on the connections to hosts
)

const (
	pathHealth = "/_health"

	// answerMargin is the time from the deadline of an answer to the moment at which its client
	// stops waiting. In 99 of 100 requests the answer of a host reaches the client within 0.4 ms;
	// contention for a CPU core can add a few milliseconds.
	answerMargin = 5 * time.Millisecond

	// A peer that sends no valid request is answered or disconnected within 3 s of connecting, and
	// holds a descriptor until then. Every connection gets at least 2 s to send a request.
	headerTimeout  = 2300 * time.Millisecond // time for a client to send the head of a request
	requestTimeout = 2800 * time.Millisecond // time for a client to send a whole request; a long body extends it

	writeTimeout = 10 * time.Second // time from the head of a request until its answer is written; writeAnswer replaces it
	idleTimeout  = 3 * time.Minute  // time that a client's connection may stay without a request
)

// Server accepts the connections of clients and answers their requests.
type Server struct {
	cfg        *config.Config
	loop       *Loop
	http       http.Server
	connBudget int // number of client connections above which some are evicted; see clientConnBudgetPercent

	rejectLog rateLimitedLog

	ln              atomic.Pointer[net.Listener]
	accepting       atomic.Bool
	stopping        atomic.Bool
	finalAnswerAt   time.Time     // time by which all answers are due at shutdown; set before stopping
	shutdownStarted chan struct{} // closed when stopping is set

	mu          sync.Mutex
	conns       map[net.Conn]connState
	connSlots   chan struct{} // holds one element for each open connection and one for the next; its capacity is the limit
	closingIdle bool          // connections that become idle are closed

	evictionCandidates []evictionCandidate // scratch space of evictLocked
}

// NewServer returns a Server that submits its requests to loop.
func NewServer(cfg *config.Config, loop *Loop) *Server {
	s := &Server{
		cfg: cfg, loop: loop, connBudget: cfg.Sockets * clientConnBudgetPercent / 100,
		conns: map[net.Conn]connState{}, shutdownStarted: make(chan struct{}),
		connSlots: make(chan struct{}, cfg.Sockets*maxClientConnPercent/100),
	}
	s.http = http.Server{
		Handler:           http.HandlerFunc(s.serve), // no ServeMux, which would clean paths and redirect
		ConnState:         s.trackConn,
		ConnContext:       withFramedConn,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       requestTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeadBytes, // bounds a connection's share of the memory limit

		DisableGeneralOptionsHandler: true,
	}
	return s
}

// Serve accepts connections from ln and serves their requests until Shutdown closes ln. It then
// returns nil. Any other end of the listener is an error.
func (s *Server) Serve(ln net.Listener) error {
	backlog := newBacklog(ln)
	ln = listener.NewRetrying(backlog, "clients")
	ln = &clientListener{framedListener: framedListener{ln}, backlog: backlog, server: s, done: make(chan struct{})}
	s.ln.Store(&ln)
	if s.stopping.Load() {
		ln.Close() // Shutdown may have run before s.ln was set
	} else {
		s.accepting.Store(true)
	}
	err := s.http.Serve(ln)
	s.accepting.Store(false)
	if errors.Is(err, http.ErrServerClosed) || s.stopping.Load() {
		return nil
	}
	return err
}

// Healthy returns nil if this process can serve: it accepts connections and knows a host that
// takes requests.
func (s *Server) Healthy() error {
	switch {
	case s.stopping.Load():
		return errStopping
	case !s.accepting.Load():
		return errors.New("not accepting yet")
	case !s.loop.Ready():
		return errNoHosts
	}
	return nil
}

var (
	errStopping = errors.New("stopping")
	errNoHosts  = errors.New("no hosts known")
)

// serve answers one request, or aborts its connection if the client has left.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if connClosed(r) {
		// The request arrived while its idle connection was being closed. Its client sends it again.
		recordViolation(&s.loop.Audit.closedOwingAnswer, "request read from a connection that was closed", "id", r.Header.Get(requestIDHeader),
			"peer", r.RemoteAddr)
		return
	}
	s.setConnectionClose(w)
	head, unambiguous := takeRequestHead(r)
	if !unambiguous {
		// The bytes that follow on the connection may belong to the body of this request.
		w.Header().Set("Connection", "close")
		s.reject(w, r, http.StatusBadRequest, errAmbiguous)
		return
	}
	if r.Method == http.MethodGet && r.URL.Path == pathHealth {
		s.serveHealth(w)
		return
	}
	x, status, err := s.readRequest(w, r, head)
	if err != nil {
		s.reject(w, r, status, err)
		return
	}
	defer x.releaseBody()
	s.loop.Submit(x)
	a, ok := s.awaitAnswer(r, x)
	if !ok {
		panic(http.ErrAbortHandler) // a return would send an empty 200 response
	}
	s.setConnectionClose(w) // shutdown may have started meanwhile
	s.writeAnswer(w, r, x, a)
}

// setConnectionClose announces the end of the connection in the response if the server is
// shutting down or has more connections than its budget.
func (s *Server) setConnectionClose(w http.ResponseWriter) {
	if s.stopping.Load() || s.overBudget() {
		w.Header().Set("Connection", "close")
	}
}

// awaitAnswer waits for the final answer to x. It returns false if the client has left, and
// answerFailed if there is no answer by the deadline.
func (s *Server) awaitAnswer(r *http.Request, x *exchange) (answer, bool) {
	var bodySent chan struct{}
	clientGone, shutdown := r.Context().Done(), s.shutdownStarted
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	if x.upload != nil {
		// A body that stops arriving also ends the context, but the goroutine that reads the body
		// answers that case. The attempt sets x.deadline once it has read the whole body.
		bodySent, clientGone = x.upload.sent, nil
	}
	deadline := func() time.Time {
		if bodySent != nil {
			return s.capDeadline(x.clientDeadline()) // moves on while the body is known to be incomplete
		}
		return s.capDeadline(x.deadline)
	}
	timer.Reset(time.Until(deadline()))
	for {
		select {
		case a := <-x.answer:
			return a, true
		case <-bodySent:
			bodySent, clientGone = nil, r.Context().Done()
			timer.Reset(time.Until(deadline()))
		case <-shutdown:
			// The process exits before some of the requests that it has accepted are due.
			shutdown = nil
			timer.Reset(time.Until(deadline()))
		case <-clientGone:
			x.markClientGone()
			if x.claimAnswer() {
				s.loop.Abandon(x)
			} else {
				a := <-x.answer
				a.discard()
			}
			return answer{}, false
		case <-timer.C:
			if remaining := time.Until(deadline()); remaining > 0 {
				timer.Reset(remaining)
				continue
			}
			// The module should have answered by now. The client does not wait for it any longer.
			if x.claimAnswer() {
				s.loop.Abandon(x)
				return answer{kind: answerFailed}, true
			}
			return <-x.answer, true
		}
	}
}

// writeAnswer sends a client the final answer to its request.
func (s *Server) writeAnswer(w http.ResponseWriter, r *http.Request, x *exchange, a answer) {
	if a.release != nil {
		defer a.release()
	}
	rc := http.NewResponseController(w)
	rc.SetWriteDeadline(time.Now().Add(clientStallTimeout))
	bodyUnread := x.upload != nil && !x.upload.stop()
	if bodyUnread {
		w.Header().Set("Connection", "close") // the rest of the body would follow on the connection
	}
	if a.stream != nil {
		setHeaders(w, a.header, a.stream.length)
		err := a.stream.copyTo(w, r)
		a.stream.done <- err
		if err != nil {
			abort(r, a.stream.length)
		}
		return
	}
	writeBuffered(w, a)
	if bodyUnread {
		discardBody(w, r)
	}
}

// abort closes a connection in the middle of an answer, so that the client can tell that the
// answer is incomplete. If the end of the connection would mark the end of the answer, the
// connection is reset instead.
func abort(r *http.Request, length int64) {
	if c, ok := r.Context().Value(framedConnKey{}).(*framedConn); ok && length < 0 && !r.ProtoAtLeast(1, 1) {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
	}
	panic(http.ErrAbortHandler)
}

// discardBody reads for a while what the client still sends of a body whose request has been
// answered: closing the connection at once would reset it and could destroy the answer.
func discardBody(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(framedConnKey{}).(*framedConn)
	rc := http.NewResponseController(w)
	if !ok || r.Header.Get("Expect") != "" || rc.Flush() != nil {
		return
	}
	rc.SetReadDeadline(time.Now().Add(bodyDrainTime))
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		io.Copy(io.Discard, c.Conn) // the framing of the body is broken, or reading it was stopped
	}
}

var errAmbiguous = errors.New("it is not clear where the request ends")

// reject answers an invalid request with an error and logs it at a limited rate, so that
// operators can identify a client that misbehaves.
func (s *Server) reject(w http.ResponseWriter, r *http.Request, status int, err error) {
	if r.ContentLength != 0 {
		w.Header().Set("Connection", "close") // the rest of the body would follow on the connection
	}
	s.rejectLog.warn("request rejected", "id", r.Header.Get(requestIDHeader), "peer", r.RemoteAddr,
		"status", status, "err", err)
	writeText(w, status, err.Error())
	if r.ContentLength != 0 {
		discardBody(w, r)
	}
}

// serveHealth answers a health check with whether requests can be served.
func (s *Server) serveHealth(w http.ResponseWriter) {
	if err := s.Healthy(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ok\n")
}

// readRequest validates a request, looks up its class and tenant, and reads a body that is short
// enough to be buffered. An error comes with the HTTP status of the answer.
func (s *Server) readRequest(w http.ResponseWriter, r *http.Request, head *framing.Head) (*exchange, int, error) {
	x := &exchange{
		method: r.Method, uri: r.RequestURI, host: r.Host, url: r.URL, header: r.Header,
		clientRetry: r.Header.Get("X-Retried") == "1", answer: make(chan answer, 1),
		releaseBody: func() {}, capDeadline: s.capDeadline,
	}
	if c, ok := r.Context().Value(framedConnKey{}).(*framedConn); ok {
		x.clientGone = c.clientGone
		x.clientConn, x.head = c, head
	}
	badRequest := func(format string, args ...any) (*exchange, int, error) {
		return nil, http.StatusBadRequest, fmt.Errorf(format, args...)
	}
	if r.Header.Get(requestIDHeader) == "" {
		return badRequest("%s: missing", requestIDHeader)
	}
	if err := x.resolve(s.loop.rules.Load()); err != nil {
		return nil, http.StatusBadRequest, err
	}
	class := &x.rules.Settings.Classes[x.class]
	timeout := class.Deadline
	if v := r.Header.Get(timeoutHeader); v != "" {
		seconds, err := strconv.ParseFloat(v, 64)
		if err != nil || !(seconds >= 0) {
			return badRequest("%s: %q is no number of seconds", timeoutHeader, v)
		}
		// A client cannot extend the deadline of its class.
		timeout = time.Duration(min(seconds, timeout.Seconds()) * float64(time.Second))
	}
	x.timeout = max(0, timeout-answerMargin)
	if r.ContentLength != 0 {
		if status, err := s.readBody(w, r, x, head.StartedAt); err != nil {
			return nil, status, err
		}
	}
	x.deadline = s.capDeadline(x.clientDeadline())
	return x, 0, nil
}

// readBody buffers a body of up to maxBufferedBytes if the memory budget allows it, and prepares any
// other one to be streamed to a host. If a body of unknown length turns out to be longer, the part
// that has been read stays buffered and the rest is streamed. An error comes with the HTTP status of
// the answer.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, x *exchange, startedAt time.Time) (int, error) {
	if r.ContentLength > maxBodyBytes {
		return http.StatusRequestEntityTooLarge, errBodyTooLong
	}
	rc := http.NewResponseController(w)
	rc.EnableFullDuplex() // otherwise an early answer would wait for the body
	body := &clientBody{body: r.Body, rc: rc, startedAt: startedAt}
	size := maxBufferedBytes
	if r.ContentLength > 0 {
		size = int(min(r.ContentLength, maxBufferedBytes))
	}
	if r.ContentLength > maxBufferedBytes || !s.loop.pool.memory.acquire(size) {
		x.upload = &upload{clientBody: body, length: r.ContentLength, sent: make(chan struct{})}
		if c, ok := r.Context().Value(framedConnKey{}).(*framedConn); ok && s.loop.pool.memory.acquire(readAheadBytes) {
			c.setReadBuffer(readAheadBytes)
			x.releaseBody = func() { s.loop.pool.memory.release(readAheadBytes) }
		}
		return 0, nil
	}
	x.releaseBody = func() { s.loop.pool.memory.release(size) }
	s.setReadingBody(r, true)
	text, err := io.ReadAll(io.LimitReader(body, maxBufferedBytes+1))
	if stillOpen := s.setReadingBody(r, false); err != nil || !stillOpen {
		x.releaseBody()
		return http.StatusBadRequest, errors.New("the body did not arrive")
	}
	x.body = text
	if len(text) > maxBufferedBytes {
		x.upload = &upload{clientBody: body, length: -1, sent: make(chan struct{})}
	}
	return 0, nil
}

// resolve looks up the class and the tenant of the request in rules and stores both and the
// rules in x. An error means that the request is invalid under these rules.
func (x *exchange) resolve(rules *config.Rules) error {
	var ok bool
	if x.class, ok = rules.Classes[x.header.Get("X-Priority-Class")]; !ok {
		return fmt.Errorf("X-Priority-Class: unknown class %q", x.header.Get("X-Priority-Class"))
	}
	if len(rules.Tenants) > 0 {
		if x.tenant, ok = rules.Tenants[x.header.Get("X-Tenant-Id")]; !ok {
			return fmt.Errorf("X-Tenant-Id: unknown tenant %q", x.header.Get("X-Tenant-Id"))
		}
	}
	if rules.Settings.Classes[x.class].Effect == bramblelock.Deduplicated && x.header.Get("Idempotency-Key") == "" {
		// A retry by the module may be a duplicate, which a host can recognize by this key only.
		return errors.New("Idempotency-Key: missing, the class needs one")
	}
	x.rules = rules
	return nil
}

// setHeaders copies the end-to-end headers of a host's answer to the answer for the client. length
// is that of the body in bytes, or -1 if it is unknown.
func setHeaders(w http.ResponseWriter, hostHeader http.Header, length int64) {
	out := w.Header()
	for name, values := range endToEndHeaders(hostHeader) {
		out[name] = values
	}
	if length >= 0 {
		out.Set("Content-Length", strconv.FormatInt(length, 10))
	}
}

// writeBuffered sends a client an answer whose body is in memory. It always sets Content-Length,
// so that the client can tell that the answer is complete even if the connection ends after it. A
// failed write is ignored, as it means that the client has left.
func writeBuffered(w http.ResponseWriter, a answer) {
	status, text := http.StatusBadGateway, "failed, it may have been done"
	switch a.kind {
	case answerServed:
		setHeaders(w, a.header, int64(len(a.body)))
		w.Write(a.body)
		return
	case answerRefused:
		if a.retryAfter > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', -1, 64))
		}
		status, text = http.StatusServiceUnavailable, "turned away, trying again is harmless"
	case answerRejected:
		status, text = http.StatusBadRequest, a.err.Error()
		if errors.Is(a.err, errBodyTooLong) {
			status = http.StatusRequestEntityTooLarge
		}
	}
	writeText(w, status, text)
}

// writeText sends a line of text that the gateway itself has produced.
func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)+1))
	w.WriteHeader(status)
	io.WriteString(w, text+"\n")
}
