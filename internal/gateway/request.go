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

// readRequest validates a request, looks up its class and tenant, and reads a body that is short
// enough to be buffered. An error means that the request is rejected.
func (s *Server) readRequest(w http.ResponseWriter, r *http.Request, head *framing.Head) (*exchange, error) {
	x := &exchange{
		method: r.Method, uri: r.RequestURI, host: r.Host, url: r.URL, header: r.Header,
		clientRetry: r.Header.Get("X-Retried") == "1", answer: make(chan answer, 1),
		releaseBody: func() {}, capDeadline: s.capDeadline,
	}
	if c, ok := r.Context().Value(framedConnKey{}).(*framedConn); ok {
		x.clientGone = c.clientGone
		x.clientConn = c
		x.head = head
	}
	if r.Header.Get(requestIDHeader) == "" {
		return nil, fmt.Errorf("%s: missing", requestIDHeader)
	}
	if err := x.resolve(s.loop.rules.Load()); err != nil {
		return nil, err
	}
	timeout, err := clientTimeout(r, x.rules.Settings.Classes[x.class].Deadline)
	if err != nil {
		return nil, err
	}
	x.timeout = max(0, timeout-answerMargin)
	if r.ContentLength != 0 {
		if err := s.readBody(w, r, x, head.StartedAt); err != nil {
			return nil, err
		}
	}
	x.deadline = s.capDeadline(x.clientDeadline())
	return x, nil
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

// readBody buffers a body of up to maxBufferedBytes if the memory budget allows it, and prepares any
// other one to be streamed to a host. If a body of unknown length turns out to be longer, the part
// that has been read stays buffered and the rest is streamed. An error means that the request is
// rejected.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, x *exchange, startedAt time.Time) error {
	if r.ContentLength > maxBodyBytes {
		return errBodyTooLong
	}
	rc := http.NewResponseController(w)
	rc.EnableFullDuplex() // otherwise an early answer would wait for the body
	body := &clientBody{body: r.Body, rc: rc, startedAt: startedAt}
	size := maxBufferedBytes
	if r.ContentLength > 0 {
		size = int(min(r.ContentLength, maxBufferedBytes))
	}
	if r.ContentLength > maxBufferedBytes || !s.loop.pool.memory.acquire(size) {
		x.upload = &upload{clientBody: body, length: r.ContentLength, sent: make(chan struct{})}
		if s.limitReadAhead(r) {
			x.releaseBody = func() { s.loop.pool.memory.release(readAheadBytes) }
		}
		x.readUploadAhead(s.loop.pool.memory)
		return nil
	}
	x.releaseBody = func() { s.loop.pool.memory.release(size) }
	s.setReadingBody(r, true)
	text, err := io.ReadAll(io.LimitReader(body, maxBufferedBytes+1))
	if stillOpen := s.setReadingBody(r, false); err != nil || !stillOpen {
		x.releaseBody()
		return errors.New("the body did not arrive")
	}
	x.body = text
	if len(text) > maxBufferedBytes {
		x.upload = &upload{clientBody: body, length: -1, sent: make(chan struct{})}
		if s.limitReadAhead(r) {
			x.releaseBody = func() { s.loop.pool.memory.release(size + readAheadBytes) }
		}
		x.readUploadAhead(s.loop.pool.memory)
	}
	return nil
}

// readUploadAhead reads the beginning of an upload into memory, unless its client waits to be asked for it.
func (x *exchange) readUploadAhead(memory *memoryBudget) {
	if x.clientConn != nil && x.header.Get("Expect") == "" {
		x.clientConn.readBodyAhead(x.head, memory)
	}
}

// limitReadAhead has the kernel receive only readAheadBytes of a long body ahead, if the memory budget
// allows as much, and returns whether it does. Otherwise the kernel may take the whole of a body that its
// host reads slowly, and since anything may then be waiting, the request's time would have to be counted
// from when little of the body was read (see arrivalTracker).
func (s *Server) limitReadAhead(r *http.Request) bool {
	c, ok := r.Context().Value(framedConnKey{}).(*framedConn)
	if !ok || !s.loop.pool.memory.acquire(readAheadBytes) {
		return false
	}
	c.setReadBuffer(readAheadBytes)
	return true
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
	return nil
}
