package membership

import (
	"log/slog"
	"math/rand/v2"
	"time"
)

// Limits on the time between two joins of configured peers that are absent from the view.
const (
	minJoinWait      = 200 * time.Millisecond
	maxJoinWait      = 5 * time.Second
	maxJoinWaitAlone = time.Second // limit while the view has no live peer
)

// keepJoined joins configured peers that are not live (alive or suspect) in the view, a few at a time,
// until Leave is called. Nothing else finds a peer that started later, or the other side of a network
// partition that lasted until both sides declared each other dead.
func (n *Node) keepJoined(peers []string) {
	for wait := minJoinWait; ; wait = min(2*wait, maxJoinWait) {
		var absent []string
		for _, addr := range peers {
			if !n.hasLivePeer(addr) {
				absent = append(absent, addr)
			}
		}
		if n.LiveCount() <= 1 {
			wait = min(wait, maxJoinWaitAlone)
		}
		if len(absent) == 0 {
			wait = maxJoinWait
		} else {
			rand.Shuffle(len(absent), func(i, j int) { absent[i], absent[j] = absent[j], absent[i] })
			if joined, err := n.ml.Join(absent[:min(len(absent), 3)]); joined > 0 {
				slog.Info("membership joined", "through", joined)
			} else if wait == minJoinWait || wait == maxJoinWait {
				slog.Warn("membership: no peer answered the join, trying again", "absent", len(absent), "err", err)
			}
		}
		select {
		case <-n.stopped:
			return
		case <-time.After(wait/2 + rand.N(wait)):
		}
	}
}
