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

// Lists is what a gateway shares with its peers: the list of hosts that it has. The node
// carries it and checks that it came whole; what it says is for the owner to judge.
type Lists interface {
	// Offer returns the list as the owner encodes it, or nil where there is none.
	Offer() []byte
	// Take is a list that a peer gave, whole. An error refuses it and is logged.
	Take(list []byte) error
}

const (
	listMagic = "bl-list1"
	maxList   = 1 << 20 // bytes of an encoded list; a longer one is neither offered nor taken
	wantWord  = "want-list:"
	listWord  = "list:"
	wantAsked = 3 // peers asked at once
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// seal puts a list behind the magic and its CRC-32C; nil where there is none to offer.
func seal(list []byte) []byte {
	if len(list) == 0 || len(list) > maxList {
		return nil
	}
	out := binary.LittleEndian.AppendUint32([]byte(listMagic), crc32.Checksum(list, castagnoli))
	return append(out, list...)
}

var (
	errNoList = errors.New("not a list of this form")
	errTorn   = errors.New("its checksum is wrong")
	errLong   = errors.New("longer than 1 MB")
)

// open returns what seal was given.
func open(b []byte) ([]byte, error) {
	rest, ok := bytes.CutPrefix(b, []byte(listMagic))
	if !ok || len(rest) < 4 {
		return nil, errNoList
	}
	list := rest[4:]
	if len(list) > maxList {
		return nil, errLong
	}
	if binary.LittleEndian.Uint32(rest) != crc32.Checksum(list, castagnoli) {
		return nil, errTorn
	}
	return list, nil
}

// take checks a list that a peer gave and hands it on.
func (n *Node) take(b []byte) {
	if n.lists == nil || len(b) == 0 {
		return
	}
	list, err := open(b)
	if err == nil {
		err = n.lists.Take(list)
	}
	if err != nil {
		n.bad.Add(1)
		slog.Warn("membership: a peer's list refused", "err", err, "bytes", len(b))
	}
}

// give answers a peer that has no list, within the rate that this node gives lists.
func (n *Node) give(name string) {
	if n.lists == nil || !n.gives.Allow() {
		return
	}
	list := seal(n.lists.Offer())
	if list == nil {
		return
	}
	for _, m := range n.ml.Members() {
		if m.Name == name {
			if err := n.ml.SendReliable(m, append([]byte(listWord), list...)); err != nil {
				slog.Info("membership: list not given", "peer", name, "err", err)
			}
			return
		}
	}
}

// RequestLists asks a few peers for their list; one that has one gives it soon after.
func (n *Node) RequestLists() {
	members := n.ml.Members()
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	asked := 0
	for _, m := range members {
		if m.Name != n.self && asked < wantAsked {
			n.ml.SendBestEffort(m, []byte(wantWord+n.self))
			asked++
		}
	}
}

// newGives bounds the lists given: 50 a second, as each may have a megabyte.
func newGives() *rate.Limiter { return rate.NewLimiter(50, 50) }

// LocalState is given to a peer that joins, and to the one joined through.
func (d *delegate) LocalState(join bool) []byte {
	if !join || d.lists == nil {
		return nil
	}
	return seal(d.lists.Offer())
}

// MergeRemoteState takes what LocalState gave at the peer.
func (d *delegate) MergeRemoteState(buf []byte, join bool) { (*Node)(d).take(buf) }

var _ memberlist.Delegate = (*delegate)(nil)
