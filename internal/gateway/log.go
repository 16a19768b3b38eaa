package gateway

import (
	"log/slog"
	"sync"
	"time"
)

// logInterval is the shortest time between two lines of a rateLimitedLog.
const logInterval = 100 * time.Millisecond

// rateLimitedLog limits the rate of log lines, so that what peers send cannot flood the log.
type rateLimitedLog struct {
	mu         sync.Mutex
	lastAt     time.Time // time of the last line
	suppressed int       // lines suppressed since then
}

// warn logs a line unless the last one was less than logInterval ago.
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
