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
	headRequestID = "X-Request-ID"
	headTimeout   = "X-Timeout"
)

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// endToEnd returns the headers that are passed on.
func endToEnd(in http.Header) http.Header {
	out := in.Clone()
	for _, v := range in.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

// encode is the head of the request as it goes to a host, with the time left as of now, which
// it returns too. Method, path and query go out just as they came.
func (x *exchange) encode() (head []byte, left time.Duration) {
	header := endToEnd(x.header)
	due := x.deadline
	if x.upload != nil {
		due = x.dueAt()
	}
	left = max(0, time.Until(due))
	header.Set(headTimeout, strconv.FormatFloat(left.Seconds(), 'f', 3, 64))
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
		target = x.url.RequestURI() // it came with the name of a host
	}
	var buf bytes.Buffer
	fmt.Fprintf(&buf, "%s %s HTTP/1.1\r\nHost: %s\r\n", x.method, target, x.host)
	header.Write(&buf) // a bytes.Buffer takes all
	buf.WriteString("\r\n")
	return buf.Bytes(), left
}
