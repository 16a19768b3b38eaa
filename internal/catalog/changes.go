package catalog

import (
	"bytes"
	"fmt"
	"sort"
)

// change is one applied change that is retained for watches. Encoded is the member as JSON, encoded
// once for all watches.
type change struct {
	Version uint64
	ID      string
	Encoded []byte
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
