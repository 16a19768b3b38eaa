package gateway

import (
	"bytes"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// net/http lets Transfer-Encoding override Content-Length and then removes the latter, and in
// HTTP/1.0 it drops Transfer-Encoding unread. In both cases the handler cannot tell that the sender
// and the gateway may disagree on where the request ends, so that part of its body could be taken
// for a request that no client sent. framedConn keeps what is needed to detect that.

// requestHead holds the framing of a request as its head states it.
type requestHead struct {
	startedAt           time.Time // when its first byte was read; for the first request on a connection, when that was accepted
	hasRequestLine      bool      // the request line has been received
	contentLength       string    // Content-Length, "" if there is none
	hasTransferEncoding bool      // it has a Transfer-Encoding header
	lastLineIsFraming   bool      // the last line was a Content-Length or a Transfer-Encoding
	ambiguous           bool      // sender and gateway may disagree on where the request ends
	completeAt          time.Time // earliest time at which the last byte of the request can have arrived; zero until that byte is read
}

// parseState says to which part of a request the next byte belongs.
type parseState int

const (
	parsingHead      parseState = iota
	parsingBody                 // of the length that Content-Length states
	parsingChunkSize            // the line before a chunk
	parsingChunk
	parsingChunkEnd // the line end after a chunk
	parsingTrailer  // the lines after the last chunk
	parsingStopped  // the framing is ambiguous or malformed; the connection ends after this request
)

// maxLineBytes is how much of a line is kept. A longer Content-Length or Transfer-Encoding line makes
// the request ambiguous.
const maxLineBytes = 128

// parse parses bytes that have been read. The caller holds c.mu.
func (c *framedConn) parse(in []byte) {
	for len(in) > 0 && c.state != parsingStopped {
		if c.state == parsingBody || c.state == parsingChunk {
			n := min(c.remaining, int64(len(in)))
			in = in[n:]
			if c.remaining -= n; c.remaining > 0 {
				return
			}
			if c.state == parsingChunk {
				c.state = parsingChunkEnd
			} else {
				c.endRequest()
			}
			continue
		}
		if c.state == parsingHead && c.partialHead.startedAt.IsZero() {
			c.partialHead.startedAt = time.Now()
			c.headDeadline = c.partialHead.startedAt.Add(headerTimeout)
		}
		line, rest, lineEnded := bytes.Cut(in, []byte("\n"))
		in = rest
		kept := min(len(line), maxLineBytes-len(c.line))
		c.line = append(c.line, line[:kept]...)
		c.lineTruncated = c.lineTruncated || kept < len(line)
		if !lineEnded {
			return
		}
		c.parseLine(bytes.TrimSuffix(c.line, []byte("\r")))
		c.line, c.lineTruncated = c.line[:0], false
	}
}

// endRequest records that a request has been received whole, and expects another head.
func (c *framedConn) endRequest() {
	c.lastHead.completeAt = c.arrivals.arrivedAfter(c.arrivals.totalRead)
	c.state, c.partialHead = parsingHead, requestHead{}
}

// parseLine parses a whole line, without its line end.
func (c *framedConn) parseLine(line []byte) {
	switch c.state {
	case parsingHead:
		switch {
		case len(line) > 0 && !c.partialHead.hasRequestLine:
			c.partialHead.hasRequestLine = true
		case len(line) > 0:
			c.partialHead.parseHeaderLine(line, c.lineTruncated)
		case c.partialHead.hasRequestLine: // empty lines ahead of a request are skipped
			c.endHead()
		}
	case parsingChunkSize:
		size, _, _ := bytes.Cut(line, []byte(";"))
		n, err := strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 62)
		switch {
		case err != nil:
			c.state = parsingStopped // net/http rejects this chunk size as well
		case n == 0:
			c.state = parsingTrailer
		default:
			c.state, c.remaining = parsingChunk, int64(n)
		}
	case parsingChunkEnd:
		c.state = parsingChunkSize
		if len(line) > 0 {
			c.state = parsingStopped
		}
	case parsingTrailer:
		if len(line) == 0 {
			c.endRequest()
		}
	}
}

// parseHeaderLine parses a header line. truncated means that only its first maxLineBytes are there.
func (h *requestHead) parseHeaderLine(line []byte, truncated bool) {
	if line[0] == ' ' || line[0] == '\t' { // continuation of the last line
		h.ambiguous = h.ambiguous || h.lastLineIsFraming
		return
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	length := bytes.EqualFold(bytes.TrimSpace(name), []byte("content-length"))
	encoding := bytes.EqualFold(bytes.TrimSpace(name), []byte("transfer-encoding"))
	if h.lastLineIsFraming = length || encoding; h.lastLineIsFraming {
		h.ambiguous = h.ambiguous || truncated
	}
	if length {
		text := string(bytes.TrimSpace(value))
		h.ambiguous = h.ambiguous || text == "" || h.contentLength != "" && h.contentLength != text
		h.contentLength = text
	}
	h.hasTransferEncoding = h.hasTransferEncoding || encoding
}

// endHead handles the end of a head: the body of the request or another head follows.
func (c *framedConn) endHead() {
	c.lastHead = &requestHead{}
	*c.lastHead = c.partialHead
	h := c.lastHead
	h.ambiguous = h.ambiguous || h.hasTransferEncoding && h.contentLength != ""
	c.headDeadline = time.Time{}
	var err error
	c.remaining = 0
	if h.contentLength != "" {
		c.remaining, err = strconv.ParseInt(h.contentLength, 10, 62)
		h.ambiguous = h.ambiguous || err != nil || c.remaining < 0
	}
	c.pendingHeads = append(c.pendingHeads, h)
	switch {
	case h.ambiguous:
		c.state = parsingStopped
	case h.hasTransferEncoding:
		c.state = parsingChunkSize
	case c.remaining > 0:
		c.state = parsingBody
	default:
		c.endRequest()
	}
}

// takeRequestHead removes the oldest pending head from the connection of r, which is the head of r,
// and returns it and whether sender and gateway agree on where the request ends. It is called once
// for each request, in their order.
func takeRequestHead(r *http.Request) (h *requestHead, unambiguous bool) {
	c, ok := r.Context().Value(framedConnKey{}).(*framedConn)
	if !ok {
		return nil, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pendingHeads) == 0 {
		return nil, false // net/http has found a head where the parser has found none
	}
	h = c.pendingHeads[0]
	c.pendingHeads = slices.Delete(c.pendingHeads, 0, 1)
	// HTTP/1.0 has no Transfer-Encoding.
	return h, !h.ambiguous && !(h.hasTransferEncoding && !r.ProtoAtLeast(1, 1)) && h.hasTransferEncoding == (len(r.TransferEncoding) > 0)
}
