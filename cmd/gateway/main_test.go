package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// waitTimeout limits the wait for a condition. It is long because test machines may be slow.
const waitTimeout = 30 * time.Second

// acceptAfterTerm is the minimum time for which new clients still connect after SIGTERM.
const acceptAfterTerm = 400 * time.Millisecond

// TestMain runs the program itself if GATEWAY_AS_PROGRAM is set. Tests start the test binary in this
// way, so that they can check signals and exit codes of a real process.
func TestMain(m *testing.M) {
	if os.Getenv("GATEWAY_AS_PROGRAM") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// program is a gateway process under test.
type program struct {
	*exec.Cmd
	url        string
	configPath string // path of the configuration file
	output     outputBuffer
	exited     chan struct{}
}

// outputBuffer collects the output of a program. It is safe for concurrent use.
type outputBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *outputBuffer) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *outputBuffer) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// startGateway runs the program with a configuration and a listen address.
func startGateway(t *testing.T, config, listen string) *program {
	t.Helper()
	return launch(t, config, "http://"+listen, nil, "GW_LISTEN="+listen)
}

// launch runs the program with a configuration, inherited files and additional environment variables.
func launch(t *testing.T, config, url string, files []*os.File, vars ...string) *program {
	t.Helper()
	p := newProgram(t, config, url, files, vars...)
	p.Stdout, p.Stderr = &p.output, &p.output
	p.startProcess(t)
	return p
}

// newProgram prepares the program like launch, but does not start it and leaves its output unset.
func newProgram(t *testing.T, config, url string, files []*os.File, vars ...string) *program {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	p := &program{Cmd: exec.Command(os.Args[0]), url: url, configPath: path, exited: make(chan struct{})}
	p.Env = append(append(os.Environ(), "GATEWAY_AS_PROGRAM=1", "GW_CONFIG="+path), vars...)
	p.ExtraFiles = files
	return p
}

// startProcess starts the process. It is killed at the end of the test.
func (p *program) startProcess(t *testing.T) {
	t.Helper()
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		p.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		p.Process.Kill()
		<-p.exited
	})
}

// sendUntilServed sends requests until n of them have been served. A request that is answered 503 is
// sent again, because hosts may look full for a moment on a busy machine.
func (p *program) sendUntilServed(t *testing.T, n int) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); n > 0; {
		_, err := sendRequest(p.url)
		if err == nil {
			n--
		} else if !answeredWith(err, http.StatusServiceUnavailable) || time.Now().After(end) {
			t.Fatalf("%v\n%s", err, p.output.String())
		}
	}
}

// startTwoHosts starts two hosts that serve every request and count the requests.
func startTwoHosts(t *testing.T) (requestCounts *[2]atomic.Int64, addrs []string) {
	requestCounts = new([2]atomic.Int64)
	for i := range requestCounts {
		host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			requestCounts[i].Add(1)
			io.WriteString(w, "done")
		}))
		t.Cleanup(host.Close)
		addrs = append(addrs, strings.TrimPrefix(host.URL, "http://"))
	}
	return requestCounts, addrs
}

// waitReady waits until the health check of the program succeeds.
func (p *program) waitReady(t *testing.T) {
	t.Helper()
	client := http.Client{Timeout: waitTimeout} // a program that hangs must not block the test
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if resp, err := client.Get(p.url + "/_health"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == 200 {
				return
			}
		}
	}
	t.Fatal("the program did not become ready")
}

