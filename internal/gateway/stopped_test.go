package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"bramblelock/internal/gateway/gatewaytest"
)

// incompleteRequestLimit is the time within which a peer that sends no valid request gets an error
// or a close.
const incompleteRequestLimit = 3 * time.Second

// pipeListener accepts connections that tests create by dial.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	select {
	case <-l.closed:
	default:
		close(l.closed)
	}
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// dial returns the client's side of a new connection.
func (l *pipeListener) dial() net.Conn {
	ours, theirs := net.Pipe()
	l.conns <- theirs
	return ours
}

// bubbleClients starts a gateway and its server for clients in the synctest bubble.
func bubbleClients(t *testing.T, hosts int) (l *pipeListener, end func()) {
	n := newBubbleNet()
	backends := bubbleHosts(n, hosts)
	disco := newBubbleDiscovery(n, "discovery:80", backends)
	ctx, cancel := context.WithCancel(t.Context())
	g := startBubble(t, ctx, n, bubbleConfig(false, 1, 0, disco.addr, backends))
	g.cfg.Sockets = 100
	server := NewServer(g.cfg, g.loop)
	l = newPipeListener()
	go server.Serve(l)
	time.Sleep(time.Second)
	return l, func() {
		server.http.Close()
		endBubble(cancel, disco)
	}
}

const lookRequest = "GET /api/1 HTTP/1.1\r\nHost: x\r\nX-Request-ID: i\r\nX-Priority-Class: look\r\n\r\n"

// A client that stops in the middle of a request and stays connected gets an error or a close in
// time, wherever it stops, also on a connection that has carried a request before.
func TestIncompleteRequestEndsInTime(t *testing.T) {
	body := "POST /api/1 HTTP/1.1\r\nHost: x\r\nX-Request-ID: i\r\nX-Priority-Class: look\r\nContent-Length: 65000\r\n\r\n"
	for name, part := range map[string]string{
		"a byte":                 "G",
		"three bytes":            "GET",
		"a line":                 "GET /api/1 HTTP/1.1\r\n",
		"most of a head":         strings.TrimSuffix(lookRequest, "\r\n"),
		"a head":                 body,
		"a byte of a body":       body + "b",
		"most of a short body":   body + strings.Repeat("b", 64_900),
		"an empty line, a byte":  "\r\nG",
		"a head and half a body": body + strings.Repeat("b", 30_000),
	} {
		for _, afterAnswer := range []bool{false, true} {
			t.Run(name+map[bool]string{true: ", after an answer"}[afterAnswer], func(t *testing.T) {
				gatewaytest.RunInBubble(t, func(t *testing.T) {
					l, end := bubbleClients(t, 2)
					defer end()
					c := l.dial()
					defer c.Close()
					if afterAnswer {
						io.WriteString(c, lookRequest)
						resp, err := http.ReadResponse(bufio.NewReader(c), nil)
						if err != nil || resp.StatusCode != http.StatusOK {
							t.Fatalf("%v, %v", resp, err)
						}
						io.Copy(io.Discard, resp.Body)
						time.Sleep(10 * time.Second)
					}
					began := time.Now()
					go io.WriteString(c, part)
					answer := make(chan time.Duration, 1)
					go func() {
						bufio.NewReader(c).ReadByte() // the first byte of an error, or the end
						answer <- time.Since(began)
					}()
					select {
					case took := <-answer:
						if took > incompleteRequestLimit {
							t.Errorf("it gets an error or its end after %v", took)
						}
					case <-time.After(20 * time.Second):
						t.Error("it gets neither an error nor its end in 20 s")
					}
				})
			})
		}
	}
}
