package gateway

import (
	"bytes"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// net/http lets Transfer-Encoding override Content-Length and then removes the latter,
// and in HTTP/1.0 drops Transfer-Encoding unread. Either way the handler cannot tell
// that the sender and we may disagree where the request ends, so that part of its body
// could be taken for a request that no client sent. framedListener keeps what is needed
// to tell.

// requestHead is what the head of a request says of its framing.
type requestHead struct {
	began   time.Time // its first byte, or the connection if it is the first there
	started bool      // its first line has come
	length  string    // Content-Length, "" for none
	encoded bool      // it has a Transfer-Encoding
	framing bool      // the last line was one of these
	odd     bool      // it is not clear where the request ends
	whole   time.Time // its last byte came, at the earliest; zero: it has not
}

// place is where in a request the next byte belongs.
type place int

const (
	inHead place = iota
	inBody
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
	lost // it is not clear; the connection ends behind the request
)

// lineMost is how much of a line is kept. A framing line that is longer is odd.
const lineMost = 128

// follow takes in what has been read.
func (c *framedConn) follow(in []byte) {
	for len(in) > 0 && c.at != lost {
		if c.at == inBody || c.at == inChunk {
			n := min(c.left, int64(len(in)))
			in = in[n:]
			if c.left -= n; c.left > 0 {
				return
			}
			if c.at == inChunk {
				c.at = inChunkEnd
			} else {
				c.next()
			}
			continue
		}
		if c.at == inHead && c.head.began.IsZero() {
			c.head.began = time.Now()
			c.due = c.head.began.Add(headerTimeout)
		}
		part, rest, ended := bytes.Cut(in, []byte("\n"))
		in = rest
		room := min(len(part), lineMost-len(c.line))
		c.line = append(c.line, part[:room]...)
		c.long = c.long || room < len(part)
		if !ended {
			return
		}
		c.whole(bytes.TrimSuffix(c.line, []byte("\r")))
		c.line, c.long = c.line[:0], false
	}
}

// next notes that a request has come whole, and waits for another head.
func (c *framedConn) next() {
	c.latest.whole = c.unread.since(c.unread.total)
	c.at, c.head = inHead, requestHead{}
}

// whole takes in a line.
func (c *framedConn) whole(line []byte) {
	switch c.at {
	case inHead:
		switch {
		case len(line) > 0 && !c.head.started:
			c.head.started = true
		case len(line) > 0:
			c.head.add(line, c.long)
		case c.head.started: // an empty line ahead of a request is skipped
			c.endHead()
		}
	case inChunkSize:
		size, _, _ := bytes.Cut(line, []byte(";"))
		n, err := strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 62)
		switch {
		case err != nil:
			c.at = lost // so net/http finds as well
		case n == 0:
			c.at = inTrailer
		default:
			c.at, c.left = inChunk, int64(n)
		}
	case inChunkEnd:
		c.at = inChunkSize
		if len(line) > 0 {
			c.at = lost
		}
	case inTrailer:
		if len(line) == 0 {
			c.next()
		}
	}
}

// add takes in a header line.
func (h *requestHead) add(line []byte, cut bool) {
	if line[0] == ' ' || line[0] == '\t' { // it goes on with the last one
		h.odd = h.odd || h.framing
		return
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	length := bytes.EqualFold(bytes.TrimSpace(name), []byte("content-length"))
	encoding := bytes.EqualFold(bytes.TrimSpace(name), []byte("transfer-encoding"))
	if h.framing = length || encoding; h.framing {
		h.odd = h.odd || cut
	}
	if length {
		text := string(bytes.TrimSpace(value))
		h.odd = h.odd || text == "" || h.length != "" && h.length != text
		h.length = text
	}
	h.encoded = h.encoded || encoding
}

// endHead is the end of a head: what follows is its body or another head.
func (c *framedConn) endHead() {
	c.latest = &requestHead{}
	*c.latest = c.head
	h := c.latest
	h.odd = h.odd || h.encoded && h.length != ""
	c.due = time.Time{}
	var err error
	c.left = 0
	if h.length != "" {
		c.left, err = strconv.ParseInt(h.length, 10, 62)
		h.odd = h.odd || err != nil || c.left < 0
	}
	c.heads = append(c.heads, h)
	switch {
	case h.odd:
		c.at = lost
	case h.encoded:
		c.at = inChunkSize
	case c.left > 0:
		c.at = inBody
	default:
		c.next()
	}
}

// framing is called once for each request. It gives what is known of its head, and whether it is
// clear to sender and gateway alike where the request ends.
func framing(r *http.Request) (h *requestHead, clear bool) {
	c, ok := r.Context().Value(framedKey{}).(*framedConn)
	if !ok {
		return nil, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.heads) == 0 {
		return nil, false // net/http sees a head where we see none
	}
	h = c.heads[0]
	c.heads = slices.Delete(c.heads, 0, 1)
	// HTTP/1.0 has no Transfer-Encoding.
	return h, !h.odd && !(h.encoded && !r.ProtoAtLeast(1, 1)) && h.encoded == (len(r.TransferEncoding) > 0)
}
