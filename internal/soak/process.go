package soak

import (
	"os"
	"sync/atomic"
	"time"

	"bramblelock/internal/faultnet"
)

// process is one process of a gateway.
type process struct {
	*faultnet.Proc
	generation int
	startedAt  time.Time
	exitedAt   atomic.Pointer[time.Time] // set by watchExit; nil: not yet

	// Guarded by the lock of the gateway.
	readyAt time.Time // zero: not yet
	termAt  time.Time // when the soak began to terminate or kill it; zero: it has not
}

// exitCheckInterval is how exact the recorded time of a crash is.
const exitCheckInterval = 10 * time.Millisecond

// watchExit waits until the process exits and notes the time. A crash is recorded only when the soak ends
// the process, which may be much later.
func (p *process) watchExit() {
	for {
		if exited, _ := p.Exited(); exited {
			now := time.Now()
			p.exitedAt.Store(&now)
			return
		}
		time.Sleep(exitCheckInterval)
	}
}

// exitTime returns when the process exited. The caller has seen that it did.
func (p *process) exitTime() time.Time {
	if at := p.exitedAt.Load(); at != nil {
		return *at
	}
	return time.Now() // watchExit is about to note it
}

// FaultyGateway is the gateway built with the tag faultinject. Every second gateway runs it when the
// folder of the binaries has it.
const FaultyGateway = "gateway-faults"

// systemCallFaultShare is the share of the system calls of a FaultyGateway that fail, in bursts.
const systemCallFaultShare = 0.02

// fileExists says whether a path exists.
func fileExists(path string) bool {
	_, err := os.Stat(path)
	return err == nil
}

// exitCode returns the exit code for the error of waiting for a process: 0 for nil and -1 for an error
// without an exit code.
func exitCode(err error) int {
	if err == nil {
		return 0
	}
	if e, ok := err.(interface{ ExitCode() int }); ok {
		return e.ExitCode()
	}
	return -1
}
