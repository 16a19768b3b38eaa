package fleetlab

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
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
		"limits": object{"cores": 1, "memory_mb": 192, "sockets": 1024}, "known": known,
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

// start starts the process and its health checks.
func (g *realGateway) start() {
	name := fmt.Sprintf("g%04d", g.rank)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.proc != nil {
		return
	}
	proc, startedAt, err := g.run.starter.Start(g.run.dir, name, filepath.Join(g.run.options.Bin, "gateway"), nil,
		"GW_CONFIG="+g.configPath, "GW_NAME="+name, "GW_LISTEN="+g.addr, "TMPDIR="+g.run.dir)
	if err != nil {
		fmt.Fprintf(g.run.options.Progress, "%s: %v\n", name, err)
		return
	}
	g.generation++
	g.proc, g.ready = proc, false
	go g.awaitReady(g.generation, startedAt.Sub(g.run.startedAt))
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

// realCatalog is a catalog process and the link through which gateways reach it.
type realCatalog struct {
	run          *realRun
	id           string
	args         []string
	httpAddr     string
	link         *faultnet.Link
	countedBytes int64 // bytes from the catalog that are in the recorder, under its lock
	mu           sync.Mutex
	proc         *faultnet.Proc // nil: it does not run
}

// start starts the process unless it runs.
func (c *realCatalog) start() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.proc != nil {
		return nil
	}
	var err error
	c.proc, _, err = c.run.starter.Start(c.run.dir, c.id, filepath.Join(c.run.options.Bin, "catalog"), c.args)
	return err
}

// kill kills the process if it runs.
func (c *realCatalog) kill() {
	c.mu.Lock()
	proc := c.proc
	c.proc = nil
	c.mu.Unlock()
	if proc != nil {
		proc.Kill()
	}
}

// startCatalogs starts the catalogs and adds all hosts to the list. From then on it records each connection
// through a link, which only gateways open, as a call.
func (run *realRun) startCatalogs() error {
	n := run.scenario.Catalog.Instances
	var peers []string
	for i := range n {
		c := &realCatalog{run: run, id: fmt.Sprintf("c%d", i+1), httpAddr: fmt.Sprintf("%s199.%d:8500", run.netPrefix, i+1)}
		raft := fmt.Sprintf("%s199.%d:7500", run.netPrefix, i+1)
		var err error
		if c.link, err = faultnet.NewLink(c.httpAddr); err != nil {
			return err
		}
		c.args = []string{"-id", c.id, "-data", filepath.Join(run.dir, c.id), "-raft", raft, "-http", c.httpAddr, "-heartbeat", "200ms", "-stale-after", "1s"}
		peers = append(peers, c.id+"="+raft+"/"+c.httpAddr)
		run.catalogs = append(run.catalogs, c)
	}
	for _, c := range run.catalogs {
		if n > 1 {
			c.args = append(c.args, "-peers", strings.Join(peers, ","))
		}
		if err := c.start(); err != nil {
			return err
		}
	}
	for _, host := range run.hosts {
		if err := run.listHost(host); err != nil {
			return err
		}
	}
	for i, c := range run.catalogs {
		c.link.OnAccept(func() {
			run.record(func(r *Recorder, now Time) { r.RecordCall(i, now, 0, false) })
		})
	}
	return nil
}

// listEntry returns a host in the format of the list.
func (run *realRun) listEntry(host *loopbackHost) map[string]any {
	started := int64(0)
	host.mu.Lock()
	defer host.mu.Unlock()
	if host.model.Started >= 0 {
		started = run.startedAt.Add(host.model.Started).UnixMilli()
	}
	return map[string]any{"id": host.model.ID, "addr": host.addr, "zone": host.model.Spec.Zone, "kind": host.model.Spec.Kind,
		"state": "ready", "weight": 1, "started_ms": started}
}

// listHost writes a host to the list.
func (run *realRun) listHost(host *loopbackHost) error {
	entry := run.listEntry(host)
	id := entry["id"].(string)
	delete(entry, "id")
	return run.writeMember(http.MethodPut, id, entry)
}

// writeMember sends a change of a host to the catalogs in turn until one accepts it. A nil body sends none.
// It gives up after 150 attempts, which are 100 ms apart.
func (run *realRun) writeMember(method, id string, body any) error {
	var lastErr error
	for attempt := range 150 {
		c := run.catalogs[attempt%len(run.catalogs)]
		var requestBody io.Reader
		if body != nil {
			b, err := json.Marshal(body)
			if err != nil {
				return err
			}
			requestBody = bytes.NewReader(b)
		}
		req, err := http.NewRequestWithContext(run.ctx, method, "http://"+c.httpAddr+"/catalog/members/"+id, requestBody)
		if err != nil {
			return err
		}
		resp, err := run.httpClient.Do(req)
		if err == nil {
			answer, _ := io.ReadAll(io.LimitReader(resp.Body, 300))
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
			err = fmt.Errorf("%s: %s", resp.Status, answer)
		}
		lastErr = err
		select {
		case <-run.ctx.Done():
			return run.ctx.Err()
		case <-time.After(100 * time.Millisecond):
		}
	}
	return fmt.Errorf("host %s could not be listed: %w", id, lastErr)
}

