package gateway

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
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

// A stream whose host pauses keeps its connections only while nobody else needs them: with all connections to hosts, or
// of clients, in use, a pause of minEndedPause ends it, and its client can tell that the answer is incomplete.
func TestPausedStreamMakesRoom(t *testing.T) {
	for name, limits := range map[string]struct{ sockets, memoryMB, streams int }{
		"for a connection to a host": {sockets: 5, streams: 1},
		"for a client":               {sockets: 1024, memoryMB: 1, streams: 10},
	} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan struct{})
			defer close(ended)
			host := newHost(t, func(c net.Conn, r *http.Request, n int) bool {
				if r.Header.Get(requestIDHeader) == "next" {
					return answerWith(okAnswer)(c, r, n)
				}
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nfirst")
				<-ended
				return false
			})
			cfg := testConfig(host)
			cfg.Sockets, cfg.MemoryMB = limits.sockets, limits.memoryMB
			g := startGateway(t, cfg)
			broken := make(chan error, limits.streams)
			for i := range limits.streams {
				c := g.openConn(head("POST /api/1 HTTP/1.1", fmt.Sprint("paused-", i), "Content-Length: 0\r\n"))
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil || resp.StatusCode != http.StatusOK {
					t.Fatalf("%v, %v", resp, err)
				}
				go func() {
					_, err := io.Copy(io.Discard, resp.Body)
					broken <- err
				}()
			}
			streams := &g.loop.pool.streams
			if streams.endPaused() {
				t.Error("a stream ends after a short pause")
			}
			streams.mu.Lock()
			for st := range streams.streams {
				until(t, "the stream waits for its host", func() bool { return st.paused() > 0 })
				st.mu.Lock()
				st.waitingSince = st.waitingSince.Add(-minEndedPause)
				st.mu.Unlock()
			}
			streams.mu.Unlock()
			until(t, "a request is served beside the streams", func() bool {
				c := g.openConn(head("GET /api/1 HTTP/1.1", "next", ""))
				defer c.Close()
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				return err == nil && resp.StatusCode == http.StatusOK
			})
			if err := <-broken; !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Errorf("the stream that was ended ends with %v", err)
			}
		})
	}
}
