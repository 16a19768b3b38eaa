package membership

import (
	"log/slog"
	"strconv"
	"time"

	"github.com/hashicorp/memberlist"
)

// incarnationWord, and a number after it, tells a peer which incarnation of it is known.
const incarnationWord = "incarnation:"

// mostRaise is how far an incarnation is raised at the word of a peer: ten years, in ms, which
// is beyond any step of a clock; garbage must not use up the numbers.
const mostRaise = 10 * 365 * 24 * uint64(time.Hour/time.Millisecond)

// tellIncarnation tells a peer that it says a lower incarnation than is known of it: its wall
// clock was stepped back before it was started anew.
func (n *Node) tellIncarnation(to *memberlist.Node, known uint64) {
	if n.ml == nil {
		return // not joined yet
	}
	word := strconv.AppendUint([]byte(incarnationWord), known, 10)
	if err := n.ml.SendReliable(to, word); err != nil {
		slog.Info("membership: peer not told its incarnation", "peer", to.Name, "err", err)
	}
}

// raise takes a higher incarnation than a peer knows of this process, and lets all know.
func (n *Node) raise(text string) {
	known, err := strconv.ParseUint(text, 10, 64)
	own := n.inc.Load()
	if err != nil || known < own || known-own > mostRaise {
		return // garbage, or it is raised already
	}
	if n.inc.CompareAndSwap(own, known+1) {
		slog.Info("membership: incarnation raised, peers knew a higher one", "from", own, "to", known+1)
		go n.ml.UpdateNode(tellEvery / 2)
	}
}