// scheduleFaults schedules the start and the end of every fault.
func (run *realRun) scheduleFaults() {
	s := run.scenario
	for faultIndex := range s.Faults {
		f := &s.Faults[faultIndex]
		switch f.Target {
		case "catalog":
			run.at(f.Start.std(), func() { run.applyCatalogFault(f, true) })
			if f.Length > 0 {
				run.at(f.Start.std()+f.Length.std(), func() { run.applyCatalogFault(f, false) })
			}
		case "gateways":
			for step, targets := range s.faultTargets(s.Gateways.Count, s.zoneOfGateway, f, faultIndex) {
				for _, i := range targets {
					run.at(f.Start.std()+Time(step)*f.StepInterval.std(), func() { run.applyGatewayFault(f, run.gateways[i]) })
				}
			}
		case "hosts":
			for step, targets := range s.faultTargets(len(run.hosts), s.zoneOfHost, f, faultIndex) {
				for _, i := range targets {
					run.at(f.Start.std()+Time(step)*f.StepInterval.std(), func() { run.applyHostFault(f, run.hosts[i]) })
				}
			}
		}
	}
}

// applyCatalogFault starts a fault of the list service, or ends it if on is false. The fault affects the first
// catalogs, as many as f.Share says, or all if that is 0; kill-leader affects only the leader.
func (run *realRun) applyCatalogFault(f *Fault, on bool) {
	for i, c := range run.catalogs {
		if f.Share > 0 && i >= int(math.Round(f.Share*float64(len(run.catalogs)))) {
			continue
		}
		switch {
		case f.Action == "kill-leader" && on:
			run.leader().kill()
			return
		case f.Action == "kill-leader":
			for _, c := range run.catalogs {
				c.start()
			}
			return
		case f.Action == "slow" && on:
			c.link.Delay(f.Delay.std())
		case f.Action == "busy" && on:
			c.link.Retarget(run.busyAddr())
			c.link.Set(faultnet.Reset) // closes the open connections, as a restart of the service does
			c.link.Set(faultnet.Pass)
		case !on:
			c.link.Delay(0)
			c.link.Retarget(c.httpAddr)
			c.link.Set(faultnet.Pass)
		default:
			c.link.Set(map[string]faultnet.Mode{"down": faultnet.Refuse, "reset": faultnet.Reset, "black-hole": faultnet.Blackhole}[f.Action])
		}
	}
}

// busyAddr returns the address of an HTTP server that answers 503 to everything, or "" if it cannot listen.
// The first call starts the server.
func (run *realRun) busyAddr() string {
	run.busyMu.Lock()
	defer run.busyMu.Unlock()
	if run.busyListener == nil {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return ""
		}
		run.busyListener = ln
		go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Connection", "close")
			http.Error(w, "busy", http.StatusServiceUnavailable)
		}))
	}
	return run.busyListener.Addr().String()
}

// leader returns the catalog that reports to be the leader, or the first if none does.
func (run *realRun) leader() *realCatalog {
	for _, c := range run.catalogs {
		if resp, err := run.httpClient.Get("http://" + c.httpAddr + "/catalog/status"); err == nil {
			b, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			if bytes.Contains(b, []byte(`"Leader"`)) {
				return c
			}
		}
	}
	return run.catalogs[0]
}

// applyGatewayFault starts a fault of a gateway and schedules its end.
func (run *realRun) applyGatewayFault(f *Fault, g *realGateway) {
	end := run.now() + f.Length.std()
	atEnd := func(do func()) {
		if f.Length > 0 || f.Action == "restart" {
			run.at(end, do)
		}
	}
	switch f.Action {
	case "kill", "restart":
		g.kill()
		atEnd(g.start) // set only now: a start has no effect, or no free address, while the old process runs
	case "term":
		g.setAdmitted(false)
		g.withProcess(func(proc *faultnet.Proc) { proc.Signal(syscall.SIGTERM) })
		run.at(run.now()+run.scenario.longestDeadline()+700*time.Millisecond, g.kill)
		atEnd(g.start)
	case "stop":
		g.withProcess((*faultnet.Proc).Stop)
		atEnd(func() { g.withProcess((*faultnet.Proc).Cont) })
	case "reconfigure":
		g.configured = max(1, int(f.Factor*float64(run.scenario.Gateways.Configured)))
		if g.writeConfig() == nil {
			g.withProcess(func(proc *faultnet.Proc) { proc.Signal(syscall.SIGHUP) })
		}
	}
}

// applyHostFault starts a fault of a host and schedules its end.
func (run *realRun) applyHostFault(f *Fault, host *loopbackHost) {
	listingDelay := run.scenario.Catalog.ListingDelay.std()
	atEnd := func(do func()) {
		if f.Length > 0 {
			run.at(run.now()+f.Length.std(), do)
		}
	}
	restart := func() {
		host.update(func(h *Host) { h.Restart(run.now()) }, true)
		if host.listen() == nil {
			run.at(run.now()+listingDelay, func() { run.listHost(host) })
		}
	}
	switch f.Action {
	case "kill":
		host.update(func(h *Host) { h.Kill() }, true)
		run.at(run.now()+listingDelay, func() {
			host.mu.Lock()
			dead := host.model.Condition == Dead
			host.mu.Unlock()
			if dead {
				run.writeMember(http.MethodDelete, host.model.ID, nil)
			}
		})
		atEnd(restart)
	case "silence":
		host.update(func(h *Host) { h.Silence() }, false)
		atEnd(restart)
	case "cold":
		restart()
	case "slow":
		host.update(func(h *Host) { h.SlowFactor = f.Factor }, false)
		atEnd(func() { host.update(func(h *Host) { h.SlowFactor = 1 }, false) })
	case "fail":
		host.update(func(h *Host) { h.Condition = Failing }, false)
		atEnd(func() { host.update(func(h *Host) { h.Condition = Serving }, false) })
	case "refuse":
		host.update(func(h *Host) { h.Kill(); h.Condition = Refusing }, true)
		atEnd(func() {
			host.update(func(h *Host) { h.Condition = Serving; h.Incarnation++ }, false)
			host.listen()
		})
	}
}
