package gateway

import (
	"maps"

	"bramblelock"
)

// maxUnusedNames is how many names of zones, or of kinds of hosts, there may be beyond those in the
// settings before those are dropped that no listed host has.
const maxUnusedNames = 1000

// nameTable numbers the names of zones, or of kinds of hosts, for the Balancer. Names in the settings
// have the numbers from 0 on. A list may state others, which get the next free number, so that two
// unknown zones do not count as one.
type nameTable struct {
	numbers    map[string]int
	configured int // names in the settings, which are never dropped
	next       int // number of the next new name
}

// newNameTable returns a table with the numbered names in the settings.
func newNameTable(configured map[string]int) *nameTable {
	return &nameTable{numbers: maps.Clone(configured), configured: len(configured), next: len(configured)}
}

// number returns the number of a name, which is added if it is new.
func (t *nameTable) number(name string) int {
	n, ok := t.numbers[name]
	if !ok {
		n = t.next
		t.next++
		t.numbers[name] = n
	}
	return n
}

// dropUnused drops the names that no host has, if there are more than maxUnusedNames beyond those in the settings.
// numberOf returns the number that a host has in this table. The numbers of dropped names are not given to
// others: a request may have an attempt at a host that has left, and where it may be repeated only in the
// same zone, it must not go to another one. If the name returns, it has a new number, and such a request
// is not repeated.
func (t *nameTable) dropUnused(hosts map[bramblelock.HostID]*host, numberOf func(*host) int) {
	if len(t.numbers)-t.configured <= maxUnusedNames {
		return
	}
	used := map[int]bool{}
	for _, h := range hosts {
		used[numberOf(h)] = true
	}
	maps.DeleteFunc(t.numbers, func(_ string, n int) bool { return n >= t.configured && !used[n] })
}
