package gateway

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"
)

// drainBufferBytes is the size of the buffer for bytes that are read and dropped.
const drainBufferBytes = 1 << 10

// writeAnswer sends a client the final answer to its request.
func (s *Server) writeAnswer(w http.ResponseWriter, r *http.Request, x *exchange, a answer) {
	if a.release != nil {
		defer a.release()
	}
	if c := connOf(r); c != nil {
		c.untrackProgress() // of a stream before
	}
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(clientStallTimeout))
	bodyUnread := x.upload != nil && !x.upload.stop()
	if bodyUnread {
		w.Header().Set("Connection", "close") // the rest of the body would follow on the connection
	}
	if a.stream != nil {
		setHeaders(w, a.header, a.stream.length)
		err := a.stream.copyTo(w, r, s.loop.pool.memory)
		a.stream.done <- err
		if err != nil {
			abort(r, a.stream.length)
		}
		return
	}
	writeBuffered(w, a)
	if bodyUnread {
		s.discardBody(w, r)
	}
}

// abort closes a connection in the middle of an answer, so that the client can tell that the
// answer is incomplete. If the end of the connection would mark the end of the answer, the
// connection is reset instead.
func abort(r *http.Request, length int64) {
	if c := connOf(r); c != nil && length < 0 && !r.ProtoAtLeast(1, 1) {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
	}
	panic(http.ErrAbortHandler)
}

// discardBody reads for a while what the client still sends of a body whose request has been
// answered: closing the connection at once would reset it and could destroy the answer. While clients wait
// for a connection slot, it reads for crowdedDrainTime only, and closes the connection itself.
func (s *Server) discardBody(w http.ResponseWriter, r *http.Request) {
	c := connOf(r)
	rc := http.NewResponseController(w)
	if c == nil || r.Header.Get("Expect") != "" || rc.Flush() != nil {
		return
	}
	end := time.Now().Add(bodyDrainTime)
	rc.SetReadDeadline(time.Now().Add(crowdedDrainTime))
	if drain(r.Body) == io.EOF {
		return
	}
	// The framing of the body is broken, reading it was stopped, or more is to come: the rest is read as it is.
	for time.Now().Before(end) {
		if s.allSlotsTaken() {
			c.Close()
			panic(http.ErrAbortHandler) // net/http would keep the connection for another while
		}
		rc.SetReadDeadline(time.Now().Add(crowdedDrainTime))
		if err := drain(c.Conn); !errors.Is(err, os.ErrDeadlineExceeded) {
			return // the client has closed the connection
		}
	}
}

// drain reads r until an error, which it returns. io.Copy would take a larger buffer, of which a crowd of
// clients whose requests are rejected would hold many.
func drain(r io.Reader) error {
	buffer := make([]byte, drainBufferBytes)
	for {
		if _, err := r.Read(buffer); err != nil {
			return err
		}
		yieldTurn()
	}
}

// reject answers an invalid request with an error and logs it at a limited rate, so that
// operators can identify a client that misbehaves.
func (s *Server) reject(w http.ResponseWriter, r *http.Request, err error) {
	status := rejectionStatus(err)
	if r.ContentLength != 0 {
		w.Header().Set("Connection", "close") // the rest of the body would follow on the connection
	}
	s.rejectLog.warn("request rejected", "id", r.Header.Get(requestIDHeader), "peer", r.RemoteAddr,
		"status", status, "err", err)
	writeText(w, status, err.Error())
	if r.ContentLength != 0 {
		s.discardBody(w, r)
	}
	yieldTurn()
}

// setHeaders copies the end-to-end headers of a host's answer to the answer for the client. length
// is that of the body in bytes, or -1 if it is unknown.
func setHeaders(w http.ResponseWriter, hostHeader http.Header, length int64) {
	out := w.Header()
	for name, values := range endToEndHeaders(hostHeader) {
		out[name] = values
	}
	if length >= 0 {
		out.Set("Content-Length", strconv.FormatInt(length, 10))
	}
}

// writeBuffered sends a client an answer whose body is in memory. It always sets Content-Length,
// so that the client can tell that the answer is complete even if the connection ends after it. A
// failed write is ignored, as it means that the client has left.
func writeBuffered(w http.ResponseWriter, a answer) {
	status, text := http.StatusBadGateway, "failed, it may have been done"
	switch a.kind {
	case answerServed:
		setHeaders(w, a.header, int64(len(a.body)))
		w.Write(a.body)
		return
	case answerRefused:
		if a.retryAfter > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', -1, 64))
		}
		status, text = http.StatusServiceUnavailable, "turned away, trying again is harmless"
	case answerRejected:
		status, text = rejectionStatus(a.err), a.err.Error()
	}
	writeText(w, status, text)
}

// rejectionStatus returns the HTTP status of the answer to a request that is rejected for err.
func rejectionStatus(err error) int {
	switch {
	case errors.Is(err, errBodyTooLong):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, errNoMemory), errors.Is(err, errTooManyUploads):
		return http.StatusServiceUnavailable
	}
	return http.StatusBadRequest
}

// writeText sends a line of text that the gateway itself has produced.
func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)+1))
	w.WriteHeader(status)
	io.WriteString(w, text+"\n")
}
