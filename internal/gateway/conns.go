package gateway

import (
	"log/slog"
	"net"
	"net/http"
	"slices"
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

// room is which connections make room, the first to go lowest.
type room int

const (
	roomNone room = iota // it holds a request
	roomResting
	roomWithoutHead
	roomWithoutBody
)

// room says where among those that make room a connection is by what net/http tells of it,
// which may be behind what was read.
func (cs connState) room() room {
	young := time.Since(cs.since) < newLeast
	switch {
	case cs.state == http.StateIdle:
		return roomResting
	case cs.state == http.StateNew && !young:
		return roomWithoutHead
	case cs.reading && !young:
		return roomWithoutBody
	}
	return roomNone
}

// closeFor closes a connection to make room, unless more has come in than was told.
func closeFor(c net.Conn, why room) (closed bool) {
	framed, ok := c.(*framedConn)
	switch {
	case !ok || why == roomNone:
		return false
	case why == roomResting:
		closed = framed.closeResting()
	case why == roomWithoutHead:
		closed = framed.closeWithoutHead()
	default:
		closed = framed.closeWithoutBody()
	}
	if closed {
		slog.Debug("client's connection closed to make room", "peer", c.RemoteAddr(), "why", why.String())
	}
	return closed
}

// String says what a connection brings, for the log.
func (r room) String() string {
	return [...]string{"holds a request", "rests", "brings no head", "brings no body"}[r]
}

// bringsHead says whether a connection has brought a part of a head, for less than so long.
func bringsHead(c net.Conn, most time.Duration) bool {
	framed, ok := c.(*framedConn)
	if !ok {
		return false
	}
	framed.mu.Lock()
	defer framed.mu.Unlock()
	return framed.at == inHead && time.Since(framed.head.began) < most
}

// clientListener takes no more connections than the clients' share of descriptors. What
// comes beyond that waits in the listener's backlog.
type clientListener struct {
	framedListener
	backlog *backlog
	server  *Server
	once    sync.Once
	done    chan struct{} // closed with the listener
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
			l.backlog.look()
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
	if framed, ok := c.(*framedConn); ok {
		framed.setIdle(state == http.StateIdle)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.conns, c)
		return
	}
	if state == http.StateIdle && s.leaving && closeFor(c, roomResting) {
		delete(s.conns, c)
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
// no whole request for long; s.mu is held. It looks at each connection once: many may rest with
// a part of a request, which none of them is closed for here.
func (s *Server) evict() {
	s.candidates = s.candidates[:0]
	for c, cs := range s.conns {
		if room := cs.room(); room != roomNone {
			s.candidates = append(s.candidates, candidate{c, room, cs.since})
		}
	}
	defer clear(s.candidates) // what is closed goes
	slices.SortFunc(s.candidates, candidate.compare)
	for _, next := range s.candidates {
		if closeFor(next.conn, next.room) {
			delete(s.conns, next.conn)
			return
		}
	}
}

// candidate is a connection that may make room.
type candidate struct {
	conn  net.Conn
	room  room
	since time.Time
}

// compare orders candidates, the first to go first.
func (a candidate) compare(b candidate) int {
	if a.room != b.room {
		return int(a.room - b.room)
	}
	return a.since.Compare(b.since)
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
