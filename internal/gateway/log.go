package gateway

import (
	"log/slog"
	"sync"
	"time"
)

// logEvery is the least time between two lines of a limitedLog.
const logEvery = 100 * time.Millisecond

// limitedLog logs a line now and then, so that what peers send cannot flood the log.
type limitedLog struct {
	mu   sync.Mutex
	at   time.Time // of the last line
	held int       // lines held back since
}

// warn logs a line unless the last one was just now.
func (l *limitedLog) warn(msg string, args ...any) {
	l.mu.Lock()
	if time.Since(l.at) < logEvery {
		l.held++
		l.mu.Unlock()
		return
	}
	held := l.held
	l.at, l.held = time.Now(), 0
	l.mu.Unlock()
	slog.Warn(msg, append(args, "held_back", held)...)
}
