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

	"lynxspool/internal/listener"
)

const (
	pathHealthcheck = "/healthcheck"
	pathMembership  = "/members"
	pathAudit       = "/audit"
	pathHosts       = "/hosts/" // ID/maint or ID/ready

	// An answer is due within 1 s of a call. Who sends none holds a connection for
	// operatorRead at most, and only while no more than operatorConns come.
	operatorRead  = 1500 * time.Millisecond
	operatorWrite = 2 * time.Second
	operatorConns = 16
	operatorHead  = 8 << 10
	operatorBody  = 4 << 10
)

// Operator is the address for operators: whether this process is ready to serve, and
// maintenance of hosts.
type Operator struct {
	loop   *Loop
	server *Server
	bans   *Bans
	// Members gives the membership view for GET /members; nil while membership is off.
	Members func() any
	settle  time.Duration // before a yes, for the other process of an upgrade to follow
	http    http.Server

	rejects limitedLog

	mu    sync.Mutex
	conns []net.Conn // the oldest first
}

// NewOperator returns an Operator. shared says that another process may serve beside
// this one and has to follow.
func NewOperator(loop *Loop, server *Server, bans *Bans, shared bool) *Operator {
	o := &Operator{loop: loop, server: server, bans: bans}
	if shared {
		o.settle = banSettle
	}
	o.http = http.Server{
		Handler:        http.HandlerFunc(o.serve), // no ServeMux: it would redirect
		ConnState:      o.track,
		ConnContext:    withFraming,
		ReadTimeout:    operatorRead,
		WriteTimeout:   operatorWrite,
		MaxHeaderBytes: operatorHead,

		DisableGeneralOptionsHandler: true,
	}
	o.http.SetKeepAlivesEnabled(false)
	return o
}

// Serve answers calls that come to ln.
func (o *Operator) Serve(ln net.Listener) error {
	return o.http.Serve(framedListener{listener.NewRetrying(ln, "operators")})
}

// track closes the oldest connection when there are too many: a call takes so little
// time that the oldest belongs to a caller who sends nothing.
func (o *Operator) track(c net.Conn, state http.ConnState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch state {
	case http.StateNew:
		o.conns = append(o.conns, c)
		if len(o.conns) > operatorConns {
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

func (o *Operator) serve(w http.ResponseWriter, r *http.Request) {
	no := func(status int, err error) {
		o.rejects.warn("operator's call refused", "method", r.Method, "path", r.URL.Path, "status", status, "err", err)
		http.Error(w, err.Error(), status)
	}
	if _, clear := framing(r); !clear {
		no(http.StatusBadRequest, errAmbiguous)
		return
	}
	// A call that does not come whole is none.
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, operatorBody)); err != nil {
		no(http.StatusBadRequest, errors.New("the call did not come whole"))
		return
	}
	path := r.URL.EscapedPath()
	method := http.MethodPut
	id, verb, ok := hostCall(path)
	if path == pathHealthcheck || path == pathMembership || path == pathAudit {
		method, ok = http.MethodGet, true
	}
	switch {
	case !ok:
		no(http.StatusNotFound, errors.New("there is no such call"))
	case r.Method != method:
		w.Header().Set("Allow", method)
		no(http.StatusMethodNotAllowed, fmt.Errorf("the call takes %s", method))
	case path == pathHealthcheck:
		if err := o.server.Healthy(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		io.WriteString(w, "ok\n")
	case path == pathAudit:
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(o.loop.Audit.Figures())
	case path == pathMembership:
		if o.Members == nil {
			no(http.StatusNotFound, errors.New("membership is off"))
			return
		}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(o.Members())
	case !o.loop.known(id):
		no(http.StatusNotFound, errors.New("no such host was ever listed"))
	default:
		if err := o.bans.Set(o.loop, id, verb == "maint"); err != nil {
			slog.Error("maintenance of a host not changed", "host", id, "call", verb, "err", err)
			http.Error(w, "the ban cannot be kept", http.StatusInternalServerError)
			return
		}
		// The events of the loop are handled in order: once this one is, so is the ban.
		o.loop.Sync()
		time.Sleep(o.settle)
		slog.Info("maintenance of a host", "host", id, "call", verb)
		io.WriteString(w, "ok\n")
	}
}

// hostCall reads the path of a call that concerns a host.
func hostCall(path string) (id, verb string, ok bool) {
	rest, ok := strings.CutPrefix(path, pathHosts)
	if !ok {
		return "", "", false
	}
	id, verb, _ = strings.Cut(rest, "/")
	id, err := url.PathUnescape(id)
	return id, verb, err == nil && id != "" && (verb == "maint" || verb == "ready")
}
