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

const waitTimeout = 30 * time.Second // for a condition: long, as machines are noisy

// acceptAfterTerm is how long clients come after SIGTERM at the least.
const acceptAfterTerm = 400 * time.Millisecond

// TestMain lets the test binary stand in for the program, so that signals and exit
// codes are those of a process.
func TestMain(m *testing.M) {
	if os.Getenv("DUNEMOOR_AS_PROGRAM") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

type program struct {
	*exec.Cmd
	url        string
	configPath string // path of its configuration
	output     outputBuffer
	exited     chan struct{}
}

// outputBuffer is what a program has written so far.
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

// startGateway runs the program with a configuration.
func startGateway(t *testing.T, config, listen string) *program {
	t.Helper()
	return launch(t, config, "http://"+listen, nil, "GW_LISTEN="+listen)
}

// launch runs the program with a configuration, further descriptors and variables.
func launch(t *testing.T, config, url string, files []*os.File, vars ...string) *program {
	t.Helper()
	p := newProgram(t, config, url, files, vars...)
	p.Stdout, p.Stderr = &p.output, &p.output
	p.startProcess(t)
	return p
}

// newProgram is launch without the start; the program's output goes nowhere yet.
func newProgram(t *testing.T, config, url string, files []*os.File, vars ...string) *program {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	p := &program{Cmd: exec.Command(os.Args[0]), url: url, configPath: path, exited: make(chan struct{})}
	p.Env = append(append(os.Environ(), "DUNEMOOR_AS_PROGRAM=1", "GW_CONFIG="+path), vars...)
	p.ExtraFiles = files
	return p
}

// startProcess starts the process, for as long as the test.
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

// sendUntilServed asks until n requests have been served. On a busy machine hosts look full for a
// moment, and a request is refused; it is asked again.
func (p *program) sendUntilServed(t *testing.T, n int) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); n > 0; {
		_, err := sendRequest(p.url)
		if err == nil {
			n--
		} else if !strings.Contains(err.Error(), "answer 503") || time.Now().After(end) {
			t.Fatalf("%v\n%s", err, p.output.String())
		}
	}
}

// startTwoHosts starts two hosts that serve all that comes and count it.
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

// waitReady waits until the program reports that it can serve.
func (p *program) waitReady(t *testing.T) {
	t.Helper()
	client := http.Client{Timeout: waitTimeout} // what blocks the program must not block the test
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if resp, err := client.Get(p.url + "/_health"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == 200 {
				return
			}
		}
	}
	t.Fatal("the program does not get ready")
}

// freeAddr is a loopback address that was free just now; nothing else here uses that
// IP address, so that it stays free.
func freeAddr(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.83:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

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

// sendRequest sends a request on a connection of its own. The error tells whether there was
// a connection: one that is refused has taken nothing.
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
		return true, fmt.Errorf("answer %d %q, %v", resp.StatusCode, text, err)
	}
	return true, nil
}

// After SIGTERM clients still come for a while, and all that was taken is answered;
// then the program ends by itself with exit code 0. It guards against closing the
// listener at once, which loses what waits in its backlog.
func TestStopUnderLoad(t *testing.T) {
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(50 * time.Millisecond) // so that some are out at any time
		io.WriteString(w, "done")
	}))
	defer host.Close()
	p := startGateway(t, configJSON(strings.TrimPrefix(host.URL, "http://")), freeAddr(t))
	p.waitReady(t)
	var served, servedAfterTerm atomic.Int64
	var termSentAt atomic.Int64 // Unix time in ns of the signal, 0 before it
	var clients sync.WaitGroup
	for range 2 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for {
				termSent := termSentAt.Load()
				taken, err := sendRequest(p.url)
				if err == nil && termSent > 0 {
					servedAfterTerm.Add(1)
				}
				switch {
				case termSent > 0 && time.Since(time.Unix(0, termSent)) > acceptAfterTerm:
					return // the last one may have come too late
				case taken && err != nil:
					t.Errorf("lost: %v", err)
				case err != nil:
					t.Errorf("not taken, though clients still come: %v", err)
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
		t.Error("nothing was served after SIGTERM")
	}
	select {
	case <-p.exited:
	case <-time.After(waitTimeout):
		t.Fatal("the program does not end")
	}
	if code := p.ProcessState.ExitCode(); code != 0 {
		t.Errorf("exit code %d: %s", code, p.output.String())
	}
}

