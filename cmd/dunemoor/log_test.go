package main

import (
	"errors"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// logTo starts the program with its log going to a pipe.
func logTo(t *testing.T, pipe *os.File) *program {
	t.Helper()
	_, addrs := startTwoHosts(t)
	listen := freeAddr(t)
	p := newProgram(t, configJSON(addrs...), "http://"+listen, nil, "GW_LISTEN="+listen)
	p.Stdout, p.Stderr = pipe, pipe
	p.startProcess(t)
	return p
}

// servesReloadsAndEnds checks that the program does all that without a reader of its log.
func (p *program) servesReloadsAndEnds(t *testing.T) {
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
		if err != nil && strings.Contains(err.Error(), "answer 400") {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("the settings are not read anew: %v", err)
		}
		time.Sleep(5 * time.Millisecond)
	}
	p.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(waitTimeout):
		t.Fatal("the program does not end")
	}
	if code := p.ProcessState.ExitCode(); code != 0 {
		t.Errorf("the program ends with %v", p.ProcessState)
	}
}

// Whoever reads the log may stop reading: a full pipe blocks no request, no signal and not
// the end.
func TestFullLogBlocksNothing(t *testing.T) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	defer w.Close()
	fill(t, w)
	logTo(t, w).servesReloadsAndEnds(t)
}

// ... and may end: a line that nobody reads does not end the program.
func TestLogWithoutAReaderEndsNothing(t *testing.T) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	r.Close()
	defer w.Close()
	logTo(t, w).servesReloadsAndEnds(t)
}

// fill writes to a pipe until it takes no more.
func fill(t *testing.T, w *os.File) {
	t.Helper()
	raw, err := w.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var full error
	err = raw.Write(func(fd uintptr) bool {
		for full == nil {
			_, full = syscall.Write(int(fd), make([]byte, 512))
		}
		return true
	})
	if err != nil || !errors.Is(full, syscall.EAGAIN) {
		t.Fatal(err, full)
	}
}
