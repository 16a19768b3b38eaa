// Package catalog is the project's discovery service: a host list replicated on
// hashicorp/raft and served in the form of the discovery protocol (whole list, and
// watches of one JSON object a line).
package catalog

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"sort"
	"sync"

	"github.com/hashicorp/raft"
)

// Member is one host of the list, in the protocol's form.
type Member struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

// List is a whole list (Full) or the changes after an earlier version.
type List struct {
	Version uint64   `json:"version"`
	Full    bool     `json:"full"`
	Servers []Member `json:"servers"`
}

// Patch is the body of a write: what it names is set, the rest of an existing entry
// stays. A new entry needs Addr; its state is ready unless told.
type Patch struct {
	Addr      *string  `json:"addr"`
	Zone      *string  `json:"zone"`
	Kind      *string  `json:"kind"`
	Cell      *int     `json:"cell"`
	State     *string  `json:"state"`
	Weight    *float64 `json:"weight"`
	StartedMS *int64   `json:"started_ms"`
}

// Limits of what a write may carry.
const (
	MaxBodyBytes       = 64 << 10 // bytes of a write's body
	MaxIDBytes         = 128      // bytes of an id
	MaxFieldBytes      = 256      // bytes of addr, zone or kind
	maxRetainedChanges = 4096     // changes kept for watches that resume
)

// ErrInvalid marks a write that is refused for what it says; nothing of it is applied.
var ErrInvalid = errors.New("invalid write")

func invalidf(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrInvalid, fmt.Sprintf(format, args...))
}

// ValidateID checks an id: 1 to MaxIDBytes bytes of letters, digits and ".-_:".
func ValidateID(id string) error {
	if id == "" || len(id) > MaxIDBytes {
		return invalidf("id must have 1 to %d bytes", MaxIDBytes)
	}
	for _, c := range []byte(id) {
		ok := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' ||
			c == '.' || c == '-' || c == '_' || c == ':'
		if !ok {
			return invalidf("id may hold only letters, digits and .-_:")
		}
	}
	return nil
}

// DecodePatch reads a write's body strictly: one JSON object, no unknown key, no
// trailing data.
func DecodePatch(body []byte) (Patch, error) {
	var p Patch
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&p); err != nil {
		return p, invalidf("body: %v", err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return p, invalidf("body: data after the object")
	}
	return p, nil
}

// apply returns m with p laid over it, or why that is refused. exists says whether
// m is an entry of the list.
func (p *Patch) apply(m Member, exists bool) (Member, error) {
	if !exists {
		if p.Addr == nil {
			return m, invalidf("a new entry needs addr")
		}
		m.State, m.Weight = "ready", 1
	}
	set := func(dst *string, src *string, name string) error {
		if src == nil {
			return nil
		}
		if len(*src) > MaxFieldBytes {
			return invalidf("%s is longer than %d bytes", name, MaxFieldBytes)
		}
		*dst = *src
		return nil
	}
	if err := set(&m.Addr, p.Addr, "addr"); err != nil {
		return m, err
	}
	if err := set(&m.Zone, p.Zone, "zone"); err != nil {
		return m, err
	}
	if err := set(&m.Kind, p.Kind, "kind"); err != nil {
		return m, err
	}
	if _, port, err := net.SplitHostPort(m.Addr); err != nil || port == "" {
		return m, invalidf("addr must be host:port")
	}
	if p.State != nil {
		if *p.State != "ready" && *p.State != "draining" {
			return m, invalidf("state must be ready or draining (gone is DELETE)")
		}
		m.State = *p.State
	}
	if p.Cell != nil {
		if *p.Cell < 0 {
			return m, invalidf("cell must not be negative")
		}
		m.Cell = *p.Cell
	}
	if p.Weight != nil {
		w := *p.Weight
		if math.IsNaN(w) || w < 0 || w > 1e6 {
			return m, invalidf("weight must be from 0 to 1e6")
		}
		m.Weight = w
	}
	if p.StartedMS != nil {
		if *p.StartedMS < 0 {
			return m, invalidf("started_ms must not be negative")
		}
		m.StartedMS = *p.StartedMS
	}
	return m, nil
}

// command is one raft log entry.
type command struct {
	Op    string `json:"op"` // "put" or "del"
	ID    string `json:"id"`
	Patch Patch  `json:"patch,omitempty"`
	Base  uint64 `json:"base,omitempty"` // of the versions, where the list has none yet
}

// change is one applied change, kept for watches; Line is the member encoded once.
type change struct {
	Version uint64
	ID      string
	Encoded []byte
}

// Store is the replicated list: raft's FSM, and what watches read.
type Store struct {
	mu            sync.Mutex
	members       map[string]Member
	versionBase   uint64        // added to raft's index, so that no other catalog has counted the same
	version       uint64        // base and raft index of the entry that last changed the list
	changes       []change      // the last changes, oldest first
	resumableFrom uint64        // every change after floor is in ring
	changed       chan struct{} // closed at the next change
	encodedList   []byte        // the whole list as of version, encoded once; nil: not yet
}

// NewStore returns an empty list.
func NewStore() *Store {
	return &Store{members: map[string]Member{}, changed: make(chan struct{})}
}

// applyResult is what Apply returns for a command.
type applyResult struct {
	Version uint64
	Err     error
}

