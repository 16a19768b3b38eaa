package gateway

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"lynxspool"
	"lynxspool/internal/listener"
)

// Shares of the descriptors, in hundredths; the rest is for the listener, discovery
// and what the runtime holds.
const (
	clientSockets = 55 // beyond this, connections without a request make room
	mostSockets   = 60 // and this is what clients have at the most
	hostSockets   = 35
)

const (
	pathHealth = "/_health"

	// answerMargin is how long before the client stops waiting the answer is due. From
	// a host's answer to the client 0.4 ms pass in 99 of 100 cases, as measured; a
	// shared core may hold us up a few more.
	answerMargin = 5 * time.Millisecond

	// Who sends no proper request is owed an answer or a close within 3 s of connecting,
	// and holds a descriptor until then. A connection is owed 2 s to bring a request.
	headerTimeout  = 2300 * time.Millisecond // for a client to get a request's head through
	requestTimeout = 2800 * time.Millisecond // ... all of it, beyond what its body may take

	writeTimeout = 10 * time.Second // for a client to take its answer
	idleTimeout  = 3 * time.Minute  // for a client's connection with no request
)

// Server is the side of the clients.
type Server struct {
	cfg    *Config
	loop   *Loop
	http   http.Server
	budget int // client connections beyond which idle ones are closed

	rejects limitedLog

	ln        atomic.Pointer[net.Listener]
	accepting atomic.Bool
	stopping  atomic.Bool
	exitAt    time.Time     // set before stopping: all answers are due by then
	stopped   chan struct{} // closed with stopping

	mu      sync.Mutex
	conns   map[net.Conn]connState
	slots   chan struct{} // one for each connection that is open
	leaving bool          // no connection stays for another request

	candidates []candidate // of evict
}

// NewServer returns a Server that hands requests to loop.
func NewServer(cfg *Config, loop *Loop) *Server {
	s := &Server{
		cfg: cfg, loop: loop, budget: cfg.Sockets * clientSockets / 100,
		conns: map[net.Conn]connState{}, stopped: make(chan struct{}),
		slots: make(chan struct{}, cfg.Sockets*mostSockets/100),
	}
	s.http = http.Server{
		Handler:           http.HandlerFunc(s.serve), // no ServeMux: it would clean paths and redirect
		ConnState:         s.track,
		ConnContext:       withFraming,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       requestTimeout,
		WriteTimeout:      writeTimeout, // set anew with the answer
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHead, // a connection's share of the memory limit

		DisableGeneralOptionsHandler: true,
	}
	return s
}

// Serve takes requests from ln until Shutdown has closed it.
func (s *Server) Serve(ln net.Listener) error {
	backlog := newBacklog(ln)
	ln = listener.NewRetrying(backlog, "clients")
	ln = &clientListener{framedListener: framedListener{ln}, backlog: backlog, server: s, done: make(chan struct{})}
	s.ln.Store(&ln)
	if s.stopping.Load() {
		ln.Close() // Shutdown may have come too early to see it
	} else {
		s.accepting.Store(true)
	}
	err := s.http.Serve(ln)
	s.accepting.Store(false)
	if errors.Is(err, http.ErrServerClosed) || s.stopping.Load() {
		return nil
	}
	return err
}

// Healthy is nil when this process serves: it takes what comes and has a host to send it
// to.
func (s *Server) Healthy() error {
	switch {
	case s.stopping.Load():
		return errStopping
	case !s.accepting.Load():
		return errors.New("not accepting yet")
	case !s.loop.Ready():
		return errNoHosts
	}
	return nil
}

var (
	errStopping = errors.New("stopping")
	errNoHosts  = errors.New("no hosts known")
)

// serve answers one request.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if closed(r) {
		// It crossed our closing the connection as idle: its client sends it again.
		count(&s.loop.Audit.closedOwing, "request read from a connection that was closed", "id", r.Header.Get(headRequestID),
			"peer", r.RemoteAddr)
		return
	}
	s.mayKeep(w)
	head, clear := framing(r)
	if !clear {
		// What follows on the connection may belong to its body.
		w.Header().Set("Connection", "close")
		s.reject(w, r, http.StatusBadRequest, errAmbiguous)
		return
	}
	if r.Method == http.MethodGet && r.URL.Path == pathHealth {
		s.health(w)
		return
	}
	x, status, err := s.read(w, r, head)
	if err != nil {
		s.reject(w, r, status, err)
		return
	}
	defer x.give()
	s.loop.Submit(x)
	a, ok := s.await(r, x)
	if !ok {
		panic(http.ErrAbortHandler) // a return would be an empty 200
	}
	s.mayKeep(w) // the end may have begun meanwhile
	s.give(w, r, x, a)
}

