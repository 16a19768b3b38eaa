package fleetlab

import (
	"sync"
	"time"
)

// ledger is what clients and servers of a soak have seen, by request.
type ledger struct {
	mu       sync.Mutex
	ops      map[string]*soakOp
	order    []string
	again    map[string]bool // ids of requests that their clients sent once more under another
	bad      []badClient
	drains   []soakDrain
	starts   []soakStart
	outages  []outage
	crowds   []crowd
	deaths   []death
	failures []string // of processes to start
	heldUp   []string // of the soak itself
}

func newLedger() *ledger { return &ledger{ops: map[string]*soakOp{}, again: map[string]bool{}} }

// span is a stretch of time; an end of zero means that it lasts.
type span struct{ from, to time.Time }

// end is when a span ended, or now.
func (s span) end() time.Time {
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

// crowd is a time for which idle clients hold all the places of a gateway.
type crowd struct {
	span
	gateway string
}

// soakOp is one request of a client as the client saw it, and its runs as servers saw them.
type soakOp struct {
	id      string
	class   *soakClass
	gateway string
	life    int // of the gateway's process
	fresh   bool
	slow    bool
	began   time.Time // first byte
	whole   time.Time // last byte written
	left    time.Time // the client closed its connection; zero: it stayed
	ended   time.Time // it had its answer, or the end of the connection
	status  int       // 0: no whole answer
	err     error
	retryOf string // the request that this one is in place of, as it crossed a close
	runs    []soakRun
}

// soakRun is one request as a server got it.
type soakRun struct {
	server  string
	first   time.Time // its first byte
	whole   time.Time // its last byte
	told    time.Duration
	turned  bool // turned away: it never ran
	stalled bool // it took the body late, whenever that had come
}

// badClient is a peer that brought no proper request, and when it was let go.
type badClient struct {
	kind, gateway string
	life          int
	from          time.Time
	took          time.Duration // until an error or the end; 0: neither came
}

// soakDrain is a server that began to drain, as discovery acknowledged it.
type soakDrain struct {
	server string
	at     time.Time
	back   time.Time // it was listed anew; zero: not yet
}

// soakStart is a server that was listed as just started.
type soakStart struct {
	server string
	at     time.Time
}

// death is the end of a process of a gateway.
type death struct {
	gateway string
	life    int
	term    time.Time // SIGTERM; zero: it was killed outright
	kill    time.Time // SIGKILL; zero: it ended by itself
	ended   time.Time
	code    int
	log     string // its log from its last start on
}

func (l *ledger) begin(op *soakOp) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ops[op.id] = op
	l.order = append(l.order, op.id)
	if op.retryOf != "" {
		l.again[op.retryOf] = true
	}
}

// note changes something under the lock.
func (l *ledger) note(do func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	do()
}

// run notes a request that came to a server; an id that no client sent is noted too.
func (l *ledger) run(id string, r soakRun) {
	l.mu.Lock()
	defer l.mu.Unlock()
	op := l.ops[id]
	if op == nil {
		op = &soakOp{id: id}
		l.ops[id] = op
		l.order = append(l.order, id)
	}
	op.runs = append(op.runs, r)
}
