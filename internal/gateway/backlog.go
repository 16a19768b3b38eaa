package gateway

import (
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"bramblelock/internal/gateway/socket"
)

// backlog is a listener that knows since when a connection may have waited to be accepted.
type backlog struct {
	net.Listener
	raw syscall.RawConn // nil for a listener without a socket, as in tests

	mu       sync.Mutex
	arrivals arrivalTracker
}

// newBacklog returns a backlog over ln. Connections that wait already are taken to have arrived
// now, unless the kernel reports an earlier time.
func newBacklog(ln net.Listener) *backlog {
	l := &backlog{Listener: ln}
	if sc, ok := ln.(syscall.Conn); ok {
		l.raw, _ = sc.SyscallConn() // fails only if the listener is closed, which Accept reports as well
	}
	l.arrivals.notBefore = time.Now()
	return l
}

// queuedConn is a connection that was accepted, with the bounds on its arrival in the backlog.
type queuedConn struct {
	net.Conn
	arrivals arrivalTracker
}

// Accept returns the next connection, as a queuedConn.
func (l *backlog) Accept() (net.Conn, error) {
	empty := l.checkEmpty()
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if empty {
		l.arrivals.notBefore = time.Now()
	}
	return queuedConn{c, arrivalTracker{emptyAt: l.arrivals.emptyAt, notBefore: l.arrivals.notBefore}}, nil
}

// checkEmpty returns whether no connection waits, and records it. For a listener without a socket it
// returns true, as Accept then waits to be woken up, but records nothing: the kernel may report an
// earlier time for the data of each connection.
func (l *backlog) checkEmpty() (empty bool) {
	if l.raw == nil {
		return true
	}
	now := time.Now()
	l.raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := socket.RetryInterrupted(func() (int, error) { return unix.Poll(fds, 0) })
		empty = err == nil && n == 0
	})
	if empty {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.arrivals.noteEmpty(now)
	}
	return empty
}
