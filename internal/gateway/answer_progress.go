package gateway

import (
	"sync/atomic"

	"bramblelock"
)

// answerProgress is what has been read of the answer to an attempt. The attempt updates it, and the loop reads it.
type answerProgress struct {
	bytes      atomic.Int64
	streamable atomic.Bool // the head of a good answer has been read, whose body is to be streamed to the client
}

// answerState is a snapshot of answerProgress.
type answerState struct {
	bytes      int64
	streamable bool
}

// state returns a snapshot.
func (p *answerProgress) state() answerState {
	return answerState{bytes: p.bytes.Load(), streamable: p.streamable.Load()}
}

// reportAnswerProgress reports to the Balancer which attempts have got more of their answers. The loop calls it before
// it handles timers, which may give up an attempt whose host sends nothing.
func (l *Loop) reportAnswerProgress(now bramblelock.Time) {
	for att, id := range l.inFlight {
		if state := att.answer.state(); state != att.reported {
			att.reported = state
			l.balancer.AnswerProgress(now, id, att.number, state.streamable)
		}
	}
}
