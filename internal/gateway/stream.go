package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// maxHostPause is how long a host may pause within an answer that is streamed. The client, which has its answer
	// in part, can leave at any time.
	maxHostPause = time.Minute
	// minEndedPause is how long a host must have paused for the stream to be ended where its connections are needed.
	minEndedPause = 5 * time.Second
)

// stream is an answer that is streamed to the client. The goroutine that serves the client calls copyTo
// and sends its result on done. The attempt, which owns conn, waits for that.
type stream struct {
	conn   *conn
	body   io.Reader
	chunks *chunkedBody // body, if it comes in chunks, or nil
	length int64        // of the whole answer; -1 if unknown
	prefix []byte       // the part that has been read already
	done   chan error

	bodyBegun bool   // part of the body has arrived
	onBody    func() // called when it has, unless that was before the stream began

	releasePrefix func() // returns the memory of prefix to the budget; nil if there is none

	mu           sync.Mutex // guards the fields below
	waitingSince time.Time  // since when the stream has waited for the host; zero while it does not
	ended        bool       // end was called
}

// dropPrefix returns the memory of the prefix. The stream may last much longer than it takes to write that.
func (st *stream) dropPrefix() {
	if st.releasePrefix != nil {
		st.releasePrefix()
	}
	st.prefix, st.releasePrefix = nil, nil
}

// Causes for which a stream is cut short.
const (
	causeClientGone  = "client gone or stalled"
	causeEnded       = "ended to make room"
	causeHostPaused  = "host paused for too long"
	causeHostBroke   = "host broke the connection"
	causeHostInvalid = "invalid answer"
)

// endCause returns the cause of an error that cut the stream short.
func (st *stream) endCause(err error) string {
	st.mu.Lock()
	defer st.mu.Unlock()
	switch {
	case errors.Is(err, errClientGone):
		return causeClientGone
	case st.ended:
		return causeEnded
	case errors.Is(err, os.ErrDeadlineExceeded):
		return causeHostPaused
	case isConnError(err):
		return causeHostBroke
	}
	return causeHostInvalid
}

// hasSurplus returns whether the host has sent more than the answer, whose end has been read.
func (st *stream) hasSurplus() bool {
	return st.conn.reader.Buffered() > 0 || st.chunks != nil && st.chunks.surplus
}

// copyTo writes a stream to the client and returns the error that cut it short, if any: errClientGone
// if the client has left or is stalled, otherwise the error of reading from the host.
func (st *stream) copyTo(w http.ResponseWriter, r *http.Request, memory *memoryBudget) error {
	stop := context.AfterFunc(r.Context(), st.end) // the client may leave while the host is silent
	defer stop()
	rc := http.NewResponseController(w)
	write := func(p []byte) error {
		if c := connOf(r); c != nil {
			c.trackProgress()
		}
		rc.SetWriteDeadline(time.Now().Add(clientStallTimeout))
		if _, err := w.Write(p); err != nil {
			return errClientGone
		}
		if err := rc.Flush(); err != nil {
			return errClientGone
		}
		return nil
	}
	defer st.dropPrefix()
	if err := write(st.prefix); err != nil {
		return err
	}
	st.dropPrefix()
	buf, release := streamBuffer(memory)
	defer release()
	for {
		n, err := st.read(buf)
		if n > 0 {
			st.beginBody()
			if err := write(buf[:n]); err != nil {
				return err
			}
			yieldTurn()
		}
		switch {
		case err == io.EOF:
			return nil
		case r.Context().Err() != nil:
			return errClientGone
		case err != nil:
			return err
		}
	}
}

// beginBody records that part of the body has arrived.
func (st *stream) beginBody() {
	if !st.bodyBegun {
		st.bodyBegun = true
		st.onBody()
	}
}

// read reads from the host. It fails if the host pauses for maxHostPause, or the stream is ended.
func (st *stream) read(p []byte) (int, error) {
	if !st.beginWait() {
		return 0, os.ErrDeadlineExceeded
	}
	defer st.endWait()
	return st.body.Read(p)
}

// beginWait records that the stream waits for the host, and returns false if it was ended.
func (st *stream) beginWait() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.ended {
		return false
	}
	st.waitingSince = time.Now()
	st.conn.SetReadDeadline(st.waitingSince.Add(maxHostPause))
	return true
}

// endWait records that the stream does not wait for the host any more.
func (st *stream) endWait() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.waitingSince = time.Time{}
}

// paused returns how long the host has paused.
func (st *stream) paused() time.Duration {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.waitingSince.IsZero() {
		return 0
	}
	return time.Since(st.waitingSince)
}

// end makes reads from the host fail, also one in progress.
func (st *stream) end() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.ended = true
	st.conn.SetReadDeadline(time.Now())
}

// openStreams is the set of the answers that are being streamed. It is safe for concurrent use.
type openStreams struct {
	mu      sync.Mutex
	streams map[*stream]bool
}

// add adds a stream.
func (o *openStreams) add(st *stream) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.streams == nil {
		o.streams = map[*stream]bool{}
	}
	o.streams[st] = true
}

// remove removes a stream.
func (o *openStreams) remove(st *stream) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.streams, st)
}

// count returns how many streams there are.
func (o *openStreams) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.streams)
}

// endPaused ends the stream whose host has paused for longest, if that is minEndedPause at least: its connections are
// needed for others. It returns whether there was one.
func (o *openStreams) endPaused() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	var longest *stream
	longestPause := minEndedPause
	for st := range o.streams {
		if pause := st.paused(); pause >= longestPause {
			longest, longestPause = st, pause
		}
	}
	if longest == nil {
		return false
	}
	longest.end()
	delete(o.streams, longest)
	return true
}
