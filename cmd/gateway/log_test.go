package main

import (
	"errors"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// startWithLog starts the program with its log written to a pipe.
func startWithLog(t *testing.T, pipe *os.File) *program {
	t.Helper()
	_, addrs := startTwoHosts(t)
	listen := freeAddr(t)
	p := newProgram(t, configJSON(addrs...), "http://"+listen, nil, "GW_LISTEN="+listen)
	p.Stdout, p.Stderr = pipe, pipe
	p.startProcess(t)
	return p
}

// checkServesReloadsAndExits checks that the program serves, reloads its configuration and exits although
// nobody reads its log.
func (p *program) checkServesReloadsAndExits(t *testing.T) {
	t.Helper()
	p.waitReady(t)
	p.sendUntilServed(t, 3)
	text, err := os.ReadFile(p.configPath)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(p.configPath, []byte(strings.Replace(string(text), `"book"`, `"other"`, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(waitTimeout); ; {
		if err := p.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		_, err := sendRequest(p.url)
		if answeredWith(err, http.StatusBadRequest) {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("the configuration was not reloaded: %v", err)
		}
		time.Sleep(5 * time.Millisecond)
	}
	p.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(waitTimeout):
		t.Fatal("the program did not exit")
	}
	if code := p.ProcessState.ExitCode(); code != 0 {
		t.Errorf("the program exited with %v", p.ProcessState)
	}
}

// The reader of the log may stop reading. A full pipe must not block requests, signals or the shutdown.
func TestFullLogPipeDoesNotBlock(t *testing.T) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	defer w.Close()
	fillPipe(t, w)
	startWithLog(t, w).checkServesReloadsAndExits(t)
}

// The reader of the log may exit. Writing to the closed pipe must not terminate the program.
func TestClosedLogPipeDoesNotStopProcess(t *testing.T) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	r.Close()
	defer w.Close()
	startWithLog(t, w).checkServesReloadsAndExits(t)
}

// fillPipe writes to a pipe until it is full.
func fillPipe(t *testing.T, w *os.File) {
	t.Helper()
	raw, err := w.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var writeErr error
	err = raw.Write(func(fd uintptr) bool {
		for writeErr == nil {
			_, writeErr = syscall.Write(int(fd), make([]byte, 512))
		}
		return true
	})
	if err != nil || !errors.Is(writeErr, syscall.EAGAIN) {
		t.Fatal(err, writeErr)
	}
}
