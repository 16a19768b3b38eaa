package main

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// acceptAfterTerm is the minimum time for which new clients still connect after SIGTERM.
const acceptAfterTerm = 400 * time.Millisecond

// After SIGTERM, clients still connect for a while. Every accepted request must be answered, and the
// program must then exit with code 0. Closing the listener immediately would lose the connections in
// its backlog.
func TestStopUnderLoad(t *testing.T) {
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(50 * time.Millisecond) // keeps some requests in flight at any time
		io.WriteString(w, "done")
	}))
	defer host.Close()
	p := startGateway(t, configJSON(strings.TrimPrefix(host.URL, "http://")), freeAddr(t))
	p.waitReady(t)
	var served, servedAfterTerm atomic.Int64
	var termSentAt atomic.Int64 // Unix time of the signal in ns, 0 before it is sent
	var clients sync.WaitGroup
	for range 2 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for {
				termSent := termSentAt.Load()
				connected, err := sendRequest(p.url)
				if err == nil && termSent > 0 {
					servedAfterTerm.Add(1)
				}
				switch {
				case termSent > 0 && time.Since(time.Unix(0, termSent)) > acceptAfterTerm:
					return // the last request may have been sent after the listener closed
				case connected && err != nil:
					t.Errorf("an accepted request failed: %v", err)
				case err != nil:
					t.Errorf("a connection failed while clients may still connect: %v", err)
				}
				served.Add(1)
			}
		}()
	}
	for end := time.Now().Add(waitTimeout); served.Load() < 10 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	termSentAt.Store(time.Now().UnixNano())
	if err := p.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	clients.Wait()
	if servedAfterTerm.Load() == 0 {
		t.Error("no request was served after SIGTERM")
	}
	select {
	case <-p.exited:
	case <-time.After(waitTimeout):
		t.Fatal("the program did not exit")
	}
	if code := p.ProcessState.ExitCode(); code != 0 {
		t.Errorf("exit code %d: %s", code, p.output.String())
	}
}

// A request accepted just before the listener closes must be answered before the program exits.
func TestStopFinishesInFlightRequests(t *testing.T) {
	received, release := make(chan struct{}), make(chan struct{})
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(received)
		<-release
		io.WriteString(w, "done")
	}))
	defer host.Close()
	p := startGateway(t, configJSON(strings.TrimPrefix(host.URL, "http://")), freeAddr(t))
	p.waitReady(t)
	result := make(chan error, 1)
	go func() {
		_, err := sendRequest(p.url)
		result <- err
	}()
	<-received
	if err := p.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(waitTimeout); ; time.Sleep(5 * time.Millisecond) {
		conn, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
		if errors.Is(err, syscall.ECONNREFUSED) {
			break // the listener is closed and the request is still in flight
		} else if err == nil {
			conn.Close()
		}
		if time.Now().After(end) {
			t.Fatal("the listener was not closed")
		}
	}
	close(release)
	if err := <-result; err != nil {
		t.Errorf("the request failed: %v", err)
	}
	<-p.exited
	if code := p.ProcessState.ExitCode(); code != 0 {
		t.Errorf("exit code %d: %s", code, p.output.String())
	}
}
