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

// heldUp is how long tests stop a process: longer than any slack, as a starved machine may.
const heldUp = 1500 * time.Millisecond

// stop holds the process up, and returns once it has stopped: what is sent then waits unread.
func (p *program) stop(t *testing.T) {
	t.Helper()
	p.Process.Signal(syscall.SIGSTOP)
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Process.Pid))
		if err != nil {
			t.Fatal(err)
		}
		if _, state, _ := strings.Cut(string(stat), ") "); strings.HasPrefix(state, "T") {
			return
		}
	}
	t.Fatal("the process does not stop")
}

// restingClients opens connections to the program and waits until it has them all.
func restingClients(t *testing.T, p *program, n int) (conns []net.Conn) {
	t.Helper()
	for range n {
		c, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(waitTimeout))
		fmt.Fprint(c, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		conns = append(conns, c)
	}
	return conns
}

// A process is held up while its watch brings a drain and its clients go on asking. What is notified
// counts from when discovery wrote it: once the process runs again, 1.5 s after that, nothing new may
// go to the server that drains. One request of 60 went there in 4 of 6 rounds: sockets become ready in
// the order in which bytes came, and the first requests had come ahead of the drain.
func TestDrainThatWaitsUnreadHoldsSends(t *testing.T) {
	const clients = 300
	for round := range 3 {
		t.Run(fmt.Sprint("round_", round), func(t *testing.T) {
			asked, addrs := startTwoHosts(t)
			disco := newFakeDiscovery(t)
			p := startGateway(t, strings.Replace(configJSON(addrs...), "127.0.0.1:1", disco.addr(), 1), freeAddr(t))
			p.waitReady(t)
			<-disco.watched
			list := `{"version":%d,"full":true,"servers":[{"id":"s-0","addr":%q,"state":%q},{"id":"s-1","addr":%q,"state":"ready"}]}`
			disco.lines <- fmt.Sprintf(list, 2, addrs[0], "ready", addrs[1])
			p.sendUntilServed(t, 20)
			conns := restingClients(t, p, clients)
			p.stop(t)
			before := asked[0].Load()
			for i, c := range conns {
				fmt.Fprintf(c, "POST /api/1 HTTP/1.1\r\nHost: x\r\nX-Request-ID: i%d\r\nX-Priority-Class: book\r\nContent-Length: 0\r\n\r\n", i)
			}
			disco.lines <- fmt.Sprintf(list, 3, addrs[0], "draining", addrs[1])
			time.Sleep(heldUp)
			p.Process.Signal(syscall.SIGCONT)
			for _, c := range conns {
				if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
					t.Fatal(err)
				}
			}
			if n := asked[0].Load() - before; n > 0 {
				t.Errorf("%d of %d requests went to a server that drains, %v after discovery said so", n, clients, heldUp)
			}
		})
	}
}

// A process is held up while all its servers answer in time. That their answers waited unread tells
// nothing of the servers: none is ejected or taken for slow, and what comes next is served. One was
// ejected (log: "host ... ejected: silent", at its end "2 of 2 hosts are ejected"): the sweep for silent
// servers rang before any answer was read, and deadlines closed connections with the answer in them.
func TestAnswersThatWaitUnreadAreNotTheServersFault(t *testing.T) {
	const clients = 6
	var out atomic.Int64
	stopped := make(chan struct{})
	var once sync.Once
	var addrs []string
	for range 2 {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("X-Request-ID") == "held" {
				out.Add(1)
				<-stopped
			}
			io.WriteString(w, "done")
		}))
		t.Cleanup(server.Close)
		t.Cleanup(func() { once.Do(func() { close(stopped) }) })
		addrs = append(addrs, strings.TrimPrefix(server.URL, "http://"))
	}
	p := startGateway(t, configJSON(addrs...), freeAddr(t))
	p.waitReady(t)
	p.sendUntilServed(t, 40)
	conns := restingClients(t, p, clients)
	for _, c := range conns {
		fmt.Fprintf(c, "POST /api/1 HTTP/1.1\r\nHost: x\r\nX-Request-ID: held\r\nX-Priority-Class: book\r\nX-Timeout: 1\r\nContent-Length: 0\r\n\r\n")
	}
	for end := time.Now().Add(waitTimeout); out.Load() < clients; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d of %d requests are with a server\n%s", out.Load(), clients, p.output.String())
		}
	}
	p.stop(t)
	before := len(p.output.String()) // a server may be ejected ahead of the stop: it does not answer then
	once.Do(func() { close(stopped) })
	time.Sleep(heldUp)
	p.Process.Signal(syscall.SIGCONT)
	statuses := map[int]int{}
	for _, c := range conns {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		statuses[resp.StatusCode]++
	}
	failed := 0
	for range 40 {
		if _, err := sendRequest(p.url); err != nil {
			failed++
		}
	}
	if failed > 0 {
		t.Errorf("%d of 40 requests behind it are not served", failed)
	}
	if log := p.output.String()[before:]; strings.Contains(log, "ejected") {
		t.Errorf("a server is ejected:\n%s", log)
	}
	t.Logf("what was out is answered with %v", statuses)
}

