package catalog

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const membersPath = "/catalog/members"

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

// writeUnavailable answers 503 with a Retry-After header in seconds with three decimals. If
// retryAfter is not positive, it is drawn at random from 0.5 s to 1.5 s, so that callers rejected
// together do not retry together.
func writeUnavailable(w http.ResponseWriter, reason string, retryAfter time.Duration) {
	if retryAfter <= 0 {
		retryAfter = time.Second/2 + rand.N(time.Second)
	}
	w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	http.Error(w, reason, http.StatusServiceUnavailable)
}
