package gateway

import (
	"net"
	"sync"
	"time"
)

// clientListener accepts no more connections than the clients' share of the descriptors. Further
// ones wait in the backlog of the listener.
type clientListener struct {
	framedListener
	backlog   *backlog
	server    *Server
	closeOnce sync.Once
	done      chan struct{} // closed with the listener
}

func (l *clientListener) Accept() (net.Conn, error) {
	if err := l.acquireSlot(); err != nil {
		return nil, err
	}
	release := sync.OnceFunc(func() { <-l.server.connSlots })
	c, err := l.framedListener.Accept()
	if err != nil {
		release()
		return nil, err
	}
	framed := c.(*framedConn)
	framed.releaseSlot = release
	framed.headBudget = l.server.headBudget
	framed.rejectLog = &l.server.rejectLog
	return framed, nil
}

// acquireSlot takes a slot for the next connection. While all slots are taken it evicts a connection every
// evictionInterval or, if it can evict none, ends a stream whose host pauses. It fails only if the listener is closed.
func (l *clientListener) acquireSlot() error {
	select {
	case l.server.connSlots <- struct{}{}:
		return nil
	default:
	}
	tick := time.NewTicker(evictionInterval)
	defer tick.Stop()
	for {
		select {
		case l.server.connSlots <- struct{}{}:
			return nil
		case <-l.done:
			return net.ErrClosed
		case <-tick.C:
			l.backlog.checkEmpty() // keeps the bound on the arrival of the next connection recent
			if !l.server.evictOne() {
				l.server.loop.pool.streams.endPaused()
			}
		}
	}
}

func (l *clientListener) Close() error {
	l.closeOnce.Do(func() { close(l.done) })
	return l.framedListener.Close()
}
