package catalog

import (
	"log/slog"
	"sync"
	"time"

	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
)

// disk keeps raft's log and what else it has to remember, in a file.
type disk interface {
	raft.LogStore
	raft.StableStore
	Close() error
}

func openBolt(path string) (disk, error) { return raftboltdb.New(raftboltdb.Options{Path: path}) }

const (
	firstRetry = 10 * time.Millisecond // after a term or vote that could not be saved
	mostRetry  = 500 * time.Millisecond
)

// enduringDisk is a disk whose failing writes raft outlives.
//
// Raft ends the process when it cannot save a term, so terms and votes are written again until
// they are saved; raft waits meanwhile, which is safe, as a term or vote counts only once it is
// saved. A log entry that fails is raft's to handle: it answers an error and steps down. But a
// sync that failed may have left the entry in the file, behind the end that raft knows of.
// Were raft to write a shorter batch of a newer term over it, an entry of an older term would
// stand behind one of a newer; so what a failed write may have left is removed before the next.
type enduringDisk struct {
	disk
	closing chan struct{} // closed when the node ends
	once    sync.Once

	mu       sync.Mutex
	leftFrom uint64 // entries from here on may have been left by a write that failed; 0: none
}

func newEnduringDisk(d disk) *enduringDisk {
	return &enduringDisk{disk: d, closing: make(chan struct{})}
}

// StoreLog writes one entry.
func (d *enduringDisk) StoreLog(entry *raft.Log) error { return d.StoreLogs([]*raft.Log{entry}) }

// StoreLogs writes entries; after an error none of them will be there.
func (d *enduringDisk) StoreLogs(entries []*raft.Log) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.removeLeft(); err != nil {
		return err
	}
	err := d.disk.StoreLogs(entries)
	if err != nil && len(entries) > 0 {
		d.leftFrom = entries[0].Index
	}
	return err
}

// removeLeft removes what a failed write may have left; d.mu is held.
func (d *enduringDisk) removeLeft() error {
	if d.leftFrom == 0 {
		return nil
	}
	last, err := d.LastIndex()
	if err != nil {
		return err
	}
	if last >= d.leftFrom {
		if err := d.disk.DeleteRange(d.leftFrom, last); err != nil {
			return err
		}
	}
	d.leftFrom = 0
	return nil
}

// Set saves a value, however often that takes.
func (d *enduringDisk) Set(key, value []byte) error {
	return d.untilSaved(key, func() error { return d.disk.Set(key, value) })
}

// SetUint64 saves a number, however often that takes.
func (d *enduringDisk) SetUint64(key []byte, value uint64) error {
	return d.untilSaved(key, func() error { return d.disk.SetUint64(key, value) })
}

func (d *enduringDisk) untilSaved(key []byte, save func() error) error {
	failed := time.Time{}
	for wait := firstRetry; ; wait = min(2*wait, mostRetry) {
		err := save()
		if err == nil {
			if !failed.IsZero() {
				slog.Info("data folder takes writes again", "key", string(key), "after", time.Since(failed).Round(time.Millisecond))
			}
			return nil
		}
		if failed.IsZero() {
			failed = time.Now()
			slog.Error("data folder takes no writes, trying again", "key", string(key), "err", err)
		}
		select {
		case <-time.After(wait):
		case <-d.closing:
			select {} // raft would panic on an error; the process ends without it
		}
	}
}

// giveUp ends all retries, as the process ends.
func (d *enduringDisk) giveUp() { d.once.Do(func() { close(d.closing) }) }
