package catalog

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"
)

// maxRetainedChanges is the number of recent changes that are kept for resuming watches.
const maxRetainedChanges = 4096

// change is one applied change that is retained for watches. Encoded is the member as JSON, encoded
// once for all watches.
type change struct {
	Version uint64
	ID      string
	Encoded []byte
}

// retainChange retains a change at the current version, and drops the oldest one beyond
// maxRetainedChanges. The caller holds s.mu.
func (s *Store) retainChange(m Member) {
	encoded, _ := json.Marshal(m)
	s.changes = append(s.changes, change{Version: s.version, ID: m.ID, Encoded: encoded})
	excess := len(s.changes) - maxRetainedChanges
	if excess <= 0 {
		return
	}
	s.resumableFrom = s.changes[excess-1].Version
	s.changes = append([]change(nil), s.changes[excess:]...)
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
	return encodeChanges(s.version, s.changes[start:]), s.version, s.changed
}

// encodeChanges returns a protocol line with the given version and the newest change of each member,
// which is enough because each change carries the whole member.
func encodeChanges(version uint64, changes []change) []byte {
	newest := map[string]int{} // index of the newest change by member id
	for i, c := range changes {
		newest[c.ID] = i
	}
	var buf bytes.Buffer
	fmt.Fprintf(&buf, `{"version":%d,"full":false,"servers":[`, version)
	firstChange := true
	for i, c := range changes {
		if newest[c.ID] != i {
			continue
		}
		if !firstChange {
			buf.WriteByte(',')
		}
		firstChange = false
		buf.Write(c.Encoded)
	}
	buf.WriteString("]}\n")
	return buf.Bytes()
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
