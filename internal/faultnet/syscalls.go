package faultnet

import (
	"net"
	"os"
	"sync"
	"syscall"
)

// AcceptErrors are the errors that accept(2) and the registration of the new descriptor
// (epoll_ctl) may return on Linux without a permanent fault of the listener: pending network
// errors of the new connection, a refusal by a firewall rule (EPERM), a shortage of descriptors,
// memory or buffers, and an interruption by a signal (EINTR).
var AcceptErrors = []syscall.Errno{
	syscall.ECONNABORTED, syscall.EPROTO, syscall.ENETDOWN, syscall.ENOPROTOOPT, syscall.EHOSTDOWN,
	syscall.ENONET, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.EPERM,
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC, syscall.EINTR,
}

// Listener is a net.Listener whose Accept can be made to fail.
type Listener struct {
	net.Listener
	errs errnoQueue
}

// FailingListener returns a Listener that wraps ln. Accept works as usual until Fail is called.
func FailingListener(ln net.Listener) *Listener { return &Listener{Listener: ln} }

// Fail makes the next calls of Accept fail with errs, one error per call. It does not affect a call of
// Accept that already waits for a connection.
func (l *Listener) Fail(errs ...syscall.Errno) { l.errs.add(errs) }

// Remaining returns the number of errors that Accept has yet to return.
func (l *Listener) Remaining() int { return l.errs.remaining() }

// Accept returns the next error given to Fail, or accepts a connection if none remains.
func (l *Listener) Accept() (net.Conn, error) {
	if err := l.errs.next(); err != 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: os.NewSyscallError("accept4", err)}
	}
	return l.Listener.Accept()
}

// errnoQueue is a FIFO queue of errors.
type errnoQueue struct {
	mu   sync.Mutex
	errs []syscall.Errno
}

func (s *errnoQueue) add(errs []syscall.Errno) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.errs = append(s.errs, errs...)
}

func (s *errnoQueue) remaining() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.errs)
}

// next removes and returns the first error, or returns 0 if the queue is empty.
func (s *errnoQueue) next() syscall.Errno {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.errs) == 0 {
		return 0
	}
	err := s.errs[0]
	s.errs = s.errs[1:]
	return err
}
