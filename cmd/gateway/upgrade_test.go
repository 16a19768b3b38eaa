package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// startOnSocket starts the program with an inherited listening socket. The url of the program is its
// operator address.
func startOnSocket(t *testing.T, config string, socket *os.File, tmp string) *program {
	t.Helper()
	operator := freeAddr(t)
	return launch(t, config, "http://"+operator, []*os.File{socket}, // becomes descriptor 3 of the program
		"GW_LISTEN=127.0.0.1:1", "GW_OPERATOR="+operator, "GW_ACCEPT_FD=3", "TMPDIR="+tmp)
}

// startSharedSocket returns a listening socket for the processes of an upgrade, and its URL.
func startSharedSocket(t *testing.T) (socket *os.File, url string) {
	t.Helper()
	ln, err := net.Listen("tcp", freeAddr(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	if socket, err = ln.(*net.TCPListener).File(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { socket.Close() })
	return socket, "http://" + ln.Addr().String()
}

// waitHealthy waits until the program says that it is ready on its operator address.
func (p *program) waitHealthy(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); p.callOperator("GET", "/healthcheck") != 200; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the program did not become ready: %s", p.output.String())
		}
	}
}

// A client leaves while the old process waits for the answer to its request, and sends it again with the same id to the new
// process of an upgrade. A request that may run once only does not reach a host again.
func TestUpgradeKeepsIDsOfSentRequests(t *testing.T) {
	var requests atomic.Int64
	release := make(chan struct{})
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Request-ID") == "held" {
			requests.Add(1)
			<-release
		}
		io.WriteString(w, "done")
	}))
	defer host.Close()
	defer close(release)
	socket, url := startSharedSocket(t)
	config, tmp := configJSON(strings.TrimPrefix(host.URL, "http://")), t.TempDir()
	old := startOnSocket(t, config, socket, tmp)
	old.waitHealthy(t)
	request := "POST /api/1 HTTP/1.1\r\nHost: x\r\nX-Request-ID: held\r\nX-Priority-Class: book\r\nContent-Length: 0\r\n\r\n"
	send := func() net.Conn {
		conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(waitTimeout))
		io.WriteString(conn, request)
		return conn
	}
	leaving := send()
	for end := time.Now().Add(waitTimeout); requests.Load() == 0 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	leaving.Close()
	next := startOnSocket(t, config, socket, tmp)
	next.waitHealthy(t)
	old.Process.Kill()
	<-old.exited
	again := send()
	defer again.Close()
	resp, err := http.ReadResponse(bufio.NewReader(again), nil)
	if err != nil || resp.StatusCode != http.StatusBadGateway {
		t.Errorf("the request that came again is answered %v, %v, want 502", resp, err)
	}
	if n := requests.Load(); n != 1 {
		t.Errorf("the host got %d requests, want 1", n)
	}
}

// A new process starts beside an old one on the same socket, and the old one stops. No request may be
// lost, neither on kept connections nor on new ones. A host in maintenance must stay in maintenance.
func TestUpgradeUnderLoad(t *testing.T) {
	var maintenanceHostRequests atomic.Int64
	hosts := make([]*httptest.Server, 2)
	for i := range hosts {
		hosts[i] = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if i == 1 {
				maintenanceHostRequests.Add(1)
			}
			time.Sleep(10 * time.Millisecond)
			io.WriteString(w, "done")
		}))
		defer hosts[i].Close()
	}
	socket, url := startSharedSocket(t)
	discovery := newFakeDiscovery(t)
	text := strings.Replace(configJSON(strings.TrimPrefix(hosts[0].URL, "http://"), strings.TrimPrefix(hosts[1].URL, "http://")),
		"127.0.0.1:1", discovery.addr(), 1)
	tmp := t.TempDir()
	old := startOnSocket(t, text, socket, tmp)
	<-discovery.watched
	discovery.lines <- `{"version":2,"full":false,"servers":[]}`
	old.waitHealthy(t)
	if status := old.callOperator("PUT", "/hosts/s-1/maint"); status != 200 {
		t.Fatalf("status %d", status)
	}
	before := maintenanceHostRequests.Load()
	var served atomic.Int64
	done := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 4 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			client := http.Client{Transport: &http.Transport{DisableKeepAlives: i%2 == 0}, Timeout: waitTimeout}
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				r, _ := http.NewRequest(http.MethodPost, url+"/api/1", strings.NewReader("body"))
				r.Header.Set("X-Priority-Class", "book")
				r.Header.Set("X-Request-ID", fmt.Sprint(i, "-", n))
				resp, err := client.Do(r)
				if err != nil {
					t.Errorf("a request failed: %v", err)
					return
				}
				if text, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != 200 {
					t.Errorf("answer %d %q, %v", resp.StatusCode, text, err)
				}
				resp.Body.Close()
				served.Add(1)
			}
		}()
	}
	serveMore := func() {
		before := served.Load()
		for end := time.Now().Add(waitTimeout); served.Load() < before+20 && time.Now().Before(end); {
			time.Sleep(5 * time.Millisecond)
		}
	}
	serveMore()
	next := startOnSocket(t, text, socket, tmp)
	serveMore()
	next.waitHealthy(t) // without a list from discovery it waits for a while and then uses the configured list
	if err := old.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	serveMore()
	select {
	case <-old.exited:
	case <-time.After(waitTimeout):
		t.Fatal("the old process did not exit")
	}
	if code := old.ProcessState.ExitCode(); code != 0 {
		t.Errorf("exit code %d: %s", code, old.output.String())
	}
	serveMore()
	close(done)
	clients.Wait()
	if got := maintenanceHostRequests.Load(); got != before {
		t.Errorf("the host in maintenance got %d requests", got-before)
	}
	if status := next.callOperator("PUT", "/hosts/s-1/ready"); status != 200 {
		t.Errorf("status %d", status)
	}
}
