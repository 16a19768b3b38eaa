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

// Errors that an Injector draws from, by the call that fails.
var (
	dialErrors = []syscall.Errno{
		syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENFILE, syscall.ECONNABORTED, syscall.ENETUNREACH, syscall.ETIMEDOUT,
	}
	readErrors = []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ECONNRESET}
)

// Injector lets system calls fail at random at the seams of the net package, in bouts of two
// seconds with two seconds between. It is for programs that are built for it.
type Injector struct {
	mu    sync.Mutex
	rng   *rand.Rand
	share float64 // of the calls that fail in a bout
	start time.Time
}

// NewInjector returns an Injector that fails a share of the calls, as drawn by seed.
func NewInjector(seed uint64, share float64) *Injector {
	return &Injector{rng: rand.New(rand.NewPCG(seed, 3)), share: share, start: time.Now()}
}

// draw says whether a call fails now, and with which of the errors.
func (i *Injector) draw(errs []syscall.Errno) (syscall.Errno, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if int(time.Since(i.start).Seconds())/2%2 == 0 || i.rng.Float64() >= i.share {
		return 0, false
	}
	return errs[i.rng.IntN(len(errs))], true
}

// Listener is ln with Accept failing at times.
func (i *Injector) Listener(ln net.Listener) net.Listener { return &injectedListener{ln, i} }

type injectedListener struct {
	net.Listener
	inject *Injector
}

// SyscallConn gives access to the socket: who looks at it is not kept from that.
func (l *injectedListener) SyscallConn() (syscall.RawConn, error) {
	sc, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil, syscall.EOPNOTSUPP
	}
	return sc.SyscallConn()
}

func (l *injectedListener) Accept() (net.Conn, error) {
	if errno, fails := l.inject.draw(AcceptErrors); fails {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: os.NewSyscallError("accept4", errno)}
	}
	return l.Listener.Accept()
}

// Dialer dials a connection.
type Dialer func(ctx context.Context, network, addr string) (net.Conn, error)

// Dial is dial that fails at times, or gives connections that break or read little at a time.
func (i *Injector) Dial(dial Dialer) Dialer {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		if errno, fails := i.draw(dialErrors); fails {
			return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", errno)}
		}
		conn, err := dial(ctx, network, addr)
		if tcp, ok := conn.(*net.TCPConn); ok && err == nil {
			return &injectedConn{TCPConn: tcp, inject: i}, nil
		}
		return conn, err
	}
}

// injectedConn is a connection whose reads are short or fail at times; once one has failed it is
// broken.
type injectedConn struct {
	*net.TCPConn
	inject *Injector
}

func (c *injectedConn) Read(p []byte) (int, error) {
	if errno, fails := c.inject.draw(readErrors); fails {
		c.TCPConn.SetLinger(0)
		c.TCPConn.Close()
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", errno)}
	}
	if _, short := c.inject.draw(readErrors); short && len(p) > 1 {
		p = p[:1+len(p)/64]
	}
	return c.TCPConn.Read(p)
}

func (c *injectedConn) Write(p []byte) (int, error) {
	if _, fails := c.inject.draw(readErrors); fails {
		return 0, &net.OpError{Op: "write", Net: "tcp", Addr: c.RemoteAddr(), Err: os.NewSyscallError("write", syscall.ENOBUFS)}
	}
	return c.TCPConn.Write(p)
}