// mayKeep tells the client with its answer if its connection will not stay.
func (s *Server) mayKeep(w http.ResponseWriter) {
	if s.stopping.Load() || s.crowded() {
		w.Header().Set("Connection", "close")
	}
}

// await waits for the answer of an exchange. It says false when nobody wants it any more.
func (s *Server) await(r *http.Request, x *exchange) (answer, bool) {
	var whole chan struct{}
	gone, stopped := r.Context().Done(), s.stopped
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	if x.upload != nil {
		// A body that does not come ends the context too, but whoever reads it answers. Until
		// it is whole its deadline is the attempt's to set.
		whole, gone = x.upload.whole, nil
	}
	due := func() time.Time {
		if whole != nil {
			return s.due(x.dueAt()) // it moves on while the body is known not to be whole
		}
		return s.due(x.deadline)
	}
	timer.Reset(time.Until(due()))
	for {
		select {
		case a := <-x.answer:
			return a, true
		case <-whole:
			whole, gone = nil, r.Context().Done()
			timer.Reset(time.Until(due()))
		case <-stopped:
			// The process ends before some of the requests that it has taken are due.
			stopped = nil
			timer.Reset(time.Until(due()))
		case <-gone:
			x.leave()
			if x.close() {
				s.loop.Abandon(x)
			} else {
				a := <-x.answer
				a.drop()
			}
			return answer{}, false
		case <-timer.C:
			if left := time.Until(due()); left > 0 {
				timer.Reset(left)
				continue
			}
			// The module should have answered; the client is not kept waiting for it.
			if x.close() {
				s.loop.Abandon(x)
				return answer{kind: failed}, true
			}
			return <-x.answer, true
		}
	}
}

// give gives a client its answer.
func (s *Server) give(w http.ResponseWriter, r *http.Request, x *exchange, a answer) {
	if a.give != nil {
		defer a.give()
	}
	rc := http.NewResponseController(w)
	rc.SetWriteDeadline(time.Now().Add(clientStall))
	early := x.upload != nil && !x.upload.stop()
	if early {
		w.Header().Set("Connection", "close") // the rest of the body would follow
	}
	if a.stream != nil {
		setHead(w, a.header, a.stream.length)
		err := a.stream.pass(w, r)
		a.stream.done <- err
		if err != nil {
			abort(r, a.stream.length)
		}
		return
	}
	write(w, a)
	if early {
		drain(w, r)
	}
}

// abort ends a connection within an answer, so that the client can tell that it is not
// whole. Where only the end of the connection would tell its end, that is a reset.
func abort(r *http.Request, length int64) {
	if c, ok := r.Context().Value(framedKey{}).(*framedConn); ok && length < 0 && !r.ProtoAtLeast(1, 1) {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
	}
	panic(http.ErrAbortHandler)
}

// drain reads for a while what the client still sends of a body that has its answer:
// closing on it would reset the connection, and the answer with it.
func drain(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(framedKey{}).(*framedConn)
	rc := http.NewResponseController(w)
	if !ok || r.Header.Get("Expect") != "" || rc.Flush() != nil {
		return
	}
	rc.SetReadDeadline(time.Now().Add(drainTime))
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		io.Copy(io.Discard, c.Conn) // its framing is broken, or its reading was
	}
}

var errAmbiguous = errors.New("it is not clear where the request ends")

// reject answers what is no proper request, and logs some of it: those on call must be
// able to tell a client that went wrong.
func (s *Server) reject(w http.ResponseWriter, r *http.Request, status int, err error) {
	if r.ContentLength != 0 {
		w.Header().Set("Connection", "close") // the rest of the body would follow
	}
	s.rejects.warn("request rejected", "id", r.Header.Get(headRequestID), "peer", r.RemoteAddr,
		"status", status, "err", err)
	say(w, status, err.Error())
	if r.ContentLength != 0 {
		drain(w, r)
	}
}

