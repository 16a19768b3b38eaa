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
	"testing"
	"time"

	"bramblelock/internal/faultnet"
)

// waitTimeout limits the wait for a condition. It is long because test machines may be slow.
const waitTimeout = 30 * time.Second

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
		} else if !isAnswer(err, http.StatusServiceUnavailable) || time.Now().After(end) {
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

// Hosts of faultnet.ProcessIP that these tests use. Nobody dials from them, so a port that was found free
// stays so until its program listens.
const (
	serviceHost    = 83 // addresses of gateways for clients and operators
	membershipHost = 84 // addresses of gateways for their peers
	discoveryHost  = 85 // addresses of discovery while it is down
)

// freeAddr returns a loopback address with a free port.
func freeAddr(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", faultnet.ProcessIP(serviceHost)+":0")
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

// unexpectedAnswer is an answer other than that of the test's host.
type unexpectedAnswer struct {
	status  int
	text    string
	readErr error // why text is not whole; nil if it is
}

func (a *unexpectedAnswer) Error() string {
	return fmt.Sprintf("answer %d %q, %v", a.status, a.text, a.readErr)
}

// isAnswer reports whether err is an unexpected answer with the given status.
func isAnswer(err error, status int) bool {
	var answer *unexpectedAnswer
	return errors.As(err, &answer) && answer.status == status
}

// lastRequestID is the number of the request that sendRequest sent last: an id is fresh on every request.
var lastRequestID atomic.Int64

// sendRequest sends a request on a new connection and reports whether the connection was established.
// If it was not, the program has not accepted the request. An answer other than the host's is an
// *unexpectedAnswer.
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
	r.Header.Set("X-Request-ID", fmt.Sprint("id-", lastRequestID.Add(1)))
	resp, err := client.Do(r)
	if err != nil {
		return true, err
	}
	defer resp.Body.Close()
	if text, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != 200 || string(text) != "done" {
		return true, &unexpectedAnswer{status: resp.StatusCode, text: string(text), readErr: err}
	}
	return true, nil
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
