package gatewaytest

import (
	"sync"
	"testing"
	"time"
)

// Tickers due at one instant are fired by the goroutines that read them. Unless the bubble runs one
// goroutine at a time, the race detector crashes within a few bubbles.
func TestBubbleFiresTimersOneAtATime(t *testing.T) {
	const (
		bubbles = 20
		readers = 64
		period  = time.Millisecond
	)
	for range bubbles {
		RunInBubble(t, func(t *testing.T) {
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
