// Package loopback has what experiments with real processes on loopback addresses share: a starter whose
// processes do not outlive the experiment, and servers that stand in for hosts.
package loopback

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"syscall"
	"time"

	"bramblelock/internal/faultnet"
)

// Starter starts processes from one locked thread. Their parent death signal is bound to that thread, so
// that the kernel kills them when the thread ends, and so also if this process dies.
type Starter struct{ calls chan func() }

// NewStarter returns a Starter with a thread of its own.
func NewStarter() *Starter {
	s := &Starter{calls: make(chan func())}
	go func() {
		runtime.LockOSThread() // never unlocked: the thread ends with this goroutine
		for do := range s.calls {
			do()
		}
	}()
	return s
}

// Start starts a process and returns its start time, which may be later than the call as starts wait for
// each other. dir, name, bin, args and env are as for faultnet.Start.
func (s *Starter) Start(dir, name, bin string, args []string, env ...string) (p *faultnet.Proc, at time.Time, err error) {
	return s.StartWithFiles(nil, dir, name, bin, args, env...)
}

// StartWithFiles is like Start, but the process inherits files as descriptors 3 and up.
func (s *Starter) StartWithFiles(files []*os.File, dir, name, bin string, args []string, env ...string) (p *faultnet.Proc, at time.Time, err error) {
	done := make(chan struct{})
	s.calls <- func() {
		at = time.Now()
		p, err = faultnet.StartWithPdeathsigAndFiles(files, dir, name, bin, args, env...)
		close(done)
	}
	<-done
	return p, at, err
}

// End ends the thread. No process that it started may be running then, as the kernel would kill it.
func (s *Starter) End() { close(s.calls) }

// RequireBinaries returns an error unless a folder has the binaries gateway and catalog.
func RequireBinaries(dir string) error {
	for _, name := range []string{"gateway", "catalog"} {
		if _, err := os.Stat(filepath.Join(dir, name)); err != nil {
			return fmt.Errorf("no %s in %s: go build -o bin/ ./cmd/... first", name, dir)
		}
	}
	return nil
}

// ListenAndServe accepts connections at an address and serves each in a goroutine, until the listener is
// closed. The address may have been in use just before, so that its port is still held by closed connections.
func ListenAndServe(addr string, serve func(net.Conn)) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1) })
	}}
	listener, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener, nil
}

// WriteResponse writes an HTTP response and reports whether that succeeded. header is empty or complete
// lines, each with its end.
func WriteResponse(conn net.Conn, status, header, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
	return err == nil
}

// WriteJSON writes a value to a file as JSON. Only the owner can read the file.
func WriteJSON(path string, v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}
