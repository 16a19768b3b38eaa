package gateway

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bramblelock"
)

// testBytes returns n bytes that do not repeat soon, so that missing or misplaced ones are noticed.
func testBytes(n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(i>>16 ^ i>>8*7 ^ i*31)
	}
	return b
}

// httpHost starts a host served by net/http, for bodies of any length.
func httpHost(t *testing.T, serve http.HandlerFunc) *testHost {
	t.Helper()
	s := httptest.NewServer(serve)
	t.Cleanup(s.Close)
	t.Cleanup(s.CloseClientConnections)
	return &testHost{Listener: s.Listener}
}

// openAnswer sends a request and returns the answer without reading its body.
func (g *testGateway) openAnswer() *http.Response {
	g.Helper()
	r, _ := http.NewRequest("GET", g.url+"/api/1", nil)
	r.Header.Set("X-Priority-Class", "look")
	r.Header.Set("X-Request-ID", "id-1")
	resp, err := (&http.Transport{}).RoundTrip(r)
	if err != nil {
		g.Fatal(err)
	}
	return resp
}

// Bodies of any length and framing must arrive at the host unchanged, and the gateway must return
// all memory that it buffered them in.
func TestLongBodies(t *testing.T) {
	var got atomic.Value
	host := httpHost(t, func(w http.ResponseWriter, r *http.Request) {
		sum := sha256.New()
		n, err := io.Copy(sum, r.Body)
		got.Store(fmt.Sprintf("%d %v %x %v", n, err, sum.Sum(nil), r.Header.Get("X-Request-ID")))
		io.WriteString(w, "good")
	})
	g := startGateway(t, testConfig(host))
	for _, n := range []int{maxBufferedBytes - 1, maxBufferedBytes, maxBufferedBytes + 1, 1 << 20, maxBodyBytes} {
		body := testBytes(n)
		for _, framing := range []string{"length", "chunked", "expect"} {
			r, _ := http.NewRequest("POST", g.url+"/api/1", bytes.NewReader(body))
			r.Header.Set("X-Priority-Class", "book")
			id := freshID()
			r.Header.Set("X-Request-ID", id)
			switch framing {
			case "chunked":
				r.ContentLength = -1
			case "expect":
				r.Header.Set("Expect", "100-continue")
			}
			resp, err := (&http.Transport{DisableKeepAlives: true, ExpectContinueTimeout: waitTimeout}).RoundTrip(r)
			if err != nil {
				t.Fatal(err)
			}
			answer, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			want := fmt.Sprintf("%d <nil> %x %s", n, sha256.Sum256(body), id)
			if resp.StatusCode != 200 || string(answer) != "good" || got.Load() != want {
				t.Errorf("%d bytes, %s: answer %d %q, the host got %v, want %s", n, framing, resp.StatusCode, answer, got.Load(), want)
			}
		}
	}
	until(t, "the memory is returned to the budget", func() bool { return g.loop.pool.memory.remaining.Load() == newBufferBudget(g.cfg).remaining.Load() })
}

// Long answers must reach the client unchanged in every framing that a host may use, and begin
// before they are complete.
func TestLongAnswers(t *testing.T) {
	long := testBytes(3 << 20)
	var chunks bytes.Buffer
	for rest := long; len(rest) > 0; {
		n := min(len(rest), 100_000)
		fmt.Fprintf(&chunks, "%x;ext=\"a\"\r\n%s\r\n", n, rest[:n])
		rest = rest[n:]
	}
	for name, head := range map[string]string{
		"length":       fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(long)),
		"chunked":      "HTTP/1.1 103 Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n",
		"by its close": "HTTP/1.1 200 OK\r\n\r\n",
		"old":          "HTTP/1.0 200 OK\r\n\r\n",
	} {
		begun := make(chan struct{})
		host := newHost(t, func(c net.Conn, _ *http.Request, _ int) bool {
			body := long
			if name == "chunked" {
				body = append(bytes.Clone(chunks.Bytes()), "0\r\nX-T: 1\r\n\r\n"...)
			}
			io.WriteString(c, head)
			c.Write(body[:200_000])
			select {
			case <-begun: // by the client, before the rest is sent
			case <-time.After(waitTimeout):
				return false
			}
			c.Write(body[200_000:])
			return name == "length" || name == "chunked"
		})
		g := startGateway(t, testConfig(host))
		resp := g.openAnswer()
		first := make([]byte, 1000)
		if _, err := io.ReadFull(resp.Body, first); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		close(begun)
		rest, err := io.ReadAll(resp.Body)
		if err != nil || !bytes.Equal(append(first, rest...), long) {
			t.Errorf("%s: %v, %d bytes of %d", name, err, len(first)+len(rest), len(long))
		}
		until(t, name+": the request is released", func() bool { return g.openRequests() == 0 })
		wantConns := 0
		if name == "length" || name == "chunked" {
			wantConns = 1
		}
		if open, _ := g.loop.pool.counts(g.loop.hosts[hostID("s-0")]); open != wantConns {
			t.Errorf("%s: %d connections to the host, want %d", name, open, wantConns)
		}
	}
}

