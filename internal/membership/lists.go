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
	listMagic         = "bl-list1"
	maxListBytes      = 1 << 20 // of an encoded list; a longer one is neither sent nor accepted
	listRequestPrefix = "want-list:"
	listPrefix        = "list:"
	maxListRequests   = 3 // peers that one call of RequestLists asks
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// frameList prepends the magic string and the CRC-32C to an encoded list. It returns nil for an
// empty list and for one longer than maxListBytes.
func frameList(list []byte) []byte {
	if len(list) == 0 || len(list) > maxListBytes {
		return nil
	}
	frame := binary.LittleEndian.AppendUint32([]byte(listMagic), crc32.Checksum(list, castagnoli))
	return append(frame, list...)
}

var (
	errListFormat   = errors.New("not a list in the expected format")
	errListChecksum = errors.New("checksum mismatch")
	errListTooLong  = errors.New("longer than 1 MB")
)

// parseListFrame returns the encoded list from a frame that frameList made.
func parseListFrame(b []byte) ([]byte, error) {
	payload, ok := bytes.CutPrefix(b, []byte(listMagic))
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

// receiveList checks the integrity of a list from a peer and passes it to Lists.Take.
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

// sendList sends the list to the named peer, which requested it, unless the rate limit of this
// node is exhausted.
func (n *Node) sendList(name string) {
	if n.lists == nil || !n.listLimiter.Allow() {
		return
	}
	list := frameList(n.lists.Offer())
	if list == nil {
		return
	}
	for _, m := range n.ml.Members() {
		if m.Name == name {
			if err := n.ml.SendReliable(m, append([]byte(listPrefix), list...)); err != nil {
				slog.Info("membership: list not sent to peer", "peer", name, "err", err)
			}
			return
		}
	}
}

// RequestLists asks a few randomly chosen peers for their host list. Answers arrive later, by
// Lists.Take; a peer without a list does not answer.
func (n *Node) RequestLists() {
	members := n.ml.Members()
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	asked := 0
	for _, m := range members {
		if m.Name != n.name && asked < maxListRequests {
			n.ml.SendBestEffort(m, []byte(listRequestPrefix+n.name))
			asked++
		}
	}
}

// newListLimiter limits the lists sent on request to 50 per second, because each may be 1 MB long.
func newListLimiter() *rate.Limiter { return rate.NewLimiter(50, 50) }

// LocalState returns the framed list for the state exchange of a join, which runs in both
// directions. It implements memberlist.Delegate.
func (d *delegate) LocalState(join bool) []byte {
	if !join || d.lists == nil {
		return nil
	}
	return frameList(d.lists.Offer())
}

// MergeRemoteState receives the result of the peer's LocalState. It implements memberlist.Delegate.
func (d *delegate) MergeRemoteState(buf []byte, join bool) { (*Node)(d).receiveList(buf) }

var _ memberlist.Delegate = (*delegate)(nil)
