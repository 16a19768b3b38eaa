// Package catalog implements the discovery service: a list of hosts that is replicated with
// hashicorp/raft and served over HTTP. A caller fetches the whole list as one JSON object, or
// opens a watch that streams the list and its changes as newline-delimited JSON.
package catalog

import (
	"encoding/json"
	"sort"
	"sync"

	"github.com/hashicorp/raft"
)

// The operations of a command, as stored.
const (
	opPut    = "put"
	opDelete = "del"
)

// command is the JSON payload of one raft log entry. Its keys are part of the stored format.
type command struct {
	Op    string `json:"op"` // opPut or opDelete
	ID    string `json:"id"`
	Patch Patch  `json:"patch,omitempty"`
	// Base is the proposed version base in Unix milliseconds. It is 0 if the leader's list has a
	// version base already.
	Base uint64 `json:"base,omitempty"`
}

// Store holds the replicated list. It is raft's finite state machine, and watches read from it.
type Store struct {
	mu            sync.Mutex
	members       map[string]Member
	versionBase   uint64        // added to the raft index, so that a rebuilt catalog does not reuse versions; 0 if not set yet
	version       uint64        // versionBase plus the raft index of the last change; 0 before the first change
	appliedIndex  uint64        // raft index of the last entry passed to Apply; 0 before the first
	restores      int           // snapshots restored
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
	decodeErr := json.Unmarshal(entry.Data, &c)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appliedIndex = entry.Index
	if decodeErr != nil {
		return applyResult{Err: invalidf("entry: %v", decodeErr)}
	}
	changedMember, err := s.applyCommand(c)
	if err != nil {
		return applyResult{Version: s.version, Err: err}
	}
	s.setVersion(c.Base, entry.Index)
	s.retainChange(changedMember)
	s.notifyChanged()
	return applyResult{Version: s.version}
}

// applyCommand applies a command to the members and returns the changed one, in stateGone if it was
// removed. It changes nothing if it fails, with ErrNotFound or an error that wraps ErrInvalid. The
// caller holds s.mu.
func (s *Store) applyCommand(c command) (Member, error) {
	member, exists := s.members[c.ID]
	switch c.Op {
	case opPut:
		member, err := c.Patch.apply(member, exists)
		if err != nil {
			return Member{}, err
		}
		member.ID = c.ID
		s.members[c.ID] = member
		return member, nil
	case opDelete:
		if !exists {
			return Member{}, ErrNotFound
		}
		delete(s.members, c.ID)
		member.State = stateGone
		return member, nil
	default:
		return Member{}, invalidf("op %q", c.Op)
	}
}

// notifyChanged wakes the watches after a change of the list. The caller holds s.mu.
func (s *Store) notifyChanged() {
	s.encodedList = nil
	close(s.changed)
	s.changed = make(chan struct{})
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

// progress returns the raft index of the last entry passed to Apply, or 0 before the first, and the
// number of snapshots that were restored.
func (s *Store) progress() (appliedIndex uint64, restores int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appliedIndex, s.restores
}

// Version returns the list's version, or 0 before the first change.
func (s *Store) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// FullList returns the whole list as one line of the protocol, together with its version. The caller
// must not modify the line.
func (s *Store) FullList() ([]byte, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.encodedListLocked(), s.version
}

// encodedListLocked returns the whole list as one line of the protocol. The caller holds s.mu.
func (s *Store) encodedListLocked() []byte {
	if s.encodedList == nil {
		b, _ := json.Marshal(List{Version: s.version, Full: true, Servers: s.sortedMembersLocked()})
		s.encodedList = append(b, '\n')
	}
	return s.encodedList
}

// sortedMembersLocked returns the members in the order of their ids. The caller holds s.mu.
func (s *Store) sortedMembersLocked() []Member {
	members := make([]Member, 0, len(s.members))
	for _, m := range s.members {
		members = append(members, m)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	return members
}
