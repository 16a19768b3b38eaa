package membership

import (
	"encoding/json"
	"math"
	"time"
)

// nodeMetadata is the metadata that a gateway publishes through memberlist, as JSON.
type nodeMetadata struct {
	Incarnation uint64  `json:"inc"`
	Leaving     bool    `json:"leaving,omitempty"`
	Rank        int     `json:"rank,omitempty"`
	Rate        float64 `json:"rate,omitempty"`
}

// announcedLoad is the rank and the requests per second that this gateway last announced to its peers.
type announcedLoad struct {
	rank int
	rate float64
	at   time.Time
}

// updateMetadata announces this gateway's metadata to its peers.
func (n *Node) updateMetadata() {
	if ml := n.memberlist(); ml != nil {
		ml.UpdateNode(announceInterval / 2)
	}
}

// Limits on announcements of the request rate, as each one is gossiped through the whole fleet.
const (
	minRateChange    = 0.3              // relative change of the rate beyond which it is announced at once
	announceInterval = 10 * time.Second // between two announcements of smaller changes
)

// AnnounceLoad announces this gateway's rank and its requests per second to its peers. A new rank and
// a change of the rate by more than minRateChange are announced at once, other rates at most once per
// announceInterval. AnnounceLoad does not block.
func (n *Node) AnnounceLoad(rank int, rate float64) {
	now := time.Now()
	old := n.announced.Load()
	if old != nil && old.rank == rank && now.Sub(old.at) < announceInterval &&
		math.Abs(rate-old.rate) <= minRateChange*max(old.rate, 0.1) {
		return
	}
	n.announced.Store(&announcedLoad{rank: rank, rate: math.Round(rate*1000) / 1000, at: now})
	go n.updateMetadata()
}

// NodeMeta implements memberlist.Delegate. It returns this gateway's metadata, or nil if it is longer than limit bytes.
func (d *delegate) NodeMeta(limit int) []byte {
	m := nodeMetadata{Incarnation: d.incarnation.Load(), Leaving: d.leaving.Load()}
	if l := d.announced.Load(); l != nil {
		m.Rank = l.rank
		m.Rate = l.rate
	}
	b, _ := json.Marshal(m)
	if len(b) > limit {
		return nil
	}
	return b
}