// freeAddr returns a loopback address with a free port. Only these tests use that IP address, so the
// port is unlikely to be taken before the program listens on it.
func freeAddr(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.83:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// configJSON returns a configuration that lists the given hosts as ready, with the IDs s-0, s-1 and so
// on.
func configJSON(hosts ...string) string {
	type member map[string]any
	list := []member{}
	for i, addr := range hosts {
		list = append(list, member{"id": fmt.Sprint("s-", i), "addr": addr, "state": "ready"})
	}
	text, _ := json.Marshal(member{
		"name": "n0", "discovery": "127.0.0.1:1", "seed": "1f",
		"limits": member{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":  member{"version": 1, "full": true, "servers": list},
		"settings": member{
			"balancers": 1, "step": 5000, "caps": member{"cancel": true, "max_attempts": 4},
			"classes": []member{{"name": "book", "effect": "at_most_once", "hard_limit": 2000000, "promise": 2000000}},
		},
	})
	return string(text)
}

// unexpectedAnswer is the error of a request whose answer is not the hosts' answer.
type unexpectedAnswer struct {
	status int
	body   string
	err    error // of reading the body
}

func (e *unexpectedAnswer) Error() string {
	return fmt.Sprintf("answer %d %q, %v", e.status, e.body, e.err)
}

// answeredWith returns whether err says that a request was answered with a status.
func answeredWith(err error, status int) bool {
	var answer *unexpectedAnswer
	return errors.As(err, &answer) && answer.status == status
}

// sendRequest sends a request on a new connection and reports whether the connection was established.
// If it was not, the program has not accepted the request.
func sendRequest(url string) (connected bool, err error) {
	conn, err := net.DialTimeout("tcp", strings.TrimPrefix(url, "http://"), waitTimeout)
	if err != nil {
		return false, err
	}
	client := http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		Dial:              func(string, string) (net.Conn, error) { return conn, nil },
	}, Timeout: waitTimeout}
	r, err := http.NewRequest(http.MethodPost, url+"/api/1", strings.NewReader("body"))
	if err != nil {
		return false, err
	}
	r.Header.Set("X-Priority-Class", "book")
	r.Header.Set("X-Request-ID", "id-1")
	resp, err := client.Do(r)
	if err != nil {
		return true, err
	}
	defer resp.Body.Close()
	if text, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != 200 || string(text) != "done" {
		return true, &unexpectedAnswer{resp.StatusCode, string(text), err}
	}
	return true, nil
}

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

// A gateway that was killed must be able to start again on the same address and serve from its
// configured host list while discovery is down.
func TestRestart(t *testing.T) {
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, "done")
	}))
	defer host.Close()
	addr, text := freeAddr(t), configJSON(strings.TrimPrefix(host.URL, "http://"))
	for i := range 2 {
		p := startGateway(t, text, addr)
		p.waitReady(t)
		if _, err := sendRequest(p.url); err != nil {
			t.Errorf("start %d: %v", i, err)
		}
		p.Process.Kill()
		<-p.exited
	}
}

// After SIGHUP the program must switch to the discovery address in the changed file and use the list
// that it gets there. A malformed file must change nothing.
func TestReloadFollowsDiscovery(t *testing.T) {
	old, moved := newFakeDiscovery(t), newFakeDiscovery(t)
	hosts := make([]*httptest.Server, 2)
	requestCounts := make([]atomic.Int64, 2)
	for i := range hosts {
		hosts[i] = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			requestCounts[i].Add(1)
			io.WriteString(w, "done")
		}))
		defer hosts[i].Close()
	}
	text := strings.Replace(configJSON(strings.TrimPrefix(hosts[0].URL, "http://")), "127.0.0.1:1", old.addr(), 1)
	t.Setenv("GW_DISCOVERY", old.addr()) // must be used at the start only, not after the reload
	p := startGateway(t, text, freeAddr(t))
	p.waitReady(t)
	<-old.watched
	for _, text := range []string{"{", strings.Replace(text, old.addr(), moved.addr(), 1)} {
		if err := os.WriteFile(p.configPath, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := p.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		if text == "{" {
			if _, err := sendRequest(p.url); err != nil { // it must keep its current configuration
				t.Fatal(err)
			}
		}
	}
	select {
	case <-moved.watched:
	case <-p.exited:
		t.Fatalf("SIGHUP ended the program: %s", p.output.String())
	case <-time.After(waitTimeout):
		t.Fatal("the new discovery address is not watched")
	}
	select {
	case <-old.watchEnded:
	case <-time.After(waitTimeout):
		t.Error("the old discovery address is still watched")
	}
	moved.lines <- fmt.Sprintf(`{"version":9,"full":true,"servers":[{"id":"s-1","addr":%q,"state":"ready"}]}`,
		strings.TrimPrefix(hosts[1].URL, "http://"))
	for end := time.Now().Add(waitTimeout); requestCounts[1].Load() == 0; time.Sleep(5 * time.Millisecond) {
		if _, err := sendRequest(p.url); err != nil {
			t.Fatal(err)
		}
		if time.Now().After(end) {
			t.Fatal("the new list is not used")
		}
	}
	if got := moved.lastIndex.Load(); got != "0" {
		t.Errorf("the first watch at the new address starts at index %v, want 0 for the whole list", got)
	}
}

