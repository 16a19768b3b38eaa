package catalog

import (
	"fmt"
	"time"

	"github.com/hashicorp/raft"
)

// StaleReason returns why the list of this instance may be out of date, or "" if it may be served.
// The list counts as out of date until the log of the last run is applied, and on an instance that is
// not the leader and that has had no contact with a leader yet, or none for Options.StaleAfter. On an
// instance with peers, it also counts as out of date while a write to the data folder hangs.
func (n *Node) StaleReason() string {
	if !n.replay.finished(n.store) {
		return "log of the last run not applied yet"
	}
	if reason := n.hangReason(); reason != "" {
		return reason
	}
	if n.raft.State() == raft.Leader {
		return ""
	}
	last := n.raft.LastContact()
	if last.IsZero() {
		return "no leader heard from yet"
	}
	if age := time.Since(last); age > n.opt.StaleAfter {
		return fmt.Sprintf("no leader heard from for %v", age.Round(time.Millisecond))
	}
	return ""
}

// Status is the JSON body of GET /catalog/status.
type Status struct {
	ID            string `json:"id"`
	State         string `json:"state"`                        // raft state as raft spells it, such as "Leader"
	Leader        string `json:"leader"`                       // raft id of the leader; empty if none is known
	Version       uint64 `json:"version"`                      // version of the list
	Applied       uint64 `json:"applied"`                      // index of the last raft log entry that was applied
	LastContactMS int64  `json:"last_contact_ms"`              // time since the last contact with a leader; -1 on the leader and before the first contact
	StaleReason   string `json:"stale,omitempty"`              // why this instance serves no lists; empty if it serves them
	HungWriteMS   int64  `json:"log_write_hangs_ms,omitempty"` // how long a write to the data folder has been hanging; absent if none hangs
	Watches       int    `json:"watches"`                      // open watches
	CallsInFlight int    `json:"calls_in_work"`
	CallsWaiting  int    `json:"calls_waiting"`
	CallsShed     int64  `json:"calls_shed"` // list calls rejected by the admission control since the start of the process
}

func (n *Node) status() Status {
	_, leader := n.raft.LeaderWithID()
	status := Status{ID: n.opt.ID, State: n.raft.State().String(), Leader: string(leader),
		Version: n.store.Version(), Applied: n.raft.AppliedIndex(), LastContactMS: -1,
		StaleReason: n.StaleReason(), HungWriteMS: n.hangs.hungFor().Milliseconds(), Watches: len(n.watchSlots)}
	status.CallsInFlight, status.CallsWaiting, status.CallsShed = n.admission.counts()
	if last := n.raft.LastContact(); !last.IsZero() && n.raft.State() != raft.Leader {
		status.LastContactMS = time.Since(last).Milliseconds()
	}
	return status
}