// A short answer whose end is marked by the close of its connection is valid.
func TestShortAnswerEndedByClose(t *testing.T) {
	for name, text := range map[string]string{"1.1": "HTTP/1.1 200 OK\r\n\r\ngood", "1.0": "HTTP/1.0 200 OK\r\n\r\ngood"} {
		host := newHost(t, func(c net.Conn, _ *http.Request, _ int) bool {
			io.WriteString(c, text)
			return false
		})
		g := startGateway(t, testConfig(host))
		if resp, body := g.request("book", "/api/1", "b"); resp.StatusCode != 200 || body != "good" {
			t.Errorf("%s: answer %d %q", name, resp.StatusCode, body)
		}
	}
}

// A reset does not mark the end of an answer: an answer without a length whose connection is reset
// is not served, whenever the reset is detected.
func TestResetIsNotEndOfAnswer(t *testing.T) {
	for name, text := range map[string]string{
		"1.1":     "HTTP/1.1 200 OK\r\n\r\nha",
		"1.0":     "HTTP/1.0 200 OK\r\n\r\nha",
		"closing": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nha",
		"empty":   "HTTP/1.1 200 OK\r\n\r\n",
	} {
		host := newHost(t, func(c net.Conn, r *http.Request, n int) bool {
			io.WriteString(c, text)
			return resetConn(c, r, n)
		})
		g := startGateway(t, testConfig(host))
		if resp, body := g.request("book", "/api/1", "b"); resp.StatusCode != http.StatusBadGateway {
			t.Errorf("%s: answer %d %q", name, resp.StatusCode, body)
		}
		if requests, _, _ := host.counts(); requests != 1 {
			t.Errorf("%s: the host got an unsafe request %d times", name, requests)
		}
	}
}

// An answer that is not complete soon is streamed as it arrives.
func TestSlowAnswerIsNotHeldBack(t *testing.T) {
	release := make(chan struct{})
	host := newHost(t, func(c net.Conn, _ *http.Request, _ int) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\ngo\r\n")
		<-release
		io.WriteString(c, "2\r\nod\r\n0\r\n\r\n")
		return true
	})
	g := startGateway(t, testConfig(host))
	resp := g.openAnswer()
	first := make([]byte, 2)
	io.ReadFull(resp.Body, first)
	close(release)
	if rest, err := io.ReadAll(resp.Body); err != nil || string(first)+string(rest) != "good" {
		t.Errorf("got %q and %q, %v", first, rest, err)
	}
}

// A streamed answer that breaks off must break off for the client in a way that it can detect, and
// must not be requested again.
func TestLongAnswerIsCutShort(t *testing.T) {
	for name, head := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n40000\r\n",
		"corrupt": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n",
	} {
		for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
			host := newHost(t, func(c net.Conn, _ *http.Request, _ int) bool {
				io.WriteString(c, head)
				c.Write(testBytes(100_000))
				return false
			})
			g := startGateway(t, testConfig(host))
			c, err := net.Dial("tcp", strings.TrimPrefix(g.url, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			fmt.Fprintf(c, "GET /api %s\r\nHost: x\r\nX-Request-ID: i\r\nX-Priority-Class: look\r\n\r\n", proto)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if name == "corrupt" { // it is detected before the first byte is passed on
				if err != nil || resp.StatusCode == 200 {
					t.Errorf("%s %s: answer %v, %v", name, proto, resp, err)
				}
				continue
			}
			if err != nil || resp.StatusCode != 200 {
				t.Fatalf("%s %s: answer %v, %v", name, proto, resp, err)
			}
			if body, err := io.ReadAll(resp.Body); err == nil {
				t.Errorf("%s %s: %d bytes pass for a whole answer", name, proto, len(body))
			}
			if requests, _, _ := host.counts(); requests != 1 {
				t.Errorf("%s %s: the host got %d requests", name, proto, requests)
			}
		}
	}
}

