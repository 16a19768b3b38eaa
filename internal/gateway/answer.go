package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
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

// readAnswer reads the answer to x and returns, in keep, whether the connection can carry another request.
// Of an answer whose status is not 200, only the status and the headers are returned. An answer with
// status 200 is returned as a stream if it is too long to be buffered, if the memory budget has no room
// for it, or if its length is unknown, part of its body has arrived and it is incomplete streamDelay
// after its head. Any other answer that cannot be verified to be complete is an error and is not
// served.
func (c *conn) readAnswer(x *exchange, memory *memoryBudget) (status int, a answer, keep bool, err error) {
	resp, err := c.readAnswerHead(x.method)
	if err != nil {
		return 0, answer{}, false, err
	}
	a = answer{kind: answerServed, header: resp.Header}
	if resp.StatusCode == http.StatusOK {
		c.limited.progress.streamable.Store(resp.ContentLength < 0 || resp.ContentLength > maxBufferedBytes)
		err = c.readAnswerBody(resp, &a, x.forwardHeadBy(time.Now()), memory)
	} else {
		err = c.skipAnswerBody(resp)
	}
	if err != nil {
		return 0, answer{}, false, err
	}
	return resp.StatusCode, a, !resp.Close, nil
}

// readAnswerHead reads the head of an answer. It skips informational responses, which precede the
// answer.
func (c *conn) readAnswerHead(method string) (*http.Response, error) {
	if early := c.earlyHead; early != nil {
		return early.response, early.err
	}
	c.limited.startHead()
	for {
		if resp, err := c.readResponseHead(method); err != nil || !isInformational(resp) {
			return resp, err
		}
	}
}

// readResponseHead reads the head of a response, informational or final.
func (c *conn) readResponseHead(method string) (*http.Response, error) {
	badFraming := c.http10TransferEncoding()
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	switch {
	case err != nil && c.limited.exceeded:
		return nil, errBadAnswer // the head is too long
	case err != nil:
		return nil, err
	case resp.ProtoMajor != 1 || badFraming:
		return nil, errBadAnswer // its body is not framed as its head says
	}
	if !isInformational(resp) {
		c.limited.endHead()
	}
	return resp, nil
}

// isInformational returns whether another response to the same request follows.
func isInformational(resp *http.Response) bool { return resp.StatusCode < http.StatusOK }

// earlyHead is the head of a final answer that a host began before it had the whole request, or the error of reading it.
type earlyHead struct {
	response *http.Response
	err      error
}

// answersEarly is called when a host has sent something, or has closed the connection, before it has the whole request. It
// returns false if that was an informational response, after which the request goes on. Otherwise it stores the head of
// the answer for readAnswer. The whole answer must come within hostStallTimeout, as the request has no deadline yet.
func (c *conn) answersEarly(method string) bool {
	c.SetReadDeadline(time.Now().Add(hostStallTimeout))
	c.limited.startHead()
	resp, err := c.readResponseHead(method)
	if err == nil && isInformational(resp) {
		c.SetReadDeadline(time.Time{})
		return false
	}
	c.earlyHead = &earlyHead{resp, err} // the connection carries no other request
	return true
}

// skipAnswerBody reads the body of an answer of which only the head is used, so that the connection can
// carry the next request.
func (c *conn) skipAnswerBody(resp *http.Response) error {
	n, err := io.CopyN(io.Discard, resp.Body, maxBufferedBytes+1)
	switch {
	case n > maxBufferedBytes:
		return errBadAnswer // too long
	case err == io.EOF && c.reader.Buffered() > 0:
		return errBadAnswer // longer than announced
	case err != io.EOF:
		return err
	}
	return nil
}

// forwardHeadBy returns when the head of a long answer, which has arrived now, has to be passed on at the latest:
// the client's time and the time for which a part of an answer may be held back end with it.
func (x *exchange) forwardHeadBy(now time.Time) time.Time {
	deadline := x.capDeadline(x.deadline).Add(-x.answerLead - headForwardMargin)
	if latest := now.Add(maxHeadHold); latest.Before(deadline) {
		return latest
	}
	return deadline
}

// readAnswerBody sets the body or the stream of an answer. If it fails, it sets neither. If the answer is too long to be
// buffered, its stream begins at forwardHeadBy at the latest, with or without its body.
func (c *conn) readAnswerBody(resp *http.Response, a *answer, forwardHeadBy time.Time, memory *memoryBudget) error {
	st := &stream{conn: c, body: resp.Body, length: resp.ContentLength, done: make(chan error, 1)}
	if st.length < 0 && len(resp.TransferEncoding) > 0 {
		st.chunks = newChunkedBody(c.reader)
		st.body = st.chunks
	}
	size, acquire := maxBufferedBytes, memory.acquireSpare // an answer of unknown length is often long
	if st.length >= 0 && st.length < maxBufferedBytes {
		size, acquire = int(st.length), memory.acquire
	}
	if st.length > maxBufferedBytes && c.earlyHead == nil {
		a.stream = st
		return c.awaitLongBody(st, forwardHeadBy)
	}
	if st.length > maxBufferedBytes || !acquire(size) {
		a.stream = st
		return c.awaitBody(st)
	}
	body, whole, err := c.bufferAnswerBody(st, size)
	if err != nil {
		memory.release(size)
		return err
	}
	release := func() { memory.release(size) }
	if whole {
		a.body, a.release = body, release
	} else {
		st.prefix, st.releasePrefix, st.bodyBegun, a.stream = body, release, true, st
	}
	return nil
}

// awaitBody waits for the first byte of the body. Until it has arrived, the request can be retried.
func (c *conn) awaitBody(st *stream) error {
	_, err := c.reader.Peek(1)
	st.bodyBegun = err == nil
	return err
}

// awaitLongBody waits as awaitBody does, but not beyond a time at which the stream begins without the body.
func (c *conn) awaitLongBody(st *stream, until time.Time) error {
	c.SetReadDeadline(until)
	defer c.SetReadDeadline(time.Time{})
	if err := c.awaitBody(st); !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	return nil
}

// bufferAnswerBody reads the body of an answer until it is complete, too long to be buffered or, if its
// length is unknown, incomplete streamDelay after its head. whole says whether it is complete. size is
// the expected length.
func (c *conn) bufferAnswerBody(st *stream, size int) (body []byte, whole bool, err error) {
	streamAt := time.Now().Add(streamDelay)
	body = make([]byte, 0, min(size+1, 4<<10))
	for len(body) <= maxBufferedBytes {
		if len(body) == cap(body) {
			body = slices.Grow(body, min(len(body), maxBufferedBytes+1-len(body)))
		}
		n, err := st.body.Read(body[len(body):min(cap(body), maxBufferedBytes+1)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF && st.hasSurplus():
			return nil, false, errBadAnswer // longer than announced
		case err == io.EOF:
			return body, true, nil
		case st.length < 0 && len(body) > 0 && errors.Is(err, os.ErrDeadlineExceeded):
			return body, false, nil
		case err != nil:
			return nil, false, err
		}
		if st.length < 0 && n > 0 && len(body) == n { // the first piece
			c.SetReadDeadline(streamAt)
			defer c.SetReadDeadline(time.Time{})
		}
	}
	return body, false, nil
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
