package soak

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// Long answers: their hosts write the head at once, the body after the latency target of the class, and the pieces of the
// body with pauses between them.
const (
	longAnswerPath     = "/long/1"
	minLongAnswer      = 70 << 10 // bytes
	longAnswerRange    = 230 << 10
	longAnswerPieces   = 12
	longAnswerPause    = 10 * time.Millisecond
	slowAnswerPause    = 400 * time.Millisecond // of one answer in eight, which outlasts the end of its gateway
	minBodyDelayShare  = 0.55                   // of the time that the gateway states; the latency target is half of it
	bodyDelayRange     = 0.2
	longAnswerPatience = 15 * time.Second // how long a client waits for a whole answer
)

// longAnswer is a long answer as its host wrote it.
type longAnswer struct {
	length   int       // of the body, in bytes
	begun    bool      // its host has begun to write it
	written  int       // bytes of the body that were written
	endedAt  time.Time // zero: it is still being written
	closedBy connEnd
}

// connEnd says who ended a connection within a long answer.
type connEnd int

const (
	endedByNobody connEnd = iota // the answer is whole
	endedByHost                  // a disruption took the host down
	endedByGateway
)

// inProgressAt says whether the answer was being written at a time or shortly before it.
func (l *longAnswer) inProgressAt(at time.Time) bool {
	return l.begun && (l.endedAt.IsZero() || l.endedAt.After(at.Add(-judgeSlack)))
}

// longAnswerBody returns the body of the long answer to a request.
func longAnswerBody(id string) []byte {
	length := minLongAnswer + int(hashID(id)%longAnswerRange)
	return bytes.Repeat([]byte(id+" "), length/(len(id)+1)+1)[:length]
}

// writeLongAnswer writes the long answer to a request whose client waits for a time, and says whether the connection stays
// open.
func (h *host) writeLongAnswer(c net.Conn, id string, timeout time.Duration, record *longAnswer) bool {
	idHash, body := hashID(id), longAnswerBody(id)
	framing, chunked := fmt.Sprintf("Content-Length: %d\r\n", len(body)), false
	switch idHash % 3 {
	case 1:
		framing, chunked = "Transfer-Encoding: chunked\r\n", true
	case 2:
		framing = "Connection: close\r\n"
	}
	h.s.ledger.update(func() { record.begun = true })
	pause := longAnswerPause
	if idHash%8 == 0 {
		pause = slowAnswerPause
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\n", framing)
	time.Sleep(time.Duration((minBodyDelayShare + bodyDelayRange*float64(idHash%100)/100) * float64(timeout)))
	size := len(body)/longAnswerPieces + 1
	for written := 0; written < len(body) && err == nil; written += size {
		if written > 0 {
			time.Sleep(pause)
		}
		piece := body[written:min(written+size, len(body))]
		text := string(piece)
		if chunked {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
		}
		if _, err = io.WriteString(c, text); err == nil {
			h.s.ledger.update(func() { record.written += len(piece) })
		}
	}
	if chunked && err == nil {
		_, err = io.WriteString(c, "0\r\n\r\n")
	}
	h.s.ledger.update(func() { record.endedAt, record.closedBy = time.Now(), connEndOf(err) })
	return err == nil && idHash%3 != 2
}

// connEndOf returns who ended the connection if a write by a host failed with err.
func connEndOf(err error) connEnd {
	switch {
	case err == nil:
		return endedByNobody
	case errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET):
		return endedByGateway
	}
	return endedByHost
}

// judgeLongAnswers requires that the gateway ends no connection within a long answer, and passes on what came whole.
func (s *soak) judgeLongAnswers(req *request, r *Report, violated violationFunc) {
	for _, attempt := range req.attempts {
		answer := attempt.longAnswer
		if answer == nil || !answer.begun {
			continue
		}
		r.Counts.LongAnswers++
		if answer.closedBy != endedByGateway || !req.abandonedAt.IsZero() {
			continue
		}
		switch {
		case s.injectsFaults(req.gateway):
			r.exempt(exemptInjected)
		case s.killedAt(req, answer.endedAt):
			r.exempt(exemptKilledWithin)
		default:
			violated(req, RuleLost, "%s: the long answer of host %s was cut off after %d of %d bytes", req.id, attempt.host, answer.written, answer.length)
		}
	}
}

// longAnswerBroke says whether a request has no whole answer because its host, an injected fault or a SIGKILL broke a long
// answer that was being passed on.
func (s *soak) longAnswerBroke(req *request) bool {
	for _, attempt := range req.attempts {
		if answer := attempt.longAnswer; answer != nil &&
			(answer.closedBy == endedByHost || s.injectsFaults(req.gateway) || s.killedAt(req, req.endedAt)) {
			return true
		}
	}
	return false
}

// killedAt says whether a SIGKILL ended a process that may have held a request at a time or shortly before it.
func (s *soak) killedAt(req *request, at time.Time) bool {
	for _, exit := range s.ledger.exits {
		if exit.gateway == req.gateway && (exit.generation == req.generation || req.generation == sharedGeneration) &&
			!exit.killAt.IsZero() && !at.Before(exit.killAt.Add(-judgeSlack)) && at.Before(exit.endedAt.Add(slowAnswerPause*longAnswerPieces)) {
			return true
		}
	}
	return false
}

// passesOnLongAnswer says whether a gateway was passing on a long answer at a time.
func (s *soak) passesOnLongAnswer(exit *processExit, at time.Time) bool {
	for _, req := range s.ledger.requests {
		if req.class == nil || req.gateway != exit.gateway || req.generation != exit.generation && req.generation != sharedGeneration {
			continue
		}
		for _, attempt := range req.attempts {
			if attempt.longAnswer != nil && !attempt.receivedAt.After(at) && attempt.longAnswer.inProgressAt(at) {
				return true
			}
		}
	}
	return false
}

// injectsFaults says whether the processes of a gateway have failing system calls injected.
func (s *soak) injectsFaults(name string) bool {
	for _, g := range s.gateways {
		if g.name == name && g.s != nil {
			_, inject := g.binary()
			return inject != ""
		}
	}
	return false
}

// isLong says whether a request asks for a long answer.
func (options *requestOptions) isLong() bool { return options.kind == requestLongAnswer }

// timedAt returns when the answer to a request counts as given: its end, or its beginning if it is long.
func (req *request) timedAt() time.Time {
	if req.longAnswer && req.status == http.StatusOK {
		return req.answeredAt
	}
	return req.endedAt
}

// wantBody returns the body of the good answer to a request.
func (req *request) wantBody() string {
	if req.longAnswer {
		return string(longAnswerBody(req.id))
	}
	return "done " + req.id
}

// isLongAnswerRequest says whether a host has to give a long answer to a request.
func isLongAnswerRequest(path string) bool { return strings.HasPrefix(path, longAnswerPath) }
