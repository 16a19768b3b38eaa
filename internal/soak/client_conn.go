package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// clientConn is a client connection that may be kept alive.
type clientConn struct {
	net.Conn
	reader     *bufio.Reader
	generation int // of the gateway's process when the connection was opened
}

// longBodySizes are the lengths of long bodies, in bytes.
var longBodySizes = []int{80 << 10, 300 << 10, 1 << 20, 6 << 20}

// send writes a request.
func (conn *clientConn) send(req *request, options requestOptions) error {
	method, path, body := http.MethodPost, "/api/1", "body of "+req.id
	if options.isLong() {
		path = longAnswerPath
	}
	if req.class.effect == idempotent {
		method, body = http.MethodGet, ""
	}
	if options.kind == requestLong && method == http.MethodPost {
		body = strings.Repeat("long body ", longBodySizes[hashID(req.id)%uint32(len(longBodySizes))]/10)
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: soak\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\nX-Timeout: %.3f\r\n",
		method, path, req.id, req.class.name, req.class.deadline.Seconds())
	if req.class.effect == deduplicated {
		head += "Idempotency-Key: " + req.id + "\r\n"
	}
	if options.retried {
		head += "X-Retried: 1\r\n"
	}
	text := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	pieces := []string{text}
	if options.kind == requestSlow {
		pieces = []string{text[:10], text[10 : len(text)/2], text[len(text)/2:]}
	}
	conn.SetWriteDeadline(time.Now().Add(20 * time.Second))
	for i, piece := range pieces {
		if i > 0 {
			time.Sleep(60 * time.Millisecond)
		}
		if _, err := io.WriteString(conn, piece); err != nil {
			return err
		}
	}
	return nil
}

// receive reads the complete answer to a request, and calls onStart when its first byte has arrived. started says that
// it has, closing that the connection cannot be used again.
func (conn *clientConn) receive(req *request, onStart func()) (status int, closing, started bool, err error) {
	if _, err := conn.reader.Peek(1); err != nil {
		return 0, true, false, err
	}
	onStart()
	resp, err := http.ReadResponse(conn.reader, nil)
	if err != nil {
		return 0, true, true, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, true, true, err
	}
	if resp.StatusCode == http.StatusOK && string(text) != req.wantBody() {
		return 0, true, true, fmt.Errorf("an answer that no host gave to this request: %.100q", text)
	}
	return resp.StatusCode, resp.Close, true, nil
}
