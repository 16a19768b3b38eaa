package catalog

import (
	"context"
	"net"
	"net/http"
	"time"
)

// keepAliveInterval is the interval of the empty lines on an idle watch, set by the protocol.
const keepAliveInterval = 2 * time.Second

// watchSendBufferBytes is the socket send buffer of a watch. It bounds the memory that a watcher which
// does not read can occupy on this instance (the kernel doubles the value).
const watchSendBufferBytes = 64 << 10

// serveWatch sends the changes after afterVersion, then every further change, and an empty line every
// keepAliveInterval while the list does not change. The first line is that of initialLine, which may
// hold the whole list; without one the answer is 503. The watch ends when the watcher disconnects,
// when a write exceeds WatchWriteTimeout or when this instance becomes stale. releaseAdmission ends
// the admitted call, because a watch takes no work until the list changes. It is called whenever the
// watcher is up to date and must tolerate repeated calls.
func (n *Node) serveWatch(w http.ResponseWriter, r *http.Request, afterVersion uint64, releaseAdmission func()) {
	if c, ok := r.Context().Value(connContextKey{}).(*net.TCPConn); ok {
		c.SetWriteBuffer(watchSendBufferBytes)
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	line, version := n.initialLine(r.Context(), afterVersion)
	if line == nil {
		writeUnavailable(w, "behind, without a leader", 0)
		return
	}
	send := func(line []byte) error {
		controller := http.NewResponseController(w)
		controller.SetWriteDeadline(time.Now().Add(n.opt.WatchWriteTimeout))
		if _, err := w.Write(line); err != nil {
			return err
		}
		return controller.Flush()
	}
	if send(line) != nil {
		return
	}
	n.sendChanges(r.Context(), version, send, releaseAdmission)
}

// sendChanges sends every change after the given version, and an empty line every keepAliveInterval
// while there is none, until ctx ends, send fails or this instance becomes stale. It calls
// releaseAdmission whenever all changes are sent.
func (n *Node) sendChanges(ctx context.Context, version uint64, send func(line []byte) error, releaseAdmission func()) {
	keepAliveTicker := time.NewTicker(keepAliveInterval)
	defer keepAliveTicker.Stop()
	for {
		line, newVersion, changed := n.store.ChangesSince(version)
		if line != nil {
			if send(line) != nil {
				return
			}
			version = newVersion
			continue
		}
		releaseAdmission()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-keepAliveTicker.C:
			if n.StaleReason() != "" || send([]byte("\n")) != nil {
				return
			}
		}
	}
}

// catchUpTimeout is how long a watch that resumes from a later version than that of this instance
// waits until this instance reaches the version, because it may still have log entries to apply.
const catchUpTimeout = 250 * time.Millisecond

// initialLine returns the first line of a watch after afterVersion, and the version of the list that
// the watcher then has. The line holds the changes since afterVersion, of which there may be none.
// It holds the whole list if afterVersion is 0, if the changes since then are not retained, or if this
// catalog cannot reach afterVersion, which another catalog then assigned. It is nil if this instance
// does not reach afterVersion within catchUpTimeout and either has no live leader or still has log
// entries up to afterVersion to apply.
func (n *Node) initialLine(ctx context.Context, afterVersion uint64) ([]byte, uint64) {
	catchUpTimer := time.NewTimer(catchUpTimeout)
	defer catchUpTimer.Stop()
	for afterVersion > 0 {
		line, version, changed := n.store.ChangesSince(afterVersion)
		if line != nil {
			return line, version
		}
		if version == afterVersion {
			return encodeNoChanges(version), version
		}
		select {
		case <-changed:
			continue
		case <-ctx.Done():
		case <-catchUpTimer.C:
			if !n.hasLiveLeader() || n.store.VersionBase()+n.raft.LastIndex() >= afterVersion {
				return nil, 0 // the version may still be reached, or no leader can rule it out
			}
		}
		break
	}
	return n.store.FullList()
}

// connContextKey is the context key of the connection that carries a request.
type connContextKey struct{}

// ConnContext must be set as http.Server.ConnContext. It gives a watch access to its connection, so
// that the watch can limit its send buffer to watchSendBufferBytes.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, c)
}
