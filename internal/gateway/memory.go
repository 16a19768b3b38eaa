package gateway

import (
	"sync/atomic"

	"bramblelock/internal/gateway/config"
)

// This file divides the memory limit: a fixed part for the program and the runtime, and shares of the rest for
// the connections of clients and to hosts, the heads of requests, and bodies and answers that are buffered. What is
// left is for garbage and stacks.

const (
	// fixedMemoryMB is what the program takes without any request: its text, the runtime and its tables.
	fixedMemoryMB = 14
	// minUsableShare is the least share of the memory limit that is divided.
	minUsableShare = 0.5

	// bufferMemoryShare is for bodies and answers. Two processes share it during an upgrade.
	bufferMemoryShare   = 0.18
	defaultBufferMemory = 64 << 20 // in bytes; used without a memory limit
	// headMemoryShare is for the heads of requests.
	headMemoryShare   = 0.08
	defaultHeadMemory = 16 << 20 // in bytes; used without a memory limit
	// connMemoryShare is for the connections of clients.
	connMemoryShare = 0.36
	// connMemory is what the connection of a client takes, in bytes: two buffers of net/http, the stack of its
	// goroutine, and a request with a short head and body.
	connMemory = 18 << 10
	// hostConnMemoryShare is for the connections to hosts.
	hostConnMemoryShare = 0.18
	// hostConnMemory is what a connection to a host takes, in bytes: its buffer, and the stacks of its attempt and of
	// the goroutines that serve it.
	hostConnMemory = 14 << 10
)

// usableMemory returns how many bytes of the memory limit are divided.
func usableMemory(cfg *config.Config) float64 {
	return max(float64(cfg.MemoryMB)-fixedMemoryMB, minUsableShare*float64(cfg.MemoryMB)) * (1 << 20)
}

// maxClientConns returns how many connections of clients there may be: a share of the descriptors, and of the
// memory if there is a limit.
func maxClientConns(cfg *config.Config) int {
	byDescriptors := cfg.Sockets * maxClientConnPercent / 100
	if cfg.MemoryMB == 0 {
		return byDescriptors
	}
	return min(byDescriptors, int(connMemoryShare*usableMemory(cfg)/connMemory))
}

// maxHostConns returns how many connections to hosts there may be: a share of the descriptors, and of the memory if there
// is a limit.
func maxHostConns(cfg *config.Config) int {
	byDescriptors := cfg.Sockets * maxHostConnPercent / 100
	if cfg.MemoryMB == 0 {
		return byDescriptors
	}
	return min(byDescriptors, int(hostConnMemoryShare*usableMemory(cfg)/hostConnMemory))
}

// memoryBudget limits how many bytes all requests together may hold for one purpose.
type memoryBudget struct {
	remaining atomic.Int64
	reserve   int64 // what acquireSpare leaves
}

// newMemoryBudget returns a budget of a share of the usable memory or, without a limit, of defaultBytes.
func newMemoryBudget(cfg *config.Config, share float64, defaultBytes int64) *memoryBudget {
	b := new(memoryBudget)
	n := int64(share * usableMemory(cfg))
	if cfg.MemoryMB == 0 {
		n = defaultBytes
	}
	if cfg.AcceptFD != 0 {
		n /= 2
	}
	b.remaining.Store(n)
	b.reserve = n / 2
	return b
}

// newBufferBudget returns the budget for buffered bodies and answers.
func newBufferBudget(cfg *config.Config) *memoryBudget {
	return newMemoryBudget(cfg, bufferMemoryShare, defaultBufferMemory)
}

// acquire takes n bytes from the budget. If fewer remain, it takes none and returns false. Bytes that
// were taken must be returned with release.
func (b *memoryBudget) acquire(n int) bool {
	if b.remaining.Add(int64(-n)) >= 0 {
		return true
	}
	b.remaining.Add(int64(n))
	return false
}

// acquireSpare takes n bytes, as acquire does, but only if half of the whole budget remains after that. It is
// for memory that a request can do without.
func (b *memoryBudget) acquireSpare(n int) bool {
	if b.remaining.Add(int64(-n)) >= b.reserve {
		return true
	}
	b.remaining.Add(int64(n))
	return false
}

// release returns n bytes to the budget.
func (b *memoryBudget) release(n int) { b.remaining.Add(int64(n)) }
