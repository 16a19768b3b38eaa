package gateway

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// net/http lets Transfer-Encoding override Content-Length and then removes the latter,
// and in HTTP/1.0 drops Transfer-Encoding unread. Either way the handler cannot tell
// that the sender and we may disagree where the request ends, so that part of its body
// could be taken for a request that no client sent. framedListener keeps what is needed
// to tell.

// framedListener watches the framing of what its connections bring.
type framedListener struct{ net.Listener }

func (l framedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &framedConn{Conn: c}, nil
}

// framedConn notes which framing headers the head of the present request has.
type framedConn struct {
	net.Conn
	closed atomic.Bool // by us, whatever may have been read from it

	mu       sync.Mutex // net/http reads ahead while the handler runs
	line     []byte     // start of the header line that is coming in
	whole    bool       // the head has ended
	length   bool       // it has a Content-Length
	encoding bool       // ... a Transfer-Encoding
}

var (
	lengthLine   = []byte("content-length:")
	encodingLine = []byte("transfer-encoding:")
)

func (c *framedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	for in := p[:n]; len(in) > 0 && !c.whole; {
		part, rest, ended := bytes.Cut(in, []byte("\n"))
		in = rest
		c.line = append(c.line, part[:min(len(part), len(encodingLine)-len(c.line))]...)
		if !ended {
			break
		}
		line := bytes.ToLower(c.line)
		c.length = c.length || bytes.HasPrefix(line, lengthLine)
		c.encoding = c.encoding || bytes.HasPrefix(line, encodingLine)
		c.whole = len(bytes.TrimSuffix(line, []byte("\r"))) == 0
		c.line = c.line[:0]
	}
	return n, err
}

// Close marks the connection closed. One that is closed as idle may bring a request at
// that moment; the mark tells the handler, which must not let both it and the one that
// the client then sends in its place go on.
func (c *framedConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

// next says that the present request is over.
func (c *framedConn) next() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.line, c.whole, c.length, c.encoding = c.line[:0], false, false, false
}

type framedKey struct{}

func withFraming(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, framedKey{}, c)
}

// ambiguous says whether sender and gateway may disagree where a request ends. The head
// of one that came ahead of the answer to the last was not watched whole: where it
// matters, it counts as ambiguous.
func ambiguous(r *http.Request) bool {
	c, ok := r.Context().Value(framedKey{}).(*framedConn)
	if !ok {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	encoded := c.encoding || len(r.TransferEncoding) > 0
	switch {
	case !r.ProtoAtLeast(1, 1):
		return encoded || !c.whole
	case encoded:
		return c.length || !c.whole
	}
	return false
}

// closed says whether the connection of a request was closed before its handler began.
func closed(r *http.Request) bool {
	c, ok := r.Context().Value(framedKey{}).(*framedConn)
	return ok && c.closed.Load()
}
