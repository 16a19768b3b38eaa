// Package catalogfleet starts catalog clusters on loopback with faults between their
// instances, and follows their lists as gateways do: for the catalog's tests and for the
// experiments of the fleet lab.
package catalogfleet

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"lynxspool/internal/catalog"
	"lynxspool/internal/faultnet"
)

// FailureReporter is what a Cluster reports a failure to; a test is one. Fatalf does not return.
type FailureReporter interface {
	Helper()
	Fatalf(format string, args ...any)
}

// Cluster is n catalog processes whose raft links each go through a faultnet link.
type Cluster struct {
	reporter  FailureReporter
	binary    string // of catalog
	dataDir   string
	IDs       []string // c1, c2, ...
	raftAddr  map[string]string
	HTTPAddr  map[string]string // address by id
	Mesh      *faultnet.Mesh    // between them
	Processes map[string]*faultnet.Proc
	extraArgs []string
}

// NewCluster starts n instances of bin with their data below dir.
func NewCluster(reporter FailureReporter, binary, dataDir string, n int, extraArgs ...string) *Cluster {
	c := &Cluster{reporter: reporter, binary: binary, dataDir: dataDir, raftAddr: map[string]string{}, HTTPAddr: map[string]string{},
		Processes: map[string]*faultnet.Proc{}, extraArgs: extraArgs}
	if err := os.MkdirAll(dataDir, 0o755); err != nil {
		reporter.Fatalf("%v", err)
	}
	for i := 1; i <= n; i++ {
		id := fmt.Sprintf("c%d", i)
		c.IDs = append(c.IDs, id)
		c.raftAddr[id], c.HTTPAddr[id] = FreeAddr(reporter), FreeAddr(reporter)
	}
	var err error
	if c.Mesh, err = faultnet.NewMesh(c.raftAddr); err != nil {
		reporter.Fatalf("%v", err)
	}
	for _, id := range c.IDs {
		c.Start(id)
	}
	return c
}

// Close kills the instances and ends the links; logf, if given, gets each one's log.
func (c *Cluster) Close(logf func(string, ...any)) {
	for _, p := range c.Processes {
		p.Kill()
	}
	c.Mesh.Close()
	for id, p := range c.Processes {
		if logf != nil {
			b, _ := os.ReadFile(p.Log)
			logf("log of %s:\n%s", id, tail(string(b), 3000))
		}
	}
}

func tail(s string, n int) string {
	if len(s) > n {
		return s[len(s)-n:]
	}
	return s
}

// FreeAddr is a loopback address that was free a moment ago.
func FreeAddr(reporter FailureReporter) string {
	a, err := faultnet.FreeAddr()
	if err != nil {
		reporter.Fatalf("%v", err)
	}
	return a
}

// Start starts one instance, anew on its data if it ran before.
func (c *Cluster) Start(id string) {
	var peers, via []string
	for _, peerID := range c.IDs {
		peers = append(peers, peerID+"="+c.raftAddr[peerID]+"/"+c.HTTPAddr[peerID])
		if peerID != id {
			via = append(via, c.raftAddr[peerID]+"="+c.Mesh.From(id, peerID).Addr)
		}
	}
	args := append([]string{"-id", id, "-data", c.dataDir + "/" + id, "-raft", c.raftAddr[id], "-http", c.HTTPAddr[id],
		"-peers", strings.Join(peers, ","), "-via", strings.Join(via, ","),
		"-heartbeat", "200ms", "-stale-after", "1s"}, c.extraArgs...)
	p, err := faultnet.Start(c.dataDir, id, c.binary, args)
	if err != nil {
		c.reporter.Fatalf("%v", err)
	}
	c.Processes[id] = p
}

// FetchStatus asks an instance for its status.
func FetchStatus(addr string) (catalog.Status, error) {
	var st catalog.Status
	cl := http.Client{Timeout: time.Second}
	resp, err := cl.Get("http://" + addr + "/catalog/status")
	if err != nil {
		return st, err
	}
	defer resp.Body.Close()
	return st, json.NewDecoder(resp.Body).Decode(&st)
}

