package gateway

import (
	"bufio"
	"net"
	"net/http"
	"testing"
)

// A client that leaves without an answer sends its request again with the same id, on a new connection or to the other
// process of an upgrade, which shares $TMPDIR. A request that may run once only does not reach a host again, and the
// client gets a final answer. Before, the host got both.
func TestRequestOfClientThatLeftIsNotSentAgain(t *testing.T) {
	for name, upgrade := range map[string]bool{"on a new connection": false, "at the other process of an upgrade": true} {
		t.Run(name, func(t *testing.T) {
			t.Setenv("TMPDIR", t.TempDir())
			release := make(chan struct{})
			host := newHost(t, func(c net.Conn, r *http.Request, n int) bool {
				if r.Header.Get(requestIDHeader) == "held" {
					<-release
				}
				return answerWith(okAnswer)(c, r, n)
			})
			defer close(release)
			cfg := testConfig(host)
			if upgrade {
				cfg.AcceptFD = 5
			}
			g := startGateway(t, cfg)
			request := head("POST /api/1 HTTP/1.1", "held", "Content-Length: 0\r\n")
			leaving := g.openConn(request)
			until(t, "the host has the request", func() bool { n, _, _ := host.counts(); return n == 1 })
			leaving.Close()
			if upgrade {
				g = startGateway(t, cfg)
			}
			again := g.openConn(request)
			resp, err := http.ReadResponse(bufio.NewReader(again), nil)
			if err != nil || resp.StatusCode != http.StatusBadGateway {
				t.Errorf("the request that came again is answered %v, %v, want 502", resp, err)
			}
			if resp, _ := g.request("book", "/api/1", "b"); resp.StatusCode != http.StatusOK {
				t.Errorf("a request with another id is answered %d", resp.StatusCode)
			}
			if n, _, _ := host.counts(); n != 2 {
				t.Errorf("the host got %d requests, want 2", n)
			}
		})
	}
}

// A client leaves when the answer to its request has been written and before it has read that, and sends the request again
// with the same id. One that may run once only must not run again. Before, the host got both.
func TestAnsweredRequestIsNotSentAgain(t *testing.T) {
	host := newHost(t, answerWith(okAnswer))
	g := startGateway(t, testConfig(host))
	request := head("POST /api/1 HTTP/1.1", "i", "Content-Length: 0\r\n")
	leaving := g.openConn(request)
	if _, err := leaving.Read(make([]byte, 1)); err != nil { // the answer has been written
		t.Fatal(err)
	}
	until(t, "the first request is over", func() bool { return g.openRequests() == 0 })
	leaving.Close()
	resp, err := http.ReadResponse(bufio.NewReader(g.openConn(request)), nil)
	if err != nil || resp.StatusCode != http.StatusBadGateway {
		t.Errorf("the request that came again is answered %v, %v, want 502", resp, err)
	}
	if n, _, _ := host.counts(); n != 1 {
		t.Errorf("the host got %d requests, want 1", n)
	}
}

// A request may be sent with an id that came before if that one did not run, as the host was full or could not be
// connected to.
func TestIdIsSentAgainIfNothingRan(t *testing.T) {
	const full = 3 // attempts that find the host full
	host := newHost(t, func(c net.Conn, r *http.Request, n int) bool {
		if n < full {
			return answerWith(notProcessedAnswer)(c, r, n)
		}
		return answerWith(okAnswer)(c, r, n)
	})
	cfg := testConfig(host)
	cfg.Settings.MaxAttempts = 2
	g := startGateway(t, cfg)
	send := func() int {
		resp, _ := g.request("book", "/api/1", "b", requestIDHeader, "i")
		return resp.StatusCode
	}
	if got := send(); got != http.StatusServiceUnavailable {
		t.Errorf("the first answer is %d, want 503", got)
	}
	until(t, "the request is over", func() bool { return g.openRequests() == 0 })
	until(t, "the request is served when it comes again", func() bool { return send() == http.StatusOK })
	if n, _, _ := host.counts(); n != full+1 {
		t.Errorf("the host got %d requests, want %d", n, full+1)
	}
}
