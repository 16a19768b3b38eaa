package gateway

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"bramblelock"
	"bramblelock/internal/gateway/config"
	"bramblelock/internal/gateway/framing"
)

// newExchange returns the exchange of a request, which is not valid yet.
func (s *Server) newExchange(r *http.Request, head *framing.Head) *exchange {
	x := &exchange{
		method: r.Method, uri: r.RequestURI, host: r.Host, url: r.URL, header: r.Header,
		clientRetry: r.Header.Get("X-Retried") == "1", answer: make(chan answer, 1),
		capDeadline: s.capDeadline,
	}
	if c := connOf(r); c != nil {
		x.clientGone = c.clientGone
		x.clientConn = c
		x.head = head
	}
	return x
}

// readRequest validates a request, looks up its class and tenant, and reads a body that is short
// enough to be buffered. An error means that the request is rejected.
func (s *Server) readRequest(w http.ResponseWriter, r *http.Request, x *exchange) error {
	if r.Header.Get(requestIDHeader) == "" {
		return fmt.Errorf("%s: missing", requestIDHeader)
	}
	if err := x.resolve(s.loop.rules.Load()); err != nil {
		return err
	}
	timeout, err := clientTimeout(r, x.rules.Settings.Classes[x.class].Deadline)
	if err != nil {
		return err
	}
	x.timeout = max(0, timeout-answerMargin)
	if r.ContentLength != 0 {
		if err := s.readBody(w, r, x, x.head.StartedAt); err != nil {
			return err
		}
	}
	x.deadline = s.capDeadline(x.clientDeadline())
	return nil
}

// clientTimeout returns how long the client of a request waits. A client cannot extend the deadline of its
// class.
func clientTimeout(r *http.Request, classDeadline time.Duration) (time.Duration, error) {
	stated := r.Header.Get(timeoutHeader)
	if stated == "" {
		return classDeadline, nil
	}
	seconds, err := strconv.ParseFloat(stated, 64)
	if err != nil || !(seconds >= 0) {
		return 0, fmt.Errorf("%s: %q is no number of seconds", timeoutHeader, stated)
	}
	return time.Duration(min(seconds, classDeadline.Seconds()) * float64(time.Second)), nil
}

// readBody buffers a body of up to maxBufferedBytes, and prepares a longer one to be streamed to a host. If a
// body of unknown length turns out to be longer, the part that has been read stays buffered and the rest is
// streamed. An error means that the request is rejected.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, x *exchange, startedAt time.Time) error {
	if r.ContentLength > maxBodyBytes {
		return errBodyTooLong
	}
	rc := http.NewResponseController(w)
	rc.EnableFullDuplex() // otherwise an early answer would wait for the body
	body := &clientBody{body: r.Body, rc: rc, startedAt: startedAt}
	if r.ContentLength > maxBufferedBytes {
		return s.startUpload(x, body, r.ContentLength)
	}
	size := maxBufferedBytes
	if r.ContentLength > 0 {
		size = int(r.ContentLength)
	}
	if !s.holdMemory(x, size-freeBodyBytes) {
		return errNoMemory
	}
	s.setReadingBody(r, true)
	text, err := io.ReadAll(io.LimitReader(body, maxBufferedBytes+1))
	if stillOpen := s.setReadingBody(r, false); err != nil || !stillOpen {
		return errors.New("the body did not arrive")
	}
	x.body = text
	if len(text) > maxBufferedBytes {
		return s.startUpload(x, body, -1)
	}
	return nil
}

// startUpload prepares a body, of which length bytes or an unknown number (-1) are still to be read, to be
// streamed to a host.
func (s *Server) startUpload(x *exchange, body *clientBody, length int64) error {
	if !s.loop.pool.acquireUpload() {
		s.evictWaitingBody()
		return errTooManyUploads
	}
	x.uploadCounted = true
	if !s.holdMemory(x, uploadMemory) {
		return errNoMemory
	}
	x.upload = &upload{clientBody: body, length: length, sent: make(chan struct{})}
	s.limitReadAhead(x)
	x.readUploadAhead(s.loop.pool.memory)
	return nil
}

// holdMemory takes n bytes of the budget for x, if n is positive, and returns whether there are as many. If there
// are not, a connection is closed whose body has not arrived for a while, so that there is room for later ones.
func (s *Server) holdMemory(x *exchange, n int) bool {
	if n <= 0 {
		return true
	}
	if !s.loop.pool.memory.acquire(n) {
		s.evictWaitingBody()
		return false
	}
	x.memoryHeld += n
	return true
}

// releaseBody returns what the body of x holds.
func (s *Server) releaseBody(x *exchange) {
	s.loop.pool.memory.release(x.memoryHeld)
	if x.uploadCounted {
		s.loop.pool.releaseUpload()
	}
}

// limitReadAhead has the kernel receive only readAheadBytes of a long body ahead, if the memory budget
// has room. Otherwise the kernel may take the whole of a body that its host reads slowly, and since anything may
// then be waiting, the request's time would have to be counted from when little of the body was read (see
// arrivalTracker).
func (s *Server) limitReadAhead(x *exchange) {
	if x.clientConn == nil || !s.loop.pool.memory.acquireSpare(readAheadBytes) {
		return
	}
	x.memoryHeld += readAheadBytes
	x.clientConn.setReadBuffer(readAheadBytes)
}

// readUploadAhead reads the beginning of an upload into memory, unless its client waits to be asked for it.
func (x *exchange) readUploadAhead(memory *memoryBudget) {
	if x.clientConn != nil && x.header.Get("Expect") == "" {
		x.clientConn.readBodyAhead(x.head, memory)
	}
}

// resolve looks up the class and the tenant of the request in rules and stores both and the
// rules in x. An error means that the request is invalid under these rules.
func (x *exchange) resolve(rules *config.Rules) error {
	var ok bool
	if x.class, ok = rules.Classes[x.header.Get("X-Priority-Class")]; !ok {
		return fmt.Errorf("X-Priority-Class: unknown class %q", x.header.Get("X-Priority-Class"))
	}
	if len(rules.Tenants) > 0 {
		if x.tenant, ok = rules.Tenants[x.header.Get("X-Tenant-Id")]; !ok {
			return fmt.Errorf("X-Tenant-Id: unknown tenant %q", x.header.Get("X-Tenant-Id"))
		}
	}
	if rules.Settings.Classes[x.class].Effect == bramblelock.Deduplicated && x.header.Get("Idempotency-Key") == "" {
		// A retry by the module may be a duplicate, which a host can recognize by this key only.
		return errors.New("Idempotency-Key: missing, the class needs one")
	}
	x.rules = rules
	x.answerLead = rules.Settings.AnswerLead()
	return nil
}
