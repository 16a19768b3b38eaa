package gateway

import (
	"log/slog"
	"net"
	"net/http"
	"slices"
	"time"
)

const (
	// minEvictionAge is how long a connection must have been in its state before it can be closed to
	// make room while it lacks a whole head or body: a client that means to send a request has done
	// so by then, and a peer that sends nothing, or never the end of a head or body, must not keep
	// others waiting. An idle connection can be closed at any age.
	minEvictionAge = 500 * time.Millisecond
	// restedAge is how long a connection must have been idle to be closed ahead of those that lack a
	// whole head or body: its client may use it again soon, and a new one may have to wait for a slot.
	restedAge = 2 * time.Second
	// evictionInterval is the time between two evictions while all slots are taken.
	evictionInterval = 20 * time.Millisecond
)

// connState is the state of a client's connection and the time of its last change.
type connState struct {
	state       http.ConnState
	readingBody bool // the body of its request is being received, and the request is not submitted yet
	since       time.Time
}

// evictionClass orders connections by which is closed first to make room: the one with the lowest
// class above notEvictable.
type evictionClass int

const (
	notEvictable     evictionClass = iota // a request is being served, or has had less than minEvictionAge to arrive
	evictRested                           // the connection has had an answer and nothing of a request since, for restedAge
	evictWithoutHead                      // new, or part of the next head has been read, for minEvictionAge, and no whole head has arrived
	evictWithoutBody                      // its short body has been read for minEvictionAge and has not arrived whole, or nothing of a long one has come for as long
	evictIdle                             // the same as evictRested, for any time
)

// evictionClass returns the class of a connection by its state, and since when it has had it.
// net/http reports a connection as idle until the head of its next request is complete, so an idle
// connection is asked whether it has read part of one. That part is given as much time as the head of
// a new connection.
func (cs connState) evictionClass(c net.Conn) (evictionClass, time.Time) {
	class, since := notEvictable, cs.since
	switch {
	case cs.state == http.StateIdle:
		headStart := partialHeadStart(c)
		switch {
		case headStart.IsZero() && time.Since(since) >= restedAge:
			return evictRested, since
		case headStart.IsZero():
			return evictIdle, since
		}
		class, since = evictWithoutHead, laterOf(since, headStart)
	case cs.state == http.StateNew:
		class = evictWithoutHead
	case cs.readingBody:
		class = evictWithoutBody
	default:
		lastPiece := incompleteBodyReadAt(c)
		if lastPiece.IsZero() {
			return notEvictable, since
		}
		class, since = evictWithoutBody, lastPiece
	}
	if time.Since(since) < minEvictionAge {
		return notEvictable, since
	}
	return class, since
}

// partialHeadStart returns when the first byte of a head that is being received was read, or the zero
// time if there is no such head.
func partialHeadStart(c net.Conn) time.Time {
	framed, ok := c.(*framedConn)
	if !ok {
		return time.Time{}
	}
	framed.mu.Lock()
	defer framed.mu.Unlock()
	if !framed.parser.HasPartialHead() {
		return time.Time{}
	}
	return framed.parser.HeadStartedAt()
}

// incompleteBodyReadAt returns when bytes of the body that is arriving were last read, or the zero time if none is
// arriving.
func incompleteBodyReadAt(c net.Conn) time.Time {
	framed, ok := c.(*framedConn)
	if !ok {
		return time.Time{}
	}
	framed.mu.Lock()
	defer framed.mu.Unlock()
	if framed.parser.InHead() {
		return time.Time{}
	}
	return framed.lastReadAt
}

// evictConn closes a connection, unless it is not evictable or more has arrived on it than its class
// says, and returns whether it did.
func evictConn(c net.Conn, class evictionClass) (closed bool) {
	framed, ok := c.(*framedConn)
	switch {
	case !ok || class == notEvictable:
		return false
	case class == evictRested || class == evictIdle:
		closed = framed.closeIfIdle()
	case class == evictWithoutHead:
		closed = framed.closeIfNoHead()
	default:
		closed = framed.closeIfBodyIncomplete()
	}
	if closed {
		slog.Debug("client connection evicted", "peer", c.RemoteAddr(), "why", class.String())
	}
	return closed
}

