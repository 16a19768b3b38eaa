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

// maxJoinPeers is the number of peers through which one join is attempted.
const maxJoinPeers = 3

// keepJoined joins configured peers that are not live (alive or suspect) in the view, a few at a time,
// until Leave is called. Nothing else finds a peer that started later, or the other side of a network
// partition that lasted until both sides declared each other dead.
func (n *Node) keepJoined(peers []string) {
	for wait := minJoinWait; ; wait = min(2*wait, maxJoinWait) {
		absent := n.absentPeers(peers)
		if n.LiveCount() <= 1 {
			wait = min(wait, maxJoinWaitAlone)
		}
		if len(absent) == 0 {
			wait = maxJoinWait
		} else {
			n.join(absent, wait == minJoinWait || wait == maxJoinWait)
		}
		select {
		case <-n.stopped:
			return
		case <-time.After(wait/2 + rand.N(wait)):
		}
	}
}

// absentPeers returns the addresses at which the view has no live gateway.
func (n *Node) absentPeers(addrs []string) []string {
	var absent []string
	for _, addr := range addrs {
		if !n.hasLivePeer(addr) {
			absent = append(absent, addr)
		}
	}
	return absent
}

// join joins through up to maxJoinPeers of the absent peers. It logs a failure only if logFailure is
// set.
func (n *Node) join(absent []string, logFailure bool) {
	rand.Shuffle(len(absent), func(i, j int) { absent[i], absent[j] = absent[j], absent[i] })
	joined, err := n.ml.Join(absent[:min(len(absent), maxJoinPeers)])
	if joined > 0 {
		slog.Info("membership joined", "through", joined)
	} else if logFailure {
		slog.Warn("membership: no peer answered the join, trying again", "absent", len(absent), "err", err)
	}
}
