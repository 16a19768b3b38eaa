// Package requestids remembers the ids of requests that were sent to a host and whose clients have no answer
// yet, so that a request that comes again with such an id is not sent a second time. The processes of an upgrade
// share one table in a file. A table has a fixed size, whatever ids come.
package requestids

import (
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"
	"unsafe"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"
)

const (
	// keepTime is how long an id is remembered that nobody releases. It exceeds the longest time that a client
	// waits, after which it has no reason to send its request again.
	keepTime = 30 * time.Second

	buckets       = 4096
	bucketEntries = 4
	tableBytes    = buckets * bucketEntries * int(unsafe.Sizeof(entry{}))

	fileName = "sent-request-ids"
	fileMode = 0o600
)

// entry is an id in a table. Its fields are read and written atomically, by more than one process.
type entry struct {
	hash   uint64 // of the id; 0 if the entry is free
	heldAt int64  // Unix time in ns
}

// Table is a set of ids. It is safe for concurrent use. Where more ids are held than a bucket of it takes, the oldest
// one of the bucket is forgotten.
type Table struct {
	entries []entry
}

// New returns an empty table of this process.
func New() *Table { return &Table{entries: make([]entry, buckets*bucketEntries)} }

// Open returns the table in a file of the given folder, which it creates if it is not there. Processes that open the same
// folder share the table, which stays open until they exit.
func Open(folder string) (*Table, error) {
	file, err := os.OpenFile(filepath.Join(folder, fileName), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, fmt.Errorf("ids of requests: %w", err)
	}
	defer file.Close() // the mapping stays
	if err := file.Truncate(int64(tableBytes)); err != nil {
		return nil, fmt.Errorf("ids of requests: %w", err)
	}
	mapped, err := unix.Mmap(int(file.Fd()), 0, tableBytes, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		return nil, fmt.Errorf("ids of requests: map %s: %w", fileName, err)
	}
	return &Table{entries: unsafe.Slice((*entry)(unsafe.Pointer(&mapped[0])), buckets*bucketEntries)}, nil
}

// Hold adds an id and returns true, or returns false if the id is held already. Of two calls with the same id at the
// same time, in whichever processes, one at most returns true, and at times neither does.
func (t *Table) Hold(id string, now time.Time) bool {
	hash := hashOf(id)
	bucket := t.bucket(hash)
	if findHeld(bucket, hash, now, nil) != nil {
		return false
	}
	mine := takeOldest(bucket, hash, now)
	if findHeld(bucket, hash, now, mine) != nil { // by a call at the same time, which may have seen this one or not
		atomic.CompareAndSwapUint64(&mine.hash, hash, 0)
		return false
	}
	return true
}

// Release removes an id.
func (t *Table) Release(id string) {
	hash := hashOf(id)
	bucket := t.bucket(hash)
	for i := range bucket {
		atomic.CompareAndSwapUint64(&bucket[i].hash, hash, 0)
	}
}

// bucket returns the entries in which an id with the given hash may be.
func (t *Table) bucket(hash uint64) []entry {
	first := int(hash%buckets) * bucketEntries
	return t.entries[first : first+bucketEntries]
}

// findHeld returns the entry that holds the id with the given hash, other than the entry except, or nil.
func findHeld(bucket []entry, hash uint64, now time.Time, except *entry) *entry {
	for i := range bucket {
		e := &bucket[i]
		if e != except && atomic.LoadUint64(&e.hash) == hash && !e.expired(now) {
			return e
		}
	}
	return nil
}

// takeOldest writes the hash to a free entry of the bucket, or in place of the oldest one, and returns the entry.
func takeOldest(bucket []entry, hash uint64, now time.Time) *entry {
	for {
		oldest := &bucket[0]
		for i := range bucket {
			if e := &bucket[i]; e.age(now) > oldest.age(now) {
				oldest = e
			}
		}
		previous := atomic.LoadUint64(&oldest.hash)
		heldAt := atomic.LoadInt64(&oldest.heldAt)
		if atomic.CompareAndSwapInt64(&oldest.heldAt, heldAt, now.UnixNano()) &&
			atomic.CompareAndSwapUint64(&oldest.hash, previous, hash) {
			return oldest
		}
	}
}

// age returns how long ago an entry was taken, which is longest for a free one.
func (e *entry) age(now time.Time) time.Duration {
	if atomic.LoadUint64(&e.hash) == 0 {
		return time.Duration(1<<63 - 1)
	}
	return time.Duration(now.UnixNano() - atomic.LoadInt64(&e.heldAt))
}

// expired returns whether the id of an entry is no longer remembered.
func (e *entry) expired(now time.Time) bool { return e.age(now) > keepTime }

// hashOf returns the hash of an id, which is not 0.
func hashOf(id string) uint64 { return max(1, xxhash.Sum64String(id)) }
