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

// A request arrives while the process is stopped or starved of CPU, either on an open connection or on a
// new one that waits to be accepted. The timeout of the request must run from the arrival of its bytes,
// which the kernel reports (TCP_INFO), not from the time at which the process reads them. With the
// latter, a process stopped for 1 s forwarded a timeout of 1.895 s where 0.897 s were left, on both kinds
// of connection.
func TestRequestTimeoutRunsWhileProcessIsStopped(t *testing.T) {
	const stopDuration, timeout, slack = time.Second, 1900 * time.Millisecond, 150 * time.Millisecond
	for _, idle := range []bool{false, true} {
		t.Run(map[bool]string{false: "new connection", true: "idle connection"}[idle], func(t *testing.T) {
			type arrival struct {
				at      time.Time
				timeout float64
			}
			arrivals := make(chan arrival, 8)
			host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				seconds, _ := strconv.ParseFloat(r.Header.Get("X-Timeout"), 64)
				arrivals <- arrival{time.Now(), seconds}
				io.WriteString(w, "done")
			}))
			defer host.Close()
			p := startGateway(t, configJSON(strings.TrimPrefix(host.URL, "http://")), freeAddr(t))
			p.waitReady(t)
			p.sendUntilServed(t, 1) // opens a connection to the host
			<-arrivals
			addr := strings.TrimPrefix(p.url, "http://")
			dial := func() net.Conn {
				conn, err := net.Dial("tcp", addr)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { conn.Close() })
				return conn
			}
			var conn net.Conn
			if idle {
				conn = dial()
				time.Sleep(100 * time.Millisecond) // lets the process accept the connection
			}
			p.suspend(t)
			if !idle {
				conn = dial()
			}
			sent := time.Now()
			fmt.Fprintf(conn, "POST /api/1 HTTP/1.1\r\nHost: x\r\nX-Request-ID: i\r\nX-Priority-Class: book\r\nX-Timeout: %.3f\r\nContent-Length: 0\r\n\r\n",
				timeout.Seconds())
			time.Sleep(stopDuration)
			p.Process.Signal(syscall.SIGCONT)
			select {
			case received := <-arrivals:
				forwarded := time.Duration(received.timeout * float64(time.Second))
				if left := timeout - received.at.Sub(sent); forwarded > left+slack {
					t.Errorf("the forwarded timeout is %v, but the client waits for only %v more", forwarded, left)
				}
			case <-time.After(waitTimeout):
				t.Fatal("the host did not get the request")
			}
		})
	}
}
