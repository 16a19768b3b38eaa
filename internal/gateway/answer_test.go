package gateway

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"bramblelock"
)

// The answer of a host decides whether the request may have run: a wrong result here would let an
// unsafe request run twice.
func TestAnswersAndTheirResults(t *testing.T) {
	tests := []struct {
		name, answer string
		want         bramblelock.Result
		wantConns    int // connections kept for the next attempt
	}{
		{"good", okAnswer, bramblelock.OK, 1},
		{"good after 100", "HTTP/1.1 100 Continue\r\n\r\n" + okAnswer, bramblelock.OK, 1},
		{"good, chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n", bramblelock.OK, 1},
		{"good, then closing", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\ngood", bramblelock.OK, 0},
		{"error", errorAnswer, bramblelock.Failed, 1},
		{"request at fault", "HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n", bramblelock.Rejected, 1},
		{"request without an id", "HTTP/1.1 404 None\r\nContent-Length: 0\r\n\r\n", bramblelock.Rejected, 1},
		{"no answer of a host's", "HTTP/1.1 302 Elsewhere\r\nContent-Length: 0\r\n\r\n", bramblelock.Failed, 1},
		{"turned away", notProcessedAnswer, bramblelock.Full, 1},
		{"turned away as over", "HTTP/1.1 504 Over\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", bramblelock.Full, 1},
		{"503 without the proof", "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", bramblelock.Failed, 1},
		{"proof on another status", "HTTP/1.1 500 Oops\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", bramblelock.Failed, 1},
		{"proof that is none", "HTTP/1.1 503 Full\r\nX-Not-Processed: 0\r\nContent-Length: 0\r\n\r\n", bramblelock.Failed, 1},
		{"longer than announced", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\ngood", bramblelock.Failed, 0},
		{"too long a failure", "HTTP/1.1 500 Oops\r\nContent-Length: 65537\r\n\r\n" + strings.Repeat("x", 65537), bramblelock.Failed, 0},
		{"head without end", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*maxHeadBytes), bramblelock.Failed, 0},
		{"head of too many fields", "HTTP/1.1 200 OK\r\n" + headerFields(3000) + "Content-Length: 4\r\n\r\ngood", bramblelock.Failed, 0},
		{"head of too many fields without an end", "HTTP/1.1 200 OK\r\n" + headerFields(3000), bramblelock.Failed, 0},
		{"a good one with many fields", "HTTP/1.1 200 OK\r\n" + headerFields(150) + "Content-Length: 4\r\n\r\ngood", bramblelock.OK, 1},
		{"another protocol", "ICY 200 OK\r\nContent-Length: 4\r\n\r\ngood", bramblelock.Failed, 0},
		{"no status", "HTTP/1.1 2x0 OK\r\nContent-Length: 4\r\n\r\ngood", bramblelock.Failed, 0},
		{"no header", "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 4\r\n\r\ngood", bramblelock.Failed, 0},
		{"no chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\ngood\r\n0\r\n\r\n", bramblelock.Failed, 0},
		{"chunks in the old protocol", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n", bramblelock.Failed, 0},
		{"chunks in the old protocol behind a long head", "HTTP/1.0 200 OK\r\nX-Pad: " + strings.Repeat("x", 9<<10) +
			"\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n", bramblelock.Failed, 0},
		{"a good one of the old protocol with a long head", "HTTP/1.0 200 OK\r\nX-Pad: " + strings.Repeat("x", 9<<10) +
			"\r\nContent-Length: 4\r\n\r\ngood", bramblelock.OK, 0},
		{"a good one of the old protocol", "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\ngood", bramblelock.OK, 0},
		{"a later protocol", "HTTP/2.0 200 OK\r\nContent-Length: 4\r\n\r\ngood", bramblelock.Failed, 0},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 2\r\n\r\ngood", bramblelock.Failed, 0},
		{"a length below 0", "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\ngood", bramblelock.Failed, 0},
		{"a length that is no number", "HTTP/1.1 200 OK\r\nContent-Length: 4x\r\n\r\ngood", bramblelock.Failed, 0},
		{"an encoding that is none", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chonked\r\n\r\n4\r\ngood\r\n0\r\n\r\n", bramblelock.Failed, 0},
		{"many ahead of the answer", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 4000) + okAnswer, bramblelock.Failed, 0},
		{"no body by its status", "HTTP/1.1 204 None\r\n\r\n", bramblelock.Failed, 1},
		{"no HTTP", "\x8f\x00\r\n\r\n", bramblelock.Failed, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, host := newTestPool(), newHost(t, answerWith(tt.answer))
			h := newPoolHost(p, host.addr())
			got, a := attemptOnce(t, p, h, newExchange("b"))
			if got != tt.want {
				t.Errorf("result %v, want %v", got, tt.want)
			}
			if body := string(a.body); (got == bramblelock.OK) != (body == "good") {
				t.Errorf("result %v with the body %q", got, body)
			}
			if open, idle := p.counts(h); open != tt.wantConns || idle != tt.wantConns {
				t.Errorf("%d connections open and %d idle, want %d", open, idle, tt.wantConns)
			}
			if requests, _, _ := host.counts(); requests != 1 {
				t.Errorf("the host got %d requests", requests)
			}
		})
	}
}

// An answer whose body ends early is not served.
func TestCutShortBody(t *testing.T) {
	for name, text := range map[string]string{
		"announced": "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\ngood",
		"chunked":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n",
		"no answer": "",
	} {
		p := newTestPool()
		host := newHost(t, func(c net.Conn, _ *http.Request, _ int) bool {
			io.WriteString(c, text)
			return false
		})
		h := newPoolHost(p, host.addr())
		if got, _ := attemptOnce(t, p, h, newExchange("b")); got != bramblelock.Reset {
			t.Errorf("%s: result %v, want Reset", name, got)
		}
		if open, _ := p.counts(h); open != 0 {
			t.Errorf("%s: %d connections left open", name, open)
		}
	}
}
