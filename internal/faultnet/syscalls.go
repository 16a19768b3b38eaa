package faultnet

import (
	"net"
	"os"
	"sync"
	"syscall"
)

// AcceptErrors are the errors that accept(2) and the registration of the new descriptor
// (epoll_ctl) return on Linux without the listener being at fault for good: pending network
// errors of the new connection, and a want of descriptors, memory or buffers.
var AcceptErrors = []syscall.Errno{
	syscall.ECONNABORTED, syscall.EPROTO, syscall.ENETDOWN, syscall.ENOPROTOOPT, syscall.EHOSTDOWN,
	syscall.ENONET, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.EPERM,
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC, syscall.EINTR,
}

// Listener is a net.Listener whose Accept fails on cue.
type Listener struct {
	net.Listener
	errs syscallErrors
}

// FailingListener returns ln with Accept as usual until Fail is called.
func FailingListener(ln net.Listener) *Listener { return &Listener{Listener: ln} }

// Fail makes the next calls of Accept fail with these errors, one each.
func (l *Listener) Fail(errs ...syscall.Errno) { l.errs.add(errs) }

// Remaining is how many errors are still to come.
func (l *Listener) Remaining() int { return l.errs.left() }

// Accept fails with the error that is next in line; with none left it accepts.
func (l *Listener) Accept() (net.Conn, error) {
	if err := l.errs.next(); err != 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: os.NewSyscallError("accept4", err)}
	}
	return l.Listener.Accept()
}

// syscallErrors are errors that come one after the other.
type syscallErrors struct {
	mu   sync.Mutex
	errs []syscall.Errno
}

func (s *syscallErrors) add(errs []syscall.Errno) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.errs = append(s.errs, errs...)
}

func (s *syscallErrors) left() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.errs)
}

// next takes an error out; 0: there is none.
func (s *syscallErrors) next() syscall.Errno {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.errs) == 0 {
		return 0
	}
	err := s.errs[0]
	s.errs = s.errs[1:]
	return err
}
