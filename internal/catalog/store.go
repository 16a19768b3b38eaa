// Package catalog implements the discovery service: a list of hosts that is replicated with
// hashicorp/raft and served over HTTP. A caller fetches the whole list as one JSON object, or
// opens a watch that streams the list and its changes as newline-delimited JSON.
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

// Member is one host of the list as the discovery protocol encodes it.
type Member struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"` // host:port
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`      // "ready", "draining", or "gone" in a change that removes the host
	Weight    float64 `json:"weight"`     // from 0 to 1e6
	StartedMS int64   `json:"started_ms"` // when the host started, in Unix milliseconds
}

// List is one message of the discovery protocol. If Full is set, Servers holds all hosts;
// otherwise it holds the hosts that changed since an earlier version, with removed hosts in state
// "gone".
type List struct {
	Version uint64   `json:"version"`
	Full    bool     `json:"full"`
	Servers []Member `json:"servers"`
}

// Patch is the body of a write. Fields that are present replace those of the entry; absent or null
// fields leave an existing entry unchanged. A new entry requires Addr and starts in state ready
// with weight 1 unless the patch sets these.
type Patch struct {
	Addr      *string  `json:"addr"`
	Zone      *string  `json:"zone"`
	Kind      *string  `json:"kind"`
	Cell      *int     `json:"cell"`
	State     *string  `json:"state"`
	Weight    *float64 `json:"weight"`
	StartedMS *int64   `json:"started_ms"`
}

// Limits on writes and on the retained changes.
const (
	MaxBodyBytes       = 64 << 10 // maximum size of the body of a write
	MaxIDBytes         = 128      // maximum length of an entry's id
	MaxFieldBytes      = 256      // maximum length of addr, zone and kind
	maxRetainedChanges = 4096     // number of recent changes kept for resuming watches
)

// ErrInvalid marks a malformed write. No part of such a write is applied.
var ErrInvalid = errors.New("invalid write")

func invalidf(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrInvalid, fmt.Sprintf(format, args...))
}

// ValidateID checks that id has 1 to MaxIDBytes bytes and consists of ASCII letters, digits and
// the characters ".-_:". Its errors wrap ErrInvalid.
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

// DecodePatch decodes the body of a write. It accepts exactly one JSON object, or null for a patch
// that sets nothing, and rejects unknown keys and trailing data. Its errors wrap ErrInvalid.
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

// validate checks the fields that p sets, whatever the list holds. Its errors wrap ErrInvalid.
func (p *Patch) validate() error {
	for _, field := range []struct {
		name  string
		value *string
	}{{"addr", p.Addr}, {"zone", p.Zone}, {"kind", p.Kind}} {
		if field.value != nil && len(*field.value) > MaxFieldBytes {
			return invalidf("%s is longer than %d bytes", field.name, MaxFieldBytes)
		}
	}
	if p.Addr != nil {
		if _, port, err := net.SplitHostPort(*p.Addr); err != nil || port == "" {
			return invalidf("addr must be host:port")
		}
	}
	if p.State != nil && *p.State != "ready" && *p.State != "draining" {
		return invalidf("state must be ready or draining (gone is DELETE)")
	}
	if p.Cell != nil && *p.Cell < 0 {
		return invalidf("cell must not be negative")
	}
	if p.Weight != nil && (math.IsNaN(*p.Weight) || *p.Weight < 0 || *p.Weight > 1e6) {
		return invalidf("weight must be from 0 to 1e6")
	}
	if p.StartedMS != nil && *p.StartedMS < 0 {
		return invalidf("started_ms must not be negative")
	}
	return nil
}

// apply returns m updated with the fields that p sets, or an error that wraps ErrInvalid. exists
// reports whether m is already in the list; if not, m is the zero Member.
func (p *Patch) apply(m Member, exists bool) (Member, error) {
	if err := p.validate(); err != nil {
		return Member{}, err
	}
	if !exists {
		if p.Addr == nil {
			return Member{}, invalidf("a new entry needs addr")
		}
		m.State = "ready"
		m.Weight = 1
	}
	setField(&m.Addr, p.Addr)
	setField(&m.Zone, p.Zone)
	setField(&m.Kind, p.Kind)
	setField(&m.Cell, p.Cell)
	setField(&m.State, p.State)
	setField(&m.Weight, p.Weight)
	setField(&m.StartedMS, p.StartedMS)
	return m, nil
}

// setField sets a field of a Member to a value of a Patch, if the patch has it.
func setField[T any](field, value *T) {
	if value != nil {
		*field = *value
	}
}

// command is the JSON payload of one raft log entry. Its keys are part of the stored format.
type command struct {
	Op    string `json:"op"` // "put" or "del"
	ID    string `json:"id"`
	Patch Patch  `json:"patch,omitempty"`
	// Base is the proposed version base in Unix milliseconds. It is 0 if the leader's list has a
	// version base already.
	Base uint64 `json:"base,omitempty"`
}

// change is one applied change that is retained for watches. Encoded is the member as JSON, encoded
// once for all watches.
type change struct {
	Version uint64
	ID      string
	Encoded []byte
}

// Store holds the replicated list. It is raft's finite state machine, and watches read from it.
type Store struct {
	mu            sync.Mutex
	members       map[string]Member
	versionBase   uint64        // added to the raft index, so that a rebuilt catalog does not reuse versions; 0 if not set yet
	version       uint64        // versionBase plus the raft index of the last change; 0 before the first change
	changes       []change      // the most recent changes, oldest first
	resumableFrom uint64        // changes holds every change after this version
	changed       chan struct{} // closed and replaced on each change and each restored snapshot
	encodedList   []byte        // cached encoding of the whole list at version; nil if not yet encoded
}

// NewStore returns an empty list.
func NewStore() *Store {
	return &Store{members: map[string]Member{}, changed: make(chan struct{})}
}

// applyResult is the value that Apply returns to the proposer of a command. Version is the version of
// the list after the command, or 0 if the command cannot be decoded. If Err is not nil, the command
// changed nothing.
type applyResult struct {
	Version uint64
	Err     error
}

// Apply implements raft.FSM. It applies one committed log entry and returns an applyResult.
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

// setVersion sets the version for a change at the given raft index, after setting the version base
// to base if there is none yet. A watch can resume from no version earlier than the one just before
// the first change of a new list, because another catalog assigned the earlier versions. The caller
// holds s.mu.
func (s *Store) setVersion(base, index uint64) {
	if s.versionBase == 0 {
		s.versionBase = base
		if s.version == 0 {
			s.resumableFrom = base + index - 1
		}
	}
	s.version = s.versionBase + index
}

// VersionBase returns the offset between raft indexes and versions, or 0 if no change has set it
// yet.
func (s *Store) VersionBase() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versionBase
}

// ErrNotFound is returned for the deletion of an entry that is not in the list.
var ErrNotFound = errors.New("no such entry")

// Version returns the list's version, or 0 before the first change.
func (s *Store) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// ChangesSince returns the changes after afterVersion as one line of the protocol, together with the
// current version. The line holds the whole list if some of the changes after afterVersion are not
// retained, and is nil if afterVersion is the current version or newer. The caller must not modify
// it. The channel changed is closed on the next change or restored snapshot.
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
	// Each change carries the whole member, so only the newest one of each member is sent.
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

// encodeNoChanges returns a protocol line with the given version and no changes.
func encodeNoChanges(version uint64) []byte {
	return fmt.Appendf(nil, `{"version":%d,"full":false,"servers":[]}`+"\n", version)
}

// CanResume reports whether a watch can resume after afterVersion with changes alone, without the
// whole list. It also returns true for a version that is newer than the list's.
func (s *Store) CanResume(afterVersion uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return afterVersion >= s.resumableFrom
}

// FullList returns the whole list as one line of the protocol, together with its version. The caller
// must not modify the line.
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
	members := make([]Member, 0, len(s.members))
	for _, m := range s.members {
		members = append(members, m)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	return members
}

// Snapshot implements raft.FSM. It copies the list, its version and its version base.
func (s *Store) Snapshot() (raft.FSMSnapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return snapshot{Base: s.versionBase, Version: s.version, Servers: s.sortedMembersLocked()}, nil
}

// Restore implements raft.FSM. It replaces the list with that of a snapshot, or keeps it and returns
// an error if the snapshot is malformed. A snapshot holds no changes, so watches at an older version
// then get the whole list.
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

// snapshot is the stored form of the list. Its JSON keys are part of the snapshot format.
type snapshot struct {
	Base    uint64   `json:"base,omitempty"`
	Version uint64   `json:"version"`
	Servers []Member `json:"servers"`
}

// Persist implements raft.FSMSnapshot.
func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if err := json.NewEncoder(sink).Encode(s); err != nil {
		sink.Cancel()
		return err
	}
	return sink.Close()
}

// Release implements raft.FSMSnapshot. It does nothing, because the snapshot is a copy.
func (snapshot) Release() {}