// Once its first byte has been sent to the client, no deadline ends an answer, and the time that
// the client takes is not charged to the host.
func TestNoDeadlineCutsAStream(t *testing.T) {
	p := newTestPool()
	began, end := make(chan struct{}), make(chan struct{})
	host := newHost(t, func(c net.Conn, _ *http.Request, _ int) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nx")
		<-end
		c.Write(testBytes(99_999))
		return true
	})
	h, x, att := newPoolHost(p, host.addr()), newExchange("b"), newAttempt()
	ctx, cancel := context.WithCancelCause(context.Background())
	att.cancel = cancel
	att.onResponseStarted = func() { close(began) }
	done := make(chan bramblelock.Result, 1)
	go func() {
		result, _ := p.runAttempt(ctx, h, x, att)
		done <- result
	}()
	<-began
	took := att.chargedTime
	att.abort(errReadStopped) // as the deadline would
	close(end)
	a := <-x.answer
	w := httptest.NewRecorder()
	a.stream.done <- a.stream.copyTo(deadlineRecorder{w}, httptest.NewRequest("GET", "/", nil), p.memory)
	if result := <-done; result != bramblelock.OK || w.Body.Len() != 100_000 {
		t.Errorf("result %v, %d bytes", result, w.Body.Len())
	}
	if att.chargedTime != took || took == 0 {
		t.Errorf("the host is charged %v, %v at the first byte", att.chargedTime, took)
	}
}

// A request whose body has been read is not sent again; one whose body has not been read may be.
func TestConsumedBodyIsNotSentAgain(t *testing.T) {
	var got atomic.Int64
	whole := httpHost(t, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		got.Add(1)
		w.Header().Set("X-Not-Processed", "1")
		w.WriteHeader(503)
	})
	g := startGateway(t, testConfig(whole, whole))
	long := string(testBytes(1 << 20))
	if resp, _ := g.request("book", "/api/1", long); resp.StatusCode != 503 || got.Load() != 1 {
		t.Errorf("status %d after %d attempts, want a refusal after one", resp.StatusCode, got.Load())
	}
	if resp, _ := g.request("book", "/api/1", "b"); resp.StatusCode != 503 || got.Load() < 3 {
		t.Errorf("status %d after %d attempts of a short one, want several", resp.StatusCode, got.Load()-1)
	}
	// One host refuses connections, which consumes nothing of the body.
	closed := listen(t, "127.0.0.1:0", nil)
	closed.Close()
	good := httpHost(t, func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		fmt.Fprint(w, n)
	})
	g = startGateway(t, testConfig(&testHost{Listener: closed}, good))
	for range 10 {
		if resp, body := g.request("book", "/api/1", long); resp.StatusCode != 200 || body != "1048576" {
			t.Fatalf("answer %d %q", resp.StatusCode, body)
		}
	}
}

// A body that stops arriving, is too long or is badly framed is answered with an error, and no host
// receives it as a whole request.
func TestIncompleteLongBody(t *testing.T) {
	host := newHost(t, answerWith(okAnswer))
	g := startGateway(t, testConfig(host))
	piece := "8000\r\n" + strings.Repeat("x", 0x8000) + "\r\n"
	for _, tt := range []struct {
		name, text string
		want       int
	}{
		{"bad chunk", head("POST /api HTTP/1.1", "a", chunked) + strings.Repeat(piece, 4) + "zz\r\n", 400},
		{"announced too long", head("POST /api HTTP/1.1", "b", fmt.Sprintf("Content-Length: %d\r\n", maxBodyBytes+1)), 413},
		{"too long", head("POST /api HTTP/1.1", "c", chunked) + strings.Repeat(piece, maxBodyBytes/0x8000+2), 413},
		{"stalls", head("POST /api HTTP/1.1", "d", "Content-Length: 200000\r\n") + "x", 400},
		{"stalls in a chunk", head("POST /api HTTP/1.1", "e", chunked) + strings.Repeat(piece, 3) + "8000\r\nx", 400},
	} {
		if got := g.sendParts(tt.text); len(got) != 1 || got[0] != tt.want {
			t.Errorf("%s: answers %v, want a single %d", tt.name, got, tt.want)
		}
	}
	if requests, _, _ := host.counts(); requests != 0 {
		t.Errorf("the host got %d whole requests", requests)
	}
	until(t, "all requests are released", func() bool { return g.openRequests() == 0 })
}

