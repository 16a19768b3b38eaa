package soak

import (
	"sync"
	"time"
)

// ledger records what the clients and hosts of a soak have seen, and the disruptions, process exits and
// pauses that the judge takes into account.
type ledger struct {
	mu            sync.Mutex          // guards all other fields and changes of the records that they refer to
	requests      map[string]*request // by id
	order         []string            // ids in the order of their first record
	resent        map[string]bool     // ids of requests that their clients sent again under another id
	badClients    []badClient
	drains        []hostDrain
	hostStarts    []hostStart
	outages       []outage
	connFloods    []connFlood
	exits         []processExit
	startFailures []string // messages on gateway processes that were not ready in time
	pauses        []string // messages on pauses of the soak process
}

func newLedger() *ledger {
	return &ledger{requests: map[string]*request{}, resent: map[string]bool{}}
}

// span is a period of time. A zero end means that it still lasts.
type span struct{ from, to time.Time }

// endOrNow returns the end of the span, or the current time while it lasts.
func (s span) endOrNow() time.Time {
	if s.to.IsZero() {
		return time.Now()
	}
	return s.to
}

// outage is a disruption of discovery or of the connections to it.
type outage struct {
	span
	reachable bool // discovery can be reached: it is slow, or only one of several catalogs is down
}

// connFlood is a period in which idle clients hold all connections of a gateway.
type connFlood struct {
	span
	gateway string
}

// request is one request as its client saw it, with its attempts as the hosts saw them.
type request struct {
	id          string
	class       *requestClass // nil: a host received the request but no client sent it
	gateway     string
	generation  int       // of the process of the gateway
	newConn     bool      // the request is the first on its connection
	slowWrite   bool      // the request was written in pieces
	longAnswer  bool      // the request asks for a long answer
	firstByteAt time.Time // just before the first byte is written
	sentAt      time.Time // when the last byte was written; zero: it was not
	abandonedAt time.Time // when the client closed its connection without waiting; zero: it waited for the answer
	answeredAt  time.Time // when the first byte of the answer arrived; zero: none did
	endedAt     time.Time // when the answer arrived or the connection ended
	status      int       // HTTP status; 0: no complete answer
	err         error     // why there is no complete answer
	retryOf     string    // id of the request that this one replaces, whose connection ended without an answer; empty: none
	attempts    []attempt
}

// attempt is one attempt as a host received it.
type attempt struct {
	host        string
	firstByteAt time.Time     // when the first byte was received
	receivedAt  time.Time     // when the last byte was received
	timeout     time.Duration // X-Timeout that the gateway sent
	longAnswer  *longAnswer   // nil: the host gave none
	rejected    bool          // the host answered X-Not-Processed and did not execute it
	stalled     bool          // the host read the body late, so the body may have arrived before receivedAt
}

// badClient is a client that sends no valid request, and how long its connection was kept.
type badClient struct {
	kind, gateway string
	generation    int
	sentAt        time.Time     // just before its last bytes are written
	closedAfter   time.Duration // time until an answer or the end of the connection; 0: neither came
}

// hostDrain is a host that began to drain.
type hostDrain struct {
	host       string
	ackedAt    time.Time // when discovery acknowledged the change
	relistedAt time.Time // just before the host is listed as ready again; zero: not yet
}

// hostStart is a host that was listed as just started.
type hostStart struct {
	host    string
	ackedAt time.Time // when discovery acknowledged the change
}

// processExit is the end of a gateway process.
type processExit struct {
	gateway    string
	generation int
	termAt     time.Time // time of the SIGTERM; zero: it was not sent
	killAt     time.Time // time of the SIGKILL; zero: it was not sent
	endedAt    time.Time
	exitCode   int
	logPath    string // log file of this process
}

// addRequest records a request that a client is about to send.
func (l *ledger) addRequest(req *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[req.id] = req
	l.order = append(l.order, req.id)
	if req.retryOf != "" {
		l.resent[req.retryOf] = true
	}
}

// update runs a change of the ledger or of a record in it under the lock.
func (l *ledger) update(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

// addAttempt records an attempt that a host received. If no client has sent a request of that id, it adds a
// request without a class.
func (l *ledger) addAttempt(id string, attempt attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	req := l.requests[id]
	if req == nil {
		req = &request{id: id}
		l.requests[id] = req
		l.order = append(l.order, id)
	}
	req.attempts = append(req.attempts, attempt)
}
