package catalog

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/hashicorp/raft"
)

// commitTimeout limits the wait for the commit of a write.
const commitTimeout = 5 * time.Second

// headerForwarded holds, on a forwarded write, the id of the instance that forwards it.
const headerForwarded = "X-Catalog-Forwarded"

// errCommitTimeout is returned for a write that did not commit in time. It may still commit.
var errCommitTimeout = errors.New("catalog: not committed in time")

// write commits one command and returns the version of the list after it. It must run on the
// leader. timeout limits the wait for the commit. write fails with ErrInvalid, ErrNotFound,
// raft.ErrNotLeader, errCommitTimeout or raft.ErrLeadershipLost (after both of which the entry may
// still commit), or another raft error such as raft.ErrEnqueueTimeout.
func (n *Node) write(c command, timeout time.Duration) (uint64, error) {
	if n.store.VersionBase() == 0 {
		c.Base = uint64(time.Now().UnixMilli()) // a rebuilt catalog continues above all versions of the old one
	}
	data, err := json.Marshal(c)
	if err != nil {
		return 0, err
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	future := n.raft.Apply(data, timeout)
	// raft.Apply limits only the wait until raft takes the command. Raft steps down when it loses its
	// quorum, but not while a write to its log hangs, and Error returns only once raft has decided.
	decided := make(chan error, 1)
	go func() { decided <- future.Error() }()
	select {
	case err = <-decided:
	case <-timer.C:
		err = errCommitTimeout
	}
	if err != nil {
		return 0, err
	}
	r, _ := future.Response().(applyResult)
	return r.Version, r.Err
}

// Errors of writes that are refused for their body, besides ErrInvalid.
var (
	errBodyTooLong = fmt.Errorf("body over %d bytes", MaxBodyBytes)
	errBodyUnread  = errors.New("body")
)

// serveWrite commits a PUT or DELETE of one entry on the leader. Any other instance checks the form of
// the write and forwards it.
func (n *Node) serveWrite(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if err := ValidateID(id); err != nil {
		answerWriteError(w, err)
		return
	}
	body, err := readBody(w, r)
	if err != nil {
		answerWriteError(w, err)
		return
	}
	c := command{Op: opDelete, ID: id}
	if r.Method == http.MethodPut {
		c.Op = opPut
		if c.Patch, err = decodeValidPatch(body); err != nil {
			answerWriteError(w, err)
			return
		}
	}
	if n.raftConns.isIsolated() {
		answerWriteError(w, errIsolated) // raft cannot commit the write and knows no other leader
		return
	}
	if n.raft.State() != raft.Leader {
		n.forward(w, r, body)
		return
	}
	version, err := n.write(c, commitTimeout)
	if err != nil {
		answerWriteError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, "{\"version\":%d}\n", version)
}

// readBody reads the body of a write. It fails with errBodyTooLong or an error that wraps errBodyUnread.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		return nil, errBodyTooLong
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errBodyUnread, err)
	}
	return body, nil
}

// decodeValidPatch decodes a patch and checks it, which keeps most invalid writes out of the raft log.
// Whether the entry exists is decided by Store.Apply alone: the list of this instance may be behind
// acknowledged writes, not only on a follower but also on a leader that has not yet applied the log it
// was elected with.
func decodeValidPatch(body []byte) (Patch, error) {
	patch, err := DecodePatch(body)
	if err != nil {
		return Patch{}, err
	}
	return patch, patch.validate()
}

// answerWriteError answers a write that failed, with a status that depends on the type of the error.
func answerWriteError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, errBodyTooLong):
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	case errors.Is(err, ErrInvalid), errors.Is(err, errBodyUnread):
		http.Error(w, err.Error(), http.StatusBadRequest)
	case errors.Is(err, ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrLeadershipLost),
		errors.Is(err, raft.ErrEnqueueTimeout), errors.Is(err, raft.ErrRaftShutdown):
		// After a loss of leadership the outcome is unknown: the entry may still commit.
		writeUnavailable(w, "not committed here: "+err.Error(), 0)
	default: // errCommitTimeout, whose outcome is unknown too, and other errors of raft
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
