package bramblelock

// Log lines for operators, whose rate is limited.

import (
	"fmt"
	"time"
)

// Kinds of log line. The rate of each kind is limited separately.
const (
	logHostEjected    = iota // a host is ejected
	logHostBack              // an ejected host has answered and is used again
	logFailOpen              // most hosts are ejected, and they are used all the same
	logRequestRefused        // a request has waited too long in a queue and is answered unserved
	logListLost              // the watch of the host list, or a first call for it, has failed
	logListRegained          // discovery has given a list again after a loss
	logSendsHeld             // a request is not sent, as the host list is outdated
	logKinds                 // number of kinds
)

// logInterval is the least time between two log lines of a kind.
const logInterval = 10 * time.Second

// logLine is the state of the rate limit of a kind of log line.
type logLine struct {
	loggedAt Time
	logged   bool
	heldBack int // lines not logged since loggedAt
}

// log queues a Log action, whose text the gateway writes to its log for operators. Of each kind of line,
// at most one per logInterval is logged; the next one gives the number of those held back.
func (b *Balancer) log(kind int, format string, args ...any) {
	l := &b.logLines[kind]
	if l.logged && b.now-l.loggedAt < logInterval {
		l.heldBack++
		return
	}
	text := fmt.Sprintf(format, args...)
	if l.heldBack > 0 {
		text += fmt.Sprintf(" (%d more such lines held back)", l.heldBack)
	}
	*l = logLine{loggedAt: b.now, logged: true}
	b.emit(Action{Kind: Log, Text: text})
}
