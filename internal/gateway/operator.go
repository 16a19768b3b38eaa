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

	"bramblelock/internal/gateway/maintenance"
	"bramblelock/internal/listener"
)

const (
	pathHealthcheck = "/healthcheck"
	pathMembership  = "/members"
	pathAudit       = "/audit"
	pathLoop        = "/loop"
	pathEndings     = "/endings"
	pathHosts       = "/hosts/" // followed by ID/maint or ID/ready

	actionMaintenance = "maint" // puts a host into maintenance
	actionReady       = "ready" // ends the maintenance

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
	maintenance *maintenance.Store
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
func NewOperator(loop *Loop, server *Server, store *maintenance.Store, shared bool) *Operator {
	o := &Operator{loop: loop, server: server, maintenance: store}
	if shared {
		o.propagationDelay = maintenance.PropagationTime
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

// The reasons for which calls are refused.
var (
	errCallIncomplete = errors.New("the call did not come whole")
	errNoSuchCall     = errors.New("there is no such call")
	errMembershipOff  = errors.New("membership is off")
	errHostNotListed  = errors.New("no such host was ever listed")
)

// serve answers one call.
func (o *Operator) serve(w http.ResponseWriter, r *http.Request) {
	if _, unambiguous := takeRequestHead(r); !unambiguous {
		o.refuse(w, r, http.StatusBadRequest, errAmbiguous)
		return
	}
	// A call that does not arrive whole, or has a long body, is refused.
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxOperatorBodyBytes)); err != nil {
		o.refuse(w, r, http.StatusBadRequest, errCallIncomplete)
		return
	}
	path := r.URL.EscapedPath()
	switch path {
	case pathHealthcheck:
		o.serveGet(w, r, o.serveHealthcheck)
	case pathAudit:
		o.serveGet(w, r, o.serveAudit)
	case pathLoop:
		o.serveGet(w, r, o.serveLoop)
	case pathEndings:
		o.serveGet(w, r, o.serveEndings)
	case pathMembership:
		o.serveGet(w, r, o.serveMembers)
	default:
		o.serveHostCall(w, r, path)
	}
}

// refuse answers a call that is not carried out.
func (o *Operator) refuse(w http.ResponseWriter, r *http.Request, status int, err error) {
	o.rejectLog.warn("operator's call refused", "method", r.Method, "path", r.URL.Path, "status", status, "err", err)
	http.Error(w, err.Error(), status)
}

// allow returns whether a call has the method that it takes. If not, allow refuses the call.
func (o *Operator) allow(w http.ResponseWriter, r *http.Request, method string) bool {
	if r.Method == method {
		return true
	}
	w.Header().Set("Allow", method)
	o.refuse(w, r, http.StatusMethodNotAllowed, fmt.Errorf("the call takes %s", method))
	return false
}

// serveGet answers a call with the method GET by handler.
func (o *Operator) serveGet(w http.ResponseWriter, r *http.Request, handler http.HandlerFunc) {
	if o.allow(w, r, http.MethodGet) {
		handler(w, r)
	}
}

// serveHealthcheck reports whether this process is ready to serve.
func (o *Operator) serveHealthcheck(w http.ResponseWriter, _ *http.Request) {
	if err := o.server.Healthy(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ok\n")
}

// serveAudit answers with the counters of the audit.
func (o *Operator) serveAudit(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, o.loop.Audit.Counters())
}

// serveLoop answers with the status of the event loop.
func (o *Operator) serveLoop(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, o.loop.Status())
}

// serveEndings answers with the counters of requests, attempts and streams that ended without a whole answer.
func (o *Operator) serveEndings(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, o.loop.pool.endings.Counters())
}

// serveMembers answers with the membership view.
func (o *Operator) serveMembers(w http.ResponseWriter, r *http.Request) {
	if o.Members == nil {
		o.refuse(w, r, http.StatusNotFound, errMembershipOff)
		return
	}
	writeJSON(w, o.Members())
}

// serveHostCall puts a host into maintenance or ends its maintenance.
func (o *Operator) serveHostCall(w http.ResponseWriter, r *http.Request, path string) {
	id, action, ok := parseHostCall(path)
	if !ok {
		o.refuse(w, r, http.StatusNotFound, errNoSuchCall)
		return
	}
	if !o.allow(w, r, http.MethodPut) {
		return
	}
	if !o.loop.hostKnown(id) {
		o.refuse(w, r, http.StatusNotFound, errHostNotListed)
		return
	}
	if err := o.maintenance.Set(o.loop, id, action == actionMaintenance); err != nil {
		slog.Error("failed to change the maintenance of a host", "host", id, "call", action, "err", err)
		http.Error(w, "the change of maintenance cannot be stored", http.StatusInternalServerError)
		return
	}
	// The loop handles its events in order, so the change is in force once Sync returns.
	o.loop.Sync()
	time.Sleep(o.propagationDelay)
	slog.Info("maintenance of a host", "host", id, "call", action)
	io.WriteString(w, "ok\n")
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(value)
}

// parseHostCall parses the path of a call that concerns a host: pathHosts, the escaped id of the
// host, a slash, and the action.
func parseHostCall(path string) (id, action string, ok bool) {
	rest, ok := strings.CutPrefix(path, pathHosts)
	if !ok {
		return "", "", false
	}
	id, action, _ = strings.Cut(rest, "/")
	id, err := url.PathUnescape(id)
	return id, action, err == nil && id != "" && (action == actionMaintenance || action == actionReady)
}
