// Package lynxspool makes the decisions of an HTTP load balancer that runs as
// a bank of proxies, one or a thousand: where each request goes, when it is tried
// again, when it is turned away.
//
// A [Balancer] is a state machine without I/O. The gateway that embeds it
// reports what happens (a request arrives, an attempt ends, a timer rings, the
// host list changes) by calling one method per event, each with the current
// time, and then carries out the [Action] values it collects with
// [Balancer.TakeActions]. The balancer starts no goroutine, reads no clock and does
// no I/O; the same events and seed always lead to the same actions.
//
// The balancer keeps no slice that it is given, and what TakeActions appends belongs to
// the caller; in steady state neither side allocates. A balancer keeps a request
// until it has its answer and all its attempts have ended, and a removed host until
// its last attempt has. To start again after a restart, pass the host list saved
// last as ListSaved right after Start.
//
// A Balancer is not safe for concurrent use. A gateway with several threads
// runs one Balancer in one event loop, or one Balancer a thread with Instances
// raised accordingly.
//
// This file is the whole interface; the decisions are in balancer.go, aperture.go,
// cold.go, asking.go, notified.go and view.go.
package lynxspool

import (
	"strconv"
	"time"
)

// Time is an instant on the gateway's own monotonic clock, as the time since
// an arbitrary start. It must never go backward.
type Time = time.Duration

// HostID names a host. The balancer compares IDs and reads nothing into them.
type HostID uint64

// RequestID names a client request, below 1<<56. An ID must not be used again
// while the gateway still holds a request or an attempt under it.
type RequestID uint64

// Effect says what a repeat of a request may do.
type Effect uint8

// Effects of a class.
const (
	Idempotent   Effect = iota // may run any number of times
	Deduplicated               // hosts of one Group drop repeats for a Window
	AtMostOnce                 // must never run twice
)

// DedupScope says which hosts drop the repeats of a keyed request.
type DedupScope uint8

// Groups of a keyed class.
const (
	DedupAll  DedupScope = iota // every host
	DedupZone                   // the hosts of one zone
	DedupCell                   // the hosts of one cell
)

// Class describes one kind of request.
type Class struct {
	Name           string        // optional; tells at UpdateSettings which classes stay
	LatencyTarget  time.Duration // an answer within it earns the full worth; 0: the Deadline
	Deadline       time.Duration // how long a client waits in all
	PriorityWeight float64       // worth of an answer; 0 counts as 1
	Effect         Effect
	DedupScope     DedupScope    // for Deduplicated
	DedupWindow    time.Duration // for Deduplicated: counted from the first attempt that may have run
}

// Tenant describes one customer. Quota is its requests a second over all
// instances; 0 means no quota.
type Tenant struct {
	Quota float64
}

// Settings is what a Balancer knows of its deployment. The zero value of an
// optional field gives the default named beside it.
type Settings struct {
	Instances     int // balancers in the bank, this one included; at least 1
	Rank          int // this one's number, from 0
	Classes       []Class
	Tenants       []Tenant      // optional
	EventInterval time.Duration // events are handled at most this often; 0: as they come

	MaxAttempts     int           // attempts a request may have, one at a time; 0: 3
	CancelAllowed   bool          // Cancel actions are allowed
	MaxRetryAfter   time.Duration // longest advice a client heeds; 0: advise nothing
	OverQuotaFactor float64       // worth of a request beyond its tenant's quota, as a share; 0: none

	WatchHosts  bool          // the host list must be asked for (Watch), it is not pushed
	MaxWatchGap time.Duration // longest time without a watch or a question; 0: 10 s

	ColdCapacity   float64       // share of its capacity a host starts with; 0: 1, hosts start warm
	WarmAfter      time.Duration // a host is warm this long after its start; 0: at once
	OverloadFactor float64       // a cold host falls over at this multiple of its present capacity; 0: 2
	OverloadWindow time.Duration // kept up for this long; 0: 1 s

	DrainGrace time.Duration // sends to a host may begin this long after it counts as draining or gone; 0: 1 s
}

// HostState is what the host list says of a host.
type HostState uint8

// Listed states.
const (
	Ready    HostState = iota // takes requests
	Draining                  // finishes its work, gets nothing new
	Removed                   // gone; only among changes
)

