// Package listener keeps a server accepting connections through failures of accept.
package listener

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"
)

const (
	firstPause = time.Millisecond // after a failed accept; the first of a row is tried again at once
	mostPause  = 200 * time.Millisecond
	logEvery   = time.Second
)

// Retrying is a net.Listener whose Accept returns an error only once it has been closed.
// Linux reports pending network errors of a new connection through accept, and a want of
// descriptors, buffers or memory passes: neither says that the listening socket is broken. A
// failure is logged, once a second at most, and accept is tried again after a pause that
// grows from 1 to 200 ms.
type Retrying struct {
	net.Listener
	name string // for the log

	once sync.Once
	done chan struct{} // closed by Close

	mu     sync.Mutex
	logged time.Time
	failed int // accepts since the last line
}

// NewRetrying returns a Retrying over ln; name says in the log whose connections it takes.
func NewRetrying(ln net.Listener, name string) *Retrying {
	return &Retrying{Listener: ln, name: name, done: make(chan struct{})}
}

// Accept returns the next connection, or net.ErrClosed after Close.
func (l *Retrying) Accept() (net.Conn, error) {
	for pause := time.Duration(0); ; pause = min(max(firstPause, 2*pause), mostPause) {
		conn, err := l.Listener.Accept()
		if err == nil {
			return conn, nil
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		l.log(err)
		select {
		case <-l.done:
			return nil, net.ErrClosed
		case <-time.After(pause):
		}
	}
}

// log notes a failure unless the last line was just now.
func (l *Retrying) log(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed++
	if now := time.Now(); now.Sub(l.logged) >= logEvery {
		slog.Warn("accept failed, trying again", "listener", l.name, "failures", l.failed, "err", err)
		l.logged, l.failed = now, 0
	}
}

// Close ends Accept, also while it pauses.
func (l *Retrying) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}
