// Package hostlist has the list of hosts in the format of discovery, which gateways also use among
// themselves and in their configuration.
package hostlist

import "bramblelock"

// List is the list of hosts, or changes of it, in the format of discovery.
type List struct {
	Version uint64
	Full    bool
	Servers []Member
}

// Member is one host of the list.
type Member struct {
	ID        string
	Addr      string
	Zone      string
	Kind      string
	Cell      int
	State     string
	StartedMS int64 `json:"started_ms"`
}

// HostState parses the state of a host. A host in an unknown state counts as draining.
func (m *Member) HostState() bramblelock.HostState {
	switch m.State {
	case "ready":
		return bramblelock.Ready
	case "gone":
		return bramblelock.Removed
	}
	return bramblelock.Draining
}