// String describes what the connection holds or lacks, for the log.
func (c evictionClass) String() string {
	return [...]string{"holds a request", "rests", "brings no head", "brings no body", "is idle"}[c]
}

// receivingHead returns whether part of a head has arrived on a connection, the first byte of it
// less than maxAge ago.
func receivingHead(c net.Conn, maxAge time.Duration) bool {
	framed, ok := c.(*framedConn)
	if !ok {
		return false
	}
	framed.mu.Lock()
	defer framed.mu.Unlock()
	return time.Since(framed.parser.HeadStartedAt()) < maxAge
}

// trackConn records the state of a client's connection. Above the budget it evicts a connection, if
// it can, so that descriptors do not run out while requests wait in the backlog.
func (s *Server) trackConn(c net.Conn, state http.ConnState) {
	if framed, ok := c.(*framedConn); ok {
		framed.setState(state)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.conns, c)
		return
	}
	if state == http.StateIdle && s.closingIdle && evictConn(c, evictIdle) {
		delete(s.conns, c)
		return
	}
	s.conns[c] = connState{state: state, since: time.Now()}
	if len(s.conns) > s.connBudget {
		s.evictLocked()
	}
}

// evictOne evicts one connection, if one is evictable, and returns whether it did.
func (s *Server) evictOne() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evictLocked()
}

// evictWaitingBody evicts the connection whose body has been read for longest and has not arrived whole, if one
// has been read for minEvictionAge.
func (s *Server) evictWaitingBody() {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldest := evictionCandidate{}
	for c, cs := range s.conns {
		class, since := cs.evictionClass(c)
		if class == evictWithoutBody && (oldest.conn == nil || since.Before(oldest.since)) {
			oldest = evictionCandidate{c, class, since}
		}
	}
	if oldest.conn != nil && evictConn(oldest.conn, oldest.class) {
		delete(s.conns, oldest.conn)
	}
}

// evictLocked closes the connection with the lowest evictionClass that can be closed, and of these the one
// that has been in its state for longest. The caller holds s.mu. The candidates are
// sorted once and each is checked once, in place of a new search after each one that cannot be
// closed: many may have received bytes that are not read yet, and none of those can be closed. It returns whether it
// closed one.
func (s *Server) evictLocked() bool {
	s.evictionCandidates = s.evictionCandidates[:0]
	for c, cs := range s.conns {
		if class, since := cs.evictionClass(c); class != notEvictable {
			s.evictionCandidates = append(s.evictionCandidates, evictionCandidate{c, class, since})
		}
	}
	defer clear(s.evictionCandidates) // drops the references to closed connections
	slices.SortFunc(s.evictionCandidates, evictionCandidate.compare)
	for _, next := range s.evictionCandidates {
		if evictConn(next.conn, next.class) {
			delete(s.conns, next.conn)
			return true
		}
	}
	return false
}

// evictionCandidate is a connection that may be evicted.
type evictionCandidate struct {
	conn  net.Conn
	class evictionClass
	since time.Time
}

// compare orders the candidates that are evicted first before others.
func (a evictionCandidate) compare(b evictionCandidate) int {
	if a.class != b.class {
		return int(a.class - b.class)
	}
	return a.since.Compare(b.since)
}

// setReadingBody records whether the body of a request is being read, and returns whether its
// connection is still open: the request of an evicted connection is not sent to a host.
func (s *Server) setReadingBody(r *http.Request, on bool) bool {
	c := connOf(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	cs, ok := s.conns[c]
	if ok {
		cs.readingBody, cs.since = on, time.Now()
		s.conns[c] = cs
	}
	return ok
}
