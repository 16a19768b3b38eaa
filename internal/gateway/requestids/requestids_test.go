package requestids

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

// holdAtOnce holds an id in four calls at the same time, half of them through each table, and returns how many of them
// hold it. More than one end the test.
func holdAtOnce(t *testing.T, tables [2]*Table, id string, now time.Time) int {
	t.Helper()
	var holders atomic.Int64
	var calls sync.WaitGroup
	for i := range 4 {
		calls.Go(func() {
			if tables[i%2].Hold(id, now) {
				holders.Add(1)
			}
		})
	}
	calls.Wait()
	if holders.Load() > 1 {
		t.Fatalf("%d calls hold the id %s", holders.Load(), id)
	}
	return int(holders.Load())
}

// Of many calls with one id at the same time, through two tables over one file as two processes have them, one at
// most holds it.
func TestOneOfManyHolds(t *testing.T) {
	folder := t.TempDir()
	tables := [2]*Table{}
	for i := range tables {
		var err error
		if tables[i], err = Open(folder); err != nil {
			t.Fatal(err)
		}
	}
	now := time.Now()
	held := 0
	for round := range 2000 {
		held += holdAtOnce(t, tables, fmt.Sprint("id-", round), now)
	}
	if held < 1000 {
		t.Errorf("%d of 2000 ids were held", held)
	}
}

// An id that comes in two calls at the same time, where its bucket is full of others, or of itself from long ago, is held
// by one of them at most. Each of them entered it in the same place and took the other's entry for its own.
func TestOneHoldsInFullBucket(t *testing.T) {
	now := time.Now()
	for name, fill := range map[string]func(id string, i int) (hash uint64, at time.Time){
		"of other ids": func(id string, i int) (uint64, time.Time) {
			return xxhash.Sum64String(id) + uint64(i+1)<<tickBits, now
		},
		"of the id itself": func(id string, _ int) (uint64, time.Time) {
			return xxhash.Sum64String(id), now.Add(-2 * keepTime)
		},
	} {
		t.Run(name, func(t *testing.T) {
			table, held := New(), 0
			for round := range 5000 {
				id := fmt.Sprint("id-", round)
				bucket := table.bucket(xxhash.Sum64String(id))
				for i := range bucket {
					bucket[i] = newEntry(fill(id, i))
				}
				held += holdAtOnce(t, [2]*Table{table, table}, id, now)
			}
			if held < 2500 {
				t.Errorf("%d of 5000 ids were held", held)
			}
		})
	}
}

// An id is held until it is released or keepTime has passed, by the other process too. Any number of ids takes no more
// than the table.
func TestHoldAndRelease(t *testing.T) {
	folder := t.TempDir()
	first, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	second, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	if !first.Hold("a", now) || first.Hold("a", now) || second.Hold("a", now.Add(keepTime)) {
		t.Error("an id that is held can be held again")
	}
	if !second.Hold("b", now) {
		t.Error("another id cannot be held")
	}
	second.Release("a")
	if !first.Hold("a", now) {
		t.Error("a released id cannot be held")
	}
	if !second.Hold("a", now.Add(keepTime+tick)) {
		t.Error("an old id cannot be held")
	}
	for i := range 10 * len(first.entries) {
		if !first.Hold(fmt.Sprint("flood-", i), now.Add(time.Duration(i))) {
			t.Fatalf("id %d of many cannot be held", i)
		}
	}
	if _, err := Open(folder + "/missing"); err == nil {
		t.Error("a folder that is not there can be opened")
	}
}