// Requests that arrive before the answer to the last one are served in order, and their heads are
// checked like any other, whatever the framing of the bodies and however the bytes are split.
func TestPipelinedRequests(t *testing.T) {
	host := newHost(t, answerWith(okAnswer))
	g := startGateway(t, testConfig(host))
	body := "2;a=b\r\nbo\r\n2\r\ndy\r\n0\r\nX-Trailer: 1\r\n\r\n"
	long := strings.ReplaceAll(string(testBytes(100_000)), "|", "-") // sendParts splits there
	all := func(round string) string {
		return head("POST /api HTTP/1.1", round+"1", chunked) + body +
			head("POST /api HTTP/1.1", round+"2", "Content-Length: 4\r\n") + "body" +
			head("POST /api HTTP/1.1", round+"3", chunked) + body +
			head("POST /api HTTP/1.1", round+"4", "Content-Length: 100000\r\n") + long +
			head("POST /api HTTP/1.1", round+"5", chunked) + body
	}
	if got := fmt.Sprint(g.sendParts(all("first-") + head("GET /_health HTTP/1.1", "6", "Connection: close\r\n"))); got != "[200 200 200 200 200 200]" {
		t.Errorf("answers %v", got)
	}
	hidden := head("POST /api HTTP/1.1", "hidden", "Connection: close\r\nContent-Length: 0\r\n")
	bad := head("POST /api HTTP/1.1", "7", chunked+"Content-Length: 5\r\n") + "0\r\n\r\n" + hidden
	if got := fmt.Sprint(g.sendParts(all("second-") + bad)); got != "[200 200 200 200 200 400]" {
		t.Errorf("answers %v", got)
	}
	host.mu.Lock()
	defer host.mu.Unlock()
	for i, r := range host.requests {
		want := "body"
		if strings.HasSuffix(r.Header.Get("X-Request-ID"), "-4") {
			want = long
		}
		if host.bodies[i] != want {
			t.Errorf("request %s came with %d bytes", r.Header.Get("X-Request-ID"), len(host.bodies[i]))
		}
	}
	if len(host.requests) != 10 {
		t.Errorf("the host got %d requests, want 10", len(host.requests))
	}
}

// When the budget is exhausted, short bodies and answers are streamed, not refused.
func TestMemoryBudgetExhausted(t *testing.T) {
	host := newHost(t, answerWith(okAnswer))
	g := startGateway(t, testConfig(host))
	g.loop.pool.memory.remaining.Store(0)
	if resp, body := g.request("book", "/api/1", "b"); resp.StatusCode != 200 || body != "good" {
		t.Errorf("answer %d %q", resp.StatusCode, body)
	}
	if left := g.loop.pool.memory.remaining.Load(); left != 0 {
		t.Errorf("%d bytes returned that were not acquired", left)
	}
}

// deadlineRecorder is a response recorder that accepts deadlines.
type deadlineRecorder struct{ *httptest.ResponseRecorder }

func (deadlineRecorder) SetWriteDeadline(time.Time) error { return nil }
func (deadlineRecorder) SetReadDeadline(time.Time) error  { return nil }

// A body that is complete during a shutdown is answered before the process exits.
func TestUploadIsDueBeforeShutdown(t *testing.T) {
	host := httpHost(t, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		io.WriteString(w, "good")
	})
	p, x := newTestPool(), newExchange("")
	s := &Server{finalAnswerAt: time.Now().Add(time.Second)}
	x.capDeadline, x.timeout = s.capDeadline, time.Hour
	x.upload = &upload{
		clientBody: &clientBody{body: bytes.NewReader(testBytes(100_000)), rc: http.NewResponseController(deadlineRecorder{httptest.NewRecorder()})},
		length:     100_000, sent: make(chan struct{}),
	}
	s.stopping.Store(true)
	if got, _ := attemptOnce(t, p, newPoolHost(p, host.addr()), x); got != bramblelock.OK || !x.deadline.Equal(s.finalAnswerAt) {
		t.Errorf("result %v, due %v, want the end of the process %v", got, x.deadline, s.finalAnswerAt)
	}
}
