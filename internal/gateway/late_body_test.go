package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"time"

	"bramblelock"
	"bramblelock/internal/gateway/hostlist"
)

// A long answer is still being written when all requests without an answer have got one. The process goes on until it is
// whole: it ended by itself 0.66 s and the longest deadline after SIGTERM, and cut off the answer.
func TestShutdownWaitsForLongAnswer(t *testing.T) {
	const pieces, piece, pause = 25, 10_000, 100 * time.Millisecond
	host := newHost(t, func(c net.Conn, _ *http.Request, _ int) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", pieces*piece)
		for range pieces {
			c.Write(testBytes(piece))
			time.Sleep(pause)
		}
		return true
	})
	cfg := testConfig(host)
	for i := range cfg.Settings.Classes {
		cfg.Settings.Classes[i].Deadline = 500 * time.Millisecond
	}
	g := startGateway(t, cfg)
	in := bufio.NewReader(g.openConn(head("POST /api/1 HTTP/1.1", "i", "Content-Length: 0\r\n")))
	if _, err := in.Peek(1); err != nil {
		t.Fatal(err)
	}
	ended := g.startShutdown()
	answered := make(chan int, 1)
	go func() {
		_, body := readWholeAnswer(t, "long answer", in)
		answered <- len(body)
	}()
	<-ended
	g.server.http.Close() // as the end of the process would
	if n := <-answered; n != pieces*piece {
		t.Errorf("%d bytes of %d", n, pieces*piece)
	}
}

// A host writes the head of a long answer in time, and its body after the client's time or after 3 s. The head is passed on
// by the deadline and within 2 s, and the body when it comes: the request was answered with 502 at its deadline, or got
// nothing for as long as the host took. Where the head does not say that the answer is long, the client gets a final
// answer in time.
func TestHeadOfLongAnswerIsPassedOnInTime(t *testing.T) {
	const length, finalAnswerSlack = 100_000, 50 * time.Millisecond // each time limit is 50 ms longer on sockets
	for name, tt := range map[string]struct {
		framing    string
		timeout    time.Duration
		bodyAfter  time.Duration
		wantWithin time.Duration
		want       int
	}{
		"body after the deadline":   {fmt.Sprintf("Content-Length: %d\r\n", length), time.Second, 1500 * time.Millisecond, time.Second, http.StatusOK},
		"body long before it":       {fmt.Sprintf("Content-Length: %d\r\n", length), 20 * time.Second, 3 * time.Second, 2 * time.Second, http.StatusOK},
		"unknown length, no body":   {"Transfer-Encoding: chunked\r\n", time.Second, 1500 * time.Millisecond, time.Second, http.StatusBadGateway},
		"length of a short answer":  {"Content-Length: 1000\r\n", time.Second, 1500 * time.Millisecond, time.Second, http.StatusBadGateway},
		"end with the connection":   {"Connection: close\r\n", time.Second, 1500 * time.Millisecond, time.Second, http.StatusBadGateway},
		"body just before the time": {"Connection: close\r\n", time.Second, 500 * time.Millisecond, time.Second, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			host := newHost(t, func(c net.Conn, _ *http.Request, _ int) bool {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\n", tt.framing)
				time.Sleep(tt.bodyAfter)
				c.Write(testBytes(length))
				return false
			})
			g := startGateway(t, testConfig(host))
			request := head("POST /api/1 HTTP/1.1", "i", "Content-Length: 0\r\n")
			c := g.openConn(strings.Replace(request, "X-Timeout: 30", fmt.Sprintf("X-Timeout: %.3f", tt.timeout.Seconds()), 1))
			c.SetDeadline(time.Now().Add(tt.wantWithin + finalAnswerSlack))
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil || resp.StatusCode != tt.want {
				t.Fatalf("answer %v, %v, want %d", resp, err, tt.want)
			}
			c.SetDeadline(time.Now().Add(waitTimeout))
			n, err := io.Copy(io.Discard, resp.Body)
			if err != nil || tt.want == http.StatusOK && n != length {
				t.Errorf("%d bytes of %d, %v", n, length, err)
			}
		})
	}
}

