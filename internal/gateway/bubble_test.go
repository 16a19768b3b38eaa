package gateway

import (
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// runInBubble runs f in a synctest bubble, one goroutine at a time.
//
// All timers of a bubble share one context of the race detector (raceCtx in runtime/time.go). With
// more than one processor, a goroutine that reads the channel of a timer that is due fires it
// beside the goroutine that advances the bubble's clock. The two then use that context at once,
// which ends the process with SIGSEGV or a failed check of ThreadSanitizer. One processor rules
// that out; the race detector still orders all accesses and the scheduler still picks at random.
func runInBubble(t *testing.T, f func(t *testing.T)) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, f)
}

// Tickers due at one instant are fired by the goroutines that read them. Unless the bubble runs one
// goroutine at a time, the race detector crashes within a few bubbles.
func TestBubbleFiresTimersOneAtATime(t *testing.T) {
	const (
		bubbles = 20
		readers = 64
		period  = time.Millisecond
	)
	for range bubbles {
		runInBubble(t, func(t *testing.T) {
			var running sync.WaitGroup
			defer running.Wait()
			for range readers {
				running.Go(func() { readTicker(period, 100) })
			}
		})
	}
}

// readTicker reads a ticker's channel once in each of count periods, without waiting for it.
func readTicker(period time.Duration, count int) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for range count {
		time.Sleep(period)
		select {
		case <-ticker.C:
		default:
		}
	}
}
