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
	keepAliveInterval = 2 * time.Second // an empty line while nothing changes, as the protocol says
	commitTimeout     = 5 * time.Second // for a write to commit
	headerForwarded   = "X-Catalog-Forwarded"
	// watchSendBufferBytes is the socket send buffer of a watch: what a watcher that does not
	// read can hold of this instance's memory (the kernel doubles it).
	watchSendBufferBytes = 64 << 10
)

type connKey struct{}

// ConnContext is for http.Server.ConnContext: it lets a watch bound its socket's
// send buffer to watchBuffer.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Handler serves the protocol's discovery form and the writes:
//
//	GET    /catalog/members[?stream=1&index=N]  whole list, or a watch
//	PUT    /catalog/members/{id}                register or change (body: Patch)
//	DELETE /catalog/members/{id}                deregister (watchers see state "gone")
//	GET    /catalog/status                      this instance's raft state, as JSON
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

func (n *Node) serveList(w http.ResponseWriter, r *http.Request) {
	if why := n.StaleReason(); why != "" {
		writeUnavailable(w, "stale: "+why, 0)
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

// serveListCall lets a call for a list in and answers it, or says when to come back.
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

// serveWatch sends what changed after version after, then each change, and an empty
// line every keepAlive while nothing does. It ends when the client goes, when a
// write takes longer than WatchWrite, or when this instance turns stale. after==0
// gets the whole list first. begun is called when the first of it is out: from there on
// a watch is no work until something changes.
func (n *Node) serveWatch(w http.ResponseWriter, r *http.Request, afterVersion uint64, releaseSlot func()) {
	if c, ok := r.Context().Value(connKey{}).(*net.TCPConn); ok {
		c.SetWriteBuffer(watchSendBufferBytes)
	}
	rc := http.NewResponseController(w)
	w.Header().Set("Content-Type", "application/x-ndjson")
	send := func(b []byte) bool {
		rc.SetWriteDeadline(time.Now().Add(n.opt.WatchWriteTimeout))
		if _, err := w.Write(b); err != nil {
			return false
		}
		return rc.Flush() == nil
	}
	line, afterVersion := n.initialLine(r.Context(), afterVersion)
	if line == nil {
		writeUnavailable(w, "behind, without a leader", 0)
		return
	}
	if !send(line) {
		return
	}
	tick := time.NewTicker(keepAliveInterval)
	defer tick.Stop()
	for {
		line, version, moved := n.store.ChangesSince(afterVersion)
		if line != nil {
			if !send(line) {
				return
			}
			afterVersion = version
			continue
		}
		releaseSlot()
		select {
		case <-r.Context().Done():
			return
		case <-moved:
		case <-tick.C:
			if n.StaleReason() != "" || !send([]byte("\n")) {
				return
			}
		}
	}
}

// catchUpTimeout is how long a watch that resumes from a later version than there is here waits for
// that: this instance may have entries to apply.
const catchUpTimeout = 250 * time.Millisecond

// initialLine is what a watch after a version begins with, and the version that it brings the
// watcher to: the changes since, of which there may be none, or the whole list, also where that
// version is not come to: another catalog has counted it. nil: this instance is behind, as its
// leader has gone.
func (n *Node) initialLine(ctx context.Context, afterVersion uint64) ([]byte, uint64) {
	catchUpTimer := time.NewTimer(catchUpTimeout)
	defer catchUpTimer.Stop()
	for afterVersion > 0 {
		line, version, moved := n.store.ChangesSince(afterVersion)
		if line != nil {
			return line, version
		}
		if version == afterVersion {
			return encodeNoChanges(version), version
		}
		select {
		case <-moved:
			continue
		case <-ctx.Done():
		case <-catchUpTimer.C:
			if !n.hasLiveLeader() || n.store.VersionBase()+n.raft.LastIndex() >= afterVersion {
				return nil, 0 // it will come to that version, or cannot tell
			}
		}
		break
	}
	return n.store.FullList()
}

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
		// Checked here too, so that a bad write does not reach the log.
		old, exists := n.store.Get(id)
		if _, err := c.Patch.apply(old, exists); err != nil {
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
		// Lost leadership leaves the outcome open: the entry may yet commit.
		writeUnavailable(w, "not committed here: "+err.Error(), 0)
	default:
		writeUnavailable(w, err.Error(), 0)
	}
}

var forwardClient = &http.Client{Timeout: commitTimeout + time.Second}

// forward sends a write on to the leader and passes its answer back; a write that
// was forwarded once is not forwarded again.
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
