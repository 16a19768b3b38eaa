package catalog

import (
	"bytes"
	"fmt"
	"log"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/raft"
)

// openCluster opens three instances on storages of their own.
func openCluster(t *testing.T) []*singleNodeCatalog {
	t.Helper()
	var peers []Peer
	for i := range 3 {
		peers = append(peers, Peer{ID: fmt.Sprint("c", i+1), RaftAddr: freeAddr(t), HTTPAddr: freeAddr(t)})
	}
	var cluster []*singleNodeCatalog
	for _, p := range peers {
		c := openNode(t, Options{ID: p.ID, DataDir: t.TempDir(), RaftAddr: p.RaftAddr, Peers: peers,
			HeartbeatTimeout: 500 * time.Millisecond}, &sync.Mutex{})
		t.Cleanup(c.close)
		cluster = append(cluster, c)
	}
	return cluster
}

// waitFor waits until condition holds.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	const timeout = 30 * time.Second
	for end := time.Now().Add(timeout); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", timeout, what)
		}
	}
}

// waitForLeader waits until one of the instances other than excluded is the leader, and returns it.
func waitForLeader(t *testing.T, cluster []*singleNodeCatalog, excluded *singleNodeCatalog) (leader *singleNodeCatalog) {
	t.Helper()
	waitFor(t, "a leader", func() bool {
		for _, c := range cluster {
			if c != excluded && c.node.raft.State() == raft.Leader {
				leader = c
			}
		}
		return leader != nil
	})
	return leader
}

// While a log write of the leader hangs, the other instances must elect a leader and take writes, and
// the instance must serve no list. Once the write returns, it must follow the new leader and serve no
// list without what was written meanwhile.
func TestPeersReplaceLeaderWhoseLogWriteHangs(t *testing.T) {
	cluster := openCluster(t)
	hung := waitForLeader(t, cluster, nil)
	hung.mustPut("s-1")
	hung.storage.stall.Lock()
	unlock := sync.OnceFunc(hung.storage.stall.Unlock)
	t.Cleanup(unlock) // before the instances are closed
	go hung.node.write(command{Op: opDelete, ID: "s-1"}, time.Minute)

	leader := waitForLeader(t, cluster, hung)
	leader.mustPut("s-2")
	for _, path := range []string{membersPath, membersPath + "?stream=1"} {
		if status, body := hung.get(path); status != http.StatusServiceUnavailable || !strings.Contains(body, "hangs") {
			t.Errorf("%s of the instance that hangs: %d %q", path, status, body)
		}
	}
	if _, body := hung.get("/catalog/status"); !strings.Contains(body, `"log_write_hangs_ms":`) {
		t.Errorf("status of the instance that hangs: %s", body)
	}
	if status := hung.put("s-3"); status != http.StatusServiceUnavailable {
		t.Errorf("a write to the instance that hangs: status %d", status)
	}

	unlock()
	waitFor(t, "a list of the instance that hung", func() bool { return hung.node.StaleReason() == "" })
	if _, found := hung.node.store.member("s-2"); !found {
		t.Error("the instance that hung serves its list without what was written meanwhile")
	}
	leader = waitForLeader(t, cluster, hung)
	leader.mustPut("s-4")
	waitFor(t, "the list of the leader on the instance that hung", func() bool {
		return hung.node.store.Version() == leader.node.store.Version() && hung.node.StaleReason() == ""
	})
	if _, body := hung.get("/catalog/status"); strings.Contains(body, "hangs") {
		t.Errorf("status after the hang: %s", body)
	}
}

// A write that returns within the limit must not count as hung. Hangs that overlap must be logged as
// one, by one line at its beginning and one at its end.
func TestHangIsReportedOnce(t *testing.T) {
	var lines bytes.Buffer
	defer log.SetOutput(log.Writer())
	log.SetOutput(&lines) // slog writes to it too
	hung, returned := make(chan struct{}, 2), make(chan struct{}, 2)
	hangUntil := func(d *hangDetector, release chan struct{}) {
		d.run(func() error { <-release; return nil })
		returned <- struct{}{}
	}
	for _, c := range []struct {
		limit time.Duration
		hangs bool
	}{{defaultHangLimit(50 * time.Millisecond), false}, {time.Millisecond, true}} {
		ends := 0
		d := &hangDetector{limit: c.limit}
		d.handle(func() { hung <- struct{}{} }, func() { ends++ })
		first, second := make(chan struct{}), make(chan struct{})
		go hangUntil(d, first)
		go hangUntil(d, second)
		if c.hangs {
			<-hung
			<-hung
		}
		close(first)
		<-returned
		if hangs := d.hungFor() > 0; hangs != c.hangs {
			t.Errorf("limit %v: hangs %v after the first of two writes has returned", c.limit, hangs)
		}
		close(second)
		<-returned
		lineCount := strings.Count(lines.String(), "\n")
		if c.hangs && (ends != 1 || lineCount != 2) || !c.hangs && ends+lineCount != 0 || d.hungFor() != 0 {
			t.Errorf("limit %v: %d ends, hung for %v, log:\n%s", c.limit, ends, d.hungFor(), &lines)
		}
	}
}

// A slow sync of a working disk must not count as hung, however short the election timeout is.
func TestSlowSyncIsNoHang(t *testing.T) {
	const slowSync = time.Second
	for _, heartbeat := range []time.Duration{0, 50 * time.Millisecond, 10 * time.Second} {
		opt := Options{HeartbeatTimeout: heartbeat}.withDefaults()
		if opt.hangLimit <= slowSync || opt.hangLimit < 2*opt.HeartbeatTimeout {
			t.Errorf("heartbeat timeout %v: a write hangs after %v", opt.HeartbeatTimeout, opt.hangLimit)
		}
	}
}

// A single instance whose log write hangs must report it and go on serving its list.
func TestSingleInstanceServesListWhileLogWriteHangs(t *testing.T) {
	c := openNode(t, Options{DataDir: t.TempDir(), RaftAddr: freeAddr(t), HeartbeatTimeout: 50 * time.Millisecond,
		hangLimit: 50 * time.Millisecond}, &sync.Mutex{})
	defer c.close()
	c.mustPut("s-1")
	c.storage.stall.Lock()
	go c.node.write(command{Op: opDelete, ID: "s-2"}, time.Minute)
	waitFor(t, "the report of the hang", func() bool { return c.node.status().HungWriteMS > 0 })
	if status, body := c.get(membersPath); status != http.StatusOK {
		t.Errorf("list while the log hangs: %d %q", status, body)
	}
	c.storage.stall.Unlock()
	c.mustPut("s-3")
	if hungMS := c.node.status().HungWriteMS; hungMS != 0 {
		t.Errorf("status after the hang: hung for %d ms", hungMS)
	}
}
