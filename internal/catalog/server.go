package catalog

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

const (
	membersPath       = "/catalog/members"
	keepAliveInterval = 2 * time.Second       // interval of the empty lines on an idle watch, set by the protocol
	commitTimeout     = 5 * time.Second       // limits the wait for the commit of a write
	headerForwarded   = "X-Catalog-Forwarded" // on a forwarded write: id of the instance that forwards it
	// watchSendBufferBytes is the socket send buffer of a watch. It bounds the memory that a
	// watcher which does not read can occupy on this instance (the kernel doubles the value).
	watchSendBufferBytes = 64 << 10
)

// connContextKey is the context key of the connection that carries a request.
type connContextKey struct{}

// ConnContext must be set as http.Server.ConnContext. It gives a watch access to its connection, so
// that the watch can limit its send buffer to watchSendBufferBytes.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, c)
}

// Handler returns the HTTP handler for the discovery protocol, the writes and the status:
//
//	GET    /catalog/members[?stream=1&index=N]  whole list, or a watch after version N
//	PUT    /catalog/members/{id}                add or change an entry (body: Patch)
//	DELETE /catalog/members/{id}                remove an entry (watchers get it in state "gone")
//	GET    /catalog/status                      Status of this instance
func (n *Node) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+membersPath, n.serveList)
	mux.HandleFunc("PUT "+membersPath+"/{id}", n.serveWrite)
	mux.HandleFunc("DELETE "+membersPath+"/{id}", n.serveWrite)
	mux.HandleFunc("GET /catalog/status", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(n.status())
	})
	return mux
}

// serveList answers a fetch of the list or a watch, with 503 if this instance is stale.
func (n *Node) serveList(w http.ResponseWriter, r *http.Request) {
	if reason := n.StaleReason(); reason != "" {
		writeUnavailable(w, "stale: "+reason, 0)
		return
	}
	q := r.URL.Query()
	afterVersion := uint64(0)
	if s := q.Get("index"); s != "" {
		var err error
		if afterVersion, err = strconv.ParseUint(s, 10, 64); err != nil {
			http.Error(w, "index must be a whole number", http.StatusBadRequest)
			return
		}
	}
	n.serveListCall(w, r, afterVersion, q.Get("stream") == "1")
}

// serveListCall answers a list call (a fetch of the list, or a watch if stream is set) once it is
// admitted. A rejected call is answered with 503 and the time after which to retry, and so is a watch
// beyond MaxWatches.
func (n *Node) serveListCall(w http.ResponseWriter, r *http.Request, afterVersion uint64, stream bool) {
	if stream {
		select {
		case n.watchSlots <- struct{}{}:
			defer func() { <-n.watchSlots }()
		default:
			writeUnavailable(w, "too many watches", 0)
			return
		}
	}
	if retryAfter, ok := n.admission.acquire(r.Context(), n.admissionClass(r, afterVersion)); !ok {
		writeUnavailable(w, "too many calls", retryAfter)
		return
	}
	admittedAt := time.Now()
	release := sync.OnceFunc(func() { n.admission.release(admittedAt) })
	defer release()
	if stream {
		n.serveWatch(w, r, afterVersion, release)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	line, _ := n.store.FullList()
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(n.opt.WatchWriteTimeout))
	w.Write(line)
}

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
	controller := http.NewResponseController(w)
	w.Header().Set("Content-Type", "application/x-ndjson")
	send := func(data []byte) bool {
		controller.SetWriteDeadline(time.Now().Add(n.opt.WatchWriteTimeout))
		if _, err := w.Write(data); err != nil {
			return false
		}
		return controller.Flush() == nil
	}
	line, afterVersion := n.initialLine(r.Context(), afterVersion)
	if line == nil {
		writeUnavailable(w, "behind, without a leader", 0)
		return
	}
	if !send(line) {
		return
	}
	keepAliveTicker := time.NewTicker(keepAliveInterval)
	defer keepAliveTicker.Stop()
	for {
		line, version, changed := n.store.ChangesSince(afterVersion)
		if line != nil {
			if !send(line) {
				return
			}
			afterVersion = version
			continue
		}
		releaseAdmission()
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-keepAliveTicker.C:
			if n.StaleReason() != "" || !send([]byte("\n")) {
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

// serveWrite commits a PUT or DELETE of one entry on the leader. Any other instance checks the form of
// the write and forwards it.
func (n *Node) serveWrite(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if err := ValidateID(id); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	if err != nil {
		var tooBig *http.MaxBytesError
		if errors.As(err, &tooBig) {
			http.Error(w, fmt.Sprintf("body over %d bytes", MaxBodyBytes), http.StatusRequestEntityTooLarge)
			return
		}
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return
	}
	c := command{Op: "del", ID: id}
	if r.Method == http.MethodPut {
		c.Op = "put"
		if c.Patch, err = DecodePatch(body); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		// This keeps most invalid writes out of the raft log. Whether the entry exists is decided by
		// Store.Apply alone: the list of this instance may be behind acknowledged writes, not only
		// on a follower but also on a leader that has not yet applied the log it was elected with.
		if err := c.Patch.validate(); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	if n.raft.State() != raft.Leader {
		n.forward(w, r, body)
		return
	}
	version, err := n.write(c, commitTimeout)
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, "{\"version\":%d}\n", version)
	case errors.Is(err, ErrInvalid):
		http.Error(w, err.Error(), http.StatusBadRequest)
	case errors.Is(err, ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrLeadershipLost),
		errors.Is(err, raft.ErrEnqueueTimeout), errors.Is(err, raft.ErrRaftShutdown):
		// After a loss of leadership or a timeout the outcome is unknown: the entry may still commit.
		writeUnavailable(w, "not committed here: "+err.Error(), 0)
	default:
		writeUnavailable(w, err.Error(), 0)
	}
}

// forwardClient sends writes to the leader. Its timeout exceeds the leader's commitTimeout.
var forwardClient = &http.Client{Timeout: commitTimeout + time.Second}

// forward sends a write to the leader and passes the leader's answer back to the caller. A write
// that another instance forwarded is not forwarded again but answered with 503, as is a write while
// no leader is known.
func (n *Node) forward(w http.ResponseWriter, r *http.Request, body []byte) {
	leader := n.leaderHTTP()
	if leader == "" || r.Header.Get(headerForwarded) != "" {
		writeUnavailable(w, "no leader", 0)
		return
	}
	req, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+leader+r.URL.Path, bytes.NewReader(body))
	if err != nil {
		writeUnavailable(w, err.Error(), 0)
		return
	}
	req.Header.Set(headerForwarded, n.opt.ID)
	resp, err := forwardClient.Do(req)
	if err != nil {
		writeUnavailable(w, "leader: "+err.Error(), 0)
		return
	}
	defer resp.Body.Close()
	for _, k := range []string{"Content-Type", "Retry-After"} {
		if v := resp.Header.Get(k); v != "" {
			w.Header().Set(k, v)
		}
	}
	w.WriteHeader(resp.StatusCode)
	io.Copy(w, io.LimitReader(resp.Body, MaxBodyBytes))
}
