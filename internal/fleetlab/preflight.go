package fleetlab

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
)

// Memory of one process of each kind, with a margin: in fleets of 200 and 300 a gateway holds 12 to 16 MB
// and a catalog 20 to 95 MB.
const (
	gatewayMemoryMB = 18
	catalogMemoryMB = 100
)

// gatewayDescriptors is the limit on the descriptors of a gateway, as its configuration states it.
const gatewayDescriptors = 1024

// preflight returns an error if the real engine cannot run the scenario on this machine: it needs more file
// descriptors, memory or threads than there are, or has a fault that only the virtual engine supports.
func (s *Scenario) preflight() error {
	n, hosts := s.presentGateways(), s.hostCount()
	// Each gateway needs 8 client connections, one for health checks, a log file and two for calls at a
	// catalog. Each host needs a listener. Its connections are limited by MaxConns and by what the gateways
	// can open.
	hostConns := min(hosts*s.Rules.MaxConns, n*gatewayDescriptors)
	descriptors := n*(8+1+1+2) + hosts + hostConns + 200
	var lim syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &lim); err != nil {
		return err
	}
	if uint64(descriptors) > lim.Cur {
		return fmt.Errorf("too large for this machine: it needs up to %d file descriptors, the limit is %d", descriptors, lim.Cur)
	}
	if needed, available := n*gatewayMemoryMB+s.Catalog.Instances*catalogMemoryMB, availableMB(); available > 0 && needed > available*9/10 {
		return fmt.Errorf("too large for this machine: it needs about %d MB of memory, %d MB are available", needed, available)
	}
	processes := n + s.Catalog.Instances
	for _, f := range []string{"/proc/sys/kernel/pid_max", "/sys/fs/cgroup/pids.max"} {
		// A gateway has about 12 threads, each of which counts against the limit.
		if limit := readInt(f); limit > 0 && processes*12 > limit {
			return fmt.Errorf("too large for this machine: %d processes have about %d threads, the limit in %s is %d", processes, processes*12, f, limit)
		}
	}
	for i, f := range s.Faults {
		if f.Target == TargetLinks {
			return fmt.Errorf("fault %d: faults of links need the virtual engine", i+1)
		}
		if f.Target == TargetGateways && f.Action == FaultLateLists {
			return fmt.Errorf("fault %d: late lists at gateways need the virtual engine", i+1)
		}
		if f.Target == TargetHosts && (f.Action == FaultReplace || f.Action == FaultJoin) {
			return fmt.Errorf("fault %d: hosts that join need the virtual engine", i+1)
		}
	}
	return nil
}

// presentGateways returns the number of gateways that start.
func (s *Scenario) presentGateways() int {
	count := 0
	for _, present := range s.PresentRanks() {
		if present {
			count++
		}
	}
	return count
}

// availableMB returns the available memory in MB, or 0 if it is unknown.
func availableMB() int {
	text, _ := os.ReadFile("/proc/meminfo")
	for _, line := range strings.Split(string(text), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "MemAvailable:" {
			kb, _ := strconv.Atoi(f[1])
			return kb / 1024
		}
	}
	return 0
}

// readInt reads a file that contains a number. It returns 0 if that fails.
func readInt(path string) int {
	text, _ := os.ReadFile(path)
	n, _ := strconv.Atoi(strings.TrimSpace(string(text)))
	return n
}

// processUsage is what a process holds. All fields are 0 for a process that has ended.
type processUsage struct {
	rssKB       int // resident memory
	peakRSSKB   int // largest resident memory since the process started its program
	descriptors int // open file descriptors
}

// readProcessUsage reads what a process holds.
func readProcessUsage(pid int) (usage processUsage) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(text), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		switch fields[0] {
		case "VmRSS:":
			usage.rssKB, _ = strconv.Atoi(fields[1])
		case "VmHWM:":
			usage.peakRSSKB, _ = strconv.Atoi(fields[1])
		}
	}
	entries, _ := os.ReadDir(filepath.Join("/proc", strconv.Itoa(pid), "fd"))
	usage.descriptors = len(entries)
	return usage
}
