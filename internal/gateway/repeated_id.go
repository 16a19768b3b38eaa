package gateway

import (
	"log/slog"
	"os"
	"time"

	"bramblelock"
	"bramblelock/internal/gateway/config"
	"bramblelock/internal/gateway/requestids"
)

// A client that has left without having read an answer may send its request again with the same id, on another connection
// or to the other process of an upgrade, while the first copy runs or after it has. A request of a class that may run
// once only is therefore sent only if no other request with its id was sent that may have run.

// newSentIDs returns the table of the ids of requests that were sent and may have run. Processes that share the
// listener of clients share the table.
func newSentIDs(cfg *config.Config) *requestids.Table {
	folder := os.Getenv("TMPDIR")
	if cfg.AcceptFD == 0 || folder == "" {
		return requestids.New()
	}
	table, err := requestids.Open(folder)
	if err != nil {
		slog.Warn("ids of requests are not shared with the other process of an upgrade", "err", err)
		return requestids.New()
	}
	return table
}

// holdID marks the id of x as that of a request that is sent, if its class may run once only. It returns false if
// another request with the id was sent.
func (p *Pool) holdID(x *exchange) bool {
	if x.rules == nil || x.rules.Settings.Classes[x.class].Effect != bramblelock.AtMostOnce || x.idHeld.Load() {
		return true
	}
	if !p.sentIDs.Hold(x.requestID(), time.Now()) {
		return false
	}
	x.idHeld.Store(true)
	return true
}

// releaseID removes the mark of holdID, as x was not sent or did not run. An answer is no reason: its client may have left
// when it was written, without reading it, and an id is used for one request only.
func (p *Pool) releaseID(x *exchange) {
	if x.idHeld.CompareAndSwap(true, false) {
		p.sentIDs.Release(x.requestID())
	}
}
