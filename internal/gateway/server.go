// Package gateway is the gateway process around the decision module, package bramblelock. It speaks
// HTTP with clients, hosts and discovery, and leaves every decision to the Balancer.
package gateway

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"bramblelock"
	"bramblelock/internal/gateway/config"
	"bramblelock/internal/listener"
)

// Shares of the descriptor limit in percent. The rest is left for the listener, discovery and
// the descriptors of the runtime.
const (
	// maxClientConnPercent limits the connections of clients, unless memory limits them further. At the
	// limit, no connection is accepted until a slot is free. While all slots are taken, a connection is
	// evicted every evictionInterval, if one can be.
	maxClientConnPercent = 60
	maxHostConnPercent   = 35 // hard limit on the connections to hosts, unless memory limits them further

	// clientConnBudgetShare is the share of the limit on client connections, in percent, above which
	// connections are still accepted, but each change of the state of a connection, except its end,
	// evicts one, if there is one that has rested or lacks a whole request for a while. At the limit every
	// answer announces the close of its connection.
	clientConnBudgetShare = 92
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
	connBudget int // number of client connections above which some are evicted; see clientConnBudgetShare
	headBudget *memoryBudget

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
	maxConns := maxClientConns(cfg)
	s := &Server{
		cfg: cfg, loop: loop, connBudget: maxConns * clientConnBudgetShare / 100,
		conns: map[net.Conn]connState{}, shutdownStarted: make(chan struct{}),
		connSlots:  make(chan struct{}, maxConns),
		headBudget: newHeadBudget(cfg),
	}
	s.http = http.Server{
		Handler:           http.HandlerFunc(s.serve), // no ServeMux, which would clean paths and redirect
		ConnState:         s.trackConn,
		ConnContext:       withFramedConn,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       requestTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeadBytes, // framedConn bounds the fields and the memory of heads

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
		s.reject(w, r, errAmbiguous)
		return
	}
	if r.Method == http.MethodGet && r.URL.Path == pathHealth {
		s.serveHealth(w)
		return
	}
	x := s.newExchange(r, head)
	defer s.releaseBody(x)
	if err := s.readRequest(w, r, x); err != nil {
		s.reject(w, r, err)
		return
	}
	s.loop.Submit(x)
	a, ok := s.awaitAnswer(r, x)
	if !ok {
		panic(http.ErrAbortHandler) // a return would send an empty 200 response
	}
	s.setConnectionClose(w) // shutdown may have started meanwhile
	s.writeAnswer(w, r, x, a)
}

// setConnectionClose announces the end of the connection in the response if the server is
// shutting down or can accept no more connections.
func (s *Server) setConnectionClose(w http.ResponseWriter) {
	if s.stopping.Load() || s.allSlotsTaken() {
		w.Header().Set("Connection", "close")
	}
}

// allSlotsTaken returns whether no more connections can be accepted.
func (s *Server) allSlotsTaken() bool { return len(s.connSlots) == cap(s.connSlots) }

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
			s.dropForClientGone(x)
			return answer{}, false
		case <-timer.C:
			if remaining := time.Until(deadline()); remaining > 0 {
				timer.Reset(remaining)
				continue
			}
			return s.answerAtDeadline(x), true
		}
	}
}

// dropForClientGone ends x, whose client has left, without an answer.
func (s *Server) dropForClientGone(x *exchange) {
	x.markClientGone()
	if x.claimAnswer() {
		s.loop.Abandon(x)
		return
	}
	a := <-x.answer
	a.discard()
}

// answerAtDeadline returns the answer to x when it is due. The module should have answered by then, and
// the client does not wait for it any longer.
func (s *Server) answerAtDeadline(x *exchange) answer {
	if x.claimAnswer() {
		s.loop.pool.endings.requestEnded(x, false, bramblelock.DeadlineNear, nil)
		s.loop.Abandon(x)
		return answer{kind: answerFailed}
	}
	return <-x.answer
}

var errAmbiguous = errors.New("it is not clear where the request ends")

// serveHealth answers a health check with whether requests can be served.
func (s *Server) serveHealth(w http.ResponseWriter) {
	if err := s.Healthy(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ok\n")
}
