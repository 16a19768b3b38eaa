package gatewaytest

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// RunInBubble runs f in a synctest bubble, one goroutine at a time.
//
// All timers of a bubble share one context of the race detector (raceCtx in runtime/time.go). With
// more than one processor, a goroutine that reads the channel of a timer that is due fires it
// beside the goroutine that advances the bubble's clock. The two then use that context at once,
// which ends the process with SIGSEGV or a failed check of ThreadSanitizer. One processor rules
// that out; the race detector still orders all accesses and the scheduler still picks at random.
func RunInBubble(t *testing.T, f func(t *testing.T)) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, f)
}
