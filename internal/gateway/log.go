package gateway

import (
	"log/slog"
	"sync"
	"time"
)

// logInterval is the shortest time between two lines of a rateLimitedLog.
const logInterval = 100 * time.Millisecond

// rateLimitedLog limits the rate of log lines, so that the remote ends of connections (clients and
// callers of the operator address) cannot flood the log by what they send.
type rateLimitedLog struct {
	mu         sync.Mutex
	lastAt     time.Time // time of the last line written
	suppressed int       // lines suppressed since lastAt
}

// warn logs a line unless the last line was written less than logInterval ago.
func (l *rateLimitedLog) warn(msg string, args ...any) {
	if suppressed, ok := l.admit(); ok {
		slog.Warn(msg, append(args, suppressedKey, suppressed)...)
	}
}

// suppressedKey is the key under which a line states how many were suppressed before it.
const suppressedKey = "held_back"

// admit returns whether a line may be written now, and how many were suppressed before it.
func (l *rateLimitedLog) admit() (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.lastAt) < logInterval {
		l.suppressed++
		return 0, false
	}
	suppressed = l.suppressed
	l.lastAt, l.suppressed = time.Now(), 0
	return suppressed, true
}
