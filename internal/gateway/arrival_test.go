package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"
)

// Bounds of the pages: a server may be told 0.15 s more than its client still waits, and an answer
// that comes more than half a second after a request's time counts as never given.
const (
	toldSlack   = 150 * time.Millisecond
	answerSlack = 500 * time.Millisecond
)

// sighting is a request as a server got it.
type sighting struct {
	at   time.Time
	told time.Duration
}

// see notes a request that a server has got whole.
func see(r *http.Request) sighting {
	seconds, _ := strconv.ParseFloat(r.Header.Get(headTimeout), 64)
	return sighting{time.Now(), time.Duration(seconds * float64(time.Second))}
}

// toldNoMoreThanLeft checks what a server was told of a request whose client waits for timeout
// from sent on.
func toldNoMoreThanLeft(t *testing.T, s sighting, sent time.Time, timeout time.Duration) {
	t.Helper()
	if left := timeout - s.at.Sub(sent); s.told > left+toldSlack {
		t.Errorf("the server is told %v where %v are left", s.told, left)
	}
}

func timedRequest(method, id string, timeout time.Duration, length int) string {
	return fmt.Sprintf("%s /api/1 HTTP/1.1\r\nHost: x\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\nX-Timeout: %.3f\r\nContent-Length: %d\r\n\r\n",
		method, id, map[string]string{"GET": "look", "POST": "book"}[method], timeout.Seconds(), length)
}

// A client writes a second request while its first is being answered, as HTTP/1.1 allows. The
// gateway reads one byte of it and no more until the first has its answer. The time of the second
// was counted from that later read, though its client counts from its last byte: the server was told
// 3.995 s where 1.999 s were left, and the answer could come 2 s late.
func TestPipelinedRequestsTimeRunsFromItsLastByte(t *testing.T) {
	const busy, timeout = time.Second, 1800 * time.Millisecond
	for _, pieces := range []int{1, 3} {
		t.Run(fmt.Sprint("pieces_", pieces), func(t *testing.T) {
			t.Parallel()
			seen := make(chan sighting, 2)
			server := newHost(t, func(c net.Conn, r *http.Request, n int) bool {
				seen <- see(r)
				if n > 0 {
					return true // the second gets no answer
				}
				time.Sleep(busy)
				return says(good)(c, r, n)
			})
			g := startGateway(t, testConfig(server))
			c := g.open(timedRequest("GET", "first", patience, 0))
			<-seen
			second := timedRequest("GET", "second", timeout, 0)
			for i := range pieces {
				if i > 0 {
					time.Sleep(100 * time.Millisecond)
				}
				io.WriteString(c, second[i*len(second)/pieces:(i+1)*len(second)/pieces])
			}
			sent := time.Now()
			in := bufio.NewReader(c)
			if status := answerOf(t, in); status != http.StatusOK {
				t.Fatalf("the first request is answered with %d", status)
			}
			toldNoMoreThanLeft(t, <-seen, sent, timeout)
			answerOf(t, in)
			if took := time.Since(sent); took > timeout+answerSlack {
				t.Errorf("the second request is answered after %v, its client waits for %v", took, timeout)
			}
			// Bytes that come in pieces must not take off what came before the last of them did.
			if took := time.Since(sent); took < timeout-answerSlack {
				t.Errorf("the second request is given up after %v, its client waits for %v", took, timeout)
			}
		})
	}
}

// answerOf reads an answer whole and returns its status.
func answerOf(t *testing.T, in *bufio.Reader) int {
	t.Helper()
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode
}

// A client writes a long body whole within milliseconds: what the gateway has not read waits in the
// buffers of both machines. The server takes nothing for a while, or never. The request's time was
// counted from when the gateway had read the last byte, so the answer came 5 s after it where 2.5 s
// were given.
func TestLongBodysTimeRunsFromItsLastByte(t *testing.T) {
	const timeout = 1500 * time.Millisecond
	for name, stalls := range map[string]time.Duration{
		"taken after a second": time.Second,
		"never taken":          time.Hour,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ended := make(chan struct{})
			defer close(ended)
			ln := listen(t, "127.0.0.1:0", nil)
			defer ln.Close()
			go func() {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				select {
				case <-time.After(stalls):
				case <-ended:
					return
				}
				io.Copy(io.Discard, c) // it answers nothing
			}()
			g := startGateway(t, testConfig(&testHost{Listener: ln}))
			body := text(5 << 20)
			c := g.open(timedRequest("POST", "long", timeout, len(body)))
			if _, err := c.Write(body); err != nil {
				t.Fatal(err)
			}
			sent := time.Now()
			answerOf(t, bufio.NewReader(c))
			if took := time.Since(sent); took > timeout+answerSlack {
				t.Errorf("the answer comes %v after the last byte, the client waits for %v", took, timeout)
			}
		})
	}
}

// A client that sends a long body slowly has all its time from the last byte on, though the body
// takes longer than that.
func TestSlowBodyKeepsItsTime(t *testing.T) {
	const timeout = 700 * time.Millisecond
	server := newHost(t, says(good))
	g := startGateway(t, testConfig(server))
	body := text(maxSmall + 30<<10)
	c := g.open(timedRequest("POST", "slow", timeout, len(body)))
	for i := range 5 {
		time.Sleep(300 * time.Millisecond)
		c.Write(body[i*len(body)/5 : (i+1)*len(body)/5])
	}
	if status := answerOf(t, bufio.NewReader(c)); status != http.StatusOK {
		t.Errorf("it is answered with %d", status)
	}
}
