package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	lateBodyGateways = 3
	lateBodyHosts    = 6
	lateBodyRounds   = 2
	lateBodyInterval = 200 * time.Millisecond
	lateBodyTime     = lateBodyRounds*9*lateBodyInterval + 2*lateBodyAfter
	lateBodyRate     = 100 // ordinary requests a second to each gateway
	lateBodyLength   = 200_000
	lateBodyPiece    = 20_000
	lateBodyWait     = 2 * time.Second // how long a client waits for the first bytes

	lateHeadAfter  = 60 * time.Millisecond  // when a host writes the head
	lateBodyAfter  = 900 * time.Millisecond // when it begins to write the body, after the latency targets
	lateBodyPause  = 20 * time.Millisecond  // between two pieces
	latencyTargets = 400_000                // of each class, in microseconds
)

// lateBodyFramings are the heads of the long answer, by the name of its framing in the path of a request.
var lateBodyFramings = map[string]string{
	"length":  fmt.Sprintf("Content-Length: %d\r\n", lateBodyLength),
	"chunked": "Transfer-Encoding: chunked\r\n",
	"close":   "",
}

// lateBody is the body of the long answer.
var lateBody = func() []byte {
	body := make([]byte, lateBodyLength)
	for i := range body {
		body[i] = byte(i * i >> 4)
	}
	return body
}()

// serveLateBody writes the head of a long answer, and its body in pieces from lateBodyAfter on.
func serveLateBody(w http.ResponseWriter, framing string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	time.Sleep(lateHeadAfter)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n%s\r\n", lateBodyFramings[framing])
	time.Sleep(lateBodyAfter - lateHeadAfter)
	for piece := range chunksOf(lateBody, lateBodyPiece) {
		if framing == "chunked" {
			fmt.Fprintf(conn, "%x\r\n%s\r\n", len(piece), piece)
		} else {
			conn.Write(piece)
		}
		time.Sleep(lateBodyPause)
	}
	if framing == "chunked" {
		io.WriteString(conn, "0\r\n\r\n")
	}
}

// chunksOf yields pieces of n bytes.
func chunksOf(body []byte, n int) func(yield func([]byte) bool) {
	return func(yield func([]byte) bool) {
		for len(body) > 0 {
			piece := body[:min(n, len(body))]
			body = body[len(piece):]
			if !yield(piece) {
				return
			}
		}
	}
}

// startLateBodyFleet starts gateways with common hosts, which answer ordinary requests at once and those below /late/
// with a late body.
func startLateBodyFleet(t *testing.T) (gateways []*program) {
	t.Helper()
	var addrs []string
	for range lateBodyHosts {
		host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body)
			if framing, late := strings.CutPrefix(r.URL.Path, "/late/"); late {
				serveLateBody(w, framing)
				return
			}
			time.Sleep(hostDelay)
			io.WriteString(w, "done")
		}))
		t.Cleanup(host.Close)
		addrs = append(addrs, strings.TrimPrefix(host.URL, "http://"))
	}
	classes := fmt.Sprintf(`{"name":"look","effect":"idempotent","hard_limit":4000000,"promise":%d},`+
		`{"name":"report","effect":"deduplicated","window":1000000,"hard_limit":4000000,"promise":%[1]d},`+
		`{"name":"book","effect":"at_most_once","hard_limit":4000000,"promise":%[1]d}`, latencyTargets)
	config := strings.Replace(configJSON(addrs...), `{"effect":"at_most_once","hard_limit":2000000,"name":"book","promise":2000000}`, classes, 1)
	for range lateBodyGateways {
		gateways = append(gateways, startGateway(t, config, freeAddr(t)))
	}
	for _, p := range gateways {
		p.waitReady(t)
		p.sendUntilServed(t, lateBodyHosts)
	}
	return gateways
}

// requestLateBody sends a request whose host answers with a late body, and returns an error unless the whole answer comes,
// its first byte in time.
func requestLateBody(p *program, class, framing, id string) error {
	conn, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
	if err != nil {
		return err
	}
	defer conn.Close()
	method, length := http.MethodPost, "Content-Length: 0\r\n"
	if class == "look" {
		method, length = http.MethodGet, ""
	}
	fmt.Fprintf(conn, "%s /late/%s HTTP/1.1\r\nHost: x\r\nX-Request-ID: %s\r\nIdempotency-Key: %s\r\nX-Priority-Class: %s\r\nX-Timeout: %.3f\r\n%s\r\n",
		method, framing, id, id, class, lateBodyWait.Seconds(), length)
	conn.SetDeadline(time.Now().Add(lateBodyWait))
	in := bufio.NewReader(conn)
	if _, err := in.Peek(1); err != nil {
		return fmt.Errorf("no byte of the answer: %w", err)
	}
	conn.SetDeadline(time.Now().Add(waitTimeout))
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusOK || err != nil || !bytes.Equal(body, lateBody) {
		return &unexpectedAnswer{status: resp.StatusCode, text: fmt.Sprintf("%d bytes", len(body)), readErr: err}
	}
	return nil
}

// playLateBodies sends requests for late bodies in turn to the gateways, lateBodyInterval apart, and returns the errors of
// those whose answers did not come whole.
func playLateBodies(gateways []*program) (errs []error) {
	var requests sync.WaitGroup
	var mu sync.Mutex
	n := 0
	for range lateBodyRounds {
		for _, class := range []string{"look", "report", "book"} {
			for framing := range lateBodyFramings {
				id, p := fmt.Sprintf("late-%d-%s-%s", n, class, framing), gateways[n%len(gateways)]
				n++
				requests.Go(func() {
					sentAt := time.Now()
					if err := requestLateBody(p, class, framing, id); err != nil {
						mu.Lock()
						defer mu.Unlock()
						errs = append(errs, fmt.Errorf("%s, %.3f s after it was sent: %w", id, time.Since(sentAt).Seconds(), err))
					}
				})
				time.Sleep(lateBodyInterval)
			}
		}
	}
	requests.Wait()
	return errs
}

// Hosts write the head of a long answer at once and its body after the latency target, and answer other requests meanwhile.
// The client gets the whole answer: its attempt was taken for lost by its host, closed at the latency target, and
// answered with 502 or sent again.
func TestLateBodyIsNotTakenForLost(t *testing.T) {
	gateways := startLateBodyFleet(t)
	var ordinary sync.WaitGroup
	counts := make([]soundCounts, len(gateways))
	for i, p := range gateways {
		clients := &soundClients{addr: strings.TrimPrefix(p.url, "http://"), timeout: lateBodyWait}
		ordinary.Go(func() {
			counts[i] = clients.run(lateBodyRate, lateBodyTime)
		})
	}
	time.Sleep(lateBodyAfter / 2) // the hosts have answered ordinary requests
	errs := playLateBodies(gateways)
	ordinary.Wait()
	for _, err := range errs {
		t.Error(err)
	}
	for i, p := range gateways {
		t.Logf("ordinary requests to gateway %d: %v", i, counts[i])
		if counts[i].lost > 0 {
			t.Errorf("%d of %d ordinary requests were lost", counts[i].lost, counts[i].sent)
		}
		if t.Failed() {
			t.Logf("log of gateway %d:\n%s", i, p.output.String())
		}
	}
}
