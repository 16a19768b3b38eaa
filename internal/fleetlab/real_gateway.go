package fleetlab

import (
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"bramblelock/internal/faultnet"
	"bramblelock/internal/loopback"
)

// realGateway is a gateway process, with the health checks of the edge balancer.
type realGateway struct {
	run          *realRun
	rank         int
	configured   int // number of gateways that its settings state
	addr         string
	configPath   string
	hasSavedList bool // its configuration holds a saved host list

	mu         sync.Mutex
	proc       *faultnet.Proc // nil: it does not run
	generation int            // raised at each start and exit of the process
	ready      bool           // the present process has reported that it is ready
	processes  gatewayProcesses
}

// configure writes the configuration file. If hasSavedList is set, this file and later versions of it hold
// the host list as it is when they are written.
func (g *realGateway) configure(hasSavedList bool) error {
	g.hasSavedList = hasSavedList
	return g.writeConfig()
}

// writeConfig writes the configuration file.
func (g *realGateway) writeConfig() error {
	type object map[string]any
	run := g.run
	var addrs []string
	for i := range run.catalogs { // the gateways start with different instances
		addrs = append(addrs, run.catalogs[(g.rank+i)%len(run.catalogs)].link.Addr)
	}
	known := object{"version": 0, "full": true, "servers": []object{}}
	if g.hasSavedList {
		var hosts []object
		for _, host := range run.hosts {
			hosts = append(hosts, run.listEntry(host))
		}
		known = object{"version": 1, "full": true, "servers": hosts}
	}
	config := object{"name": fmt.Sprintf("g%04d", g.rank), "listen": g.addr, "discovery": strings.Join(addrs, ","),
		"seed":   fmt.Sprintf("%x", run.scenario.Seed*1_000_003+uint64(g.rank)+1),
		"limits": object{"cores": 1, "memory_mb": 192, "sockets": gatewayDescriptors}, "known": known,
		"settings": run.scenario.SettingsJSON(g.rank, g.configured)}
	if run.scenario.Gateways.Membership {
		var peers []string
		for i, present := range run.scenario.PresentRanks() {
			if present && len(peers) < 3 {
				peers = append(peers, run.gateways[i].memberAddr())
			}
		}
		config["membership"] = object{"bind": g.memberAddr(), "peers": peers, "local": true}
	}
	g.configPath = filepath.Join(run.dir, fmt.Sprintf("g%04d.json", g.rank))
	return loopback.WriteJSON(g.configPath, config)
}

// memberAddr returns the address for the membership protocol.
func (g *realGateway) memberAddr() string { return strings.Replace(g.addr, ":9000", ":7946", 1) }

// start starts the process and its health checks, unless it runs or the run has ended.
func (g *realGateway) start() {
	name := fmt.Sprintf("g%04d", g.rank)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.proc != nil || g.run.ctx.Err() != nil {
		return
	}
	proc, startedAt, err := g.run.starter.Start(g.run.dir, name, filepath.Join(g.run.options.Bin, "gateway"), nil,
		"GW_CONFIG="+g.configPath, "GW_NAME="+name, "GW_LISTEN="+g.addr, "TMPDIR="+g.run.dir)
	if err != nil {
		fmt.Fprintf(g.run.options.Progress, "%s: %v\n", name, err)
		return
	}
	g.generation++
	g.proc = proc
	g.ready = false
	g.processes.add(proc)
	go g.awaitReady(g.generation, startedAt.Sub(g.run.startedAt))
}

// hasStarted reports whether a process of the gateway has been started, even if it has ended since.
func (g *realGateway) hasStarted() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.processes.all) > 0
}

// awaitReady checks the health of the process of a generation until it is ready, has exited or the run ends.
// The edge balancer admits the gateway when the process is ready.
func (g *realGateway) awaitReady(generation int, startedAt Time) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for {
		select {
		case <-g.run.ctx.Done():
			return
		case <-time.After(80 * time.Millisecond):
		}
		g.mu.Lock()
		current := g.generation == generation && g.proc != nil
		g.mu.Unlock()
		if !current {
			return
		}
		resp, err := client.Get("http://" + g.addr + "/_health")
		if err != nil {
			continue
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			continue
		}
		g.mu.Lock()
		if current = g.generation == generation && g.proc != nil; current {
			g.ready = true
		}
		g.mu.Unlock()
		if current {
			g.run.record(func(r *Recorder, now Time) { r.RecordGatewayReady(now - startedAt) })
			g.setAdmitted(true)
		}
		return
	}
}

// setAdmitted adds the gateway to those that the edge balancer admits, or removes it.
func (g *realGateway) setAdmitted(admitted bool) {
	g.run.edgeMu.Lock()
	defer g.run.edgeMu.Unlock()
	g.run.edge.setAdmitted(g.rank, admitted)
}

// kill kills the process. The edge balancer notices after EdgeDetection.
func (g *realGateway) kill() {
	g.mu.Lock()
	proc := g.proc
	g.proc = nil
	g.generation++
	generation := g.generation
	g.mu.Unlock()
	if proc == nil {
		return
	}
	proc.Kill()
	g.run.at(g.run.now()+g.run.scenario.Load.EdgeDetection.std(), func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.generation == generation {
			g.setAdmitted(false)
		}
	})
}

// withProcess calls do with the process if there is one, under the lock.
func (g *realGateway) withProcess(do func(*faultnet.Proc)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.proc != nil {
		do(g.proc)
	}
}
