package catalogfleet

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"bramblelock/internal/catalog"
)

// Watcher watches the list as a gateway does. When a watch ends, it resumes from its version at the
// next address after 20 to 100 ms. It records every version that is lower than the one before it.
type Watcher struct {
	Addrs       []string // instances to watch, used in turn
	mu          sync.Mutex
	received    []receivedVersion         // each received version and its time of receipt
	version     uint64                    // version of the list in members; 0 before the first message
	members     map[string]catalog.Member // by host id
	regressions []string                  // descriptions of the versions that were lower than the one before
}

// Run watches the list until ctx ends. It starts at a random address. It must be called only
// once.
func (w *Watcher) Run(ctx context.Context) {
	w.members = map[string]catalog.Member{}
	for i := rand.N(len(w.Addrs)); ctx.Err() == nil; i++ {
		w.watch(ctx, w.Addrs[i%len(w.Addrs)])
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(20+rand.N(80)) * time.Millisecond):
		}
	}
}

// watch runs one watch from the version of the list until it ends.
func (w *Watcher) watch(ctx context.Context, addr string) {
	version, _ := w.VersionAndCount()
	url := fmt.Sprintf("http://%s/catalog/members?stream=1&index=%d", addr, version)
	req, _ := http.NewRequestWithContext(ctx, "GET", url, nil)
	watchClient := http.Client{} // without a timeout, which would end the watch
	resp, err := watchClient.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, 16<<20)
	for lines.Scan() {
		if len(lines.Bytes()) == 0 {
			continue
		}
		var l catalog.List
		if json.Unmarshal(lines.Bytes(), &l) != nil {
			return
		}
		w.apply(l)
	}
}

// apply merges one message of the protocol into the list. A message with a version lower than the
// list's is only recorded.
func (w *Watcher) apply(l catalog.List) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if l.Version < w.version {
		w.regressions = append(w.regressions, fmt.Sprintf("%d after %d", l.Version, w.version))
		return
	}
	if l.Full {
		w.members = map[string]catalog.Member{}
	}
	for _, m := range l.Servers {
		if m.State == "gone" {
			delete(w.members, m.ID)
		} else {
			w.members[m.ID] = m
		}
	}
	w.version = l.Version
	w.received = append(w.received, receivedVersion{l.Version, time.Now()})
}

// receivedVersion is a version of the list and when the watcher received it.
type receivedVersion struct {
	version    uint64
	receivedAt time.Time
}

// ReceivedAt returns when the watcher first received the given version or a later one, and whether it
// has received one.
func (w *Watcher) ReceivedAt(version uint64) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, entry := range w.received {
		if entry.version >= version {
			return entry.receivedAt, true
		}
	}
	return time.Time{}, false
}

// VersionAndCount returns the version of the watcher's list and its number of hosts.
func (w *Watcher) VersionAndCount() (uint64, int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version, len(w.members)
}

// VersionRegressions describes each version that was lower than the one before it. A correct catalog
// causes none.
func (w *Watcher) VersionRegressions() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.regressions
}
