package catalog

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/hashicorp/raft"
)

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
	s.members = members
	s.versionBase = snap.Base
	s.version = snap.Version
	s.resumableFrom = snap.Version
	s.changes = nil
	s.restores++
	s.notifyChanged()
	return nil
}

// snapshot is the stored form of the list. Its JSON keys are part of the snapshot format.
type snapshot struct {
	Base    uint64   `json:"base,omitempty"` // the version base in Unix milliseconds
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
