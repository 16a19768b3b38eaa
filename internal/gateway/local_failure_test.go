package gateway

import (
	"context"
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"bramblelock"
)

// localErrors are failures of the gateway's own machine: no descriptor, buffer, memory or port.
var localErrors = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE,
	syscall.EAGAIN, syscall.ENETDOWN,
}

// failingConn fails its reads or writes.
type failingConn struct {
	net.Conn
	read, write error
}

func (c *failingConn) Read(p []byte) (int, error) {
	if c.read != nil {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: c.read}
	}
	return c.Conn.Read(p)
}

func (c *failingConn) Write(p []byte) (int, error) {
	if c.write != nil {
		return 0, &net.OpError{Op: "write", Net: "tcp", Err: c.write}
	}
	return c.Conn.Write(p)
}

// A failure of the gateway's own machine is not charged to the host: the attempt was not sent or,
// after its last byte was written, may have run. No connection is kept or counted.
func TestLocalFailuresAreNotChargedToHost(t *testing.T) {
	for _, errno := range localErrors {
		for step, want := range map[string]bramblelock.Result{
			"socket": bramblelock.NotSent, "connect": bramblelock.NotSent, "write": bramblelock.NotSent, "read": bramblelock.Canceled,
		} {
			failed := os.NewSyscallError(step, errno)
			p := newTestPool()
			h := newPoolHost(p, "127.0.0.1:1")
			p.dial = func(context.Context, string, string) (net.Conn, error) {
				near, far := net.Pipe()
				go io.Copy(io.Discard, far)
				switch step {
				case "write":
					return &failingConn{Conn: near, write: failed}, nil
				case "read":
					return &failingConn{Conn: near, read: failed}, nil
				}
				return nil, &net.OpError{Op: "dial", Net: "tcp", Err: failed}
			}
			if got, _ := attemptOnce(t, p, h, newExchange("b")); got != want {
				t.Errorf("%s fails with %v: result %v, want %v", step, errno, got, want)
			}
			if open, idle := p.counts(h); open != 0 || idle != 0 {
				t.Errorf("%s fails with %v: %d connections are counted as open, %d as idle", step, errno, open, idle)
			}
		}
	}
}
