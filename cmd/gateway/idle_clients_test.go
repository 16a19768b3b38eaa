package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bramblelock/internal/faultnet"
)

// Idle clients take all the descriptors that they can get in a process limited to 128 descriptors,
// while discovery is down. The process must keep serving requests, have a descriptor for discovery when
// that is back, apply a drain from it, and release the clients' descriptors when they disconnect.
func TestIdleClientsLeaveDescriptorsForDiscovery(t *testing.T) {
	const descriptorLimit, idleClients = 128, 200
	requestCounts, addrs := startTwoHosts(t)
	ln, err := net.Listen("tcp", faultnet.ProcessIP(discoveryHost)+":0")
	if err != nil {
		t.Fatal(err)
	}
	discoveryAddr := ln.Addr().String()
	ln.Close() // discovery is down
	free := freeAddrs(t, serviceHost, 2)
	operator, listen := free[0], free[1]
	text := strings.Replace(configJSON(addrs...), "127.0.0.1:1", discoveryAddr, 1)
	text = strings.Replace(text, `"sockets":1024`, fmt.Sprintf(`"sockets":%d`, descriptorLimit), 1)
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p := &program{Cmd: exec.Command("/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0"`, descriptorLimit), os.Args[0]), url: "http://" + listen,
		configPath: path, exited: make(chan struct{})}
	p.Env = append(os.Environ(), "GATEWAY_AS_PROGRAM=1", "GW_CONFIG="+path, "GW_LISTEN="+listen, "GW_OPERATOR="+operator, "TMPDIR="+t.TempDir())
	p.Stdout, p.Stderr = &p.output, &p.output
	p.startProcess(t)
	p.waitReady(t)
	openDescriptors := func() int {
		list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Process.Pid))
		if err != nil {
			t.Fatal(err)
		}
		return len(list)
	}
	descriptorsBefore := openDescriptors()
	var idleConns []net.Conn
	for range idleClients {
		conn, err := net.Dial("tcp", listen)
		if err != nil {
			t.Fatal(err)
		}
		idleConns = append(idleConns, conn)
	}
	waitFor := func(what string, ok func() bool) {
		t.Helper()
		for end := time.Now().Add(waitTimeout); !ok(); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("timed out waiting until %s\n%s", what, p.output.String())
			}
		}
	}
	waitFor("the idle clients hold their share of the descriptors", func() bool { return openDescriptors() >= descriptorLimit/2 })
	p.sendUntilServed(t, 10)
	if requestCounts[0].Load()+requestCounts[1].Load() != 10 {
		t.Errorf("hosts got %d requests beside the idle clients, want 10", requestCounts[0].Load()+requestCounts[1].Load())
	}
	if resp, err := http.Get("http://" + operator + "/healthcheck"); err != nil || resp.StatusCode != 200 {
		t.Errorf("the health check for operators returned %v, %v", resp, err)
	}
	ln, err = net.Listen("tcp", discoveryAddr)
	if err != nil {
		t.Fatal(err)
	}
	var drainSent atomic.Bool
	endWatches := make(chan struct{})
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, `{"version":2,"full":true,"servers":[{"id":"s-0","addr":%q,"state":"draining"},{"id":"s-1","addr":%q,"state":"ready"}]}`+"\n", addrs[0], addrs[1])
		w.(http.Flusher).Flush()
		drainSent.Store(true)
		select {
		case <-endWatches:
		case <-r.Context().Done():
		}
	})}
	go srv.Serve(ln)
	defer srv.Close()
	defer close(endWatches)
	waitFor("discovery is called after its return", drainSent.Load)
	time.Sleep(time.Second) // drain grace period
	countBefore := requestCounts[0].Load()
	p.sendUntilServed(t, 10)
	if count := requestCounts[0].Load(); count != countBefore {
		t.Errorf("the host got %d requests after the drain grace period", count-countBefore)
	}
	for _, conn := range idleConns {
		conn.Close()
	}
	waitFor("the descriptors of the idle clients are released", func() bool { return openDescriptors() <= descriptorsBefore+8 }) // allows for a watch and idle connections to hosts
	p.sendUntilServed(t, 10)
}
