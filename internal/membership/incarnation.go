package membership

import (
	"log/slog"
	"strconv"
	"time"

	"github.com/hashicorp/memberlist"
)

// incarnationPrefix begins a message that carries, in decimal, the highest incarnation of the
// receiver that the sender knows.
const incarnationPrefix = "incarnation:"

// maxIncarnationRaise bounds, in ms, by how much a message of a peer may raise the own incarnation.
// Ten years exceed any step of a wall clock, and a corrupt message cannot exhaust the number space.
const maxIncarnationRaise = 10 * 365 * 24 * uint64(time.Hour/time.Millisecond)

// reportIncarnation notifies a peer that it announces a lower incarnation than the known one,
// as happens when its wall clock was stepped back before it restarted.
func (n *Node) reportIncarnation(to *memberlist.Node, known uint64) {
	ml := n.memberlist()
	if ml == nil {
		return
	}
	message := strconv.AppendUint([]byte(incarnationPrefix), known, 10)
	if err := ml.SendReliable(to, message); err != nil {
		slog.Info("membership: known incarnation not sent to peer", "peer", to.Name, "err", err)
	}
}

// raiseIncarnation sets an incarnation above the one that a peer knows of this process, given in
// decimal, and announces it to all peers.
func (n *Node) raiseIncarnation(text string) {
	known, err := strconv.ParseUint(text, 10, 64)
	current := n.incarnation.Load()
	if err != nil || known < current || known-current > maxIncarnationRaise {
		return // the message is invalid, or the incarnation is already higher
	}
	if n.incarnation.CompareAndSwap(current, known+1) {
		slog.Info("membership: incarnation raised, peers knew a higher one", "from", current, "to", known+1)
		go n.updateMetadata()
	}
}
