// Package requestids remembers the ids of requests that were sent to a host and may have run, so that a request that comes
// again with such an id is not sent a second time. The processes of an upgrade
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
	bucketEntries = 8
	tableBytes    = buckets * bucketEntries * int(unsafe.Sizeof(entry(0)))

	fileName = "sent-request-ids"
	fileMode = 0o600
)

// entry is an id in a table: a hash of it in the upper bits, and the tick at which it was entered in the lower ones.
// It is one word, so that a single atomic operation, in whichever process, enters or removes an id. 0 is a free entry.
type entry uint64

const (
	tick     = time.Millisecond // unit of the time in an entry
	tickBits = 24
	tickMask = 1<<tickBits - 1
	// tickSignShift moves the sign of a difference of ticks, which wrap, to that of an int32.
	tickSignShift = 32 - tickBits
)

// newEntry returns the entry of an id with the given hash that is entered now.
func newEntry(hash uint64, now time.Time) entry {
	ticks := uint64(now.UnixNano()/int64(tick)) & tickMask
	return entry(max(1, hash>>tickBits)<<tickBits | ticks)
}

// sameID returns whether two entries, of one bucket, are of the same id.
func (e entry) sameID(other entry) bool { return e>>tickBits == other>>tickBits }

// age returns how long before the entry now this one was entered. It is negative if that was later, as another call may
// have taken its time before, or the clock was stepped.
func (e entry) age(now entry) time.Duration {
	ticks := int32(uint32(now-e)<<tickSignShift) >> tickSignShift
	return time.Duration(ticks) * tick
}

// remembered returns whether the id of an entry still counts.
func (e entry) remembered(now entry) bool { return e != 0 && e.age(now).Abs() <= keepTime }

// load reads an entry that other calls and processes may change.
func (e *entry) load() entry { return entry(atomic.LoadUint64((*uint64)(e))) }

// replace changes an entry from old to new, and returns false if it is no longer old.
func (e *entry) replace(old, new entry) bool {
	return atomic.CompareAndSwapUint64((*uint64)(e), uint64(old), uint64(new))
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
	hash := xxhash.Sum64String(id)
	bucket := t.bucket(hash)
	added := newEntry(hash, now)
	slot := enter(bucket, added)
	if slot == nil {
		return false
	}
	// A call at the same time may have taken another slot before this one was visible to it. Each of the two looks
	// for the other after its own id is in the table, so that one at least finds the other.
	if findHeld(bucket, added, slot) {
		slot.replace(added, 0)
		return false
	}
	return true
}

// Release removes an id.
func (t *Table) Release(id string) {
	hash := xxhash.Sum64String(id)
	released := newEntry(hash, time.Time{})
	bucket := t.bucket(hash)
	for i := range bucket {
		if held := bucket[i].load(); held.sameID(released) {
			bucket[i].replace(held, 0)
		}
	}
}

// bucket returns the entries in which an id with the given hash may be.
func (t *Table) bucket(hash uint64) []entry {
	first := int(hash%buckets) * bucketEntries
	return t.entries[first : first+bucketEntries]
}

// findHeld returns whether the id of added is held in a slot of the bucket other than except.
func findHeld(bucket []entry, added entry, except *entry) bool {
	for i := range bucket {
		held := bucket[i].load()
		if &bucket[i] != except && held.sameID(added) && held.remembered(added) {
			return true
		}
	}
	return false
}

// enter writes an entry to a free slot of the bucket, or in place of the oldest entry, and returns the slot. It returns
// nil if the id is held already.
func enter(bucket []entry, added entry) *entry {
	for {
		if findHeld(bucket, added, nil) {
			return nil
		}
		slot, previous := oldestSlot(bucket, added)
		if previous.sameID(added) && previous.remembered(added) {
			return nil // entered by a call at the same time
		}
		if slot.replace(previous, added) {
			return slot
		}
	}
}

// oldestSlot returns the first slot of a bucket without an id that is remembered, or the one with the oldest id, and what
// it holds.
func oldestSlot(bucket []entry, now entry) (slot *entry, held entry) {
	for i := range bucket {
		next := bucket[i].load()
		if !next.remembered(now) {
			return &bucket[i], next
		}
		if slot == nil || next.age(now) > held.age(now) {
			slot, held = &bucket[i], next
		}
	}
	return slot, held
}
