// Package listener keeps a server accepting connections when accept fails temporarily.
package listener

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"
)

const (
	minRetryPause = time.Millisecond       // pause after the second failure in a row; the first is retried at once
	maxRetryPause = 200 * time.Millisecond // longest pause: each further failure doubles the pause up to this
	logInterval   = time.Second            // minimum time between two log lines about failures
)

// Retrying is a net.Listener whose Accept returns an error only once it has been closed. On Linux,
// accept also returns network errors that were already pending on the new connection, and a shortage
// of descriptors, buffers or memory is temporary; neither means that the listening socket is broken.
// A socket that is in fact broken is not told apart: Accept retries it until it is closed.
// Failures are logged at most once per second. Accept is retried at once after a first failure, and
// after a pause that grows from 1 to 200 ms while it keeps failing.
type Retrying struct {
	net.Listener
	name string // name of the listener in the log

	closeOnce sync.Once
	closed    chan struct{} // closed by Close

	mu         sync.Mutex
	lastLogged time.Time
	failures   int // failed accepts since the last log line
}

// NewRetrying returns a Retrying that wraps ln and appears in the log under name.
func NewRetrying(ln net.Listener, name string) *Retrying {
	return &Retrying{Listener: ln, name: name, closed: make(chan struct{})}
}

// Accept returns the next connection, or an error that wraps net.ErrClosed after Close.
func (l *Retrying) Accept() (net.Conn, error) {
	for pause := time.Duration(0); ; pause = min(max(minRetryPause, 2*pause), maxRetryPause) {
		conn, err := l.Listener.Accept()
		if err == nil {
			return conn, nil
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		l.logFailure(err)
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(pause):
		}
	}
}

// logFailure counts a failure and logs it, at most once per logInterval.
func (l *Retrying) logFailure(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures++
	if now := time.Now(); now.Sub(l.lastLogged) >= logInterval {
		slog.Warn("accept failed, trying again", "listener", l.name, "failures", l.failures, "err", err)
		l.lastLogged = now
		l.failures = 0
	}
}

// Close closes the listener and ends Accept, also during its pause before a retry.
func (l *Retrying) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
