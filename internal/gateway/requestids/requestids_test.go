package requestids

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

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
		var holders atomic.Int64
		var calls sync.WaitGroup
		for i := range 4 {
			calls.Go(func() {
				if tables[i%2].Hold(fmt.Sprint("id-", round), now) {
					holders.Add(1)
				}
			})
		}
		calls.Wait()
		if holders.Load() > 1 {
			t.Fatalf("round %d: %d calls hold the same id", round, holders.Load())
		}
		held += int(holders.Load())
	}
	if held < 1000 {
		t.Errorf("%d of 2000 ids were held", held)
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
	if !second.Hold("a", now.Add(keepTime+time.Nanosecond)) {
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
