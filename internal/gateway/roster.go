package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"

	"lynxspool"
)

const (
	maxRoster = 20_000  // hosts of a list that a peer gives
	farAhead  = 1 << 20 // a version so far beyond ours is not believed of a peer
)

// Roster stands between discovery and the loop and keeps the list of hosts as it is, to be
// shared with peers. A gateway that has none serves on a peer's until discovery confirms or
// replaces it; one that has its own keeps that.
type Roster struct {
	loop Lister

	mu      sync.Mutex
	version uint64
	hosts   map[string]Member
	own     bool // the list is from discovery or was known at the start, else a peer's
	offer   []byte
}

// NewRoster returns a Roster that begins with the known list and tells loop of changes.
func NewRoster(known MemberList, loop Lister) *Roster {
	r := &Roster{loop: loop, hosts: map[string]Member{}}
	if len(known.Servers) > 0 {
		r.own = true
		r.merge(lynxspool.ListFull, known)
	}
	return r
}

// Members takes what discovery tells, and passes it on.
func (r *Roster) Members(kind lynxspool.ListKind, list MemberList) {
	if !kind.IsLoss() {
		r.mu.Lock()
		if !r.own {
			r.hosts = map[string]Member{} // a peer's list is a hint that discovery ends
		}
		r.own = true
		r.merge(kind, list)
		r.mu.Unlock()
	}
	r.loop.Members(kind, list)
}

// merge enters a list; r.mu is held, or r not yet shared.
func (r *Roster) merge(kind lynxspool.ListKind, list MemberList) {
	if kind == lynxspool.ListFull {
		r.hosts = make(map[string]Member, len(list.Servers))
	}
	for _, m := range list.Servers {
		if m.state() == lynxspool.Removed {
			delete(r.hosts, m.ID)
		} else {
			r.hosts[m.ID] = m
		}
	}
	r.version, r.offer = list.Version, nil
}

// Empty says that there is no list to serve on.
func (r *Roster) Empty() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.hosts) == 0
}

// Offer returns the list for a peer, or nil with none.
func (r *Roster) Offer() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.offer == nil && len(r.hosts) > 0 {
		list := MemberList{Version: r.version, Full: true}
		for _, m := range r.hosts {
			list.Servers = append(list.Servers, m)
		}
		r.offer, _ = json.Marshal(list)
	}
	return r.offer
}

var errOwnList = errors.New("its version is far ahead of ours, which is kept")

// Take is a peer's list. It is passed on as a saved one, which answers no rule on what was
// told, and only by a gateway with no list of its own. An error says why it is refused.
func (r *Roster) Take(text []byte) error {
	var list MemberList
	if err := json.Unmarshal(text, &list); err != nil {
		return err
	}
	if len(list.Servers) == 0 || len(list.Servers) > maxRoster {
		return fmt.Errorf("it has %d hosts, not 1 to %d", len(list.Servers), maxRoster)
	}
	for _, m := range list.Servers {
		if _, _, err := net.SplitHostPort(m.Addr); err != nil || m.ID == "" {
			return fmt.Errorf("host %q at %q: no id or no host:port", m.ID, m.Addr)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.hosts) > 0 && list.Version > r.version+farAhead {
		return errOwnList
	}
	if r.own || len(r.hosts) > 0 && list.Version <= r.version {
		return nil // ours is as good
	}
	r.merge(lynxspool.ListFull, list)
	slog.Info("list of hosts taken from a peer until discovery gives one", "version", list.Version, "hosts", len(list.Servers))
	r.loop.Members(lynxspool.ListSaved, list)
	return nil
}