// The counters say why a request failed, that its attempt was given up within its answer, and why a stream was cut short.
func TestEndingsAreCountedByCause(t *testing.T) {
	host := newHost(t, func(c net.Conn, r *http.Request, _ int) bool {
		if r.URL.Path == "/broken" {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nfirst")
			return false
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
		return true
	})
	cfg := testConfig(host)
	cfg.Settings.Classes[cfg.Classes["book"]].Deadline = 200 * time.Millisecond
	g := startGateway(t, cfg)
	if resp, _ := g.request("book", "/half", ""); resp.StatusCode != http.StatusBadGateway {
		t.Errorf("half an answer gives status %d", resp.StatusCode)
	}
	in := bufio.NewReader(g.openConn(strings.Replace(head("GET /broken HTTP/1.1", "broken", ""), "book", "look", 1)))
	if resp, err := http.ReadResponse(in, nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("the broken answer begins with %v, %v", resp, err)
	}
	want := EndingCounters{
		Failed: map[string]int64{"deadline": 1}, GivenUp: map[string]int64{"deadline": 1},
		GivenUpAnswered: map[string]int64{"deadline": 1}, CutShort: map[string]int64{causeHostBroke: 1},
	}
	until(t, "all endings are counted", func() bool { return reflect.DeepEqual(g.loop.pool.endings.Counters(), want) })
	if status, _ := callOperator(t, g.startOperator(t.TempDir(), false), operatorRequest("GET", pathEndings)); status != http.StatusOK {
		t.Errorf("GET %s: status %d", pathEndings, status)
	}
}

// Open answers, in each state, outlast what happens to their host and their class: nothing that is out is given up for a
// drain, a removal, maintenance, new settings, the loss of discovery or an upgrade.
func TestDrainAndRulesKeepOpenStreams(t *testing.T) {
	const length = 100_000
	heads := map[string]string{ // by what the client has of the answer when its host or class goes
		"part of the body": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", length, testBytes(length)[:1000]),
		"the head":         fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", length),
		"nothing":          "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
	}
	changes := map[string]func(g *testGateway){
		"drain": func(g *testGateway) {
			g.loop.HandleList(bramblelock.ListChanges, hostlist.List{Servers: []hostlist.Member{{ID: "s-0", Addr: g.cfg.Known.Servers[0].Addr, State: "draining"}}})
		},
		"loss of discovery":                  func(g *testGateway) { g.loop.HandleList(bramblelock.ListFailed, hostlist.List{}) },
		"connections for one process of two": func(g *testGateway) { g.loop.pool.SetOverlap(true) },
		"removal":                            func(g *testGateway) { g.loop.HandleList(bramblelock.ListFull, hostlist.List{}) },
		"maintenance": func(g *testGateway) {
			g.loop.SetMaintenance("s-0", true)
		},
		"class dropped": func(g *testGateway) {
			rules := g.cfg.Rules
			rules.Classes = map[string]int{"look": 0}
			rules.Settings.Classes = rules.Settings.Classes[:1]
			g.loop.UpdateRules(&rules)
		},
	}
	for state, answer := range heads {
		for change, apply := range changes {
			t.Run(state+", "+change, func(t *testing.T) {
				t.Parallel()
				resume := make(chan struct{})
				host := newHost(t, func(c net.Conn, _ *http.Request, _ int) bool {
					io.WriteString(c, answer)
					<-resume
					rest := testBytes(length)
					if state == "part of the body" {
						rest = rest[1000:]
					}
					c.Write(rest)
					return false
				})
				g := startGateway(t, testConfig(host))
				in := bufio.NewReader(g.openConn(head("POST /api/1 HTTP/1.1", "i", "Content-Length: 0\r\n")))
				if state == "nothing" {
					until(t, "the host has the request", func() bool { n, _, _ := host.counts(); return n == 1 })
				} else if _, err := in.Peek(1); err != nil {
					t.Fatal(err)
				}
				apply(g)
				g.loop.Sync()
				time.Sleep(2 * streamDelay) // for what would be given up
				close(resume)
				if status, body := readWholeAnswer(t, change, in); status != http.StatusOK || body != string(testBytes(length)) {
					t.Errorf("answer %d of %d bytes", status, len(body))
				}
			})
		}
	}
}
