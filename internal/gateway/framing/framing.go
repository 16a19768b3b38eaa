// Package framing finds where the requests begin and end in the bytes that a client sends on a
// connection. It reads no socket and no clock.
//
// net/http lets Transfer-Encoding override Content-Length and then removes the latter, and in
// HTTP/1.0 it drops Transfer-Encoding unread. In both cases the handler cannot tell that the sender
// and the gateway may disagree on where the request ends, so that part of its body could be taken
// for a request that no client sent. A Parser keeps what is needed to detect that.
package framing

import (
	"bytes"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// Head holds the framing of a request as its head states it.
type Head struct {
	StartedAt  time.Time // when its first byte was read; for the first request on a connection, when that was accepted
	CompleteAt time.Time // earliest time at which the last byte of the request can have arrived; zero until that byte is read

	size                Size   // of what has been received
	hasRequestLine      bool   // the request line has been received
	contentLength       string // Content-Length, "" if there is none
	hasTransferEncoding bool   // it has a Transfer-Encoding header
	lastLineIsFraming   bool   // the last line was a Content-Length or a Transfer-Encoding
	ambiguous           bool   // sender and gateway may disagree on where the request ends
}

// Size is how much of a head there is.
type Size struct {
	Bytes  int // with the request line and all line ends
	Fields int // header lines, continuation lines among them
}

// MaxFields is how many header lines a head may have.
const MaxFields = 100

// Unambiguous returns whether sender and gateway agree on where the request ends. r is the request
// that net/http has read by this head.
func (h *Head) Unambiguous(r *http.Request) bool {
	if h.ambiguous || h.hasTransferEncoding && !r.ProtoAtLeast(1, 1) { // HTTP/1.0 has no Transfer-Encoding
		return false
	}
	return h.hasTransferEncoding == (len(r.TransferEncoding) > 0)
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
	parsingStopped  // the framing is ambiguous or malformed, or a head has too many fields; the connection ends after this request
)

// maxLineBytes is how much of a line is kept. A longer Content-Length or Transfer-Encoding line makes
// the request ambiguous.
const maxLineBytes = 128

// Parser parses the framing of the requests on one connection. It is not safe for concurrent use.
type Parser struct {
	state         parseState
	remaining     int64     // bytes of the body or chunk that are still to come
	line          []byte    // start of the line that is being received, up to maxLineBytes
	lineTruncated bool      // the line is longer than maxLineBytes
	partialHead   Head      // head that is being received
	lastHead      *Head     // head that was received last; its body may still be arriving
	arrivedAfter  time.Time // argument of the present call of Parse
	pendingHeads  []*Head   // heads that TakeHead has not returned yet, oldest first
	tooManyFields bool      // a head has more than MaxFields header lines; nothing after them is parsed
}

// NewParser returns a parser for a connection that was accepted at the given time.
func NewParser(acceptedAt time.Time) Parser {
	return Parser{partialHead: Head{StartedAt: acceptedAt}}
}

// InHead returns whether the next byte belongs to a head or precedes one.
func (p *Parser) InHead() bool { return p.state == parsingHead }

// HeadStartedAt returns when the head that is being received started, or the zero time if there is none.
func (p *Parser) HeadStartedAt() time.Time {
	if p.state != parsingHead {
		return time.Time{}
	}
	return p.partialHead.StartedAt
}

// HasPartialHead returns whether part of a head has been parsed, other than empty lines ahead of it.
func (p *Parser) HasPartialHead() bool {
	return p.state == parsingHead && (p.partialHead.hasRequestLine || len(p.line) > 0)
}

// HasPendingHead returns whether TakeHead would return a head.
func (p *Parser) HasPendingHead() bool { return len(p.pendingHeads) > 0 }

// PendingHeads returns how many heads TakeHead would return one after another.
func (p *Parser) PendingHeads() int { return len(p.pendingHeads) }

// PendingHeadSize returns the size of the head that TakeHead would return, which is zero if there is none.
func (p *Parser) PendingHeadSize() Size {
	if len(p.pendingHeads) == 0 {
		return Size{}
	}
	return p.pendingHeads[0].size
}

// TakeHead returns the oldest head that it has not returned yet, or nil if there is none.
func (p *Parser) TakeHead() *Head {
	if len(p.pendingHeads) == 0 {
		return nil
	}
	head := p.pendingHeads[0]
	p.pendingHeads = slices.Delete(p.pendingHeads, 0, 1)
	return head
}

// TooManyFields returns whether a head with more than MaxFields header lines has been received, in part
// or whole. It is not among the heads that TakeHead returns.
func (p *Parser) TooManyFields() bool { return p.tooManyFields }

// PartialHeadSize returns the size of the head that is being received, which is zero if there is none.
func (p *Parser) PartialHeadSize() Size {
	if p.state != parsingHead {
		return Size{}
	}
	return p.partialHead.size
}

// LastHead returns the head that was received last, or nil before the first.
func (p *Parser) LastHead() *Head { return p.lastHead }

// RemainingBody returns how many bytes of the present body are still to come. It returns false if no
// body is arriving, or one of unknown length.
func (p *Parser) RemainingBody() (n int64, ok bool) {
	return p.remaining, p.state == parsingBody
}

// Parse parses bytes that were read at readAt. Their last byte is known not to have arrived before
// arrivedAfter.
func (p *Parser) Parse(in []byte, readAt, arrivedAfter time.Time) {
	p.arrivedAfter = arrivedAfter
	for len(in) > 0 && p.state != parsingStopped {
		if p.state == parsingBody || p.state == parsingChunk {
			n := min(p.remaining, int64(len(in)))
			in = in[n:]
			if p.remaining -= n; p.remaining > 0 {
				return
			}
			if p.state == parsingChunk {
				p.state = parsingChunkEnd
			} else {
				p.endRequest()
			}
			continue
		}
		if p.state == parsingHead && p.partialHead.StartedAt.IsZero() {
			p.partialHead.StartedAt = readAt
		}
		line, rest, lineEnded := bytes.Cut(in, []byte("\n"))
		if p.state == parsingHead {
			p.partialHead.size.Bytes += len(in) - len(rest)
		}
		in = rest
		kept := min(len(line), maxLineBytes-len(p.line))
		p.line = append(p.line, line[:kept]...)
		p.lineTruncated = p.lineTruncated || kept < len(line)
		if !lineEnded {
			return
		}
		p.parseLine(bytes.TrimSuffix(p.line, []byte("\r")))
		p.line, p.lineTruncated = p.line[:0], false
	}
}

// endRequest records that a request has been received whole, and expects another head.
func (p *Parser) endRequest() {
	p.lastHead.CompleteAt = p.arrivedAfter
	p.state, p.partialHead = parsingHead, Head{}
}

// parseLine parses a whole line, without its line end.
func (p *Parser) parseLine(line []byte) {
	switch p.state {
	case parsingHead:
		switch {
		case len(line) > 0 && !p.partialHead.hasRequestLine:
			p.partialHead.hasRequestLine = true
		case len(line) > 0:
			p.partialHead.parseHeaderLine(line, p.lineTruncated)
			if p.partialHead.size.Fields > MaxFields {
				p.tooManyFields = true
				p.state = parsingStopped
			}
		case p.partialHead.hasRequestLine: // empty lines ahead of a request are skipped
			p.endHead()
		}
	case parsingChunkSize:
		size, _, _ := bytes.Cut(line, []byte(";"))
		n, err := strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 62)
		switch {
		case err != nil:
			p.state = parsingStopped // net/http rejects this chunk size as well
		case n == 0:
			p.state = parsingTrailer
		default:
			p.state, p.remaining = parsingChunk, int64(n)
		}
	case parsingChunkEnd:
		p.state = parsingChunkSize
		if len(line) > 0 {
			p.state = parsingStopped
		}
	case parsingTrailer:
		if len(line) == 0 {
			p.endRequest()
		}
	}
}

// parseHeaderLine parses a header line. truncated means that only its first maxLineBytes are there.
func (h *Head) parseHeaderLine(line []byte, truncated bool) {
	h.size.Fields++
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
func (p *Parser) endHead() {
	complete := p.partialHead
	h := &complete
	p.lastHead = h
	h.ambiguous = h.ambiguous || h.hasTransferEncoding && h.contentLength != ""
	var err error
	p.remaining = 0
	if h.contentLength != "" {
		p.remaining, err = strconv.ParseInt(h.contentLength, 10, 62)
		h.ambiguous = h.ambiguous || err != nil || p.remaining < 0
	}
	p.pendingHeads = append(p.pendingHeads, h)
	switch {
	case h.ambiguous:
		p.state = parsingStopped
	case h.hasTransferEncoding:
		p.state = parsingChunkSize
	case p.remaining > 0:
		p.state = parsingBody
	default:
		p.endRequest()
	}
}