// A process is held up for longer than a watch may be silent, while its watch goes on. The lines that
// wait are read before the watch is judged: it is not opened anew, or a fleet on starved machines
// would call its discovery all at once. It was opened anew (log: "watch of the host list lost ... discovery
// is silent"): the timer for silence rang with the lines in the socket.
func TestWatchThatWaitsUnreadIsNotSilent(t *testing.T) {
	const stopped = 4 * time.Second
	var calls atomic.Int64
	_, addrs := startTwoHosts(t)
	ends := make(chan struct{})
	disco := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		fmt.Fprintf(w, `{"version":2,"full":true,"servers":[{"id":"s-0","addr":%q,"state":"ready"},{"id":"s-1","addr":%q,"state":"ready"}]}`+"\n", addrs[0], addrs[1])
		for {
			w.(http.Flusher).Flush()
			select {
			case <-time.After(200 * time.Millisecond):
				fmt.Fprintln(w)
			case <-r.Context().Done():
				return
			case <-ends:
				return
			}
		}
	}))
	defer disco.Close()
	defer close(ends)
	p := startGateway(t, strings.Replace(configJSON(addrs...), "127.0.0.1:1", strings.TrimPrefix(disco.URL, "http://"), 1), freeAddr(t))
	p.waitReady(t)
	p.sendUntilServed(t, 1)
	before := calls.Load()
	p.stop(t)
	time.Sleep(stopped)
	p.Process.Signal(syscall.SIGCONT)
	p.sendUntilServed(t, 1)
	time.Sleep(time.Second)
	if n := calls.Load() - before; n > 0 {
		t.Errorf("%d more calls for the list, its watch brought a line every 200 ms\n%s", n, p.output.String())
	}
}

// A process is held up for longer than a client has to bring its request, which comes meanwhile. It
// was taken once its last byte was written, so it gets its answer though its time to come is over.
// Two of three such connections were reset and one was answered 400: a read whose deadline has passed
// returns that, whatever waits in the socket. What came before the deadline is now read behind it.
func TestRequestThatComesWhileHeldUpIsAnswered(t *testing.T) {
	const comesAfter, stopped = 500 * time.Millisecond, 3 * time.Second
	_, addrs := startTwoHosts(t)
	p := startGateway(t, strings.Replace(configJSON(addrs...), `"hard_limit":2000000`, `"hard_limit":10000000`, 1), freeAddr(t))
	p.waitReady(t)
	p.sendUntilServed(t, 1)
	request := "POST /api/1 HTTP/1.1\r\nHost: x\r\nX-Request-ID: i\r\nX-Priority-Class: book\r\nX-Timeout: 9\r\nContent-Length: 4\r\n\r\nbody"
	var conns []net.Conn
	parts := []string{"", request[:20], request[:len(request)-2]} // that have come before
	for _, part := range parts {
		c, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(waitTimeout))
		io.WriteString(c, part)
		conns = append(conns, c)
	}
	time.Sleep(200 * time.Millisecond) // they are accepted, and what has come is read
	p.stop(t)
	time.Sleep(comesAfter)
	for i, c := range conns {
		io.WriteString(c, request[len(parts[i]):])
	}
	time.Sleep(stopped - comesAfter)
	p.Process.Signal(syscall.SIGCONT)
	for i, c := range conns {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("with %d bytes before the stop, the answer is %v, %v", len(parts[i]), resp, err)
		}
	}
}
