package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"bramblelock/internal/catalog"
	"bramblelock/internal/catalogfleet"
	"bramblelock/internal/faultnet"
)

var binaries map[string]string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "catalog-bin")
	if err != nil {
		panic(err)
	}
	if binaries, err = faultnet.Build(dir, "bramblelock/cmd/catalog", "bramblelock/cmd/gateway"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// startCluster starts n instances and stops them at the end of the test. If the test fails, it logs
// their output.
func startCluster(t *testing.T, n int, extra ...string) *catalogfleet.Cluster {
	c := catalogfleet.NewCluster(t, binaries["catalog"], t.TempDir(), n, extra...)
	t.Cleanup(func() {
		if t.Failed() {
			c.Close(t.Logf)
		} else {
			c.Close(nil)
		}
	})
	return c
}

// The leader is killed with SIGKILL while 50 watches are open and writes arrive. No acknowledged write
// may be lost, no watcher may see the version decrease, and all watchers must converge on one version.
func TestLeaderKilledUnderWatchesAndWrites(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	c := startCluster(t, 3)
	first := c.WaitForLeader()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watchers := make([]*catalogfleet.Watcher, 50)
	for i := range watchers {
		watchers[i] = &catalogfleet.Watcher{Addrs: c.HTTPAddrs(c.IDs...)}
		go watchers[i].Run(ctx)
	}
	acked := map[string]bool{}
	live := c.IDs
	for i := 0; i < 120; i++ {
		if i == 40 {
			c.Processes[first].Kill()
			live = catalogfleet.Without(c.IDs, first)
		}
		id := fmt.Sprintf("s-%03d", i)
		body := fmt.Sprintf(`{"addr":"127.0.0.1:%d","zone":"a"}`, 10000+i)
		for attempt := 0; attempt < 100 && !acked[id]; attempt++ {
			if catalogfleet.PutMember(c.HTTPAddr[live[rand.N(len(live))]], id, body) == 200 {
				acked[id] = true
			} else {
				time.Sleep(50 * time.Millisecond)
			}
		}
		if !acked[id] {
			t.Fatalf("write %s not acknowledged after 100 attempts", id)
		}
	}
	final, code := catalogfleet.FetchList(c.HTTPAddr[c.WaitForLeader(live...)])
	if code != 200 || len(final.Servers) != len(acked) {
		t.Fatalf("list of the leader: status %d, %d entries, want %d", code, len(final.Servers), len(acked))
	}
	for i := 0; i < 300; i++ {
		behind := 0
		for _, w := range watchers {
			if v, n := w.VersionAndCount(); v != final.Version || n != len(acked) {
				behind++
			}
		}
		if behind == 0 {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	for i, w := range watchers {
		v, n := w.VersionAndCount()
		if v != final.Version || n != len(acked) {
			t.Errorf("watcher %d at version %d with %d entries, want %d with %d", i, v, n, final.Version, len(acked))
		}
		if len(w.VersionRegressions()) > 0 {
			t.Errorf("watcher %d saw versions decrease: %v", i, w.VersionRegressions())
		}
	}
}

// A leader that is partitioned into a minority must not acknowledge writes and must answer reads as
// stale, while the majority elects a leader and commits. After the partition heals, all instances must
// agree on the version. The list and its version must survive a restart of all instances from their data
// folders.
func TestPartitionedLeaderAndRestart(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	c := startCluster(t, 3)
	old := c.WaitForLeader()
	for i := 0; i < 5; i++ {
		if code := catalogfleet.PutMember(c.HTTPAddr[old], fmt.Sprintf("s-%d", i), `{"addr":"127.0.0.1:9000"}`); code != 200 {
			t.Fatalf("write before the partition: status %d", code)
		}
	}
	c.Mesh.Partition(old)
	majority := catalogfleet.Without(c.IDs, old)
	if code := catalogfleet.PutMember(c.HTTPAddr[old], "s-cut", `{"addr":"127.0.0.1:9001"}`); code == 200 {
		t.Fatal("a leader in a minority partition acknowledged a write")
	}
	reportsStale := false
	for i := 0; i < 100 && !reportsStale; i++ {
		_, code := catalogfleet.FetchList(c.HTTPAddr[old])
		reportsStale = code == http.StatusServiceUnavailable
		time.Sleep(50 * time.Millisecond)
	}
	if !reportsStale {
		t.Fatal("the minority still serves its list as current")
	}
	next := c.WaitForLeader(majority...)
	if code := catalogfleet.PutMember(c.HTTPAddr[next], "s-major", `{"addr":"127.0.0.1:9002"}`); code != 200 {
		t.Fatalf("write to the majority: status %d", code)
	}
	c.Mesh.Heal()
	want, _ := catalogfleet.FetchList(c.HTTPAddr[c.WaitForLeader()])
	converged := func() bool {
		for _, id := range c.IDs {
			if l, code := catalogfleet.FetchList(c.HTTPAddr[id]); code != 200 || l.Version != want.Version {
				return false
			}
		}
		return true
	}
	for i := 0; i < 200 && !converged(); i++ {
		time.Sleep(50 * time.Millisecond)
	}
	if !converged() {
		t.Fatalf("instances do not agree on version %d after healing", want.Version)
	}
	for _, id := range c.IDs {
		if err := c.Processes[id].Term(5 * time.Second); err != nil {
			t.Fatalf("%s exited with %v after SIGTERM", id, err)
		}
	}
	for _, id := range c.IDs {
		c.Start(id)
	}
	c.WaitForLeader()
	for i := 0; i < 200 && !converged(); i++ {
		time.Sleep(50 * time.Millisecond)
	}
	got, _ := catalogfleet.FetchList(c.HTTPAddr[c.WaitForLeader()])
	a, _ := json.Marshal(want)
	b, _ := json.Marshal(got)
	if string(a) != string(b) {
		t.Fatalf("list after a restart of all instances:\n%s\nwant\n%s", b, a)
	}
}

// The watch of a client that never reads must be closed after the write timeout and must not delay
// other watches.
func TestSlowWatchIsClosed(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	c := startCluster(t, 1, "-watch-write", "1s")
	addr := c.HTTPAddr[c.WaitForLeader()]
	// Makes the list far larger than the socket buffers of one watch.
	zone := strings.Repeat("z", 200)
	var wg sync.WaitGroup
	for g := 0; g < 16; g++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := g; i < 1600; i += 16 {
				catalogfleet.PutMember(addr, fmt.Sprintf("s-%04d", i), `{"addr":"127.0.0.1:9000","zone":"`+zone+`"}`)
			}
		}()
	}
	wg.Wait()
	slow, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	slow.(*net.TCPConn).SetReadBuffer(4096)
	fmt.Fprintf(slow, "GET /catalog/members?stream=1&index=0 HTTP/1.1\r\nHost: catalog\r\n\r\n")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	reader := &catalogfleet.Watcher{Addrs: []string{addr}}
	go reader.Run(ctx)
	watchCount := func() int {
		st, err := catalogfleet.FetchStatus(addr)
		if err != nil {
			t.Fatal(err)
		}
		return st.Watches
	}
	closed := false
	for i := 0; i < 400 && !closed; i++ {
		closed = watchCount() == 1
		time.Sleep(50 * time.Millisecond)
	}
	if !closed {
		t.Fatalf("the watch of the client that never reads is still open: %d watches", watchCount())
	}
	if catalogfleet.PutMember(addr, "s-last", `{"addr":"127.0.0.1:9001"}`) != 200 {
		t.Fatal("write failed")
	}
	want, _ := catalogfleet.FetchList(addr)
	for i := 0; i < 200; i++ {
		if v, _ := reader.VersionAndCount(); v == want.Version {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	v, n := reader.VersionAndCount()
	t.Fatalf("the watcher that reads is at version %d (%d entries), want %d", v, n, want.Version)
}

func requestStatus(method, url, body string) int {
	req, _ := http.NewRequest(method, url, strings.NewReader(body))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// Malformed writes, sent to the leader or to a follower, must be answered with 4xx and must change
// neither the list nor its version.
func TestMalformedWritesCommitNothing(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	c := startCluster(t, 3)
	leader := c.WaitForLeader()
	if catalogfleet.PutMember(c.HTTPAddr[leader], "s-1", `{"addr":"127.0.0.1:9001"}`) != 200 {
		t.Fatal("valid write failed")
	}
	before, _ := catalogfleet.FetchList(c.HTTPAddr[leader])
	for _, instance := range c.IDs {
		base := "http://" + c.HTTPAddr[instance] + "/catalog/members/"
		for _, write := range []struct{ method, id, body string }{
			{"PUT", "s-1", `{"addr":`},
			{"PUT", "s-1", `{"state":"sleeping"}`},
			{"PUT", "s-1", `{"state":"gone"}`},
			{"PUT", "s-1", `{"weight":-1}`},
			{"PUT", "s-1", `{"addr":"no-port"}`},
			{"PUT", "s-1", `{"addr":"127.0.0.1:1"} {"addr":"127.0.0.1:2"}`},
			{"PUT", "s-1", `{"addr":"127.0.0.1:1","extra":1}`},
			{"PUT", "s-2", `{"zone":"a"}`}, // a new entry must have an address
			{"PUT", "s%2F1", `{"addr":"127.0.0.1:1"}`},
			{"PUT", strings.Repeat("x", catalog.MaxIDBytes+1), `{"addr":"127.0.0.1:1"}`},
			{"PUT", "s-1", `{"zone":"` + strings.Repeat("a", catalog.MaxBodyBytes) + `"}`},
			{"DELETE", "s-9", ``},
		} {
			if code := requestStatus(write.method, base+write.id, write.body); code < 400 || code > 499 {
				t.Errorf("%s at %s %.20s %.40s: %d, want 4xx", write.method, instance, write.id, write.body, code)
			}
		}
	}
	after, _ := catalogfleet.FetchList(c.HTTPAddr[leader])
	a, _ := json.Marshal(before)
	b, _ := json.Marshal(after)
	if string(a) != string(b) {
		t.Fatalf("the list changed:\n%s\n%s", a, b)
	}
}
