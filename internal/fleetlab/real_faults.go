package fleetlab

import (
	"math"
	"net/http"
	"syscall"
	"time"

	"bramblelock/internal/faultnet"
)

// scheduleFaults schedules the start and the end of every fault.
func (run *realRun) scheduleFaults() {
	s := run.scenario
	for faultIndex := range s.Faults {
		f := &s.Faults[faultIndex]
		switch f.Target {
		case TargetCatalog:
			run.at(f.Start.std(), func() { run.applyCatalogFault(f, true) })
			if f.Length > 0 {
				run.at(f.Start.std()+f.Length.std(), func() { run.applyCatalogFault(f, false) })
			}
		case TargetGateways:
			for step, targets := range s.faultTargets(s.Gateways.Count, s.zoneOfGateway, f, faultIndex) {
				for _, i := range targets {
					run.at(f.Start.std()+Time(step)*f.StepInterval.std(), func() { run.applyGatewayFault(f, run.gateways[i]) })
				}
			}
		case TargetHosts:
			for step, targets := range s.faultTargets(len(run.hosts), s.zoneOfHost, f, faultIndex) {
				for _, i := range targets {
					run.at(f.Start.std()+Time(step)*f.StepInterval.std(), func() { run.applyHostFault(f, run.hosts[i]) })
				}
			}
		}
	}
}

// catalogLinkModes are the modes of the links to a catalog by the fault that they bring about.
var catalogLinkModes = map[FaultAction]faultnet.Mode{
	FaultDown:      faultnet.Refuse,
	FaultReset:     faultnet.Reset,
	FaultBlackHole: faultnet.Blackhole,
}

// applyCatalogFault starts a fault of the list service, or ends it if on is false. The fault affects the first
// catalogs, as many as f.Share says, or all if that is 0; kill-leader affects only the leader.
func (run *realRun) applyCatalogFault(f *Fault, on bool) {
	for i, c := range run.catalogs {
		if f.Share > 0 && i >= int(math.Round(f.Share*float64(len(run.catalogs)))) {
			continue
		}
		switch {
		case f.Action == FaultKillLeader && on:
			run.leader().kill()
			return
		case f.Action == FaultKillLeader:
			for _, c := range run.catalogs {
				c.start()
			}
			return
		case f.Action == FaultSlow && on:
			c.link.Delay(f.Delay.std())
		case f.Action == FaultBusy && on:
			c.link.Retarget(run.busyAddr())
			c.link.Set(faultnet.Reset) // closes the open connections, as a restart of the service does
			c.link.Set(faultnet.Pass)
		case !on:
			c.link.Delay(0)
			c.link.Retarget(c.httpAddr)
			c.link.Set(faultnet.Pass)
		default:
			c.link.Set(catalogLinkModes[f.Action])
		}
	}
}

// applyGatewayFault starts a fault of a gateway and schedules its end. A gateway that has not started is left
// alone: the end of the fault would start it, also where the scenario says that it never starts.
func (run *realRun) applyGatewayFault(f *Fault, g *realGateway) {
	if !g.hasStarted() {
		return
	}
	end := run.now() + f.Length.std()
	atEnd := func(do func()) {
		if f.Length > 0 || f.Action == FaultRestart {
			run.at(end, do)
		}
	}
	switch f.Action {
	case FaultKill, FaultRestart:
		g.kill()
		atEnd(g.start) // set only now: a start has no effect, or no free address, while the old process runs
	case FaultTerm:
		g.setAdmitted(false)
		g.withProcess(func(proc *faultnet.Proc) { proc.Signal(syscall.SIGTERM) })
		run.at(run.now()+run.scenario.longestDeadline()+700*time.Millisecond, g.kill)
		atEnd(g.start)
	case FaultStop:
		g.withProcess((*faultnet.Proc).Stop)
		atEnd(func() { g.withProcess((*faultnet.Proc).Cont) })
	case FaultReconfigure:
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
	case FaultKill:
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
	case FaultSilence:
		host.update(func(h *Host) { h.Silence() }, false)
		atEnd(restart)
	case FaultColdRestart:
		restart()
	case FaultSlow:
		host.update(func(h *Host) { h.SlowFactor = f.Factor }, false)
		atEnd(func() { host.update(func(h *Host) { h.SlowFactor = 1 }, false) })
	case FaultFail:
		host.update(func(h *Host) { h.Condition = Failing }, false)
		atEnd(func() { host.update(func(h *Host) { h.Condition = Serving }, false) })
	case FaultRefuse:
		host.update(func(h *Host) { h.Kill(); h.Condition = Refusing }, true)
		atEnd(func() {
			host.update(func(h *Host) { h.Condition = Serving; h.Incarnation++ }, false)
			host.listen()
		})
	}
}
