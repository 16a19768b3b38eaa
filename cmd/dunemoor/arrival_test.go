package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// A process is held up (stopped, or starved of its core) while a request comes in: on a connection
// that it has, or on a new one that waits to be accepted. The request's time was counted from when
// the process read it, so its server was told a second more than its client would still wait: 1.895 s
// where 0.897 s were left, on both kinds of connection. The kernel had its bytes all that time, and
// says so (TCP_INFO); the time now runs from there.
func TestRequestsTimeRunsWhileTheProcessIsHeldUp(t *testing.T) {
	const held, timeout, slack = time.Second, 1900 * time.Millisecond, 150 * time.Millisecond
	for _, resting := range []bool{false, true} {
		t.Run(map[bool]string{false: "a new connection", true: "a resting connection"}[resting], func(t *testing.T) {
			type sighting struct {
				at   time.Time
				told float64
			}
			seen := make(chan sighting, 8)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				told, _ := strconv.ParseFloat(r.Header.Get("X-Timeout"), 64)
				seen <- sighting{time.Now(), told}
				io.WriteString(w, "done")
			}))
			defer server.Close()
			p := start(t, config(strings.TrimPrefix(server.URL, "http://")), freeAddr(t))
			p.ready(t)
			p.serve(t, 1) // a connection to the server is there
			<-seen
			addr := strings.TrimPrefix(p.url, "http://")
			dial := func() net.Conn {
				c, err := net.Dial("tcp", addr)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { c.Close() })
				return c
			}
			var c net.Conn
			if resting {
				c = dial()
				time.Sleep(100 * time.Millisecond) // it is accepted
			}
			p.stop(t)
			if !resting {
				c = dial()
			}
			sent := time.Now()
			fmt.Fprintf(c, "POST /api/1 HTTP/1.1\r\nHost: x\r\nX-Request-ID: i\r\nX-Priority-Class: book\r\nX-Timeout: %.3f\r\nContent-Length: 0\r\n\r\n",
				timeout.Seconds())
			time.Sleep(held)
			p.Process.Signal(syscall.SIGCONT)
			select {
			case s := <-seen:
				told := time.Duration(s.told * float64(time.Second))
				if left := timeout - s.at.Sub(sent); told > left+slack {
					t.Errorf("the server is told %v where %v are left", told, left)
				}
			case <-time.After(patience):
				t.Fatal("the request does not come to the server")
			}
		})
	}
}
