package gateway

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	requestIDHeader = "X-Request-ID"
	timeoutHeader   = "X-Timeout"
)

// hopByHopHeaders are the headers that concern a single connection only, and Content-Length and
// Expect, which the gateway handles itself.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// endToEndHeaders returns a copy of the headers that are passed on: all but hopByHopHeaders and those
// that the Connection header names.
func endToEndHeaders(in http.Header) http.Header {
	out := in.Clone()
	for _, v := range in.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// encodeHead returns the head of the request as it is sent to a host, and the time that is left until
// the deadline, which the head states in X-Timeout. Method, path and query are sent as they were
// received.
func (x *exchange) encodeHead() (head []byte, left time.Duration) {
	header := endToEndHeaders(x.header)
	deadline := x.deadline
	if x.upload != nil {
		deadline = x.clientDeadline() // x.deadline is set again once the body is complete
	}
	left = max(0, time.Until(deadline))
	header.Set(timeoutHeader, strconv.FormatFloat(left.Seconds(), 'f', 3, 64))
	switch {
	case x.upload != nil && x.upload.length < 0:
		header.Set("Transfer-Encoding", "chunked")
	case x.upload != nil:
		header.Set("Content-Length", strconv.FormatInt(x.upload.length, 10))
	case len(x.body) > 0 || x.method == http.MethodPost || x.method == http.MethodPut || x.method == http.MethodPatch:
		header.Set("Content-Length", strconv.Itoa(len(x.body)))
	}
	target := x.uri
	if !strings.HasPrefix(target, "/") {
		target = x.url.RequestURI() // the request target was in absolute form
	}
	var buf bytes.Buffer
	fmt.Fprintf(&buf, "%s %s HTTP/1.1\r\nHost: %s\r\n", x.method, target, x.host)
	header.Write(&buf) // a bytes.Buffer accepts all writes
	buf.WriteString("\r\n")
	return buf.Bytes(), left
}
