package gateway

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"bramblelock/internal/gateway/config"
)

// A host writes a long answer slowly, with a pause of 6 s within it. The client must get the whole answer: it was
// cut off after a pause of 5 s, although the host was still writing it.
func TestLongAnswerWithPauseIsNotCutOff(t *testing.T) {
	const piece, pause = 100_000, 6 * time.Second
	host := httpHost(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Write(make([]byte, piece))
		w.(http.Flusher).Flush()
		time.Sleep(pause)
		w.Write(make([]byte, piece))
	})
	g := startGateway(t, testConfig(host))
	c := g.openConn(head("POST /api/1 HTTP/1.1", "i", "Content-Length: 0\r\n"))
	c.SetDeadline(time.Now().Add(waitTimeout))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if n, err := io.Copy(io.Discard, resp.Body); err != nil || n != 2*piece {
		t.Errorf("%d bytes of %d, %v", n, 2*piece, err)
	}
}

// A host writes an answer in chunks, with a pause after each. The client must get what there is while the host pauses,
// however the bytes of a chunk are cut: where the line end after its data came by itself, the gateway waited for the next
// chunk, held back the rest, and gave up the request at its deadline although the host was still writing.
func TestChunksOfSlowAnswerAreNotHeldBack(t *testing.T) {
	const holdLimit = 2 * time.Second              // holding back longer than this loses the request
	for name, pieces := range map[string][]string{ // the last one is written after a pause
		"whole chunk":           {"5\r\nfirst\r\n", "4\r\nlast\r\n0\r\n\r\n"},
		"line end by itself":    {"5\r\nfirst", "\r\n", "4\r\nlast\r\n0\r\n\r\n"},
		"part of the next size": {"5\r\nfirst\r", "\n4", "\r\nlast\r\n0\r\n\r\n"},
		"size line in pieces":   {"5", "\r", "\nfirst\r\n4;name=value\r\n", "last\r\n0\r\n\r\n"},
		"data in pieces":        {"5\r\nfi", "rst\r\n4;name=value\r\n", "last\r\n0\r\n\r\n"},
		"data with a line end":  {"5\r\n\r\nabc", "\r\n", "4\r\nlast\r\n0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			resume := make(chan struct{})
			host := newHost(t, func(c net.Conn, _ *http.Request, _ int) bool {
				io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
				for _, piece := range pieces[:len(pieces)-1] {
					io.WriteString(c, piece)
					time.Sleep(10 * time.Millisecond) // the gateway reads each piece by itself
				}
				<-resume
				io.WriteString(c, pieces[len(pieces)-1])
				return true
			})
			g := startGateway(t, testConfig(host))
			c := g.openConn(head("POST /api/1 HTTP/1.1", "i", "Content-Length: 0\r\n"))
			c.SetDeadline(time.Now().Add(holdLimit))
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				close(resume)
				t.Fatalf("nothing of the answer within %v: %v", holdLimit, err)
			}
			first := make([]byte, len("first"))
			_, err = io.ReadFull(resp.Body, first)
			close(resume)
			if err != nil {
				t.Fatalf("%q of the answer within %v: %v", first, holdLimit, err)
			}
			c.SetDeadline(time.Now().Add(waitTimeout))
			if rest, err := io.ReadAll(resp.Body); err != nil || string(rest) != "last" {
				t.Errorf("the rest of the answer is %q, %v", rest, err)
			}
		})
	}
}

// startPausedStream starts a gateway with one answer that is streamed, whose host has paused for minEndedPause. The channel
// gets the error with which the client's answer ends.
func startPausedStream(t *testing.T, cfg func(host *testHost) *config.Config) (g *testGateway, end <-chan error) {
	t.Helper()
	over := make(chan struct{})
	t.Cleanup(func() { close(over) })
	host := newHost(t, func(c net.Conn, r *http.Request, n int) bool {
		if r.Header.Get(requestIDHeader) == "next" {
			return answerWith(okAnswer)(c, r, n)
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nfirst")
		<-over
		return false
	})
	g = startGateway(t, cfg(host))
	resp, err := http.ReadResponse(bufio.NewReader(g.openConn(head("POST /api/1 HTTP/1.1", "paused", "Content-Length: 0\r\n"))), nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("%v, %v", resp, err)
	}
	result := make(chan error, 1)
	go func() {
		_, err := io.Copy(io.Discard, resp.Body)
		result <- err
	}()
	streams := &g.loop.pool.streams
	if streams.endPaused() {
		t.Error("a stream ends after a short pause")
	}
	streams.mu.Lock()
	defer streams.mu.Unlock()
	for st := range streams.streams {
		until(t, "the stream waits for its host", func() bool { return st.paused() > 0 })
		st.mu.Lock()
		st.waitingSince = st.waitingSince.Add(-minEndedPause)
		st.mu.Unlock()
	}
	return g, result
}

// wantIncomplete checks that the client can tell that its answer has been ended.
func wantIncomplete(t *testing.T, end <-chan error) {
	t.Helper()
	select {
	case err := <-end:
		if !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("the answer ends with %v", err)
		}
	case <-time.After(waitTimeout):
		t.Error("the answer does not end")
	}
}

// A stream whose host pauses keeps its connection to the host only while nobody else needs that. Before pauses of more than
// minEndedPause were allowed, each ended its stream.
func TestPausedStreamGivesUpConnectionToHost(t *testing.T) {
	g, end := startPausedStream(t, func(host *testHost) *config.Config {
		cfg := testConfig(host)
		cfg.Sockets = 5 // allows one connection to hosts
		return cfg
	})
	until(t, "a request is served beside the stream", func() bool {
		c := g.openConn(head("GET /api/1 HTTP/1.1", "next", ""))
		defer c.Close()
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		return err == nil && resp.StatusCode == http.StatusOK
	})
	wantIncomplete(t, end)
}

// A stream whose host pauses keeps its client connected only while no other client waits for a slot.
func TestPausedStreamGivesUpSlot(t *testing.T) {
	g, end := startPausedStream(t, func(host *testHost) *config.Config { return testConfig(host) })
	for len(g.server.connSlots) < cap(g.server.connSlots) {
		g.server.connSlots <- struct{}{} // taken by requests that are being served
	}
	waiting := &clientListener{backlog: &backlog{}, server: g.server, done: make(chan struct{})}
	time.AfterFunc(waitTimeout, func() { close(waiting.done) })
	if err := waiting.acquireSlot(); err != nil {
		t.Errorf("the next client gets no slot: %v", err)
	}
	wantIncomplete(t, end)
}
