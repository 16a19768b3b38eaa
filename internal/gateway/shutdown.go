package gateway

import (
	"log/slog"
	"net/http"
	"time"
)

const (
	// acceptLinger is how long new connections are accepted after SIGTERM: clients still connect
	// for up to 0.4 s, requests in the listener's backlog count as accepted, and accepting them
	// takes time.
	acceptLinger = 600 * time.Millisecond
	// The gateway is killed killDelay plus the longest deadline (maxShutdownDeadline at most)
	// after SIGTERM. The last answers are due finalAnswerMargin before that, and the process stays
	// for another finalWriteTime, so that they are written.
	killDelay           = 700 * time.Millisecond
	maxShutdownDeadline = 3 * time.Second
	finalAnswerMargin   = 100 * time.Millisecond
	finalWriteTime      = 60 * time.Millisecond
)

// Shutdown ends service without losing a request that was accepted, and must be called once only.
// Meanwhile each answer announces the end of its connection. If the listener is not shared, Shutdown
// still accepts connections for acceptLinger. If it is shared, Shutdown closes it at once, as another
// process accepts what follows, but keeps the open connections for as long as a request on them can
// be answered in time (half of the longest deadline), since a request may arrive on a connection just
// as it is closed. It then closes the listener and idle connections, and waits for the requests that
// it has accepted, until finalWriteTime after the last answers are due at most. An answer that is being streamed
// then goes on to its end: a process that ended would cut it off.
func (s *Server) Shutdown() {
	now := time.Now()
	maxDeadline := min(s.loop.rules.Load().LongestDeadline(), maxShutdownDeadline)
	s.finalAnswerAt = now.Add(killDelay + maxDeadline - finalAnswerMargin)
	s.stopping.Store(true)
	close(s.shutdownStarted)
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	if s.cfg.AcceptFD != 0 {
		s.loop.pool.SetOverlap(true)
		if ln := s.ln.Load(); ln != nil {
			(*ln).Close()
		}
		// Once Serve has returned, all connections that it accepted are in s.conns.
		closeIdleAt := s.finalAnswerAt.Add(-maxDeadline / 2)
		for (s.accepting.Load() || s.hasConns()) && time.Now().Before(closeIdleAt) {
			<-tick.C
		}
	} else {
		time.Sleep(acceptLinger)
	}
	if ln := s.ln.Load(); ln != nil {
		(*ln).Close()
	}
	s.closeIdleConns()
	s.awaitRequests(tick, s.finalAnswerAt.Add(finalWriteTime))
	s.awaitStreams(tick)
}

// awaitRequests waits until no request is being served, and not beyond a time.
func (s *Server) awaitRequests(tick *time.Ticker, until time.Time) {
	// Once Serve has returned, all connections that it accepted are in s.conns.
	for (s.accepting.Load() || !s.closeUnused()) && time.Now().Before(until) {
		<-tick.C
	}
}

// awaitStreams waits until no answer is being streamed, and the ends of those that were have been written.
func (s *Server) awaitStreams(tick *time.Ticker) {
	streams := &s.loop.pool.streams
	if streams.count() == 0 {
		return
	}
	slog.Info("long answers are still being written", "answers", streams.count())
	for streams.count() > 0 {
		<-tick.C
	}
	s.awaitRequests(tick, time.Now().Add(finalWriteTime))
}

// hasConns returns whether any client is still connected.
func (s *Server) hasConns() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) > 0
}

// closeUnused closes connections on which no request is being served, but no new connection before its
// client has had acceptLinger to send the first request. It returns whether none is left, and stops at
// the first one that cannot be closed yet. A request that is read after that finds its connection
// closed and is not sent to a host.
func (s *Server) closeUnused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, cs := range s.conns {
		young := time.Since(cs.since) < acceptLinger
		class := evictWithoutHead
		switch {
		case cs.state == http.StateActive || cs.state == http.StateNew && young:
			return false
		case cs.state == http.StateIdle && receivingHead(c, acceptLinger):
			class = evictIdle // the rest of the head may be on its way
		}
		if !evictConn(c, class) {
			return false
		}
		delete(s.conns, c)
	}
	return true
}

// closeIdleConns closes the idle connections, and makes trackConn close those that become idle from
// now on. http.Server.Shutdown would do the same, but by the state that it knows, which is behind what
// has been read.
func (s *Server) closeIdleConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closingIdle = true
	for c, cs := range s.conns {
		if cs.state == http.StateIdle && evictConn(c, evictIdle) {
			delete(s.conns, c)
		}
	}
}

// capDeadline returns t or, if that is earlier, the time by which all answers are due at shutdown.
func (s *Server) capDeadline(t time.Time) time.Time {
	if s.stopping.Load() && t.After(s.finalAnswerAt) {
		return s.finalAnswerAt
	}
	return t
}
