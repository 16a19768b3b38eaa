package fleetlab

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
)

// What one process of each kind takes, as measured on fleets of 200 and 300: a gateway
// holds 12 to 16 MB and a catalog 20 to 95 MB.
const (
	gatewayMemoryMB = 18
	catalogMemoryMB = 100
)

// preflight says what a real play needs that this machine has not: descriptors of this
// process, memory, processes, or a fault that only the virtual engine can make.
func (s *Scenario) preflight() error {
	n, hosts := s.Gateways.Count, s.hostCount()
	// Clients' connections, one for the health calls, a log file; a host's listener and its
	// table; two of each call at a catalog.
	descriptors := n*(8+1+1+2) + hosts*(1+s.Rules.MaxConns) + 200
	var lim syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &lim); err != nil {
		return err
	}
	if uint64(descriptors) > lim.Cur {
		return fmt.Errorf("too large for this machine: it may take %d descriptors, the limit is %d", descriptors, lim.Cur)
	}
	if needed, available := n*gatewayMemoryMB+s.Catalog.Instances*catalogMemoryMB, availableMB(); available > 0 && needed > available*9/10 {
		return fmt.Errorf("too large for this machine: it takes about %d MB, %d MB are free", needed, available)
	}
	processes := n + s.Catalog.Instances
	for _, f := range []string{"/proc/sys/kernel/pid_max", "/sys/fs/cgroup/pids.max"} {
		// A gateway has about 12 threads, and each counts.
		if limit := readInt(f); limit > 0 && processes*12 > limit {
			return fmt.Errorf("too large for this machine: %d processes have about %d threads, %s says %d", processes, processes*12, f, limit)
		}
	}
	for i, f := range s.Faults {
		if f.Target == "links" {
			return fmt.Errorf("fault %d: links between some gateways and some hosts are for the virtual engine", i+1)
		}
		if f.Target == "gateways" && f.Action == "late" {
			return fmt.Errorf("fault %d: late lists at some gateways are for the virtual engine", i+1)
		}
		if f.Target == "hosts" && (f.Action == "replace" || f.Action == "join") {
			return fmt.Errorf("fault %d: hosts that join are for the virtual engine", i+1)
		}
	}
	return nil
}

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

func readInt(path string) int {
	text, _ := os.ReadFile(path)
	n, _ := strconv.Atoi(strings.TrimSpace(string(text)))
	return n
}

// processUsage reads a process's resident memory in kB and its open descriptors.
func processUsage(pid int) (rssKB, descriptors int) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(text), "\n") {
		if f := strings.Fields(line); len(f) >= 2 && f[0] == "VmRSS:" {
			rssKB, _ = strconv.Atoi(f[1])
		}
	}
	entries, _ := os.ReadDir(filepath.Join("/proc", strconv.Itoa(pid), "fd"))
	return rssKB, len(entries)
}
