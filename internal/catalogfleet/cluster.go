// Package catalogfleet starts catalog clusters on the loopback interface, injects network faults
// between their instances and watches their lists as gateways do. It serves the tests of the catalog
// and the experiments of the fleet lab.
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

	"bramblelock/internal/catalog"
	"bramblelock/internal/faultnet"
)

// FailureReporter receives the failures of a Cluster. A *testing.T implements it. Fatalf must not
// return.
type FailureReporter interface {
	Helper()
	Fatalf(format string, args ...any)
}

// Cluster is a set of catalog processes whose raft connections each pass through a faultnet link. A
// failure to start a process or to find an address is passed to its FailureReporter.
type Cluster struct {
	reporter  FailureReporter
	binary    string // path of the catalog binary
	dataDir   string
	IDs       []string                  // raft ids of the instances: c1, c2 and so on
	raftAddr  map[string]string         // address on which raft listens by instance id
	HTTPAddr  map[string]string         // address of the HTTP server by instance id
	Mesh      *faultnet.Mesh            // raft links between the instances
	Processes map[string]*faultnet.Proc // process of the latest start by instance id
	extraArgs []string                  // added to the command line of each instance
}

// NewCluster starts instanceCount instances of the catalog binary with their data folders below
// dataDir. It does not wait for a leader. extraArgs are added to the command line of each instance.
func NewCluster(reporter FailureReporter, binary, dataDir string, instanceCount int, extraArgs ...string) *Cluster {
	c := &Cluster{reporter: reporter, binary: binary, dataDir: dataDir, raftAddr: map[string]string{}, HTTPAddr: map[string]string{},
		Processes: map[string]*faultnet.Proc{}, extraArgs: extraArgs}
	if err := os.MkdirAll(dataDir, 0o755); err != nil {
		reporter.Fatalf("%v", err)
	}
	for i := 1; i <= instanceCount; i++ {
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

// Close kills the instances and closes the links. If logf is not nil, it receives the end of each log.
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

// tail returns the last maxBytes bytes of text.
func tail(text string, maxBytes int) string {
	if len(text) > maxBytes {
		return text[len(text)-maxBytes:]
	}
	return text
}

// FreeAddr returns a loopback address that was free when it was chosen.
func FreeAddr(reporter FailureReporter) string {
	addr, err := faultnet.FreeAddr()
	if err != nil {
		reporter.Fatalf("%v", err)
	}
	return addr
}

// Start starts one instance, or restarts it on its existing data folder. A previous process of the
// instance must have ended.
func (c *Cluster) Start(id string) {
	var peers, dialOverrides []string
	for _, peerID := range c.IDs {
		peers = append(peers, peerID+"="+c.raftAddr[peerID]+"/"+c.HTTPAddr[peerID])
		if peerID != id {
			dialOverrides = append(dialOverrides, c.raftAddr[peerID]+"="+c.Mesh.Link(id, peerID).Addr)
		}
	}
	args := append([]string{"-id", id, "-data", c.dataDir + "/" + id, "-raft", c.raftAddr[id], "-http", c.HTTPAddr[id],
		"-peers", strings.Join(peers, ","), "-via", strings.Join(dialOverrides, ","),
		"-heartbeat", "200ms", "-stale-after", "1s"}, c.extraArgs...)
	p, err := faultnet.Start(c.dataDir, id, c.binary, args)
	if err != nil {
		c.reporter.Fatalf("%v", err)
	}
	c.Processes[id] = p
}

// FetchStatus fetches the status of the instance at the HTTP address addr, within 1 s.
func FetchStatus(addr string) (catalog.Status, error) {
	var status catalog.Status
	statusClient := http.Client{Timeout: time.Second}
	resp, err := statusClient.Get("http://" + addr + "/catalog/status")
	if err != nil {
		return status, err
	}
	defer resp.Body.Close()
	return status, json.NewDecoder(resp.Body).Decode(&status)
}

// WaitForLeader waits until one of the given instances reports that it is the leader, and returns its
// id. Without ids it considers all instances. It reports a failure after 300 rounds of status calls
// with pauses of 50 ms.
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
	c.reporter.Fatalf("no leader elected among %v within 15 s", ids)
	return ""
}

var httpClient = &http.Client{Timeout: 10 * time.Second}

// PutMember writes one entry through the instance at addr, with a body in the form of catalog.Patch.
// It returns the HTTP status code, or 0 if there was no answer within 10 s.
func PutMember(addr, id, body string) int {
	req, _ := http.NewRequest("PUT", "http://"+addr+"/catalog/members/"+id, strings.NewReader(body))
	resp, err := httpClient.Do(req)
	if err != nil {
		return 0
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return resp.StatusCode
}

// FetchList fetches the list of the instance at addr. The returned HTTP status code is 0 if there was
// no answer within 10 s; the list is empty unless it is 200.
func FetchList(addr string) (catalog.List, int) {
	var l catalog.List
	resp, err := httpClient.Get("http://" + addr + "/catalog/members")
	if err != nil {
		return l, 0
	}
	defer resp.Body.Close()
	if resp.StatusCode == 200 {
		json.NewDecoder(resp.Body).Decode(&l)
	}
	return l, resp.StatusCode
}

// Watcher watches the list as a gateway does. When a watch ends, it resumes from its version at the
// next address after 20 to 100 ms. It records every version that is lower than the one before it.
type Watcher struct {
	Addrs       []string // instances to watch, used in turn
	mu          sync.Mutex
	received    []receivedVersion         // each received version and its time of receipt
	version     uint64                    // version of the list in members; 0 before the first message
	members     map[string]catalog.Member // by host id
	regressions []string                  // descriptions of the versions that were lower than the one before
}

// Run watches the list until ctx ends. It starts at a random address. It must be called only
// once.
func (w *Watcher) Run(ctx context.Context) {
	w.members = map[string]catalog.Member{}
	watchClient := http.Client{}
	for i := rand.N(len(w.Addrs)); ctx.Err() == nil; i++ {
		w.mu.Lock()
		url := fmt.Sprintf("http://%s/catalog/members?stream=1&index=%d", w.Addrs[i%len(w.Addrs)], w.version)
		w.mu.Unlock()
		req, _ := http.NewRequestWithContext(ctx, "GET", url, nil)
		resp, err := watchClient.Do(req)
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

// apply merges one message of the protocol into the list. A message with a version lower than the
// list's is only recorded.
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

// receivedVersion is a version of the list and when the watcher received it.
type receivedVersion struct {
	version    uint64
	receivedAt time.Time
}

// ReceivedAt returns when the watcher first received the given version or a later one, and whether it
// has received one.
func (w *Watcher) ReceivedAt(version uint64) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, entry := range w.received {
		if entry.version >= version {
			return entry.receivedAt, true
		}
	}
	return time.Time{}, false
}

// VersionAndCount returns the version of the watcher's list and its number of hosts.
func (w *Watcher) VersionAndCount() (uint64, int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version, len(w.members)
}

// HTTPAddrs returns the addresses of the HTTP servers of the given instances.
func (c *Cluster) HTTPAddrs(ids ...string) []string {
	var out []string
	for _, id := range ids {
		out = append(out, c.HTTPAddr[id])
	}
	return out
}

// Without returns ids without the excluded one.
func Without(ids []string, excluded string) []string {
	var out []string
	for _, id := range ids {
		if id != excluded {
			out = append(out, id)
		}
	}
	return out
}

// ProcessUsage returns the resident memory of a process in kB and its number of open descriptors. A
// figure that cannot be read is 0.
func ProcessUsage(pid int) (rssKB int, descriptorCount int) {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(b), "\n") {
		if f := strings.Fields(line); len(f) >= 2 && f[0] == "VmRSS:" {
			rssKB, _ = strconv.Atoi(f[1])
		}
	}
	descriptors, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return rssKB, len(descriptors)
}

// CommitMember writes one entry through the instance at addr, with a body in the form of
// catalog.Patch. It returns the version at which the entry was committed and whether the commit was
// confirmed. An unconfirmed write may still commit.
func CommitMember(addr, id, body string) (uint64, bool) {
	req, _ := http.NewRequest("PUT", "http://"+addr+"/catalog/members/"+id, strings.NewReader(body))
	resp, err := httpClient.Do(req)
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	var v struct{ Version uint64 }
	b, _ := io.ReadAll(resp.Body)
	return v.Version, resp.StatusCode == 200 && json.Unmarshal(b, &v) == nil && v.Version > 0
}

// VersionRegressions describes each version that was lower than the one before it. A correct catalog
// causes none.
func (w *Watcher) VersionRegressions() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.regressions
}
