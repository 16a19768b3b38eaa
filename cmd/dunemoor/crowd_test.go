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
)

// Idle clients take all the descriptors that they can get of a process that may hold 128, while
// discovery is down. Requests are served meanwhile; when discovery is back, the process has a
// descriptor for it and hears of a drain; and when the crowd has gone, nothing is left of it.
func TestCrowdLeavesDescriptorsForDiscovery(t *testing.T) {
	const limit, crowd = 128, 200
	asked, addrs := twoHosts(t)
	ln, err := net.Listen("tcp", "127.0.0.85:0") // nobody dials from there, so the port stays free
	if err != nil {
		t.Fatal(err)
	}
	disco := ln.Addr().String()
	ln.Close() // it is down
	free := distinct(t, "127.0.0.83", 2)
	operator, listen := free[0], free[1]
	text := strings.Replace(config(addrs...), "127.0.0.1:1", disco, 1)
	text = strings.Replace(text, `"sockets":1024`, fmt.Sprintf(`"sockets":%d`, limit), 1)
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p := &program{Cmd: exec.Command("/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0"`, limit), os.Args[0]), url: "http://" + listen,
		config: path, exited: make(chan struct{})}
	p.Env = append(os.Environ(), "DUNEMOOR_AS_PROGRAM=1", "GW_CONFIG="+path, "GW_LISTEN="+listen, "GW_OPERATOR="+operator, "TMPDIR="+t.TempDir())
	p.Stdout, p.Stderr = &p.out, &p.out
	p.begin(t)
	p.ready(t)
	held := func() int {
		list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Process.Pid))
		if err != nil {
			t.Fatal(err)
		}
		return len(list)
	}
	before := held()
	var idle []net.Conn
	for range crowd {
		c, err := net.Dial("tcp", listen)
		if err != nil {
			t.Fatal(err)
		}
		idle = append(idle, c)
	}
	wait := func(what string, ok func() bool) {
		t.Helper()
		for end := time.Now().Add(patience); !ok(); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("gave up waiting: %s\n%s", what, p.out.String())
			}
		}
	}
	wait("the crowd has taken its share", func() bool { return held() >= limit/2 })
	p.serve(t, 10)
	if asked[0].Load()+asked[1].Load() != 10 {
		t.Errorf("%d of 10 requests are served beside the crowd", asked[0].Load()+asked[1].Load())
	}
	if resp, err := http.Get("http://" + operator + "/healthcheck"); err != nil || resp.StatusCode != 200 {
		t.Errorf("the operator gets %v, %v", resp, err)
	}
	ln, err = net.Listen("tcp", disco)
	if err != nil {
		t.Fatal(err)
	}
	var told atomic.Bool
	end := make(chan struct{})
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, `{"version":2,"full":true,"servers":[{"id":"s-0","addr":%q,"state":"draining"},{"id":"s-1","addr":%q,"state":"ready"}]}`+"\n", addrs[0], addrs[1])
		w.(http.Flusher).Flush()
		told.Store(true)
		select {
		case <-end:
		case <-r.Context().Done():
		}
	})}
	go srv.Serve(ln)
	defer srv.Close()
	defer close(end)
	wait("discovery is called at its return", told.Load)
	time.Sleep(time.Second) // the grace
	drained := asked[0].Load()
	p.serve(t, 10)
	if now := asked[0].Load(); now != drained {
		t.Errorf("the host got %d requests after it was told to drain", now-drained)
	}
	for _, c := range idle {
		c.Close()
	}
	wait("nothing is left of the crowd", func() bool { return held() <= before+8 }) // a watch, idle connections to hosts
	p.serve(t, 10)
}
