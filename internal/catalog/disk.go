package catalog

import (
	"log/slog"
	"sync"
	"time"

	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
)

// raftStorage keeps raft's log and what else it has to remember, in a file.
type raftStorage interface {
	raft.LogStore
	raft.StableStore
	Close() error
}

func openBoltStorage(path string) (raftStorage, error) {
	return raftboltdb.New(raftboltdb.Options{Path: path})
}

const (
	initialRetryDelay = 10 * time.Millisecond // after a term or vote that could not be saved
	maxRetryDelay     = 500 * time.Millisecond
)

// retryingStorage is a disk whose failing writes raft outlives.
//
// Raft ends the process when it cannot save a term, so terms and votes are written again until
// they are saved; raft waits meanwhile, which is safe, as a term or vote counts only once it is
// saved. A log entry that fails is raft's to handle: it answers an error and steps down. But a
// sync that failed may have left the entry in the file, behind the end that raft knows of.
// Were raft to write a shorter batch of a newer term over it, an entry of an older term would
// stand behind one of a newer; so what a failed write may have left is removed before the next.
type retryingStorage struct {
	raftStorage
	closing   chan struct{} // closed when the node ends
	closeOnce sync.Once

	mu            sync.Mutex
	uncertainFrom uint64 // entries from here on may have been left by a write that failed; 0: none
}

func newRetryingStorage(d raftStorage) *retryingStorage {
	return &retryingStorage{raftStorage: d, closing: make(chan struct{})}
}

// StoreLog writes one entry.
func (d *retryingStorage) StoreLog(entry *raft.Log) error { return d.StoreLogs([]*raft.Log{entry}) }

// StoreLogs writes entries; after an error none of them will be there.
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

// removeUncertainEntries removes what a failed write may have left; d.mu is held.
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

// Set saves a value, however often that takes.
func (d *retryingStorage) Set(key, value []byte) error {
	return d.retryUntilSaved(key, func() error { return d.raftStorage.Set(key, value) })
}

// SetUint64 saves a number, however often that takes.
func (d *retryingStorage) SetUint64(key []byte, value uint64) error {
	return d.retryUntilSaved(key, func() error { return d.raftStorage.SetUint64(key, value) })
}

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
			select {} // raft would panic on an error; the process ends without it
		}
	}
}

// stopRetries ends all retries, as the process ends.
func (d *retryingStorage) stopRetries() { d.closeOnce.Do(func() { close(d.closing) }) }
