package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// gateway is a gateway of one name, with one process after another.
type gateway struct {
	s                        *soak
	name, addr, operatorAddr string
	configPath, dir          string
	sharedSocket             *os.File // listening socket that its processes inherit; nil: each opens its own

	mu              sync.Mutex
	proc            *process  // the present process; nil: none
	generation      int       // number of the latest process, from 1
	firstReadyAt    time.Time // when any process was first ready; zero: none yet
	settingsVersion int       // number of changes of the settings
}

// newGateway returns the gateway of an index, which has no process yet.
func newGateway(s *soak, i int) *gateway {
	name := fmt.Sprintf("g%02d", i)
	g := &gateway{
		s:            s,
		name:         name,
		addr:         fmt.Sprintf("%s1.%d:9000", s.netPrefix, i+1),
		operatorAddr: fmt.Sprintf("%s1.%d:9001", s.netPrefix, i+1),
		configPath:   filepath.Join(s.dir, name+".json"),
		dir:          filepath.Join(s.dir, name),
	}
	os.MkdirAll(g.dir, 0o755)
	return g
}

// sharedGeneration is the generation that clients see of a gateway whose processes share a socket: they
// cannot tell which process has a connection.
const sharedGeneration = 0

// sharesSocket says whether the processes of the gateway of an index share a listening socket, as those of
// every sixth gateway do.
func sharesSocket(i int) bool { return i%6 == 5 }

// openSharedSocket opens the listening socket that the processes of the gateway inherit.
func (g *gateway) openSharedSocket() error {
	ln, err := net.Listen("tcp", g.addr)
	if err != nil {
		return err
	}
	defer ln.Close() // the file has a descriptor of its own
	g.sharedSocket, err = ln.(*net.TCPListener).File()
	return err
}

// startProcess starts a process of the gateway, unless one is present, and checks its health in the
// background until it is ready.
func (g *gateway) startProcess() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.proc != nil {
		return nil
	}
	g.generation++
	if g.sharedSocket != nil { // the previous process may still listen on its operator address
		g.operatorAddr = fmt.Sprintf("%s:%d", strings.TrimSuffix(g.addr, ":9000"), 9000+g.generation)
	}
	if err := g.configure(g.settingsVersion); err != nil {
		return err
	}
	bin, inject := g.binary()
	var files []*os.File
	env := []string{"GW_CONFIG=" + g.configPath, "GW_LOG=debug", "TMPDIR=" + g.dir, "GW_INJECT=" + inject}
	if g.sharedSocket != nil {
		files = []*os.File{g.sharedSocket}
		env = append(env, "GW_ACCEPT_FD=3")
	}
	proc, startedAt, err := g.s.starter.StartWithFiles(files, g.s.dir, fmt.Sprintf("%s.%d", g.name, g.generation), bin, nil, env...)
	if err != nil {
		return err
	}
	g.proc = &process{Proc: proc, generation: g.generation, startedAt: startedAt}
	go g.proc.watchExit()
	go g.awaitHealth(g.proc)
	return nil
}

// binary returns the path of the gateway's binary and, for a FaultyGateway, the value of GW_INJECT.
func (g *gateway) binary() (path, inject string) {
	faulty := filepath.Join(g.s.opt.Bin, FaultyGateway)
	if g.name[2]%2 == 1 && fileExists(faulty) {
		return faulty, fmt.Sprintf("%d %g", g.s.opt.Seed*100+uint64(g.generation), systemCallFaultShare)
	}
	return filepath.Join(g.s.opt.Bin, "gateway"), ""
}

// awaitHealth checks the health of a process until it is ready or is no longer the present one.
func (g *gateway) awaitHealth(proc *process) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	url := "http://" + g.addr + "/_health"
	if g.sharedSocket != nil { // another process may answer on the shared socket
		url = "http://" + g.operatorAddr + "/healthcheck"
	}
	for {
		resp, err := client.Get(url)
		if err == nil {
			resp.Body.Close()
		}
		g.mu.Lock()
		if g.proc != proc {
			g.mu.Unlock()
			return
		}
		if err == nil && resp.StatusCode == http.StatusOK {
			proc.readyAt = time.Now()
			if g.firstReadyAt.IsZero() {
				g.firstReadyAt = proc.readyAt
			}
			g.mu.Unlock()
			return
		}
		g.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
	}
}

// awaitServing waits until the gateway serves clients. It returns false when the limit has passed before.
func (g *gateway) awaitServing(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if up, _ := g.serving(); up {
			return true
		}
	}
	return false
}

// serving says whether clients may open connections to the gateway, and the generation that serves them.
func (g *gateway) serving() (bool, int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.sharedSocket != nil {
		return g.proc != nil && !g.firstReadyAt.IsZero(), sharedGeneration
	}
	return g.proc != nil && !g.proc.readyAt.IsZero() && g.proc.termAt.IsZero(), g.generation
}

// signal sends a signal to the process, if there is one.
func (g *gateway) signal(sig syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.proc != nil {
		g.proc.Signal(sig)
	}
}

// pause stops the present process for a time. It continues the same process even when another one has
// been started meanwhile.
func (g *gateway) pause(d time.Duration) {
	g.mu.Lock()
	proc := g.proc
	g.mu.Unlock()
	if proc == nil {
		return
	}
	proc.Stop()
	time.Sleep(d)
	proc.Cont()
}

