package catalog

import (
	"log/slog"
	"sync"
	"time"

	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
)

// logAndStableStore holds raft's log and its stable state (current term and vote).
type logAndStableStore interface {
	raft.LogStore
	raft.StableStore
}

// raftStorage persists raft's log and its stable state.
type raftStorage interface {
	logAndStableStore
	Close() error
}

func openBoltStorage(path string) (raftStorage, error) {
	return raftboltdb.New(raftboltdb.Options{Path: path})
}

const (
	initialRetryDelay = 10 * time.Millisecond  // delay before the first retry to save a term or vote
	maxRetryDelay     = 500 * time.Millisecond // maximum delay between two retries to save a term or vote
)

// retryingStorage wraps a raftStorage so that raft survives failed writes.
//
// Raft panics when it cannot save a term, so writes of terms and votes are retried until they
// succeed. Raft blocks meanwhile, which is safe because a term or vote takes effect only once it is saved.
// Raft handles a failed write of log entries itself: it returns an error and steps down. But a
// failed sync may leave the entries in the file, beyond the last index that raft knows of. If raft
// then wrote a shorter batch of a newer term over them, an entry of an older term would follow one
// of a newer term. Entries that a failed write may have left are therefore deleted before the next
// write.
type retryingStorage struct {
	raftStorage
	closing   chan struct{} // closed on shutdown
	closeOnce sync.Once

	mu            sync.Mutex
	uncertainFrom uint64 // index of the first entry that a failed write may have left; 0 if none
}

func newRetryingStorage(d raftStorage) *retryingStorage {
	return &retryingStorage{raftStorage: d, closing: make(chan struct{})}
}

// StoreLog implements raft.LogStore.
func (d *retryingStorage) StoreLog(entry *raft.Log) error { return d.StoreLogs([]*raft.Log{entry}) }

// StoreLogs implements raft.LogStore. If it fails, none of its entries remain once the next call
// succeeds.
func (d *retryingStorage) StoreLogs(entries []*raft.Log) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.removeUncertainEntries(); err != nil {
		return err
	}
	err := d.raftStorage.StoreLogs(entries)
	if err != nil && len(entries) > 0 {
		d.uncertainFrom = entries[0].Index
	}
	return err
}

// removeUncertainEntries deletes the entries that a failed write may have left. The caller holds
// d.mu.
func (d *retryingStorage) removeUncertainEntries() error {
	if d.uncertainFrom == 0 {
		return nil
	}
	last, err := d.LastIndex()
	if err != nil {
		return err
	}
	if last >= d.uncertainFrom {
		if err := d.raftStorage.DeleteRange(d.uncertainFrom, last); err != nil {
			return err
		}
	}
	d.uncertainFrom = 0
	return nil
}

// Set implements raft.StableStore. It retries until the value is saved and never returns an error.
func (d *retryingStorage) Set(key, value []byte) error {
	return d.retryUntilSaved(key, func() error { return d.raftStorage.Set(key, value) })
}

// SetUint64 implements raft.StableStore. It retries until the value is saved and never returns an
// error.
func (d *retryingStorage) SetUint64(key []byte, value uint64) error {
	return d.retryUntilSaved(key, func() error { return d.raftStorage.SetUint64(key, value) })
}

// retryUntilSaved calls save with exponential backoff until it succeeds. After stopRetries it blocks
// forever instead of returning an error.
func (d *retryingStorage) retryUntilSaved(key []byte, save func() error) error {
	firstFailure := time.Time{}
	for delay := initialRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		err := save()
		if err == nil {
			if !firstFailure.IsZero() {
				slog.Info("data folder takes writes again", "key", string(key), "after", time.Since(firstFailure).Round(time.Millisecond))
			}
			return nil
		}
		if firstFailure.IsZero() {
			firstFailure = time.Now()
			slog.Error("data folder takes no writes, trying again", "key", string(key), "err", err)
		}
		select {
		case <-time.After(delay):
		case <-d.closing:
			select {} // raft panics on an error, and the process is about to exit
		}
	}
}

// stopRetries ends all retries because the process is shutting down. Calls of Set and SetUint64 whose
// value is not saved then block forever.
func (d *retryingStorage) stopRetries() { d.closeOnce.Do(func() { close(d.closing) }) }
