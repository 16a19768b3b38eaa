package membership

import (
	"bytes"
	"time"

	"github.com/hashicorp/memberlist"
)

// events implements memberlist's EventDelegate, AliveDelegate and PingDelegate. Memberlist may hold its
// lock during these calls.
type events Node

var (
	_ memberlist.EventDelegate = (*events)(nil)
	_ memberlist.AliveDelegate = (*events)(nil)
	_ memberlist.PingDelegate  = (*events)(nil)
)

// NotifyJoin implements memberlist.EventDelegate.
func (e *events) NotifyJoin(m *memberlist.Node) { (*Node)(e).applyEvent(m, Alive) }

// NotifyUpdate implements memberlist.EventDelegate. A peer's metadata has changed.
func (e *events) NotifyUpdate(m *memberlist.Node) { (*Node)(e).applyEvent(m, Alive) }

// NotifyLeave implements memberlist.EventDelegate. It is called for peers that left and for peers that
// died; applyEvent replaces Dead by Left for a peer that announced that it leaves.
func (e *events) NotifyLeave(m *memberlist.Node) { (*Node)(e).applyEvent(m, Dead) }

// NotifyAlive implements memberlist.AliveDelegate. It never refuses an alive message.
func (e *events) NotifyAlive(m *memberlist.Node) error {
	(*Node)(e).setLiveness(m.Name, Alive)
	return nil
}

// AckPayload implements memberlist.PingDelegate.
func (e *events) AckPayload() []byte { return nil }

// NotifyPingComplete implements memberlist.PingDelegate. A peer has acknowledged a probe.
func (e *events) NotifyPingComplete(m *memberlist.Node, _ time.Duration, _ []byte) {
	(*Node)(e).setLiveness(m.Name, Alive)
}

// delegate implements memberlist.Delegate. Its methods for host lists are in lists.go.
type delegate Node

// leavePrefix begins the message by which a gateway announces that it leaves. The name of the gateway
// follows.
const leavePrefix = "leaving:"

// NotifyMsg implements memberlist.Delegate. It handles a message from a peer, by its prefix: a host list,
// a request for one, the incarnation that the peer knows of this process, or the announcement that a peer
// leaves. Others are ignored.
func (d *delegate) NotifyMsg(b []byte) {
	if list, ok := bytes.CutPrefix(b, []byte(listMessagePrefix)); ok {
		(*Node)(d).receiveList(bytes.Clone(list)) // memberlist reuses the buffer
		return
	}
	if name, ok := bytes.CutPrefix(b, []byte(listRequestPrefix)); ok {
		go (*Node)(d).sendList(string(name)) // sending may block on the peer
		return
	}
	if known, ok := bytes.CutPrefix(b, []byte(incarnationPrefix)); ok {
		(*Node)(d).raiseIncarnation(string(known))
		return
	}
	if name, ok := bytes.CutPrefix(b, []byte(leavePrefix)); ok {
		(*Node)(d).markLeaving(string(name))
	}
}

// GetBroadcasts implements memberlist.Delegate. There are no broadcasts besides memberlist's own.
func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte { return nil }