// fakeDiscovery is a discovery server that sends each string received on lines to an open watch. It
// signals on watched when a watch opens and on watchEnded when one ends. lastIndex holds the index that
// the last watch asked for.
type fakeDiscovery struct {
	*httptest.Server
	lines               chan string
	watched, watchEnded chan struct{}
	lastIndex           atomic.Value
}

func newFakeDiscovery(t *testing.T) *fakeDiscovery {
	d := &fakeDiscovery{lines: make(chan string), watched: make(chan struct{}, 100), watchEnded: make(chan struct{}, 100)}
	d.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.lastIndex.Store(r.FormValue("index"))
		w.(http.Flusher).Flush()
		d.watched <- struct{}{}
		for {
			select {
			case line := <-d.lines:
				fmt.Fprintln(w, line)
				w.(http.Flusher).Flush()
			case <-r.Context().Done():
				d.watchEnded <- struct{}{}
				return
			}
		}
	}))
	t.Cleanup(d.Close)
	t.Cleanup(d.CloseClientConnections)
	return d
}

func (d *fakeDiscovery) addr() string { return strings.TrimPrefix(d.URL, "http://") }

// The program must reject a bad configuration with a single line that names the field and exit with
// code 1.
func TestBadConfiguration(t *testing.T) {
	p := startGateway(t, strings.Replace(configJSON(), `"hard_limit":2000000`, `"hard_limit":0`, 1), "127.0.0.1:0")
	select {
	case <-p.exited:
	case <-time.After(waitTimeout):
		t.Fatal("the program did not exit")
	}
	if code := p.ProcessState.ExitCode(); code != 1 {
		t.Errorf("exit code %d", code)
	}
	if out := p.output.String(); !strings.Contains(out, "deadline") || strings.Count(out, "\n") != 1 {
		t.Errorf("output is %q, want one line that names the field", out)
	}
}

// startOnSocket starts the program with an inherited listening socket. The url of the program is its
// operator address.
func startOnSocket(t *testing.T, config string, socket *os.File, tmp string) *program {
	t.Helper()
	operator := freeAddr(t)
	return launch(t, config, "http://"+operator, []*os.File{socket}, // becomes descriptor 3 of the program
		"GW_LISTEN=127.0.0.1:1", "GW_OPERATOR="+operator, "GW_ACCEPT_FD=3", "TMPDIR="+tmp)
}

// callOperator calls the operator API and returns the status, or 0 if the call fails.
func (p *program) callOperator(method, path string) int {
	r, err := http.NewRequest(method, p.url+path, nil)
	if err != nil {
		return 0
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
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
	ln, err := net.Listen("tcp", freeAddr(t))
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	socket, err := ln.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	discovery := newFakeDiscovery(t)
	text := strings.Replace(configJSON(strings.TrimPrefix(hosts[0].URL, "http://"), strings.TrimPrefix(hosts[1].URL, "http://")),
		"127.0.0.1:1", discovery.addr(), 1)
	tmp := t.TempDir()
	waitHealthy := func(p *program) {
		t.Helper()
		for end := time.Now().Add(waitTimeout); p.callOperator("GET", "/healthcheck") != 200; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("the program did not become ready: %s", p.output.String())
			}
		}
	}
	old := startOnSocket(t, text, socket, tmp)
	<-discovery.watched
	discovery.lines <- `{"version":2,"full":false,"servers":[]}`
	waitHealthy(old)
	if status := old.callOperator("PUT", "/hosts/s-1/maint"); status != 200 {
		t.Fatalf("status %d", status)
	}
	before := maintenanceHostRequests.Load()
	url := "http://" + ln.Addr().String()
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
	waitHealthy(next) // without a list from discovery it waits for a while and then uses the configured list
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