// Host is an entry of the host list.
type Host struct {
	ID      HostID
	Zone    int
	Cell    int
	Kind    int // machines of one kind are of like size
	State   HostState
	Started Time // when it last started; 0: long ago
}

// ListKind says how a host list is to be read.
type ListKind uint8

// Kinds of list.
const (
	ListFull    ListKind = iota // the whole list; hosts not on it are gone
	ListChanges                 // only entries that changed
	ListSaved                   // the whole list as saved earlier, maybe stale
	ListFailed                  // a question failed or a watch broke; no entries

	// No list either, but more is known of the loss than by ListFailed.
	ListEnded       // a watch ended in order: it may have kept back a change
	ListSilent      // a watch fell silent SilentAfter ago; the gateway asks anew by itself
	ListMoved       // discovery has another address; the gateway asks there by itself
	ListUnreachable // a question found nobody at the address of discovery
)

// IsLoss says that the news is no list but the loss of discovery.
func (k ListKind) IsLoss() bool { return k >= ListFailed }

// Peer is an instance of the bank as a view of it has it.
type Peer struct {
	Rank int     // as in its Settings
	Rate float64 // requests a second that came to it of late
}

// Request is a client's request that now awaits one final answer.
type Request struct {
	ID          RequestID
	Class       int           // index in Settings.Classes
	Tenant      int           // index in Settings.Tenants
	Remaining   time.Duration // until the client gives up on this try; 0: it is due now
	Age         time.Duration // since its last byte came; 0: it came now
	ClientRetry bool          // the client marks it as a repeat
	Upload      bool          // it is sent as it comes; it has all its time from UploadComplete on
}

// Result says how an attempt ended.
type Result uint8

// Results. Those marked so prove that the attempt never ran; after any other
// it may have.
const (
	OK            Result = iota
	Failed               // the host answered with an error
	Full                 // turned away unseen (proves it never ran)
	TimedOut             // no answer in time
	ConnectFailed        // no connection (proves it never ran)
	Reset                // the connection broke
	Canceled             // called off by a Cancel action
	NotSent              // the gateway did not send it (proves it never ran)
	Rejected             // the host answered that the request itself is at fault
)

// ProvesNotRun says that an attempt that ended so never ran.
func (r Result) ProvesNotRun() bool { return r == Full || r == ConnectFailed || r == NotSent }

// Outcome is the end of one attempt. Each Send has exactly one.
type Outcome struct {
	Request       RequestID
	Attempt       int // attempts of a request count from 0 in the order of their Send
	Result        Result
	Elapsed       time.Duration // since the Send
	Answered      bool          // the client has its answer, nothing more is owed
	NotReplayable bool          // part of the request is gone: it cannot be sent again
}

// ActionKind says what the gateway is asked to do.
type ActionKind uint8

// Kinds of action.
const (
	Send     ActionKind = iota // start an attempt of Request at Host, give it up at At (0: at the client's deadline); if not written whole by By (0: no limit) it must not be
	Cancel                     // call off Attempt of Request
	Refuse                     // final answer: turned away, trying again is harmless; After is advice (0: none)
	Fail                       // final answer: an error that promises nothing
	Wake                       // call Timer with Token at At or soon after
	Close                      // close the idle connections to Host
	Watch                      // ask discovery for changes from now on
	Log                        // a line for those on call
	ColdOver                   // nothing to do: a Send to Host was beyond its cold budget, which must not be
)

var (
	resultNames = [...]string{"OK", "Failed", "Full", "TimedOut", "ConnectFailed", "Reset", "Canceled", "NotSent", "Rejected"}
	actionNames = [...]string{"Send", "Cancel", "Refuse", "Fail", "Wake", "Close", "Watch", "Log", "ColdOver"}
)

// String names the result, for logs.
func (r Result) String() string { return nameOf(resultNames[:], int(r)) }

// String names the kind, for logs.
func (k ActionKind) String() string { return nameOf(actionNames[:], int(k)) }

func nameOf(names []string, i int) string {
	if i < len(names) {
		return names[i]
	}
	return strconv.Itoa(i)
}

// Action is one thing for the gateway to do. Only the fields named at its kind
// mean anything.
type Action struct {
	Kind       ActionKind
	Request    RequestID
	Attempt    int
	Host       HostID
	At         Time
	WriteBy    Time
	RetryAfter time.Duration
	Token      uint64
	Text       string
}
