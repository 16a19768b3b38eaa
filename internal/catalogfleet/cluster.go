// Package catalogfleet starts catalog clusters on the loopback interface, injects network faults
// between their instances and watches their lists as gateways do. It serves the tests of the catalog
// and the experiments of the fleet lab.
package catalogfleet

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

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
