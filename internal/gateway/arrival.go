package gateway

import (
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// A client counts the time of its request from the request's last byte. The gateway may read that
// byte much later: it waits in the listener's backlog while no connection can be taken, behind a
// request that is being answered, behind a server that takes a long body late, or for a process that
// is held up. So the time of a request runs from the last moment at which its last byte was known
// not to have come. That is never later than the truth; what follows makes it no earlier than needed.
//
//   - A reader that finds nothing knows that all it reads later came later, and so does one that is
//     woken; a wake-up may be late only while the process is held up.
//   - The kernel knows when data came last on a connection (TCP_INFO). Where it says so, that counts:
//     it is exact to one of its ticks, for a backlog and a process that is held up too. Its word is
//     not used where a full receive window may have kept bytes back at the client.
//   - A client whose bytes were kept back may have written as many more as its own socket takes. Until
//     those have been read, or nothing has come for a while, to find nothing proves nothing.
//
// Accepting every connection at once, with silent peers closed to make room, would empty the backlog
// sooner, but a young connection without a byte may belong to a client whose bytes are on their way.

const (
	// leastWindow is how many bytes the receive window of a connection takes in any case.
	leastWindow = 32 << 10
	// senderBuffer is how many bytes a client's socket takes that the gateway's does not
	// (the default limit of net.ipv4.tcp_wmem).
	senderBuffer = 4 << 20
	// pressingBytes is how many unread bytes say that the client's may be kept back.
	pressingBytes = 64 << 10
	// transitTime is how long what a client's socket holds takes to come while the window is open.
	transitTime = 50 * time.Millisecond
	// reachEvery is how many bytes are read between two notes of how far a stream may reach.
	reachEvery = 256 << 10
	// mostReaches bounds the notes: what both sockets may hold, and room to spare.
	mostReaches = 64
)

// arrival bounds when the bytes of a stream came that are read next. Its user holds the lock.
type arrival struct {
	absent  time.Time // nothing was waiting to be read, as was seen
	came    time.Time // the same, or a reader that waited was woken; not before absent
	fresh   int       // bytes read since absent
	total   int64     // bytes read
	noted   int64     // total at the last of reaches
	reaches []reach   // while bytes may be kept back: oldest first, none before came
}

// reach says that no byte of a stream beyond end can have been written by its sender at a time.
type reach struct {
	at  time.Time
	end int64
}

// sawNothing notes that nothing was waiting to be read, nor kept back.
func (a *arrival) sawNothing(now time.Time) {
	a.absent, a.came, a.fresh = now, now, 0
	a.noted, a.reaches = a.total, a.reaches[:0]
}

// woken notes that a reader has been woken that waited since a time.
func (a *arrival) woken(now, since time.Time) {
	switch {
	case !a.keptBack():
		a.came = now
	case now.Sub(since) >= transitTime:
		a.sawNothing(now.Add(-transitTime))
	}
}

// took notes that n bytes have been read.
func (a *arrival) took(n int) {
	a.fresh += n
	a.total += int64(n)
}

// keptBack says whether what comes next may have been kept back at the sender.
func (a *arrival) keptBack() bool {
	n := len(a.reaches)
	return n > 0 && a.total < a.reaches[n-1].end
}

// press notes how many bytes wait to be read; if they are many, more may be kept back.
func (a *arrival) press(now time.Time, unread int) {
	if unread < pressingBytes || a.keptBack() && a.total-a.noted < reachEvery {
		return
	}
	if len(a.reaches) == mostReaches {
		a.reaches = append(a.reaches[:0], a.reaches[1:]...)
	}
	a.noted = a.total
	a.reaches = append(a.reaches, reach{now, a.total + int64(unread) + senderBuffer})
}

// since is the last moment at which the byte that ends at an offset of the stream had not come.
func (a *arrival) since(end int64) time.Time {
	at := a.came
	for _, r := range a.reaches {
		if r.end >= end {
			break
		}
		at = later(at, r.at)
	}
	return at
}

// last is when the byte came that was read last, with nothing waiting behind it. It asks the
// kernel unless little time has passed since nothing was there.
func (a *arrival) last(now time.Time, fd int) time.Time {
	at := a.since(a.total)
	if a.fresh > leastWindow || now.Sub(a.absent) <= kernelTick {
		return at
	}
	age, ok := dataAge(fd)
	if !ok {
		return at
	}
	byKernel := later(a.absent, now.Add(-age))
	if diff := at.Sub(byKernel); diff >= 0 && diff <= kernelTick {
		return at
	}
	return byKernel
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// backlog is a listener that knows since when a connection may have waited to be accepted.
type backlog struct {
	net.Listener
	raw syscall.RawConn // nil where there is none, as in tests without sockets

	mu    sync.Mutex
	queue arrival
}

// newBacklog returns a backlog over ln. Whatever waits there already is taken to have come now,
// unless the kernel knows better.
func newBacklog(ln net.Listener) *backlog {
	l := &backlog{Listener: ln}
	if sc, ok := ln.(syscall.Conn); ok {
		l.raw, _ = sc.SyscallConn() // an error is that of a closed listener, which Accept tells as well
	}
	l.queue.came = time.Now()
	return l
}

// queuedConn is a connection that was accepted; it came when its queue says, at the earliest.
type queuedConn struct {
	net.Conn
	queue arrival
}

// Accept returns the next connection, as a queuedConn.
func (l *backlog) Accept() (net.Conn, error) {
	waits := l.look()
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if waits {
		l.queue.came = time.Now()
	}
	return queuedConn{c, arrival{absent: l.queue.absent, came: l.queue.came}}, nil
}

// look says whether no connection waits, and notes it. Where that cannot be seen it is presumed, as
// whoever accepts is woken, but not noted: the kernel may know better of each connection.
func (l *backlog) look() (empty bool) {
	if l.raw == nil {
		return true
	}
	now := time.Now()
	l.raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := retryInterrupted(func() (int, error) { return unix.Poll(fds, 0) })
		empty = err == nil && n == 0
	})
	if empty {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.queue.sawNothing(now)
	}
	return empty
}
