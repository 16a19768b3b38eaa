package faultnet

import (
	"context"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Errors that an Injector picks from when it fails a dial or a read. The errors of accept are
// AcceptErrors; a write fails with ENOBUFS.
var (
	dialErrors = []syscall.Errno{
		syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENFILE, syscall.ECONNABORTED, syscall.ENETUNREACH, syscall.ETIMEDOUT,
	}
	readErrors = []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ECONNRESET}
)

// Injector makes system calls fail at random at the interfaces of the net package. Phases without
// failures and phases with failures alternate; each lasts two seconds, and the first is without. It is
// meant for programs that are built with fault injection (build tag faultinject). It is safe for
// concurrent use.
type Injector struct {
	mu          sync.Mutex
	rng         *rand.Rand
	failureRate float64 // fraction of the calls that fail during a phase with failures
	start       time.Time
}

// NewInjector returns an Injector that fails the given fraction of the calls during its phases
// with failures, the first of which begins two seconds from now. The seed determines its random
// choices.
func NewInjector(seed uint64, failureRate float64) *Injector {
	return &Injector{rng: rand.New(rand.NewPCG(seed, 3)), failureRate: failureRate, start: time.Now()}
}

// drawError decides whether a call fails now, and with which of errs. It returns false if the call
// does not fail.
func (i *Injector) drawError(errs []syscall.Errno) (syscall.Errno, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if int(time.Since(i.start).Seconds())/2%2 == 0 || i.rng.Float64() >= i.failureRate {
		return 0, false
	}
	return errs[i.rng.IntN(len(errs))], true
}

// Listener wraps ln so that Accept sometimes fails.
func (i *Injector) Listener(ln net.Listener) net.Listener { return &injectedListener{ln, i} }

// injectedListener is a net.Listener whose Accept sometimes fails.
type injectedListener struct {
	net.Listener
	inject *Injector
}

// SyscallConn implements syscall.Conn with the socket of the wrapped listener, for callers that
// inspect it.
func (l *injectedListener) SyscallConn() (syscall.RawConn, error) {
	sc, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil, syscall.EOPNOTSUPP
	}
	return sc.SyscallConn()
}

func (l *injectedListener) Accept() (net.Conn, error) {
	if errno, fails := l.inject.drawError(AcceptErrors); fails {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: os.NewSyscallError("accept4", errno)}
	}
	return l.Listener.Accept()
}

// Dialer is a function that dials a connection.
type Dialer func(ctx context.Context, network, addr string) (net.Conn, error)

// Dial wraps dial so that it sometimes fails, and so that its connections sometimes fail or return
// short reads. Connections other than a *net.TCPConn are passed on unchanged.
func (i *Injector) Dial(dial Dialer) Dialer {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		if errno, fails := i.drawError(dialErrors); fails {
			return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", errno)}
		}
		conn, err := dial(ctx, network, addr)
		if tcp, ok := conn.(*net.TCPConn); ok && err == nil {
			return &injectedConn{TCPConn: tcp, inject: i}, nil
		}
		return conn, err
	}
}

// injectedConn is a connection whose reads are sometimes short and whose reads and writes
// sometimes fail. A failed read resets the connection. A failed write sends nothing and leaves the
// connection open.
type injectedConn struct {
	*net.TCPConn
	inject *Injector
}

func (c *injectedConn) Read(p []byte) (int, error) {
	if errno, fails := c.inject.drawError(readErrors); fails {
		c.TCPConn.SetLinger(0)
		c.TCPConn.Close()
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", errno)}
	}
	if _, short := c.inject.drawError(readErrors); short && len(p) > 1 {
		p = p[:1+len(p)/64]
	}
	return c.TCPConn.Read(p)
}

func (c *injectedConn) Write(p []byte) (int, error) {
	if _, fails := c.inject.drawError(readErrors); fails {
		return 0, &net.OpError{Op: "write", Net: "tcp", Addr: c.RemoteAddr(), Err: os.NewSyscallError("write", syscall.ENOBUFS)}
	}
	return c.TCPConn.Write(p)
}
