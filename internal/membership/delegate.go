package membership

import (
	"bytes"
	"log/slog"
	"time"

	"github.com/hashicorp/memberlist"
)

// events implements memberlist's EventDelegate, AliveDelegate and PingDelegate.
type events Node

func (e *events) NotifyJoin(m *memberlist.Node) { (*Node)(e).applyEvent(m, Alive) }

func (e *events) NotifyUpdate(m *memberlist.Node) { (*Node)(e).applyEvent(m, Alive) }

func (e *events) NotifyLeave(m *memberlist.Node) { (*Node)(e).applyEvent(m, Dead) } // applyEvent replaces Dead by Left for a peer that announced that it leaves

func (e *events) NotifyAlive(m *memberlist.Node) error {
	(*Node)(e).setLiveness(m.Name, Alive)
	return nil
}

func (e *events) AckPayload() []byte { return nil }

func (e *events) NotifyPingComplete(m *memberlist.Node, _ time.Duration, _ []byte) {
	(*Node)(e).setLiveness(m.Name, Alive)
}

// delegate implements memberlist.Delegate. Its methods for host lists are in lists.go.
type delegate Node

// leavePrefix begins the message by which a gateway announces that it leaves. The name of the gateway
// follows.
const leavePrefix = "leaving:"

// NotifyMsg handles a message from a peer, by its prefix: a host list, a request for one, the incarnation
// that the peer knows of this process, or the announcement that a peer leaves. Others are ignored.
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
	name, ok := bytes.CutPrefix(b, []byte(leavePrefix))
	if !ok {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.view[string(name)]; p != nil && p.State != Left {
		p.leaving = true
		slog.Info("membership change", "peer", p.Name, "from", p.State, "to", Left,
			"incarnation", p.Incarnation, "addr", p.Addr)
		p.State, p.Since, d.lastChange = Left, time.Now(), p.Name+" "+Left
	}
}

func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte { return nil }
