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

// warn logs a line unless the last line was written less than logInterval ago. Under the key held_back,
// the line states how many were suppressed before it.
func (l *rateLimitedLog) warn(msg string, args ...any) {
	l.mu.Lock()
	if time.Since(l.lastAt) < logInterval {
		l.suppressed++
		l.mu.Unlock()
		return
	}
	suppressed := l.suppressed
	l.lastAt, l.suppressed = time.Now(), 0
	l.mu.Unlock()
	slog.Warn(msg, append(args, "held_back", suppressed)...)
}
