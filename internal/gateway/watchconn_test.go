package gateway

import (
	"testing"
	"testing/synctest"
)

// Two waits for the loop may finish in either order. The one that began first covers fewer reads and
// must not undo what the other has recorded.
func TestAppliedReadsNeverDecrease(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		releases := make(chan chan struct{})
		c := &watchConn{syncLists: func() {
			release := make(chan struct{})
			releases <- release
			<-release
		}}
		readDelayedList := func() (release chan struct{}) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.delayedReads++
			c.noteListsPassed()
			return <-releases
		}
		first, second := readDelayedList(), readDelayedList()
		close(second)
		synctest.Wait()
		close(first)
		synctest.Wait()
		if c.appliedReads != c.delayedReads {
			t.Errorf("%d of %d delayed reads count as applied", c.appliedReads, c.delayedReads)
		}
	})
}
