package fleetlab

import (
	"sync"
	"time"
)

// ledger is what clients and servers of a soak have seen, by request.
type ledger struct {
	mu            sync.Mutex
	requests      map[string]*soakRequest
	order         []string
	resent        map[string]bool // ids of requests that their clients sent once more under another
	badClients    []badClient
	drains        []hostDrain
	hostStarts    []hostStart
	outages       []outage
	connFloods    []connFlood
	exits         []processExit
	startFailures []string // of processes to start
	pauses        []string // of the soak itself
}

func newLedger() *ledger {
	return &ledger{requests: map[string]*soakRequest{}, resent: map[string]bool{}}
}

// span is a stretch of time; an end of zero means that it lasts.
type span struct{ from, to time.Time }

// endOrNow is when a span ended, or now.
func (s span) endOrNow() time.Time {
	if s.to.IsZero() {
		return time.Now()
	}
	return s.to
}

// outage is a trouble of discovery, or of the way to it.
type outage struct {
	span
	reachable bool // it is slow, or one instance of several is away
}

// connFlood is a time for which idle clients hold all the places of a gateway.
type connFlood struct {
	span
	gateway string
}

// soakRequest is one request of a client as the client saw it, and its runs as servers saw them.
type soakRequest struct {
	id          string
	class       *soakClass
	gateway     string
	generation  int // of the gateway's process
	newConn     bool
	slowWrite   bool
	firstByteAt time.Time // first byte
	sentAt      time.Time // last byte written
	abandonedAt time.Time // the client closed its connection; zero: it stayed
	endedAt     time.Time // it had its answer, or the end of the connection
	status      int       // 0: no whole answer
	err         error
	retryOf     string // the request that this one is in place of, as it crossed a close
	attempts    []soakAttempt
}

// soakAttempt is one request as a server got it.
type soakAttempt struct {
	host        string
	firstByteAt time.Time // its first byte
	receivedAt  time.Time // its last byte
	timeout     time.Duration
	rejected    bool // turned away: it never ran
	stalled     bool // it took the body late, whenever that had come
}

// badClient is a peer that brought no proper request, and when it was let go.
type badClient struct {
	kind, gateway string
	generation    int
	sentAt        time.Time
	closedAfter   time.Duration // until an error or the end; 0: neither came
}

// hostDrain is a server that began to drain, as discovery acknowledged it.
type hostDrain struct {
	host       string
	ackedAt    time.Time
	relistedAt time.Time // it was listed anew; zero: not yet
}

// hostStart is a server that was listed as just started.
type hostStart struct {
	host    string
	ackedAt time.Time
}

// processExit is the end of a process of a gateway.
type processExit struct {
	gateway    string
	generation int
	termAt     time.Time // SIGTERM; zero: it was killed outright
	killAt     time.Time // SIGKILL; zero: it ended by itself
	endedAt    time.Time
	exitCode   int
	logPath    string // its log from its last start on
}

func (l *ledger) addRequest(req *soakRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[req.id] = req
	l.order = append(l.order, req.id)
	if req.retryOf != "" {
		l.resent[req.retryOf] = true
	}
}

// update changes something under the lock.
func (l *ledger) update(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

// addAttempt notes a request that came to a server; an id that no client sent is noted too.
func (l *ledger) addAttempt(id string, attempt soakAttempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	req := l.requests[id]
	if req == nil {
		req = &soakRequest{id: id}
		l.requests[id] = req
		l.order = append(l.order, id)
	}
	req.attempts = append(req.attempts, attempt)
}
