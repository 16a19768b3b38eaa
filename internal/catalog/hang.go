package catalog

import (
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

// hangDetector watches the writes to raft's storage and reports those that hang: writes that have been
// running for limit without an error. It logs one line when the first write hangs and one when none
// hangs any more.
type hangDetector struct {
	limit time.Duration

	mu         sync.Mutex
	hungWrites int       // running writes that hang
	hungSince  time.Time // start of the first of them
	onHang     func()    // called for each write that hangs, or nil; must not block
	onReturn   func()    // called when no write hangs any more, or nil; must not block
}

// handle sets the functions that hangs are reported to. If a write hangs already, it calls onHang.
func (d *hangDetector) handle(onHang, onReturn func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.onHang, d.onReturn = onHang, onReturn
	if d.hungWrites > 0 {
		onHang()
	}
}

// hungFor returns how long the write that hangs has been running, or 0 if none hangs.
func (d *hangDetector) hungFor() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.hungWrites == 0 {
		return 0
	}
	return time.Since(d.hungSince)
}

// watchedWrite is one write that a hangDetector watches. The mutex of the detector guards its fields.
type watchedWrite struct {
	start          time.Time
	hung, returned bool
}

// run runs a write, watches it and returns its error.
func (d *hangDetector) run(write func() error) error {
	w := &watchedWrite{start: time.Now()}
	timer := time.AfterFunc(d.limit, func() { d.limitReached(w) })
	err := write()
	if !timer.Stop() {
		d.returned(w)
	}
	return err
}

// limitReached records that a write has been running for the limit.
func (d *hangDetector) limitReached(w *watchedWrite) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if w.returned {
		return
	}
	w.hung = true
	d.hungWrites++
	if d.hungWrites == 1 {
		d.hungSince = w.start
		slog.Error("write to the data folder hangs", "for", d.limit)
	}
	if d.onHang != nil {
		d.onHang()
	}
}

// returned records that a write has returned after its timer fired.
func (d *hangDetector) returned(w *watchedWrite) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w.returned = true
	if !w.hung {
		return
	}
	d.hungWrites--
	if d.hungWrites > 0 {
		return
	}
	slog.Info("write to the data folder hangs no longer", "after", time.Since(d.hungSince).Round(time.Millisecond))
	if d.onReturn != nil {
		d.onReturn()
	}
}

// watchStorage returns a function that opens a storage with open and watches its writes.
func (d *hangDetector) watchStorage(open func(path string) (raftStorage, error)) func(path string) (raftStorage, error) {
	return func(path string) (raftStorage, error) {
		storage, err := open(path)
		if err != nil {
			return nil, err
		}
		return &watchedStorage{storage, d}, nil
	}
}

// watchedStorage is a raftStorage whose writes are watched by a hangDetector.
type watchedStorage struct {
	raftStorage
	detector *hangDetector
}

// StoreLog implements raft.LogStore.
func (s *watchedStorage) StoreLog(entry *raft.Log) error { return s.StoreLogs([]*raft.Log{entry}) }

// StoreLogs implements raft.LogStore.
func (s *watchedStorage) StoreLogs(entries []*raft.Log) error {
	return s.detector.run(func() error { return s.raftStorage.StoreLogs(entries) })
}

// DeleteRange implements raft.LogStore.
func (s *watchedStorage) DeleteRange(from, to uint64) error {
	return s.detector.run(func() error { return s.raftStorage.DeleteRange(from, to) })
}

// Set implements raft.StableStore.
func (s *watchedStorage) Set(key, value []byte) error {
	return s.detector.run(func() error { return s.raftStorage.Set(key, value) })
}

// SetUint64 implements raft.StableStore.
func (s *watchedStorage) SetUint64(key []byte, value uint64) error {
	return s.detector.run(func() error { return s.raftStorage.SetUint64(key, value) })
}

// handleHang cuts a leader off from its peers, so that they elect another one. Raft itself would keep
// the leadership: it sends heartbeats from goroutines that do not write to the log, and cannot step
// down while its main goroutine waits for the write. To the peers the cut is a network partition,
// which raft allows at any time.
func (n *Node) handleHang() {
	if n.hasPeers() && n.raft.State() == raft.Leader {
		n.raftConns.isolate()
	}
}

// handleReturn connects the instance with its peers again. Its list stays out of date until
// catchUpAfterHang returns.
func (n *Node) handleReturn() {
	term := n.raft.CurrentTerm()
	if !n.raftConns.rejoin() {
		return
	}
	n.pendingCatchUps.Add(1)
	go func() {
		defer n.pendingCatchUps.Add(-1)
		n.catchUpAfterHang(term)
	}()
}

// catchUpPollInterval is the interval at which catchUpAfterHang looks for applied entries.
const catchUpPollInterval = 10 * time.Millisecond

// catchUpAfterHang waits until the list may be served again by an instance that led the given term when
// its write hung. Raft still takes itself for the leader at first, and after it has stepped down it may
// have contact with a new leader for seconds before it gets entries: leaders send heartbeats at once,
// but entries only after a delay that grows up to 10 s with the failures. The list may be served once a
// quorum confirms the leadership, or once an entry of a later term is applied, with which every leader
// begins.
func (n *Node) catchUpAfterHang(term uint64) {
	_, restores := n.store.progress()
	if n.raft.VerifyLeader().Error() == nil {
		return
	}
	for n.raft.State() != raft.Shutdown && !n.appliedLaterTerm(term, restores) {
		time.Sleep(catchUpPollInterval)
	}
}

// appliedLaterTerm reports whether the list holds all commands up to an entry of a term later than the
// given one, or was restored from a snapshot of a leader since there were the given number of restores.
func (n *Node) appliedLaterTerm(term uint64, restores int) bool {
	appliedIndex, currentRestores := n.store.progress()
	if currentRestores > restores {
		return true
	}
	index := n.raft.AppliedIndex() // may be ahead of the store
	var entry raft.Log
	if err := n.storage.GetLog(index, &entry); err != nil || entry.Term <= term {
		return false
	}
	first, err := n.storage.FirstIndex()
	if err != nil {
		return false
	}
	command, err := lastCommand(n.storage, max(first, n.replay.firstIndex), index)
	return err == nil && appliedIndex >= command.Index
}

// hangReason returns why a hang makes the list of this instance out of date, or "". The list of a
// single instance is never out of date: no other instance can change it.
func (n *Node) hangReason() string {
	if !n.hasPeers() {
		return ""
	}
	if hungFor := n.hangs.hungFor(); hungFor > 0 {
		return fmt.Sprintf("write to the data folder hangs for %v", hungFor.Round(time.Millisecond))
	}
	if n.pendingCatchUps.Load() > 0 {
		return "not caught up yet after a hang of the data folder"
	}
	return ""
}
