package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"

	"bramblelock"
	"bramblelock/internal/gateway/hostlist"
)

const (
	maxPeerListHosts = 20_000  // limit on the hosts of a list from a peer
	maxVersionLead   = 1 << 20 // limit on how far the version of a list from a peer may be ahead of the list here
)

// Roster passes lists from discovery to the loop and keeps the present list of hosts, which it
// shares with peers (the other gateways of the fleet). A gateway without a list uses one from a peer
// until discovery sends one. A gateway whose list is from discovery, or was known at the start, uses
// none from a peer.
type Roster struct {
	loop ListHandler

	mu            sync.Mutex
	version       uint64
	hosts         map[string]hostlist.Member
	authoritative bool   // the list is from discovery or was known at the start, not from a peer
	encoded       []byte // the list in JSON; nil if not encoded yet
}

// NewRoster returns a Roster that starts from the known list and passes changes to loop.
func NewRoster(known hostlist.List, loop ListHandler) *Roster {
	r := &Roster{loop: loop, hosts: map[string]hostlist.Member{}}
	if len(known.Servers) > 0 {
		r.authoritative = true
		r.merge(bramblelock.ListFull, known)
	}
	return r
}

// HandleList applies a list from discovery or changes of it, and passes them on to the loop. A loss of
// discovery is only passed on.
func (r *Roster) HandleList(kind bramblelock.ListKind, list hostlist.List) {
	if !kind.IsLoss() {
		r.mu.Lock()
		if !r.authoritative {
			r.hosts = map[string]hostlist.Member{} // discovery replaces a list from a peer
		}
		r.authoritative = true
		r.merge(kind, list)
		r.mu.Unlock()
	}
	r.loop.HandleList(kind, list)
}

// merge replaces the hosts by a full list, or applies changes to them. The caller holds r.mu, or r is
// not shared yet.
func (r *Roster) merge(kind bramblelock.ListKind, list hostlist.List) {
	if kind == bramblelock.ListFull {
		r.hosts = make(map[string]hostlist.Member, len(list.Servers))
	}
	for _, m := range list.Servers {
		if m.HostState() == bramblelock.Removed {
			delete(r.hosts, m.ID)
		} else {
			r.hosts[m.ID] = m
		}
	}
	r.version, r.encoded = list.Version, nil
}

// Empty returns whether there is no list, or one without hosts.
func (r *Roster) Empty() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.hosts) == 0
}

// Offer returns the encoded list for a peer, or nil if there is none.
func (r *Roster) Offer() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.encoded == nil && len(r.hosts) > 0 {
		list := hostlist.List{Version: r.version, Full: true}
		for _, m := range r.hosts {
			list.Servers = append(list.Servers, m)
		}
		r.encoded, _ = json.Marshal(list)
	}
	return r.encoded
}

var errVersionTooHigh = errors.New("its version is far ahead of ours, which is kept")

// Take handles an encoded list from a peer. If the list here is not from discovery, was not known at
// the start and is not as new as the peer's, the peer's list replaces it and is passed on to the loop
// as a saved list, which does not count as a notification. An error says why an invalid list is refused.
func (r *Roster) Take(encoded []byte) error {
	var list hostlist.List
	if err := json.Unmarshal(encoded, &list); err != nil {
		return err
	}
	if len(list.Servers) == 0 || len(list.Servers) > maxPeerListHosts {
		return fmt.Errorf("it has %d hosts, not 1 to %d", len(list.Servers), maxPeerListHosts)
	}
	for _, m := range list.Servers {
		if _, _, err := net.SplitHostPort(m.Addr); err != nil || m.ID == "" {
			return fmt.Errorf("host %q at %q: no id or no host:port", m.ID, m.Addr)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.hosts) > 0 && list.Version > r.version+maxVersionLead {
		return errVersionTooHigh
	}
	if r.authoritative || len(r.hosts) > 0 && list.Version <= r.version {
		return nil // the list here is authoritative or at least as new
	}
	r.merge(bramblelock.ListFull, list)
	slog.Info("list of hosts taken from a peer until discovery gives one", "version", list.Version, "hosts", len(list.Servers))
	r.loop.HandleList(bramblelock.ListSaved, list)
	return nil
}
