package fleetlab

import (
	"math"
	"time"

	"bramblelock"
)

// scheduleFaults schedules the start and the end of every fault.
func (w *world) scheduleFaults() {
	s := w.scenario
	for faultIndex := range s.Faults {
		f := &s.Faults[faultIndex]
		switch f.Target {
		case TargetCatalog:
			w.scheduleCatalogFault(f)
		case TargetLinks:
			w.scheduleLinkFault(f, faultIndex)
		case TargetMembers:
			w.schedulePartition(f, faultIndex)
		case TargetGateways:
			w.scheduleSteps(f, s.faultTargets(s.Gateways.Count, s.zoneOfGateway, f, faultIndex), func(rank int) {
				w.applyGatewayFault(f, w.gateways[rank])
			})
		case TargetHosts:
			w.scheduleSteps(f, s.faultTargets(s.hostCount(), s.zoneOfHost, f, faultIndex), func(index int) {
				w.applyHostFault(f, w.hosts[index])
			})
		}
	}
}

// scheduleSteps schedules the start of a fault for its targets, which are given by step.
func (w *world) scheduleSteps(f *Fault, targetsByStep [][]int, apply func(target int)) {
	for step, targets := range targetsByStep {
		for _, target := range targets {
			w.at(f.Start.std()+Time(step)*f.StepInterval.std(), func() { apply(target) })
		}
	}
}

// scheduleCatalogFault schedules the start and the end of a fault of the list service.
func (w *world) scheduleCatalogFault(f *Fault) {
	w.at(f.Start.std(), func() { w.applyCatalogFault(f, true) })
	if f.Length > 0 {
		w.at(f.Start.std()+f.Length.std(), func() { w.applyCatalogFault(f, false) })
	}
}

// schedulePartition schedules the start and the end of a partition of the membership.
func (w *world) schedulePartition(f *Fault, faultIndex int) {
	s := w.scenario
	partition := map[int]bool{}
	for _, targets := range s.faultTargets(s.Gateways.Count, s.zoneOfGateway, f, faultIndex) {
		for _, i := range targets {
			partition[i] = true
		}
	}
	w.at(f.Start.std(), func() { w.partition, w.partitionedAt = partition, w.now })
	if f.Length > 0 {
		w.at(f.Start.std()+f.Length.std(), func() { w.partition = nil })
	}
}

// catalogFaultModes are the modes of a list service by the fault that they model.
var catalogFaultModes = map[FaultAction]catalogMode{
	FaultDown:       catalogDown,
	FaultReset:      catalogReset,
	FaultBusy:       catalogBusy,
	FaultBlackHole:  catalogBlackHole,
	FaultKillLeader: catalogDown,
	FaultSlow:       catalogUp, // its calls take longer
}

// applyCatalogFault starts a fault of the list service, or ends it if on is false. The fault affects the first
// instances, as many as f.Share says, or all if that is 0; kill-leader affects only the first.
func (w *world) applyCatalogFault(f *Fault, on bool) {
	for i, c := range w.catalogs {
		if f.Share > 0 && i >= int(math.Round(f.Share*float64(len(w.catalogs)))) {
			continue
		}
		mode := catalogUp
		if on {
			mode = catalogFaultModes[f.Action]
		}
		c.callTime = 0
		if f.Action == FaultSlow && on {
			c.callTime = f.Delay.std()
		}
		c.setMode(mode)
		if f.Action == FaultKillLeader {
			return // the first instance is the leader
		}
	}
}

// scheduleLinkFault schedules the start and the end of a fault of links.
func (w *world) scheduleLinkFault(f *Fault, faultIndex int) {
	s := w.scenario
	fault := &linkFault{action: f.Action, gateways: map[int]bool{}, hosts: map[int]bool{}, delay: f.Delay.std()}
	for _, targets := range s.faultTargets(s.Gateways.Count, func(int) string { return f.Zone }, f, faultIndex) {
		for _, i := range targets {
			fault.gateways[i] = true
		}
	}
	hostSide := *f
	hostSide.Share = f.HostShare
	for _, targets := range s.faultTargets(s.hostCount(), s.zoneOfHost, &hostSide, faultIndex+500) {
		for _, i := range targets {
			fault.hosts[i] = true
		}
	}
	w.at(f.Start.std(), func() { w.linkFaults = append(w.linkFaults, fault) })
	if f.Length > 0 {
		w.at(f.Start.std()+f.Length.std(), func() {
			for i := range w.linkFaults {
				if w.linkFaults[i] == fault {
					w.linkFaults = append(w.linkFaults[:i:i], w.linkFaults[i+1:]...)
					return
				}
			}
		})
	}
}

// applyGatewayFault starts a fault of a gateway and schedules its end.
func (w *world) applyGatewayFault(f *Fault, g *gateway) {
	atEnd := func(do func()) {
		if f.Length > 0 {
			w.after(f.Length.std(), do)
		}
	}
	switch f.Action {
	case FaultKill:
		g.kill()
		atEnd(g.start)
	case FaultTerm:
		w.edgeBalancer.setAdmitted(g.rank, false)
		w.after(w.scenario.longestDeadline(), g.kill)
		atEnd(g.start)
	case FaultRestart:
		if g.up {
			g.kill()
			w.after(max(f.Length.std(), time.Millisecond), g.start)
		}
	case FaultStop:
		g.pause()
		atEnd(g.resume)
	case FaultLateLists:
		g.listDelay = f.Delay.std()
		atEnd(func() { g.listDelay = 0 })
	case FaultReconfigure:
		g.reconfigure(max(1, int(f.Factor*float64(w.scenario.Gateways.Configured))))
	}
}

// applyHostFault starts a fault of a host and schedules its end, which has no effect if the host has
// restarted meanwhile or is down from an overload.
func (w *world) applyHostFault(f *Fault, h *Host) {
	index, incarnation := h.Index, h.Incarnation
	atEnd := func(do func()) {
		if f.Length > 0 {
			w.after(f.Length.std(), func() {
				if h.Incarnation == incarnation && !h.overloadDown {
					do()
				}
			})
		}
	}
	restart := func() {
		h.Restart(w.now)
		w.after(w.scenario.Catalog.ListingDelay.std(), func() { w.updateListing(index, bramblelock.Ready) })
	}
	switch f.Action {
	case FaultKill:
		h.Kill()
		w.after(w.scenario.Catalog.ListingDelay.std(), func() {
			if h.Condition == Dead {
				w.updateListing(index, bramblelock.Removed)
			}
		})
		atEnd(restart)
	case FaultSilence:
		h.Silence()
		atEnd(restart)
	case FaultSlow:
		h.SlowFactor = f.Factor
		atEnd(func() { h.SlowFactor = 1 })
	case FaultFail:
		h.Condition = Failing
		atEnd(func() { h.Condition = Serving })
	case FaultRefuse:
		h.Kill()
		h.Condition = Refusing
		atEnd(func() { h.Condition = Serving; h.Incarnation++ })
	case FaultColdRestart:
		restart()
	case FaultReplace:
		w.updateListing(index, bramblelock.Draining)
		w.after(2*time.Second, func() {
			h.Kill()
			w.after(w.scenario.Catalog.ListingDelay.std(), func() { w.updateListing(index, bramblelock.Removed) })
		})
		w.addHost(h.Spec)
	case FaultJoin:
		w.addHost(h.Spec)
	}
}
