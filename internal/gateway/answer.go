package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"slices"
	"time"
)

// maxHead is how long the head of an answer may be.
const maxHead = 64 << 10

var errBadAnswer = errors.New("gateway: answer cannot be passed on")

// broken says whether reading failed with the connection, which ended or broke, and not
// because of what was read from it.
func broken(err error) bool {
	var network net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network)
}

// read reads an answer and says whether the connection can carry another request. One
// that is long, or is not whole soon after its head, comes as a stream. Any other that is
// not sure to be whole is an error: it is not served.
func (c *conn) read(method string, kept *budget) (status int, a answer, keep bool, err error) {
	c.limit.N = maxHead
	var resp *http.Response
	for {
		odd := c.chunksOfOld()
		resp, err = http.ReadResponse(c.in, &http.Request{Method: method})
		if err != nil && c.limit.N <= 0 {
			return 0, a, false, errBadAnswer // a head without end
		} else if err != nil {
			return 0, a, false, err
		} else if resp.ProtoMajor != 1 || odd {
			return 0, a, false, errBadAnswer // its framing is not that of its head
		}
		if resp.StatusCode >= 200 {
			break // those below come ahead of the answer
		}
	}
	c.limit.N = math.MaxInt64
	a = answer{kind: answerServed, header: resp.Header}
	if resp.StatusCode != http.StatusOK {
		// Only its head tells anything; the rest is read for the next answer's sake.
		switch n, err := io.CopyN(io.Discard, resp.Body, maxSmall+1); {
		case n > maxSmall || err == io.EOF && c.in.Buffered() > 0:
			return 0, answer{}, false, errBadAnswer // too long, or more than it announced
		case err != io.EOF:
			return 0, answer{}, false, err
		}
		return resp.StatusCode, a, !resp.Close, nil
	}
	st := &stream{conn: c, body: resp.Body, length: resp.ContentLength, done: make(chan error, 1)}
	size := maxSmall
	if st.length >= 0 && st.length < maxSmall {
		size = int(st.length)
	}
	if st.length > maxSmall || !kept.take(size) {
		// One byte at least has come when it begins: until then it can be repeated.
		if _, err := c.in.Peek(1); err != nil {
			return 0, a, false, err
		}
		a.stream = st
		return resp.StatusCode, a, !resp.Close, nil
	}
	a.release = func() { kept.give(size) }
	defer func() {
		if err != nil {
			a.discard()
			a = answer{}
		}
	}()
	soon := time.Now().Add(streamAfter)
	buf := make([]byte, 0, min(size+1, 4<<10))
	for {
		if st.length < 0 && len(buf) > 0 {
			more, err := c.more(soon)
			if err != nil {
				return 0, a, false, err
			}
			if !more {
				break
			}
		}
		if len(buf) == cap(buf) {
			buf = slices.Grow(buf, len(buf))
		}
		n, err := resp.Body.Read(buf[len(buf):min(cap(buf), maxSmall+1)])
		buf = buf[:len(buf)+n]
		switch {
		case err == io.EOF && c.in.Buffered() > 0:
			return 0, a, false, errBadAnswer // more than it announced
		case err == io.EOF:
			a.body = buf
			return resp.StatusCode, a, !resp.Close, nil
		case err != nil:
			return 0, a, false, err
		}
		if len(buf) > maxSmall {
			break
		}
	}
	st.prefix, a.stream = buf, st
	return resp.StatusCode, a, !resp.Close, nil
}

// chunksOfOld says whether the answer that comes next is one of HTTP/1.0 that names an
// encoding: its framing is faulty, and ReadResponse drops the name, so that the chunk lines
// would pass for its body. The head is looked at whole, as far as a head may go.
func (c *conn) chunksOfOld() bool {
	const old = "HTTP/1.0"
	for n := range len(old) { // byte by byte: what is no HTTP may be shorter
		if b, err := c.in.Peek(n + 1); err != nil || b[n] != old[n] {
			return false
		}
	}
	for n := 0; ; {
		head, err := c.in.Peek(min(max(n+1, c.in.Buffered()), c.in.Size()))
		i := bytes.Index(head, []byte("\r\n\r\n"))
		if i < 0 && err == nil && len(head) == c.in.Size() && len(head) < maxHead {
			// Few heads are so long, so the buffer of each connection is not.
			c.in = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(head)), c.limit), maxHead)
			continue
		}
		if i >= 0 || err != nil || len(head) == c.in.Size() {
			if i >= 0 {
				head = head[:i]
			}
			return bytes.Contains(bytes.ToLower(head), []byte("\ntransfer-encoding"))
		}
		n = len(head)
	}
}

// more waits until there is more to read of an answer, or it has ended, and says whether
// that is so by then. A connection tells that it was reset just once, and a read after that
// finds an end in order; so the error is the caller's to heed.
func (c *conn) more(until time.Time) (bool, error) {
	if c.in.Buffered() > 0 {
		return true, nil
	}
	c.SetReadDeadline(until)
	defer c.SetReadDeadline(time.Time{})
	switch _, err := c.in.Peek(1); {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return false, nil
	case err == nil || err == io.EOF:
		return true, nil // the end comes again to who reads the body
	default:
		return false, err
	}
}