// WaitForLeader waits for one of ids to say it leads, and returns it.
func (c *Cluster) WaitForLeader(ids ...string) string {
	c.reporter.Helper()
	if len(ids) == 0 {
		ids = c.IDs
	}
	for i := 0; i < 300; i++ {
		for _, id := range ids {
			if st, err := FetchStatus(c.HTTPAddr[id]); err == nil && st.State == "Leader" {
				return id
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.reporter.Fatalf("no leader among %v in 15 s", ids)
	return ""
}

var client = &http.Client{Timeout: 10 * time.Second}

// PutMember writes one entry at addr and returns the status code.
func PutMember(addr, id, body string) int {
	req, _ := http.NewRequest("PUT", "http://"+addr+"/catalog/members/"+id, strings.NewReader(body))
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return resp.StatusCode
}

// FetchList asks an instance for its list; the code is 0 with no answer.
func FetchList(addr string) (catalog.List, int) {
	var l catalog.List
	resp, err := client.Get("http://" + addr + "/catalog/members")
	if err != nil {
		return l, 0
	}
	defer resp.Body.Close()
	if resp.StatusCode == 200 {
		json.NewDecoder(resp.Body).Decode(&l)
	}
	return l, resp.StatusCode
}

// Watcher follows the list as a gateway would: it resumes from its version at the
// next address when a watch ends, and notes any version that goes back.
type Watcher struct {
	Addrs       []string // instances, in turn
	mu          sync.Mutex
	received    []receivedVersion // each version taken, and when
	version     uint64
	members     map[string]catalog.Member
	regressions []string // versions that went back
}

// Run follows the list until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	w.members = map[string]catalog.Member{}
	cl := http.Client{}
	for i := rand.N(len(w.Addrs)); ctx.Err() == nil; i++ {
		w.mu.Lock()
		url := fmt.Sprintf("http://%s/catalog/members?stream=1&index=%d", w.Addrs[i%len(w.Addrs)], w.version)
		w.mu.Unlock()
		req, _ := http.NewRequestWithContext(ctx, "GET", url, nil)
		resp, err := cl.Do(req)
		if err == nil {
			lines := bufio.NewScanner(resp.Body)
			lines.Buffer(nil, 16<<20)
			for lines.Scan() {
				if len(lines.Bytes()) > 0 {
					var l catalog.List
					if json.Unmarshal(lines.Bytes(), &l) != nil {
						break
					}
					w.apply(l)
				}
			}
			resp.Body.Close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(20+rand.N(80)) * time.Millisecond):
		}
	}
}

func (w *Watcher) apply(l catalog.List) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if l.Version < w.version {
		w.regressions = append(w.regressions, fmt.Sprintf("%d after %d", l.Version, w.version))
		return
	}
	if l.Full {
		w.members = map[string]catalog.Member{}
	}
	for _, m := range l.Servers {
		if m.State == "gone" {
			delete(w.members, m.ID)
		} else {
			w.members[m.ID] = m
		}
	}
	w.version = l.Version
	w.received = append(w.received, receivedVersion{l.Version, time.Now()})
}

type receivedVersion struct {
	version    uint64
	receivedAt time.Time
}

// ReceivedAt returns when the Watcher first had version v or a later one.
func (w *Watcher) ReceivedAt(v uint64) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.received {
		if s.version >= v {
			return s.receivedAt, true
		}
	}
	return time.Time{}, false
}

// VersionAndCount is the version and the number of hosts that the watcher has.
func (w *Watcher) VersionAndCount() (uint64, int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version, len(w.members)
}

// HTTPAddrs are the addresses of some instances.
func (c *Cluster) HTTPAddrs(ids ...string) []string {
	var out []string
	for _, id := range ids {
		out = append(out, c.HTTPAddr[id])
	}
	return out
}

// Without is ids less one.
func Without(ids []string, drop string) []string {
	var out []string
	for _, id := range ids {
		if id != drop {
			out = append(out, id)
		}
	}
	return out
}

// ProcessUsage reads the resident memory of a process in kB and its open descriptors.
func ProcessUsage(pid int) (rssKB int, fds int) {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(b), "\n") {
		if f := strings.Fields(line); len(f) >= 2 && f[0] == "VmRSS:" {
			rssKB, _ = strconv.Atoi(f[1])
		}
	}
	ents, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return rssKB, len(ents)
}

// CommitMember writes one entry at addr and returns the version it was committed at.
func CommitMember(addr, id, body string) (uint64, bool) {
	req, _ := http.NewRequest("PUT", "http://"+addr+"/catalog/members/"+id, strings.NewReader(body))
	resp, err := client.Do(req)
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	var v struct{ Version uint64 }
	b, _ := io.ReadAll(resp.Body)
	return v.Version, resp.StatusCode == 200 && json.Unmarshal(b, &v) == nil && v.Version > 0
}

// VersionRegressions is the versions that the watcher saw go back; there should be none.
func (w *Watcher) VersionRegressions() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.regressions
}
