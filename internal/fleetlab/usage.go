package fleetlab

import (
	"time"

	"bramblelock/internal/faultnet"
)

// usageSampleInterval is the time between two samples of what the gateways hold.
const usageSampleInterval = time.Second

// GatewayUsage holds what the gateway processes of a run with real processes used, each figure as the mean
// over the gateways that ran. A gateway that was restarted counts once, with all of its processes.
type GatewayUsage struct {
	Gateways     int     `json:"gateways"`       // gateways that ran
	CPUSeconds   float64 `json:"cpu_s"`          // processor time of all processes of a gateway
	PeakMemoryMB float64 `json:"peak_memory_mb"` // largest resident memory of a gateway in any sample
	Descriptors  float64 `json:"descriptors"`    // most open file descriptors of a gateway in any sample
	NewConns     float64 `json:"new_conns"`      // connections made to hosts
	ListBytes    float64 `json:"list_bytes"`     // bytes that catalogs sent
}

// gatewayProcesses are the processes that a gateway has had, and the largest values in the samples of them.
type gatewayProcesses struct {
	all             []*faultnet.Proc
	peakMemoryKB    int
	mostDescriptors int
}

// add adds a process that was started.
func (p *gatewayProcesses) add(proc *faultnet.Proc) { p.all = append(p.all, proc) }

// sample reads what the latest process holds.
func (p *gatewayProcesses) sample() {
	if len(p.all) == 0 {
		return
	}
	usage := readProcessUsage(p.all[len(p.all)-1].Pid())
	p.peakMemoryKB = max(p.peakMemoryKB, usage.peakRSSKB)
	p.mostDescriptors = max(p.mostDescriptors, usage.descriptors)
}

// cpuTime returns the processor time of all processes.
func (p *gatewayProcesses) cpuTime() (total time.Duration, err error) {
	for _, proc := range p.all {
		used, err := proc.CPUTime()
		if err != nil {
			return 0, err
		}
		total += used
	}
	return total, nil
}

// sampleGateways samples what all gateways hold until the run ends.
func (run *realRun) sampleGateways() {
	ticker := time.NewTicker(usageSampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-run.ctx.Done():
			return
		case <-ticker.C:
		}
		for _, g := range run.gateways {
			g.mu.Lock()
			g.processes.sample()
			g.mu.Unlock()
		}
	}
}

// gatewayUsage returns what the gateways used, or nil if none ran or a process cannot be read. The figures of
// connections and lists come from the result of the run.
func (run *realRun) gatewayUsage(result *Result) *GatewayUsage {
	var out GatewayUsage
	for _, g := range run.gateways {
		g.mu.Lock()
		processes := g.processes
		g.mu.Unlock()
		if len(processes.all) == 0 {
			continue
		}
		cpuTime, err := processes.cpuTime()
		if err != nil {
			return nil
		}
		out.Gateways++
		out.CPUSeconds += cpuTime.Seconds()
		out.PeakMemoryMB += float64(processes.peakMemoryKB) / 1024
		out.Descriptors += float64(processes.mostDescriptors)
	}
	if out.Gateways == 0 {
		return nil
	}
	out.NewConns = float64(result.Conns.New)
	for _, catalog := range result.Catalogs {
		out.ListBytes += float64(catalog.Bytes)
	}
	for _, sum := range []*float64{&out.CPUSeconds, &out.PeakMemoryMB, &out.Descriptors, &out.NewConns, &out.ListBytes} {
		*sum /= float64(out.Gateways)
	}
	return &out
}
