package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"bramblelock/internal/listener"
)

const (
	pathHealthcheck = "/healthcheck"
	pathMembership  = "/members"
	pathAudit       = "/audit"
	pathHosts       = "/hosts/" // followed by ID/maint or ID/ready

	// An answer is due within 1 s of a call. A peer that sends no call holds a connection for
	// operatorReadTimeout at most, and only while there are no more than maxOperatorConns.
	operatorReadTimeout  = 1500 * time.Millisecond
	operatorWriteTimeout = 2 * time.Second
	maxOperatorConns     = 16
	maxOperatorHeadBytes = 8 << 10
	maxOperatorBodyBytes = 4 << 10
)

// Operator serves the operators' address: whether this process is ready to serve, maintenance of
// hosts, the membership view and the audit.
type Operator struct {
	loop        *Loop
	server      *Server
	maintenance *MaintenanceStore
	// Members returns the membership view for GET /members. It is nil while membership is off.
	Members          func() any
	propagationDelay time.Duration // wait before a change of maintenance is confirmed, so that the other process of an upgrade has applied it; 0 without one
	http             http.Server

	rejectLog rateLimitedLog

	mu    sync.Mutex
	conns []net.Conn // oldest first
}

// NewOperator returns an Operator. shared means that another process may serve beside this one, which
// must apply changes of maintenance too.
func NewOperator(loop *Loop, server *Server, maintenance *MaintenanceStore, shared bool) *Operator {
	o := &Operator{loop: loop, server: server, maintenance: maintenance}
	if shared {
		o.propagationDelay = maintenancePropagationTime
	}
	o.http = http.Server{
		Handler:        http.HandlerFunc(o.serve), // no ServeMux, which would redirect
		ConnState:      o.trackConn,
		ConnContext:    withFramedConn,
		ReadTimeout:    operatorReadTimeout,
		WriteTimeout:   operatorWriteTimeout,
		MaxHeaderBytes: maxOperatorHeadBytes,

		DisableGeneralOptionsHandler: true,
	}
	o.http.SetKeepAlivesEnabled(false)
	return o
}

// Serve answers the calls that arrive at ln until accepting fails, and returns that error.
func (o *Operator) Serve(ln net.Listener) error {
	return o.http.Serve(framedListener{listener.NewRetrying(ln, "operators")})
}

// trackConn closes the oldest connection when there are too many: a call takes so little time that
// the oldest connection belongs to a peer that sends nothing.
func (o *Operator) trackConn(c net.Conn, state http.ConnState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch state {
	case http.StateNew:
		o.conns = append(o.conns, c)
		if len(o.conns) > maxOperatorConns {
			o.conns[0].Close()
			o.conns = o.conns[1:]
		}
	case http.StateClosed, http.StateHijacked:
		for i := range o.conns {
			if o.conns[i] == c {
				o.conns = append(o.conns[:i], o.conns[i+1:]...)
				return
			}
		}
	}
}

// serve answers one call.
func (o *Operator) serve(w http.ResponseWriter, r *http.Request) {
	refuse := func(status int, err error) {
		o.rejectLog.warn("operator's call refused", "method", r.Method, "path", r.URL.Path, "status", status, "err", err)
		http.Error(w, err.Error(), status)
	}
	if _, unambiguous := takeRequestHead(r); !unambiguous {
		refuse(http.StatusBadRequest, errAmbiguous)
		return
	}
	// A call that does not arrive whole, or has a long body, is refused.
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxOperatorBodyBytes)); err != nil {
		refuse(http.StatusBadRequest, errors.New("the call did not come whole"))
		return
	}
	path := r.URL.EscapedPath()
	method := http.MethodPut
	id, action, ok := parseHostCall(path)
	if path == pathHealthcheck || path == pathMembership || path == pathAudit {
		method, ok = http.MethodGet, true
	}
	switch {
	case !ok:
		refuse(http.StatusNotFound, errors.New("there is no such call"))
	case r.Method != method:
		w.Header().Set("Allow", method)
		refuse(http.StatusMethodNotAllowed, fmt.Errorf("the call takes %s", method))
	case path == pathHealthcheck:
		if err := o.server.Healthy(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		io.WriteString(w, "ok\n")
	case path == pathAudit:
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(o.loop.Audit.Counters())
	case path == pathMembership:
		if o.Members == nil {
			refuse(http.StatusNotFound, errors.New("membership is off"))
			return
		}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(o.Members())
	case !o.loop.hostKnown(id):
		refuse(http.StatusNotFound, errors.New("no such host was ever listed"))
	default:
		if err := o.maintenance.Set(o.loop, id, action == "maint"); err != nil {
			slog.Error("failed to change the maintenance of a host", "host", id, "call", action, "err", err)
			http.Error(w, "the ban cannot be kept", http.StatusInternalServerError)
			return
		}
		// The loop handles its events in order, so the change is in force once Sync returns.
		o.loop.Sync()
		time.Sleep(o.propagationDelay)
		slog.Info("maintenance of a host", "host", id, "call", action)
		io.WriteString(w, "ok\n")
	}
}

// parseHostCall parses the path of a call that concerns a host: pathHosts, the escaped id of the
// host, a slash, and the action "maint" or "ready".
func parseHostCall(path string) (id, action string, ok bool) {
	rest, ok := strings.CutPrefix(path, pathHosts)
	if !ok {
		return "", "", false
	}
	id, action, _ = strings.Cut(rest, "/")
	id, err := url.PathUnescape(id)
	return id, action, err == nil && id != "" && (action == "maint" || action == "ready")
}
