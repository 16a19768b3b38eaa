package catalog

import (
	"errors"
	"sync/atomic"

	"github.com/hashicorp/raft"
)

// logReplay tells whether the list has caught up with the log that this instance started with. Raft
// applies that log only once a leader has committed an entry of its own, so until then the list is that
// of the last snapshot, or empty, although raft already has a leader.
type logReplay struct {
	log             raft.LogStore
	firstIndex      uint64   // first log entry beyond the snapshot that raft restores at its start
	lastCommand     raft.Log // the last command in the log at the start, beyond the last snapshot; Index 0 if there is none
	initialRestores int      // restores of a snapshot that raft makes at its start
	done            atomic.Bool
}

// newLogReplay must be called before raft starts.
func newLogReplay(log raft.LogStore, snapshots raft.SnapshotStore) (*logReplay, error) {
	r := &logReplay{log: log}
	list, err := snapshots.List()
	if err != nil {
		return nil, err
	}
	snapshotIndex := uint64(0)
	if len(list) > 0 {
		snapshotIndex = list[0].Index
		r.initialRestores = 1
	}
	last, err := log.LastIndex()
	if err != nil {
		return nil, err
	}
	r.firstIndex = snapshotIndex + 1
	r.lastCommand, err = lastCommand(log, r.firstIndex, last)
	return r, err
}

// lastCommand returns the last command among the log entries from first to last, or an entry with Index
// 0 if there is none.
func lastCommand(log raft.LogStore, first, last uint64) (raft.Log, error) {
	for index := last; index >= first; index-- {
		var entry raft.Log
		if err := log.GetLog(index, &entry); err != nil {
			return raft.Log{}, err
		}
		if entry.Type == raft.LogCommand {
			return entry, nil
		}
	}
	return raft.Log{}, nil
}

// finished reports whether the store has applied the last command or has restored a snapshot of a
// leader, or whether a leader has removed the command because it was not committed.
func (r *logReplay) finished(store *Store) bool {
	if r.done.Load() {
		return true
	}
	appliedIndex, restores := store.progress()
	if appliedIndex < r.lastCommand.Index && restores <= r.initialRestores && !r.lastCommandRemoved() {
		return false
	}
	r.done.Store(true)
	return true
}

// lastCommandRemoved reports whether the log no longer holds the last command.
func (r *logReplay) lastCommandRemoved() bool {
	var entry raft.Log
	err := r.log.GetLog(r.lastCommand.Index, &entry)
	return errors.Is(err, raft.ErrLogNotFound) || err == nil && entry.Term != r.lastCommand.Term
}
