package faultnet

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// startEchoServer returns the address of a TCP server that echoes what it receives.
func startEchoServer(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go io.Copy(c, c)
		}
	}()
	return ln.Addr().String()
}

// roundTrip sends a byte to an echo server and reads it back within timeout.
func roundTrip(c net.Conn, timeout time.Duration) error {
	if _, err := c.Write([]byte{7}); err != nil {
		return err
	}
	c.SetReadDeadline(time.Now().Add(timeout))
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

// Each mode, and the delay, has its documented effect on open and new connections.
func TestLinkModes(t *testing.T) {
	l, err := NewLink(startEchoServer(t))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr)
	if err != nil {
		t.Fatal(err)
	}
	if err := roundTrip(c, 5*time.Second); err != nil {
		t.Fatalf("pass: %v", err)
	}
	l.Delay(100 * time.Millisecond)
	start := time.Now()
	if err := roundTrip(c, 5*time.Second); err != nil || time.Since(start) < 200*time.Millisecond {
		t.Fatalf("delay: %v after %v, want success after at least 2 × 100 ms", err, time.Since(start))
	}
	l.Delay(0)
	l.Set(Blackhole)
	if err := roundTrip(c, 200*time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("black-hole: %v, want a timeout", err)
	}
	l.Set(Pass)
	if err := roundTrip(c, 5*time.Second); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("after the black-hole: %v, want the connection that was kept open to be reset", err)
	}
	l.Set(Reset)
	if c2, err := net.Dial("tcp", l.Addr); err == nil {
		if err := roundTrip(c2, 5*time.Second); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("reset: %v, want the connection to be reset", err)
		}
	}
	l.Set(Refuse)
	if c3, err := net.Dial("tcp", l.Addr); err == nil {
		c3.Close()
		t.Fatal("refuse: a connection was established")
	}
	l.Set(Pass)
	c4, err := net.Dial("tcp", l.Addr)
	if err != nil {
		t.Fatal(err)
	}
	if err := roundTrip(c4, 5*time.Second); err != nil {
		t.Fatalf("pass again: %v", err)
	}
}

// Guards against clients of a refusing link that reach a server of another process: the link gives up its port,
// and a server that listens at any free port of the usual address may be given the same number.
func TestClientsOfRefusingLinkReachNoOther(t *testing.T) {
	l, err := NewLink(startEchoServer(t))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	l.Set(Refuse)
	_, port, err := net.SplitHostPort(l.Addr)
	if err != nil {
		t.Fatal(err)
	}
	other, err := net.Listen("tcp", "127.0.0.1:"+port)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	if c, err := net.Dial("tcp", l.Addr); err == nil {
		c.Close()
		t.Error("a client of the link reached another server")
	}
}

// A connection that cannot reach the link's target is reset alone. Those that are open keep their target.
func TestUnreachableTargetResetsOnlyNewConnection(t *testing.T) {
	l, err := NewLink(startEchoServer(t))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	open, err := net.Dial("tcp", l.Addr)
	if err != nil {
		t.Fatal(err)
	}
	defer open.Close()
	if err := roundTrip(open, 5*time.Second); err != nil {
		t.Fatal(err)
	}
	l.Retarget("127.0.0.1:1")                                    // nothing listens there
	if unreachable, err := net.Dial("tcp", l.Addr); err == nil { // the reset may come while Dial connects
		defer unreachable.Close()
		if err := roundTrip(unreachable, 5*time.Second); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("a connection to no target: %v, want a reset", err)
		}
	}
	if err := roundTrip(open, 5*time.Second); err != nil {
		t.Errorf("an open connection: %v", err)
	}
}