// Apply applies one committed entry; it is raft's to call.
func (s *Store) Apply(entry *raft.Log) any {
	var c command
	if err := json.Unmarshal(entry.Data, &c); err != nil {
		return applyResult{Err: invalidf("entry: %v", err)}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.members[c.ID]
	var m Member
	switch c.Op {
	case "put":
		var err error
		if m, err = c.Patch.apply(old, exists); err != nil {
			return applyResult{Version: s.version, Err: err}
		}
		m.ID = c.ID
		s.members[c.ID] = m
	case "del":
		if !exists {
			return applyResult{Version: s.version, Err: ErrNotFound}
		}
		m = old
		m.State = "gone"
		delete(s.members, c.ID)
	default:
		return applyResult{Version: s.version, Err: invalidf("op %q", c.Op)}
	}
	line, _ := json.Marshal(m)
	s.setVersion(c.Base, entry.Index)
	s.changes = append(s.changes, change{Version: s.version, ID: c.ID, Encoded: line})
	if len(s.changes) > maxRetainedChanges {
		s.resumableFrom = s.changes[len(s.changes)-maxRetainedChanges-1].Version
		s.changes = append(s.changes[:0:0], s.changes[len(s.changes)-maxRetainedChanges:]...)
	}
	close(s.changed)
	s.changed, s.encodedList = make(chan struct{}), nil
	return applyResult{Version: s.version}
}

// setVersion takes the version of a change at a raft index; s.mu is held. The first change gives the
// base: what was counted before it was counted by another catalog.
func (s *Store) setVersion(base, index uint64) {
	if s.versionBase == 0 {
		s.versionBase = base
		if s.version == 0 {
			s.resumableFrom = base + index - 1
		}
	}
	s.version = s.versionBase + index
}

// VersionBase is what versions are counted from; 0: no change has given it yet.
func (s *Store) VersionBase() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versionBase
}

// ErrNotFound is the answer to a change of an entry that is not in the list.
var ErrNotFound = errors.New("no such entry")

// Version returns the list's version.
func (s *Store) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// Get says whether id is in the list.
func (s *Store) Get(id string) (Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.members[id]
	return m, ok
}

// ChangesSince returns one line of the protocol with what changed after version after,
// the whole list where the ring no longer holds that, or nothing where after is the
// version or newer. moved is closed at the next change.
func (s *Store) ChangesSince(afterVersion uint64) (line []byte, version uint64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if afterVersion >= s.version {
		return nil, s.version, s.changed
	}
	if afterVersion < s.resumableFrom {
		return s.encodedListLocked(), s.version, s.changed
	}
	start := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].Version > afterVersion })
	// The newest change of an entry says all; older ones of it are left out.
	newest := map[string]int{}
	for j := start; j < len(s.changes); j++ {
		newest[s.changes[j].ID] = j
	}
	var buf bytes.Buffer
	fmt.Fprintf(&buf, `{"version":%d,"full":false,"servers":[`, s.version)
	firstChange := true
	for j := start; j < len(s.changes); j++ {
		if newest[s.changes[j].ID] != j {
			continue
		}
		if !firstChange {
			buf.WriteByte(',')
		}
		firstChange = false
		buf.Write(s.changes[j].Encoded)
	}
	buf.WriteString("]}\n")
	return buf.Bytes(), s.version, s.changed
}

// encodeNoChanges is one line of the protocol that says that nothing has changed since a version.
func encodeNoChanges(version uint64) []byte {
	return fmt.Appendf(nil, `{"version":%d,"full":false,"servers":[]}`+"\n", version)
}

// CanResume says whether a watch after a version gets changes, not the whole list.
func (s *Store) CanResume(afterVersion uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return afterVersion >= s.resumableFrom
}

// FullList returns the whole list as one line of the protocol, and its version.
func (s *Store) FullList() ([]byte, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.encodedListLocked(), s.version
}

func (s *Store) encodedListLocked() []byte {
	if s.encodedList == nil {
		b, _ := json.Marshal(List{Version: s.version, Full: true, Servers: s.sortedMembersLocked()})
		s.encodedList = append(b, '\n')
	}
	return s.encodedList
}

func (s *Store) sortedMembersLocked() []Member {
	out := make([]Member, 0, len(s.members))
	for _, m := range s.members {
		out = append(out, m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Snapshot is raft's to call: a copy of the list and its version.
func (s *Store) Snapshot() (raft.FSMSnapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return snapshot{Base: s.versionBase, Version: s.version, Servers: s.sortedMembersLocked()}, nil
}

// Restore replaces the list with a snapshot's; watches then get the whole list.
func (s *Store) Restore(r io.ReadCloser) error {
	defer r.Close()
	var snap snapshot
	if err := json.NewDecoder(r).Decode(&snap); err != nil {
		return fmt.Errorf("catalog snapshot: %w", err)
	}
	members := make(map[string]Member, len(snap.Servers))
	for _, m := range snap.Servers {
		if err := ValidateID(m.ID); err != nil {
			return fmt.Errorf("catalog snapshot: %w", err)
		}
		members[m.ID] = m
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members, s.versionBase, s.version, s.resumableFrom, s.changes = members, snap.Base, snap.Version, snap.Version, nil
	close(s.changed)
	s.changed, s.encodedList = make(chan struct{}), nil
	return nil
}

type snapshot struct {
	Base    uint64   `json:"base,omitempty"`
	Version uint64   `json:"version"`
	Servers []Member `json:"servers"`
}

func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if err := json.NewEncoder(sink).Encode(s); err != nil {
		sink.Cancel()
		return err
	}
	return sink.Close()
}

func (snapshot) Release() {}
