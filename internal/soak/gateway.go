package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"bramblelock/internal/faultnet"
	"bramblelock/internal/loopback"
)

// requestClass is a request class in the settings of the gateways.
type requestClass struct {
	name, effect string
	deadline     time.Duration
	window       time.Duration // idempotency window; 0: the class is not deduplicated
	share        float64       // of all requests
}

var requestClasses = []requestClass{
	{name: "look", effect: "idempotent", deadline: 1200 * time.Millisecond, share: 0.5},
	{name: "book", effect: "at_most_once", deadline: 2 * time.Second, share: 0.3},
	{name: "report", effect: "deduplicated", deadline: 1500 * time.Millisecond, window: 600 * time.Millisecond, share: 0.2},
}

// Slow start, draining and termination in the settings of the soak.
const (
	coldFrom       = 0.2                    // share of its capacity that a host starts with
	warmAfter      = 8 * time.Second        // a host has its full capacity this long after its start
	overloadFactor = 2.5                    // multiple of its present capacity at which a cold host fails
	overloadPeriod = time.Second            // an overload makes a host fail when it lasts this long
	warmRate       = 60                     // requests per second that a warm host can serve
	drainGrace     = time.Second            // a gateway may send to a draining host for this long after it is notified
	killMargin     = 700 * time.Millisecond // time from the longest deadline, which counts as 3 s, to the SIGKILL
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

// newGateway returns the gateway of an index, which has no process yet.
func newGateway(s *soak, i int) *gateway {
	name := fmt.Sprintf("g%02d", i)
	g := &gateway{s: s, name: name, addr: fmt.Sprintf("%s1.%d:9000", s.netPrefix, i+1), operatorAddr: fmt.Sprintf("%s1.%d:9001", s.netPrefix, i+1),
		configPath: filepath.Join(s.dir, name+".json"), dir: filepath.Join(s.dir, name)}
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

// configure writes the configuration file. Each settings version changes the deadline of the class look
// and the discovery address that comes first.
func (g *gateway) configure(settingsVersion int) error {
	type obj map[string]any
	us := func(d time.Duration) int64 { return d.Microseconds() }
	var classes []obj
	for _, c := range requestClasses {
		deadline := c.deadline
		if c.name == "look" && settingsVersion%2 == 1 {
			deadline += 200 * time.Millisecond
		}
		classes = append(classes, obj{"name": c.name, "effect": c.effect, "group": "all", "hard_limit": us(deadline),
			"promise": us(deadline / 2), "importance": 1, "window": us(max(c.window, time.Second))})
		if c.window > 0 {
			classes[len(classes)-1]["window"] = us(c.window)
		}
	}
	rank := int(g.name[1]-'0')*10 + int(g.name[2]-'0')
	settings := obj{"balancers": g.s.opt.Gateways, "rank": rank, "step": 2000, "discovery": "subscribe", "azs": []string{}, "kinds": []string{},
		"classes": classes, "tenants": []obj{}, "over_share_worth": 0.05,
		"caps": obj{"cancel": true, "max_attempts": 4, "conn_idle": 10000000, "dial_timeout": 250000, "may_duplicate": false,
			"max_retry_after": 2000000, "retry_after": true},
		"obligations": obj{"ask_within": 10000000, "cold_from": coldFrom, "warm_after": us(warmAfter), "overload_factor": overloadFactor,
			"fall": us(overloadPeriod), "drain_grace": us(drainGrace), "grace_to_answer": 58000}}
	return loopback.WriteJSON(g.configPath, obj{"name": g.name, "listen": g.addr, "operator": g.operatorAddr, "discovery": g.s.catalogs.discoveryAddrs(rank + settingsVersion),
		"seed":   fmt.Sprintf("%x", g.s.opt.Seed*1_000_003+uint64(rank*100+g.generation)+1),
		"limits": obj{"cores": 1, "memory_mb": 192, "sockets": 1024}, "known": obj{"version": 0, "full": true, "servers": []obj{}},
		"settings": settings})
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
	bin, inject := filepath.Join(g.s.opt.Bin, "gateway"), ""
	if faulty := filepath.Join(g.s.opt.Bin, FaultyGateway); g.name[2]%2 == 1 && fileExists(faulty) {
		bin, inject = faulty, fmt.Sprintf("%d %g", g.s.opt.Seed*100+uint64(g.generation), systemCallFaultShare)
	}
	var files []*os.File
	env := []string{"GW_CONFIG=" + g.configPath, "GW_LOG=debug", "TMPDIR=" + g.dir, "GW_INJECT=" + inject}
	if g.sharedSocket != nil {
		files, env = []*os.File{g.sharedSocket}, append(env, "GW_ACCEPT_FD=3")
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

// stopProcess ends a process, waits for its exit and records it. The record of a process that had exited
// by itself has no time of a signal.
func (g *gateway) stopProcess(proc *process, graceful bool, alongside []func(ended <-chan struct{})) {
	exit := processExit{gateway: g.name, generation: proc.generation, logPath: proc.Log}
	if ended, err := proc.Exited(); ended {
		exit.endedAt, exit.exitCode = proc.exitTime(), exitCode(err)
	} else if !graceful {
		exit.killAt = time.Now()
		proc.Kill()
		exit.endedAt = time.Now()
	} else {
		exit.termAt = time.Now()
		longestDeadline := 3 * time.Second
		ended := make(chan struct{})
		for _, do := range alongside {
			g.s.background.Add(1)
			go func() { defer g.s.background.Done(); do(ended) }()
		}
		err := proc.Term(longestDeadline + killMargin)
		close(ended)
		if exit.endedAt = time.Now(); exit.endedAt.Sub(exit.termAt) >= longestDeadline+killMargin {
			exit.killAt = exit.endedAt
		} else {
			exit.exitCode = exitCode(err)
		}
	}
	g.s.ledger.update(func() { g.s.ledger.exits = append(g.s.ledger.exits, exit) })
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

// States of hosts in the catalog.
const (
	stateReady    = "ready"
	stateDraining = "draining"
)
