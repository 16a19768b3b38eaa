package bramblelock

// Why requests end without the answer of a host, and why attempts are canceled.

// Reason says why a request is refused or fails, or why an attempt is canceled.
type Reason uint8

// Reasons.
const (
	NoReason        Reason = iota
	DeadlineNear           // the client's time is almost over
	QueueTimeout           // no host was ready in time
	AttemptLost            // the host has answered later attempts, but has not begun to answer this one
	NoFurtherTry           // its last attempt failed, and it may not be sent again or has no time for that
	AnsweredByOther        // another attempt gives the answer, or another answer was given
	ClientLeft             // its client no longer waits
)

var reasonNames = [...]string{
	NoReason: "", DeadlineNear: "deadline", QueueTimeout: "no host ready", AttemptLost: "lost by its host",
	NoFurtherTry: "no further try", AnsweredByOther: "answered by another attempt", ClientLeft: "client left",
}

// String describes the reason, for logs.
func (r Reason) String() string { return nameOf(reasonNames[:], int(r)) }
