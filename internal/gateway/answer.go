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

// maxHeadBytes limits the head of an answer.
const maxHeadBytes = 64 << 10

var errBadAnswer = errors.New("gateway: answer cannot be passed on")

// isConnError returns whether a read failed because the connection ended or broke, and not because
// of the data that was read.
func isConnError(err error) bool {
	var network net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network)
}

// readAnswer reads an answer and returns, in keep, whether the connection can carry another request. Of
// an answer whose status is not 200, only the status and the headers are returned. An answer with
// status 200 is returned as a stream if it is too long to be buffered, if the memory budget has no room
// for it, or if its length is unknown, part of its body has arrived and it is incomplete streamDelay
// after its head. Any other answer that cannot be verified to be complete is an error and is not
// served.
func (c *conn) readAnswer(method string, memory *memoryBudget) (status int, a answer, keep bool, err error) {
	c.limited.N = maxHeadBytes
	var resp *http.Response
	for {
		badFraming := c.http10TransferEncoding()
		resp, err = http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil && c.limited.N <= 0 {
			return 0, a, false, errBadAnswer // the head is too long
		} else if err != nil {
			return 0, a, false, err
		} else if resp.ProtoMajor != 1 || badFraming {
			return 0, a, false, errBadAnswer // its body is not framed as its head says
		}
		if resp.StatusCode >= 200 {
			break // informational responses precede the answer
		}
	}
	c.limited.N = math.MaxInt64
	a = answer{kind: answerServed, header: resp.Header}
	if resp.StatusCode != http.StatusOK {
		// Only the head is used. The body is read so that the connection can carry the next
		// request.
		switch n, err := io.CopyN(io.Discard, resp.Body, maxBufferedBytes+1); {
		case n > maxBufferedBytes || err == io.EOF && c.reader.Buffered() > 0:
			return 0, answer{}, false, errBadAnswer // too long, or longer than announced
		case err != io.EOF:
			return 0, answer{}, false, err
		}
		return resp.StatusCode, a, !resp.Close, nil
	}
	st := &stream{conn: c, body: resp.Body, length: resp.ContentLength, done: make(chan error, 1)}
	size := maxBufferedBytes
	if st.length >= 0 && st.length < maxBufferedBytes {
		size = int(st.length)
	}
	if st.length > maxBufferedBytes || !memory.acquire(size) {
		// The first byte of the body must have arrived before the stream begins: until then the
		// request can be retried.
		if _, err := c.reader.Peek(1); err != nil {
			return 0, a, false, err
		}
		a.stream = st
		return resp.StatusCode, a, !resp.Close, nil
	}
	a.release = func() { memory.release(size) }
	defer func() {
		if err != nil {
			a.discard()
			a = answer{}
		}
	}()
	streamAt := time.Now().Add(streamDelay)
	buf := make([]byte, 0, min(size+1, 4<<10))
	for {
		if st.length < 0 && len(buf) > 0 {
			more, err := c.waitForMore(streamAt)
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
		n, err := resp.Body.Read(buf[len(buf):min(cap(buf), maxBufferedBytes+1)])
		buf = buf[:len(buf)+n]
		switch {
		case err == io.EOF && c.reader.Buffered() > 0:
			return 0, a, false, errBadAnswer // longer than announced
		case err == io.EOF:
			a.body = buf
			return resp.StatusCode, a, !resp.Close, nil
		case err != nil:
			return 0, a, false, err
		}
		if len(buf) > maxBufferedBytes {
			break
		}
	}
	st.prefix, a.stream = buf, st
	return resp.StatusCode, a, !resp.Close, nil
}

// http10TransferEncoding returns whether the next answer is an HTTP/1.0 one with a
// Transfer-Encoding header. Its framing is faulty, and ReadResponse drops the header, so that the
// chunk headers would be taken for part of the body. The whole head is examined, up to
// maxHeadBytes.
func (c *conn) http10TransferEncoding() bool {
	const http10 = "HTTP/1.0"
	for n := range len(http10) { // byte by byte, as what is not HTTP may be shorter, and a longer Peek would wait for more
		if b, err := c.reader.Peek(n + 1); err != nil || b[n] != http10[n] {
			return false
		}
	}
	for n := 0; ; {
		head, err := c.reader.Peek(min(max(n+1, c.reader.Buffered()), c.reader.Size()))
		i := bytes.Index(head, []byte("\r\n\r\n"))
		if i < 0 && err == nil && len(head) == c.reader.Size() && len(head) < maxHeadBytes {
			// Few heads are that long, so the buffer of a connection is smaller by default.
			c.reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(head)), c.limited), maxHeadBytes)
			continue
		}
		if i >= 0 || err != nil || len(head) == c.reader.Size() {
			if i >= 0 {
				head = head[:i]
			}
			return bytes.Contains(bytes.ToLower(head), []byte("\ntransfer-encoding"))
		}
		n = len(head)
	}
}

// waitForMore waits until there is more of an answer to read, or the host has closed the connection,
// and returns false if neither has happened by the given time. A connection reports that it was reset only
// once, and a read after that returns io.EOF, so the caller must handle the error.
func (c *conn) waitForMore(until time.Time) (bool, error) {
	if c.reader.Buffered() > 0 {
		return true, nil
	}
	c.SetReadDeadline(until)
	defer c.SetReadDeadline(time.Time{})
	switch _, err := c.reader.Peek(1); {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return false, nil
	case err == nil || err == io.EOF:
		return true, nil // reading the body returns the end again
	default:
		return false, err
	}
}