// health tells the front whether requests can be served.
func (s *Server) health(w http.ResponseWriter) {
	if err := s.Healthy(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ok\n")
}

// read reads a request whole and looks up what the module needs. An error comes
// with the status to answer.
func (s *Server) read(w http.ResponseWriter, r *http.Request, head *requestHead) (*exchange, int, error) {
	x := &exchange{
		method: r.Method, uri: r.RequestURI, host: r.Host, url: r.URL, header: r.Header,
		repeat: r.Header.Get("X-Retried") == "1", answer: make(chan answer, 1),
		give: func() {}, due: s.due,
	}
	if c, ok := r.Context().Value(framedKey{}).(*framedConn); ok {
		x.gone = c.gone
		x.from, x.head = c, head
	}
	bad := func(format string, args ...any) (*exchange, int, error) {
		return nil, http.StatusBadRequest, fmt.Errorf(format, args...)
	}
	if r.Header.Get(headRequestID) == "" {
		return bad("%s: missing", headRequestID)
	}
	if err := x.resolve(s.loop.rules.Load()); err != nil {
		return nil, http.StatusBadRequest, err
	}
	class := &x.rules.Settings.Classes[x.class]
	left := class.Deadline
	if v := r.Header.Get(headTimeout); v != "" {
		seconds, err := strconv.ParseFloat(v, 64)
		if err != nil || !(seconds >= 0) {
			return bad("%s: %q is no number of seconds", headTimeout, v)
		}
		// No client waits longer than the deadline of the class.
		left = time.Duration(min(seconds, left.Seconds()) * float64(time.Second))
	}
	x.left = max(0, left-answerMargin)
	if r.ContentLength != 0 {
		if status, err := s.readBody(w, r, x, head.began); err != nil {
			return nil, status, err
		}
	}
	x.deadline = s.due(x.dueAt())
	return x, 0, nil
}

// readBody reads the body if it is to be kept, and else prepares for its coming.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, x *exchange, began time.Time) (int, error) {
	if r.ContentLength > maxBody {
		return http.StatusRequestEntityTooLarge, errTooLong
	}
	rc := http.NewResponseController(w)
	rc.EnableFullDuplex() // else an early answer would wait for the body
	body := &clientBody{body: r.Body, rc: rc, start: began}
	size := maxSmall
	if r.ContentLength > 0 {
		size = int(min(r.ContentLength, maxSmall))
	}
	if r.ContentLength > maxSmall || !s.loop.pool.kept.take(size) {
		x.upload = &upload{clientBody: body, length: r.ContentLength, whole: make(chan struct{})}
		if c, ok := r.Context().Value(framedKey{}).(*framedConn); ok && s.loop.pool.kept.take(maxAhead) {
			c.holdAhead(maxAhead)
			x.give = func() { s.loop.pool.kept.give(maxAhead) }
		}
		return 0, nil
	}
	x.give = func() { s.loop.pool.kept.give(size) }
	s.reading(r, true)
	text, err := io.ReadAll(io.LimitReader(body, maxSmall+1))
	if there := s.reading(r, false); err != nil || !there {
		x.give()
		return http.StatusBadRequest, errors.New("the body did not arrive")
	}
	x.body = text
	if len(text) > maxSmall {
		x.upload = &upload{clientBody: body, length: -1, whole: make(chan struct{})}
	}
	return 0, nil
}

// resolve looks up what the module needs under the rules, and keeps them. An error means
// that the request is no proper one under them.
func (x *exchange) resolve(rules *Rules) error {
	var ok bool
	if x.class, ok = rules.Classes[x.header.Get("X-Priority-Class")]; !ok {
		return fmt.Errorf("X-Priority-Class: unknown class %q", x.header.Get("X-Priority-Class"))
	}
	if len(rules.Tenants) > 0 {
		if x.tenant, ok = rules.Tenants[x.header.Get("X-Tenant-Id")]; !ok {
			return fmt.Errorf("X-Tenant-Id: unknown tenant %q", x.header.Get("X-Tenant-Id"))
		}
	}
	if rules.Settings.Classes[x.class].Effect == lynxspool.Deduplicated && x.header.Get("Idempotency-Key") == "" {
		// Without it no host would drop the repeat that the module may send.
		return errors.New("Idempotency-Key: missing, the class needs one")
	}
	x.rules = rules
	return nil
}

// setHead sets the headers of a host's answer; length is that of its body, -1 if not known.
func setHead(w http.ResponseWriter, from http.Header, length int64) {
	h := w.Header()
	for name, values := range endToEnd(from) {
		h[name] = values
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
}

// write gives a client an answer that is kept whole. Its length is always told, so that
// it is whole by itself though the connection is to end. If it fails the client has gone.
func write(w http.ResponseWriter, a answer) {
	status, text := http.StatusBadGateway, "failed, it may have been done"
	switch a.kind {
	case served:
		setHead(w, a.header, int64(len(a.body)))
		w.Write(a.body)
		return
	case refused:
		if a.retryAfter > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', -1, 64))
		}
		status, text = http.StatusServiceUnavailable, "turned away, trying again is harmless"
	case rejected:
		status, text = http.StatusBadRequest, a.err.Error()
		if errors.Is(a.err, errTooLong) {
			status = http.StatusRequestEntityTooLarge
		}
	}
	say(w, status, text)
}

// say answers with a line of our own.
func say(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)+1))
	w.WriteHeader(status)
	io.WriteString(w, text+"\n")
}
