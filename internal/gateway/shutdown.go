package gateway

import (
	"net/http"
	"time"
)

const (
	// Clients still come for up to 0.4 s after SIGTERM, and what waits in the
	// listener's backlog counts as taken: lingerTime is that and room to accept it.
	lingerTime = 600 * time.Millisecond
	// At this long after SIGTERM and the longest deadline (exitDeadline at most), the
	// gateway is killed. The last answers are due stopMargin before that, and the process
	// stays for writeMargin more, so that they get out.
	exitTime     = 700 * time.Millisecond
	exitDeadline = 3 * time.Second
	stopMargin   = 100 * time.Millisecond
	writeMargin  = 60 * time.Millisecond
)

// Shutdown ends service in order. With a listener of its own it goes on taking what still
// comes, asking clients to leave, then closes the listener and idle connections and
// waits for what was taken. A shared listener it leaves at once: another process takes
// what comes. The connections it has it then keeps for as long as a request on them can
// be answered in time, as closing one may cross a request.
func (s *Server) Shutdown() {
	now := time.Now()
	most := min(s.loop.rules.Load().longest(), exitDeadline)
	s.exitAt = now.Add(exitTime + most - stopMargin)
	s.stopping.Store(true)
	close(s.stopped)
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	if s.cfg.AcceptFD != 0 {
		s.loop.pool.Overlap(true)
		if ln := s.ln.Load(); ln != nil {
			(*ln).Close()
		}
		// Once Serve has returned, whatever it accepted is counted as connected.
		leave := s.exitAt.Add(-most / 2)
		for (s.accepting.Load() || s.connected()) && time.Now().Before(leave) {
			<-tick.C
		}
	} else {
		time.Sleep(lingerTime)
	}
	if ln := s.ln.Load(); ln != nil {
		(*ln).Close()
	}
	s.closeIdle()
	// Once Serve has returned, whatever it accepted is counted as connected.
	for gone := s.exitAt.Add(writeMargin); (s.accepting.Load() || !s.finish()) && time.Now().Before(gone); {
		<-tick.C
	}
}

// connected says whether any client is still connected.
func (s *Server) connected() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) > 0
}

// finish closes what holds no request and may not yet bring its first, and says whether that
// was all. A request that is read after it finds its connection closed, and is not sent on.
func (s *Server) finish() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, cs := range s.conns {
		young := time.Since(cs.since) < lingerTime
		why := roomWithoutHead
		switch {
		case cs.state == http.StateActive || cs.state == http.StateNew && young:
			return false
		case cs.state == http.StateIdle && bringsHead(c, lingerTime):
			why = roomResting // the rest of it may be on its way
		}
		if !closeFor(c, why) {
			return false
		}
		delete(s.conns, c)
	}
	return true
}

// closeIdle closes the connections that hold no request, and has those closed that hold
// none from now on. http.Server.Shutdown would do it as well, but by what it knows of them,
// which is behind what was read.
func (s *Server) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	for c, cs := range s.conns {
		if cs.state == http.StateIdle && closeFor(c, roomResting) {
			delete(s.conns, c)
		}
	}
}

// due is when an answer is due: all are before the process ends.
func (s *Server) due(t time.Time) time.Time {
	if s.stopping.Load() && t.After(s.exitAt) {
		return s.exitAt
	}
	return t
}
