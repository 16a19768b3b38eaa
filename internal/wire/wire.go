// Package wire translates between the simulator's binary frames and the
// events and actions of package bramblelock, and decodes the balancer's settings.
// It makes no decisions.
package wire

import (
	"time"

	"bramblelock"
)

// Event codes.
const (
	EventHello           = 0 // starts an instance with the settings that it carries
	EventHostList        = 1 // host list, or the failure to get one
	EventRequest         = 2 // arrival of a client request
	EventResponseStarted = 3 // start of the response to an attempt
	EventAttemptEnded    = 4 // outcome of an attempt
	EventClientGone      = 5 // withdrawal of a request by its client
	EventTimer           = 6 // expiry of a timer that a wake action set
	EventProbeResult     = 7 // result of a probe; its fields are skipped
	EventPeerMessage     = 8 // message of another instance; its fields are skipped
	EventStop            = 9 // stop of an instance
)

// Action codes.
const (
	actionSend   = 64
	actionRefuse = 65
	actionFail   = 66
	actionCancel = 67
	actionWake   = 68
	actionClose  = 70
	actionLog    = 72
	actionCrash  = 73
	actionWatch  = 74
)

// Sizes in bytes.
const (
	batchHeaderSize  = 12      // clock and record count, which follow the length of the frame
	recordHeaderSize = 5       // code and size of the fields
	hostEntrySize    = 24      // an entry of a host list
	maxFrameSize     = 1 << 30 // maximum of a frame's length field
	maxTextSize      = 1 << 10 // longer texts of logs and crashes are truncated
)

// timeUnit is the unit of all times and durations on the wire.
const timeUnit = time.Microsecond

// flagClientRetry is the mask of the bit in a request's flags that marks a retry by the client.
const flagClientRetry = 2

// Event is a decoded record. Only Code, Instance and the fields whose comments name its code are set.
type Event struct {
	Code     byte   // an Event constant
	Instance uint32 // number of the instance that the event is for

	Seed     uint64 // EventHello
	Settings []byte // EventHello; valid until the next ReadBatch

	ListKind bramblelock.ListKind // EventHostList
	Hosts    []bramblelock.Host   // EventHostList; valid until the next call of Next

	Request bramblelock.Request // EventRequest; EventClientGone and EventResponseStarted set only its ID
	Attempt int                 // EventResponseStarted
	Outcome bramblelock.Outcome // EventAttemptEnded
	Token   uint64              // EventTimer
}

// resultsByCode maps the outcome codes of attempts to results.
var resultsByCode = map[uint16]bramblelock.Result{
	100: bramblelock.OK,
	301: bramblelock.Failed,
	302: bramblelock.Full,
	303: bramblelock.TimedOut,
	304: bramblelock.ConnectFailed,
	305: bramblelock.Reset,
	306: bramblelock.Canceled,
	307: bramblelock.NotSent,
}
