package membership

import (
	"bytes"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"log/slog"
	"math/rand/v2"

	"github.com/hashicorp/memberlist"
	"golang.org/x/time/rate"
)

// Lists gives the node access to the host list that a gateway shares with its peers. The node
// transports the list and checks its integrity; validating the contents is up to the implementation.
type Lists interface {
	// Offer returns the encoded list, or nil if there is none.
	Offer() []byte
	// Take accepts an encoded list that was received intact from a peer. An error refuses the
	// list and is logged.
	Take(list []byte) error
}

const (
	listFrameMagic    = "bl-list1"   // begins the frame of a list, in messages and in state exchanges
	maxListBytes      = 1 << 20      // of an encoded list; a longer one is neither sent nor accepted
	listRequestPrefix = "want-list:" // begins a message that requests a list; the name of its sender follows
	listMessagePrefix = "list:"      // begins a message that answers such a request; a framed list follows
	maxListRequests   = 3            // number of peers to which one call of RequestLists sends a request
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// frameList returns a frame of an encoded list: listFrameMagic, the CRC-32C of the list, and the list.
// It returns nil if there is no list to send, as it is empty, and if the list is longer than
// maxListBytes.
func frameList(list []byte) []byte {
	if len(list) == 0 || len(list) > maxListBytes {
		return nil
	}
	frame := binary.LittleEndian.AppendUint32([]byte(listFrameMagic), crc32.Checksum(list, castagnoli))
	return append(frame, list...)
}

var (
	errListFormat   = errors.New("not a list in the expected format")
	errListChecksum = errors.New("checksum mismatch")
	errListTooLong  = errors.New("longer than 1 MB")
)

// parseListFrame returns the encoded list from a frame that frameList made.
func parseListFrame(b []byte) ([]byte, error) {
	payload, ok := bytes.CutPrefix(b, []byte(listFrameMagic))
	if !ok || len(payload) < 4 {
		return nil, errListFormat
	}
	list := payload[4:]
	if len(list) > maxListBytes {
		return nil, errListTooLong
	}
	if binary.LittleEndian.Uint32(payload) != crc32.Checksum(list, castagnoli) {
		return nil, errListChecksum
	}
	return list, nil
}

// receiveList checks the integrity of a framed host list from a peer and passes the list to
// Lists.Take. A list that either of them refuses is logged and counted as unreadable.
func (n *Node) receiveList(b []byte) {
	if n.lists == nil || len(b) == 0 {
		return
	}
	list, err := parseListFrame(b)
	if err == nil {
		err = n.lists.Take(list)
	}
	if err != nil {
		n.unreadable.Add(1)
		slog.Warn("membership: a peer's list refused", "err", err, "bytes", len(b))
	}
}

// sendList sends the host list that Lists.Offer returns to the named peer, which requested it. The
// request is dropped without an answer if listLimiter does not admit it or if there is no list that
// can be sent.
func (n *Node) sendList(name string) {
	if n.lists == nil || !n.listLimiter.Allow() {
		return
	}
	list := frameList(n.lists.Offer())
	if list == nil {
		return
	}
	ml := n.memberlist()
	if ml == nil {
		return
	}
	for _, peer := range n.livePeers() {
		if peer.Name == name {
			if err := ml.SendReliable(peer, append([]byte(listMessagePrefix), list...)); err != nil {
				slog.Info("membership: list not sent to peer", "peer", name, "err", err)
			}
			return
		}
	}
}

// RequestLists asks up to maxListRequests randomly chosen peers for their host list. The lists that
// they send are passed to Lists.Take later; a peer without a list does not answer.
func (n *Node) RequestLists() {
	peers := n.livePeers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, peer := range peers[:min(len(peers), maxListRequests)] {
		n.ml.SendBestEffort(peer, []byte(listRequestPrefix+n.name))
	}
}

// newListLimiter returns a limiter for the lists that this node sends on request: 50 per second,
// because each may be 1 MB long. It does not apply to the lists of the state exchange of a join.
func newListLimiter() *rate.Limiter { return rate.NewLimiter(50, 50) }

// LocalState returns the framed host list for the state exchange of a join, in which each side sends
// its state to the other. It returns nil in other state exchanges. It implements memberlist.Delegate.
func (d *delegate) LocalState(join bool) []byte {
	if !join || d.lists == nil {
		return nil
	}
	return frameList(d.lists.Offer())
}

// MergeRemoteState receives the framed host list that the peer's LocalState returned. It implements
// memberlist.Delegate.
func (d *delegate) MergeRemoteState(buf []byte, join bool) { (*Node)(d).receiveList(buf) }

var _ memberlist.Delegate = (*delegate)(nil)
