package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// A connection that has brought no whole request for this long makes room when there are
	// too many: a client that means to ask has done so by then, and who sends nothing, or
	// never the end of a head or body, must not keep others waiting.
	newLeast = 500 * time.Millisecond
	// roomEvery is the time between two looks for room while no connection can be taken.
	roomEvery = 20 * time.Millisecond
)

// connState is what a client's connection is doing, and since when.
type connState struct {
	state   http.ConnState
	reading bool // the body of its request is coming in: it is not taken yet
	since   time.Time
}

// rank orders connections that make room, the first to go lowest; false: it holds a request.
func (cs connState) rank() (int, bool) {
	young := time.Since(cs.since) < newLeast
	switch {
	case cs.state == http.StateIdle:
		return 0, true
	case cs.state == http.StateNew && !young:
		return 1, true
	case cs.reading && !young:
		return 2, true
	}
	return 0, false
}

// clientListener takes no more connections than the clients' share of descriptors. What
// comes beyond that waits in the listener's backlog.
type clientListener struct {
	framedListener
	server *Server
	once   sync.Once
	done   chan struct{} // closed with the listener
}

func (l *clientListener) Accept() (net.Conn, error) {
	if err := l.slot(); err != nil {
		return nil, err
	}
	release := sync.OnceFunc(func() { <-l.server.slots })
	c, err := l.framedListener.Accept()
	if err != nil {
		release()
		return nil, err
	}
	c.(*framedConn).release = release
	return c, nil
}

// slot waits until another connection may be open.
func (l *clientListener) slot() error {
	select {
	case l.server.slots <- struct{}{}:
		return nil
	default:
	}
	tick := time.NewTicker(roomEvery)
	defer tick.Stop()
	for {
		select {
		case l.server.slots <- struct{}{}:
			return nil
		case <-l.done:
			return net.ErrClosed
		case <-tick.C:
			l.server.makeRoom()
		}
	}
}

func (l *clientListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.framedListener.Close()
}

// crowded says whether there are more connections than the budget even with none left that
// can make room; they are then closed behind their answers.
func (s *Server) crowded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) > s.budget
}

// track follows the clients' connections. Beyond the budget it closes one that holds no
// request: it guards against running out of descriptors with requests in the backlog.
func (s *Server) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.conns, c)
		return
	}
	if state == http.StateIdle && s.leaving {
		delete(s.conns, c)
		c.Close()
		return
	}
	s.conns[c] = connState{state: state, since: time.Now()}
	if len(s.conns) > s.budget {
		s.evict()
	}
}

// makeRoom closes a connection that holds no request, if there is one.
func (s *Server) makeRoom() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evict()
}

// evict closes the connection that was idle longest or, with none idle, one that has brought
// no whole request for long; s.mu is held.
func (s *Server) evict() {
	var out net.Conn
	var first int
	for c, cs := range s.conns {
		rank, ok := cs.rank()
		if ok && (out == nil || rank < first || rank == first && cs.since.Before(s.conns[out].since)) {
			out, first = c, rank
		}
	}
	if out != nil {
		delete(s.conns, out)
		out.Close()
	}
}

// reading notes that the body of a request is being read, or has been, and says whether its
// connection is still there: what was evicted is not sent on.
func (s *Server) reading(r *http.Request, on bool) bool {
	c, _ := r.Context().Value(framedKey{}).(*framedConn)
	s.mu.Lock()
	defer s.mu.Unlock()
	cs, ok := s.conns[c]
	if ok {
		cs.reading, cs.since = on, time.Now()
		s.conns[c] = cs
	}
	return ok
}
