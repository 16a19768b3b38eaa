// Package bramblelock makes the decisions of an HTTP load balancer that runs as a
// fleet of gateways, one or a thousand: where each request goes, when it is retried
// and when it is refused.
//
// A [Balancer] is a state machine without I/O. The gateway that embeds it
// reports what happens (a request arrives, an attempt ends, a timer fires, the
// host list changes) by calling one method per event, each with the current
// time, and then carries out the [Action] values that it collects with
// [Balancer.TakeActions]. The balancer starts no goroutine, reads no clock and does
// no I/O; the same events and seed always lead to the same actions.
//
// The balancer keeps no slice that is passed to it, and what TakeActions appends belongs to
// the caller; in steady state neither side allocates. A balancer keeps a request
// until it has its answer and all its attempts have ended, and a removed host until
// its last attempt has ended. After a restart, pass the last saved host list
// as ListSaved right after Start.
//
// A Balancer is not safe for concurrent use. A gateway with several threads
// runs one Balancer in one event loop, or one Balancer per thread with Instances
// raised accordingly.
//
// This file has the types of the interface; balancer.go names the file of each decision.
package bramblelock

import (
	"strconv"
	"time"
)

// Time is an instant on the gateway's monotonic clock, as the time since an arbitrary start. It must
// never go backward.
type Time = time.Duration

// HostID names a host. The balancer only compares IDs.
type HostID uint64

// RequestID names a client request and is below 1<<56. An ID must not be used again while the gateway
// still has a request or an attempt under it.
type RequestID uint64

// Effect says what a repeat of a request may do.
type Effect uint8

// Effects of a class.
const (
	Idempotent   Effect = iota // may run any number of times
	Deduplicated               // hosts in the DedupScope drop repeats for a DedupWindow
	AtMostOnce                 // must never run twice
)

// DedupScope says which hosts drop the repeats of a deduplicated request.
type DedupScope uint8

// Scopes of a deduplicated class.
const (
	DedupAll  DedupScope = iota // every host
	DedupZone                   // the hosts of one zone
	DedupCell                   // the hosts of one cell
)

// Class describes one kind of request.
type Class struct {
	Name           string        // optional; UpdateSettings keeps the statistics of classes by name
	LatencyTarget  time.Duration // an answer within it has its full value; 0: the Deadline
	Deadline       time.Duration // longest time that a client waits
	PriorityWeight float64       // requests of a higher weight are served first; 0: 1
	Effect         Effect
	DedupScope     DedupScope    // of a Deduplicated class
	DedupWindow    time.Duration // of a Deduplicated class: from the first attempt that may have run
}

// Tenant describes one customer. Quota is its requests a second over all instances; 0 means no quota.
type Tenant struct {
	Name  string // optional; UpdateSettings keeps the use of quotas by name
	Quota float64
}

// Settings is what a Balancer knows of its deployment. The zero value of an
// optional field gives the default named beside it.
type Settings struct {
	Instances     int // balancers in the fleet, with this one; at least 1
	Rank          int // number of this instance, from 0
	Classes       []Class
	Tenants       []Tenant      // optional
	EventInterval time.Duration // the gateway handles events at most once in this time; 0: each event at once

	MaxAttempts     int           // attempts of a request, one at a time; 0: 3
	CancelAllowed   bool          // the gateway carries out Cancel actions
	MaxRetryAfter   time.Duration // longest RetryAfter that clients respect; 0: none is given
	OverQuotaFactor float64       // priority factor of a request beyond its tenant's quota; 0: lowest priority

	WatchHosts  bool          // the host list has to be watched by calls (Watch); it is not pushed
	MaxWatchGap time.Duration // longest time without a watch or a call; 0: 10 s

	ColdCapacity   float64       // share of its capacity that a host starts with; 0: 1, hosts start warm
	WarmAfter      time.Duration // time from its start until a host is warm; 0: at once
	OverloadFactor float64       // multiple of its present capacity that overloads a cold host; 0: 2
	OverloadWindow time.Duration // time for which a cold host must be overloaded to fail; 0: 1 s

	// DrainGrace is how long sends to a host may still begin after its draining or removal counts as
	// notified (see NotifiedAfter); 0: 1 s.
	DrainGrace time.Duration
}

