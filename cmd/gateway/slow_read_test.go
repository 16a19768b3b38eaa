package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	slowReadWait   = 2 * time.Second
	slowReadBuffer = 64 << 10 // socket buffer of a host in bytes
	slowReadPiece  = 8 << 10
)

// startSlowReader starts a host that reads the body of a request at the rate of its path, in bytes a second, and then
// answers it.
func startSlowReader(t *testing.T) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			conn.(*net.TCPConn).SetReadBuffer(slowReadBuffer)
			go serveSlowReader(conn)
		}
	}()
	return ln.Addr().String()
}

// serveSlowReader serves the requests of one connection.
func serveSlowReader(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReaderSize(conn, slowReadPiece)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if rate, err := strconv.Atoi(strings.TrimPrefix(r.URL.Path, "/read/")); err == nil {
			for err == nil {
				_, err = io.CopyN(io.Discard, r.Body, slowReadPiece)
				time.Sleep(time.Second * slowReadPiece / time.Duration(rate))
			}
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		time.Sleep(hostDelay)
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
	}
}

// uploadResult is how a long request ended.
type uploadResult struct {
	status   int
	err      error
	writing  time.Duration // how long the client wrote; until the end of the answer if that came first
	whole    bool          // the client has written its last byte before the end of the answer
	answered time.Duration // from the client's last byte to the end of the answer
}

// sendLongBody sends a request with a long body as fast as it is taken.
func sendLongBody(p *program, id string, rate, size int, chunked bool) (result uploadResult) {
	conn, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
	if err != nil {
		return uploadResult{err: err}
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(4 * waitTimeout))
	framing := fmt.Sprintf("Content-Length: %d", size)
	if chunked {
		framing = "Transfer-Encoding: chunked"
	}
	began := time.Now()
	fmt.Fprintf(conn, "POST /read/%d HTTP/1.1\r\nHost: x\r\nX-Request-ID: %s\r\nX-Priority-Class: book\r\nX-Timeout: %.3f\r\n%s\r\n\r\n",
		rate, id, slowReadWait.Seconds(), framing)
	lastByte := make(chan time.Time, 1)
	go func() {
		for rest := size; rest > 0; {
			n := min(rest, 16<<10)
			rest -= n
			var err error
			if chunked {
				_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", n, make([]byte, n))
			} else {
				_, err = conn.Write(make([]byte, n))
			}
			if err != nil {
				return
			}
		}
		if chunked {
			io.WriteString(conn, "0\r\n\r\n")
		}
		lastByte <- time.Now()
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		result.status = resp.StatusCode
		_, err = io.Copy(io.Discard, resp.Body)
	}
	result.err = err
	ended := time.Now()
	result.writing = ended.Sub(began)
	select {
	case at := <-lastByte:
		result.whole, result.writing, result.answered = true, at.Sub(began), ended.Sub(at)
	default:
	}
	return result
}

// Hosts read long requests slowly, beside ordinary traffic. Each request gets its final answer in time, counted from the
// client's last byte, and none but a refusal while its client still writes.
func TestSlowlyReadRequestIsAnsweredInTime(t *testing.T) {
	var addrs []string
	for range 4 {
		addrs = append(addrs, startSlowReader(t))
	}
	var requests sync.WaitGroup
	for gateway := range 2 {
		p := startGateway(t, configJSON(addrs...), freeAddr(t))
		p.waitReady(t)
		clients := &soundClients{addr: strings.TrimPrefix(p.url, "http://"), timeout: slowReadWait}
		requests.Go(func() {
			if counts := clients.run(soundRate, soundLength); counts.lost > 0 {
				t.Errorf("ordinary requests: %v", counts)
			}
		})
		for _, rate := range []int{50_000, 200_000, 1_000_000} {
			for _, size := range []int{100_000, 600_000, 6_000_000} {
				for _, chunked := range []bool{false, true} {
					requests.Go(func() {
						name := fmt.Sprintf("%d-bytes-at-%d-chunked-%t-%d", size, rate, chunked, gateway)
						result := sendLongBody(p, name, rate, size, chunked)
						early := !result.whole && result.status != http.StatusServiceUnavailable
						if result.err != nil || early || result.answered > slowReadWait+lateAnswerSlack {
							t.Errorf("%s: %+v", name, result)
						}
					})
				}
			}
		}
	}
	requests.Wait()
}
