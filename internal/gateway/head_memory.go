package gateway

import (
	"errors"
	"io"
	"net/http"
	"time"

	"bramblelock/internal/gateway/config"
	"bramblelock/internal/gateway/framing"
)

// This file bounds the memory that the heads of clients' requests take. net/http makes a map of a head
// as its lines arrive and limits the bytes of a head only, of which short lines take many times their
// length. So framedConn counts what a head costs before net/http gets it: a head may have
// framing.MaxFields fields, and all heads together may cost what their memoryBudget holds. A head counts
// until its request has been answered.

const (
	// freeHeadMemory is what a head may cost without being counted, in bytes: connMemory covers it.
	freeHeadMemory = 4 << 10
	// headFieldMemory is what a field of a head costs beside its text, in bytes.
	headFieldMemory = 200
	// headByteCost is how many bytes of memory each byte of a head costs: it is held as text, and once
	// more while a line is being put together.
	headByteCost = 2

	// rejectHeadTimeout limits the writing of the answer to a client that does not read its answers.
	rejectHeadTimeout = 100 * time.Millisecond
)

var (
	errTooManyFields = errors.New("gateway: the head has too many fields")
	errHeadMemory    = errors.New("gateway: no memory is left for the head")
)

// The answers to heads that are not read to their end.
const (
	tooManyFieldsAnswer = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	headMemoryAnswer    = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// newHeadBudget returns the budget for the heads of all requests.
func newHeadBudget(cfg *config.Config) *memoryBudget {
	return newMemoryBudget(cfg, headMemoryShare, defaultHeadMemory)
}

// headMemory returns how many bytes of the budget a head of the given size costs.
func headMemory(size framing.Size) int {
	return max(0, headByteCost*size.Bytes+headFieldMemory*size.Fields-freeHeadMemory)
}

// chargeHead counts a head of the given size against the budget, in place of what was counted before for
// a head on this connection if it costs more. The caller holds c.mu.
func (c *framedConn) chargeHead(size framing.Size) error {
	cost := headMemory(size)
	if c.headBudget == nil || cost <= c.headCharge {
		return nil
	}
	if !c.headBudget.acquire(cost - c.headCharge) {
		return errHeadMemory
	}
	c.headCharge = cost
	return nil
}

// releaseHead returns what is counted for a head to the budget. The caller holds c.mu.
func (c *framedConn) releaseHead() {
	if c.headCharge > 0 {
		c.headBudget.release(c.headCharge)
		c.headCharge = 0
	}
}

// admitHead returns an error if the head that is being received must not be read further. While a request
// is being served it returns none: its answer is owed, and what is read meanwhile fits into a buffer that
// net/http has anyway. The caller holds c.mu.
func (c *framedConn) admitHead() error {
	switch {
	case c.serving:
		return nil
	case c.parser.HasPendingHead(): // what follows it is looked at once its request has been answered
		return c.chargeHead(c.parser.PendingHeadSize())
	case c.parser.TooManyFields():
		return errTooManyFields
	}
	return c.chargeHead(c.parser.PartialHeadSize())
}

// rejectHead answers a head that must not be read further, closes the connection and returns the error for
// net/http. Nothing else is written to the connection meanwhile, as no request is being served.
func (c *framedConn) rejectHead(cause error) error {
	status, text := http.StatusRequestHeaderFieldsTooLarge, tooManyFieldsAnswer
	if errors.Is(cause, errHeadMemory) {
		status, text = http.StatusServiceUnavailable, headMemoryAnswer
	}
	if c.rejectLog != nil {
		c.rejectLog.warn("request rejected", "peer", c.RemoteAddr().String(), "status", status, "err", cause)
	}
	c.SetWriteDeadline(time.Now().Add(rejectHeadTimeout))
	io.WriteString(c.Conn, text) // a failure means that the client has left
	c.Close()                    // net/http may take the error for a malformed line and answer that too
	return c.readError(cause)
}