// HostState is the state of a host in the host list.
type HostState uint8

// Listed states.
const (
	Ready    HostState = iota // takes requests
	Draining                  // finishes its work, gets no new requests
	Removed                   // no longer listed; of the lists that the gateway passes, only ListChanges has it
)

// Host is an entry of the host list.
type Host struct {
	ID      HostID
	Zone    int
	Cell    int
	Kind    int // hosts of one kind run on machines of similar size
	State   HostState
	Started Time // last start of the host; 0: long ago
}

// ListKind says how a host list is to be read.
type ListKind uint8

// Kinds of list.
const (
	ListFull    ListKind = iota // the whole list; hosts not on it are gone
	ListChanges                 // only entries that changed
	ListSaved                   // a whole list that the gateway saved or got from a peer, not from discovery; perhaps stale
	ListFailed                  // a call failed, or a watch broke with an error; no entries

	// More specific kinds of loss than ListFailed. They have no entries either.
	ListEnded       // discovery closed a watch without an error, perhaps before it delivered a change
	ListSilent      // a watch has been silent for SilentAfter; the gateway calls again by itself
	ListMoved       // discovery has another address; the gateway calls it by itself
	ListUnreachable // the address of discovery refused a connection; a dial that times out is a ListFailed
)

// IsLoss reports whether the kind stands for the loss of discovery, not for a list.
func (k ListKind) IsLoss() bool { return k >= ListFailed }

// Peer is an instance of the fleet in a view of it.
type Peer struct {
	Rank int     // as in its Settings
	Rate float64 // recent requests a second to it
}

// Request is a client's request that now awaits one final answer.
type Request struct {
	ID          RequestID
	Class       int           // index in Classes of the settings
	Tenant      int           // index in Tenants of the settings
	Remaining   time.Duration // time until the client gives up on this request; 0: its deadline is now
	Age         time.Duration // time since its last byte arrived
	ClientRetry bool          // the client marked it as a retry
	Upload      bool          // it is forwarded while it arrives; its deadline starts at UploadComplete

	// Settings are those under which the request came, and whose Class, Tenant and MaxAttempts apply to it, if they
	// are no longer in force; nil: the settings in force.
	Settings *Settings
}

// Result says how an attempt ended.
type Result uint8

// Results of an attempt. Some prove that it never ran, as marked; after any other, it may have run.
const (
	OK            Result = iota
	Failed               // the host answered with an error
	Full                 // the host refused it without processing (proves it never ran)
	TimedOut             // no answer in time
	ConnectFailed        // no connection (proves it never ran)
	Reset                // the connection broke
	Canceled             // canceled by a Cancel action
	NotSent              // the gateway did not send it (proves it never ran)
	Rejected             // the host answered that the request itself is at fault
)

// ProvesNotRun reports whether the result proves that the attempt never ran.
func (r Result) ProvesNotRun() bool { return r == Full || r == ConnectFailed || r == NotSent }

// Outcome is the end of one attempt. Each Send has exactly one.
type Outcome struct {
	Request       RequestID
	Attempt       int // attempts of a request count from 0 in the order of their Send
	Result        Result
	Elapsed       time.Duration // since the Send
	Answered      bool          // the client has its answer: none is owed any more
	NotReplayable bool          // part of the request is lost: it cannot be sent again
}

// ActionKind says what the gateway has to do.
type ActionKind uint8

// Kinds of action.
const (
	// Send starts an attempt of Request at Host. It must not be sent unless it is completely
	// written by WriteBy (0: no limit), and is given up at At (0: at the client's deadline).
	Send   ActionKind = iota
	Cancel            // cancel Attempt of Request
	Refuse            // final answer: refused, and a retry is harmless; RetryAfter is advice (0: none)
	Fail              // final answer: an error; unlike after Refuse, a retry may do harm or be in vain
	Wake              // call Timer with Token at At or soon after
	Close             // close the idle connections to Host
	Watch             // call discovery for changes from now on
	Log               // write Text to the log
	// ColdOver needs no action: it reports a Send to Host beyond its cold budget, which is a fault.
	ColdOver
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

// Action is one thing for the gateway to do. Only the fields named at its kind are set.
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
	Why        Reason // of Cancel, Refuse and Fail
}
