package main

import (
	"errors"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// lateListener is a listener to which connections come up late while its gate is shut: it accepts nothing and
// its backlog, the shortest one, is full, so that the first packet of a new connection is lost and is sent
// again by its sender 1 s later.
type lateListener struct {
	*net.TCPListener

	mu      sync.Mutex
	open    chan struct{} // closed while the gate is open
	fillers map[string]net.Conn
}

func newLateListener() (*lateListener, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &lateListener{TCPListener: ln.(*net.TCPListener), open: make(chan struct{}), fillers: map[string]net.Conn{}}
	close(l.open)
	raw, err := l.SyscallConn()
	if err != nil {
		return nil, err
	}
	raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) })
	return l, err
}

// Accept returns the next connection that is not a filler.
func (l *lateListener) Accept() (net.Conn, error) {
	for {
		l.mu.Lock()
		open := l.open
		l.mu.Unlock()
		<-open
		c, err := l.TCPListener.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		if err != nil {
			return nil, err
		}
		l.mu.Lock()
		filler := l.fillers[c.RemoteAddr().String()]
		delete(l.fillers, c.RemoteAddr().String())
		l.mu.Unlock()
		if filler == nil {
			return c, nil
		}
		filler.Close()
		c.Close()
	}
}

// shut shuts the gate for a time.
func (l *lateListener) shut(d time.Duration) {
	open := make(chan struct{})
	l.mu.Lock()
	l.open = open
	l.mu.Unlock()
	l.SetDeadline(time.Now()) // ends the Accept that waits
	time.Sleep(2 * time.Millisecond)
	for range 3 { // until one does not come up
		c, err := net.DialTimeout("tcp", l.Addr().String(), 5*time.Millisecond)
		if err != nil {
			break
		}
		l.mu.Lock()
		l.fillers[c.LocalAddr().String()] = c
		l.mu.Unlock()
	}
	time.Sleep(d)
	l.SetDeadline(time.Time{})
	close(open)
}

// shutForShare shuts the gate again and again, for the given share of the time.
func (l *lateListener) shutForShare(share float64, stop <-chan struct{}) {
	for {
		d := time.Duration(200+rand.IntN(400)) * time.Millisecond
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(float64(d) * (1 - share) / share)):
		}
		l.shut(d)
	}
}