// reload changes the settings and sends SIGHUP. It does nothing if the gateway has no ready process.
func (g *gateway) reload() {
	g.mu.Lock()
	defer g.mu.Unlock()
	// A process is not reloaded in its first second, nor before it is ready.
	if g.proc == nil || g.proc.readyAt.IsZero() || time.Since(g.proc.startedAt) < 1100*time.Millisecond || !g.proc.termAt.IsZero() {
		return
	}
	g.settingsVersion++
	if g.configure(g.settingsVersion) == nil {
		g.proc.Signal(syscall.SIGHUP)
	}
}

// kill ends the process with SIGKILL.
func (g *gateway) kill() { g.stop(false, nil) }

// terminate ends the process with SIGTERM, and with SIGKILL if it runs for 3 s, which is longer than any
// deadline, and killMargin after that. The functions of alongside run meanwhile, in the background;
// ended is closed when the process has exited.
func (g *gateway) terminate(alongside ...func(ended <-chan struct{})) { g.stop(true, alongside) }

// stop ends the present process and waits for its exit. It does nothing if the process is already being
// stopped.
func (g *gateway) stop(graceful bool, alongside []func(ended <-chan struct{})) {
	g.mu.Lock()
	proc := g.proc
	if proc == nil || !proc.termAt.IsZero() {
		g.mu.Unlock()
		return
	}
	proc.termAt = time.Now()
	g.mu.Unlock()
	g.stopProcess(proc, graceful, alongside)
	g.mu.Lock()
	g.proc = nil
	g.mu.Unlock()
}

// longestDeadline counts as the longest deadline of any class.
const longestDeadline = 3 * time.Second

// stopProcess ends a process, waits for its exit and records it. The record of a process that had exited
// by itself has no time of a signal.
func (g *gateway) stopProcess(proc *process, graceful bool, alongside []func(ended <-chan struct{})) {
	exit := processExit{gateway: g.name, generation: proc.generation, logPath: proc.Log}
	exited, err := proc.Exited()
	switch {
	case exited:
		exit.endedAt = proc.exitTime()
		exit.exitCode = exitCode(err)
	case graceful:
		g.terminateProcess(proc, alongside, &exit)
	default:
		exit.killAt = time.Now()
		proc.Kill()
		exit.endedAt = time.Now()
	}
	g.s.ledger.update(func() { g.s.ledger.exits = append(g.s.ledger.exits, exit) })
}

// terminateProcess ends a process as terminate does, and notes the times and the exit code.
func (g *gateway) terminateProcess(proc *process, alongside []func(ended <-chan struct{}), exit *processExit) {
	exit.termAt = time.Now()
	ended := make(chan struct{})
	for _, do := range alongside {
		g.s.background.Add(1)
		go func() {
			defer g.s.background.Done()
			do(ended)
		}()
	}
	err := proc.Term(longestDeadline + killMargin)
	close(ended)
	exit.endedAt = time.Now()
	if exit.endedAt.Sub(exit.termAt) >= longestDeadline+killMargin {
		exit.killAt = exit.endedAt
	} else {
		exit.exitCode = exitCode(err)
	}
}

// upgrade starts a new process on the same socket and, once that is ready, terminates the old one in the
// background. Another upgrade may start while the old process is still terminating. If the new process does
// not become ready, it is terminated and the old one remains the present process, so that the soak goes on
// using it and judges its end.
func (g *gateway) upgrade(alongside ...func(ended <-chan struct{})) {
	g.mu.Lock()
	old := g.proc
	if old == nil || old.readyAt.IsZero() {
		g.mu.Unlock()
		return
	}
	g.proc = nil
	g.mu.Unlock()
	if !g.restart() {
		g.mu.Lock()
		failed := g.proc
		g.proc = old
		g.mu.Unlock()
		if failed != nil {
			g.stopProcess(failed, true, nil)
		}
		return
	}
	g.s.background.Add(1)
	go func() {
		defer g.s.background.Done()
		g.stopProcess(old, true, alongside)
	}()
}

// restart starts a process of the gateway, unless one is present, and waits until the present one is ready.
// It records a process that cannot be started or is not ready within the start limit, as clients send
// nothing to a gateway without a ready process, so that no request would show it.
func (g *gateway) restart() bool {
	err := g.startProcess()
	if err == nil && g.awaitProcessReady(g.s.startLimit) {
		return true
	}
	g.mu.Lock()
	generation := g.generation
	g.mu.Unlock()
	g.s.ledger.update(func() {
		g.s.ledger.startFailures = append(g.s.ledger.startFailures,
			fmt.Sprintf("%s (process %d) is not ready %v after its start: %v", g.name, generation, g.s.startLimit, err))
	})
	return false
}

// awaitProcessReady waits until the latest process is ready. It returns false when the limit has passed or
// the run was cancelled before.
func (g *gateway) awaitProcessReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end) && g.s.ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		g.mu.Lock()
		ready := g.proc != nil && !g.proc.readyAt.IsZero()
		g.mu.Unlock()
		if ready {
			return true
		}
	}
	return false
}
