package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// earlyAnswerSlack is how much later than hostStallTimeout a request may end on a busy machine.
const earlyAnswerSlack = 2 * time.Second

// A host begins a response while the body of the request is still being sent. An informational one precedes the answer, and
// the body goes on; a final one ends the request. If it is never ended, the request must end all the same: it stayed for good, with
// its connections, and after about 90 the gateway refused every request (review/6). With 103 Early Hints it did so too.
func TestAnswerDuringUpload(t *testing.T) {
	const part = 300_000
	for name, tt := range map[string]struct {
		response string
		want     int
	}{
		"continue":              {"HTTP/1.1 100 Continue\r\n\r\n", http.StatusOK},
		"two early hints":       {"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n", http.StatusOK},
		"refused":               {"HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n", http.StatusBadGateway},
		"half a status line":    {"HTTP/1.1 20", http.StatusBadGateway}, // looks malformed
		"a head without a body": {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n", http.StatusServiceUnavailable},
		"half a body in chunks": {"HTTP/1.1 500 No\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhalf", http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			began, over := make(chan struct{}), make(chan struct{})
			ln := listen(t, "127.0.0.1:0", nil)
			defer ln.Close()
			defer close(over)
			go func() {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				io.WriteString(c, tt.response)
				close(began)
				if n, _ := io.Copy(io.Discard, r.Body); n == 2*part {
					io.WriteString(c, okAnswer)
				}
				<-over
			}()
			g := startGateway(t, testConfig(&testHost{Listener: ln}))
			c := g.openConn(timedRequest("POST", "early", waitTimeout, 2*part))
			c.Write(testBytes(part))
			<-began
			sent := time.Now()
			c.Write(testBytes(part))
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil || resp.StatusCode != tt.want {
				t.Errorf("the answer is %v, %v, want %d", resp, err, tt.want)
			}
			if took := time.Since(sent); took > hostStallTimeout+earlyAnswerSlack {
				t.Errorf("the answer comes after %v", took)
			}
			until(t, "the request is over", func() bool { return g.openRequests() == 0 })
		})
	}
}

// A client leaves while its host has begun an answer that it never ends: the request ends too.
func TestClientLeavesDuringEarlyAnswer(t *testing.T) {
	t.Parallel()
	const part = 300_000
	began, over := make(chan net.Conn, 1), make(chan struct{})
	ln := listen(t, "127.0.0.1:0", nil)
	defer ln.Close()
	defer close(over)
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		io.WriteString(c, "HTTP/1.1 20")
		began <- c
		<-over
	}()
	g := startGateway(t, testConfig(&testHost{Listener: ln}))
	c := g.openConn(timedRequest("POST", "early", waitTimeout, 2*part))
	c.Write(testBytes(part))
	<-began
	c.Write(testBytes(part / 2))
	c.Close()
	left := time.Now()
	until(t, "the request is over", func() bool { return g.openRequests() == 0 })
	if took := time.Since(left); took > hostStallTimeout+earlyAnswerSlack {
		t.Errorf("the request ends %v after its client has left", took)
	}
}