// What was taken just before the listener closed has its answer before the exit.
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
			break // the listener is closed, the request still out
		} else if err == nil {
			conn.Close()
		}
		if time.Now().After(end) {
			t.Fatal("the listener stays open")
		}
	}
	close(release)
	if err := <-result; err != nil {
		t.Errorf("lost: %v", err)
	}
	<-p.exited
	if code := p.ProcessState.ExitCode(); code != 0 {
		t.Errorf("exit code %d: %s", code, p.output.String())
	}
}

// A gateway that was killed starts again from nothing under its address, and serves
// from the list it last had, though discovery is down.
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

// After SIGHUP the program follows discovery to the address that the file now gives, and
// hears there what the old one never said.
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
	t.Setenv("GW_DISCOVERY", old.addr()) // it tells where discovery was at the start only
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
			if _, err := sendRequest(p.url); err != nil { // it goes on with what it has
				t.Fatal(err)
			}
		}
	}
	select {
	case <-moved.watched:
	case <-p.exited:
		t.Fatalf("SIGHUP ended the program: %s", p.output.String())
	case <-time.After(waitTimeout):
		t.Fatal("discovery is not watched at its new address")
	}
	select {
	case <-old.watchEnded:
	case <-time.After(waitTimeout):
		t.Error("the old address is still watched")
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
		t.Errorf("the new address was asked for changes since %v, want the whole list", got)
	}
}

// fakeDiscovery sends a line to its watch for each one on lines.
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

// Bad configuration ends the program with one line that names the field, and 1.
func TestBadConfiguration(t *testing.T) {
	p := startGateway(t, strings.Replace(configJSON(), `"hard_limit":2000000`, `"hard_limit":0`, 1), "127.0.0.1:0")
	select {
	case <-p.exited:
	case <-time.After(waitTimeout):
		t.Fatal("the program does not end")
	}
	if code := p.ProcessState.ExitCode(); code != 1 {
		t.Errorf("exit code %d", code)
	}
	if out := p.output.String(); !strings.Contains(out, "deadline") || strings.Count(out, "\n") != 1 {
		t.Errorf("said %q, want one line that names the field", out)
	}
}

// startOnSocket starts the program on a listening socket that it inherits; its url is the
// operators'.
func startOnSocket(t *testing.T, config string, socket *os.File, tmp string) *program {
	t.Helper()
	operator := freeAddr(t)
	return launch(t, config, "http://"+operator, []*os.File{socket}, // descriptor 3 there
		"GW_LISTEN=127.0.0.1:1", "GW_OPERATOR="+operator, "GW_ACCEPT_FD=3", "TMPDIR="+tmp)
}

// callOperator makes a call to the operators' address.
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

// A new version starts beside the old one on the same socket, and the old one ends,
// without a request lost, on connections that are kept as well as on new ones. A host
// that was out stays out.
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
				t.Fatalf("the program does not get ready: %s", p.output.String())
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
					t.Errorf("lost: %v", err)
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
	waitHealthy(next) // with no word from discovery it waits for a while, and then goes by its file
	if err := old.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	serveMore()
	select {
	case <-old.exited:
	case <-time.After(waitTimeout):
		t.Fatal("the old process does not end")
	}
	if code := old.ProcessState.ExitCode(); code != 0 {
		t.Errorf("exit code %d: %s", code, old.output.String())
	}
	serveMore()
	close(done)
	clients.Wait()
	if got := maintenanceHostRequests.Load(); got != before {
		t.Errorf("the host that is out got %d requests", got-before)
	}
	if status := next.callOperator("PUT", "/hosts/s-1/ready"); status != 200 {
		t.Errorf("status %d", status)
	}
}
