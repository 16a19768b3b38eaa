package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"bramblelock"
)

const (
	pathMembers = "/catalog/members"

	// An instance of discovery answers a call within a second or rejects it; one that is cut off
	// says nothing. If there are several instances, all of them are tried within allCallsTimeout.
	callTimeout     = 2 * time.Second
	minCallTimeout  = 500 * time.Millisecond
	allCallsTimeout = 3 * bramblelock.NotifiedAfter / 4
	// If there is one instance, a call that is given up keeps its place in the queue of discovery
	// and the next call gets another one, so a call is given enough time to be served in turn.
	// After a watch that ended, the deadline for notifications leaves no time for a second call
	// anyway. The factors are multiples of the time after which a watch counts as silent.
	urgentTimeoutFactor = 1 // the time since the loss has run for a while, or is short
	usualTimeoutFactor  = 1.5
	endedTimeoutFactor  = 2
	watchDialTimeout    = 500 * time.Millisecond
	// If lists are pushed, what the gateway's own agent has counts as notified whether or not a
	// watch is open, so a new watch is begun soon. maxWatchBackoff is half of the longest wait.
	minWatchBackoff = 50 * time.Millisecond // wait before a new watch, doubled up to maxWatchBackoff
	maxWatchBackoff = 300 * time.Millisecond
	maxListBytes    = 4 << 20 // a list of 2,000 hosts has 250 kB
	// A list with a version lower than ours is rejected for this long. If every address still
	// offers only such lists after that, discovery has started its versions anew (a catalog that
	// was rebuilt empty) and its full list is applied: what it has counts as notified, whatever its
	// version.
	versionResetAfter = bramblelock.NotifiedAfter / 4
	// listAgeLogInterval is the time between two log lines on the age of the list in use while
	// discovery is unreachable.
	listAgeLogInterval = 10 * time.Second
)

// MemberList is the list of hosts, or changes of it, in the format of discovery.
type MemberList struct {
	Version uint64
	Full    bool
	Servers []Member
}

// Member is one host of the list.
type Member struct {
	ID        string
	Addr      string
	Zone      string
	Kind      string
	Cell      int
	State     string
	StartedMS int64 `json:"started_ms"`
}

// hostState parses the state of a host. A host in an unknown state counts as draining.
func (m *Member) hostState() bramblelock.HostState {
	switch m.State {
	case "ready":
		return bramblelock.Ready
	case "gone":
		return bramblelock.Removed
	}
	return bramblelock.Draining
}

// Discovery watches the list of hosts and passes it on to a ListHandler.
type Discovery struct {
	addrsChanged    chan struct{} // signals that there are other addresses to watch
	onDemand        bool          // a watch begins only when the module asks for it
	watchRequested  chan struct{}
	version         uint64 // of the list that was passed on last; owned by Run
	needFullList    bool   // a full list is requested, whatever version there is; owned by Run
	unansweredCalls int    // consecutive calls without an answer; owned by Run
	client          http.Client
	syncLists       func()        // returns once the lists that were passed on are in force
	silenceTimeout  time.Duration // a watch that is silent for this long is dead
	timeoutFactor   float64       // time that the next call may take, as a multiple of silenceTimeout; owned by Run
	answerTimeout   time.Duration // time that a call may go without an answer if there are other instances
	lastHeardAt     time.Time     // when discovery last sent anything; owned by Run
	olderListSince  time.Time     // since when only lists older than ours were offered; owned by Run
	haveList        bool          // a list is in use; owned by Run
	maxRetryDelay   time.Duration // longest delay that discovery can request with Retry-After
	retryAt         time.Time     // discovery asked not to be called before; owned by Run

	mu          sync.Mutex
	addrs       []string                // instances of one discovery service, tried in turn
	addrIndex   int                     // index of the address in use
	addrsUnused bool                    // addrs have changed and none of them has been called yet
	cancelWatch context.CancelCauseFunc // ends the present watch; nil if there is none
	callConn    *watchConn              // connection of the present or the last call
}

// ListHandler receives lists of hosts, changes of them and reports that discovery was lost. Loop
// and Roster implement it.
type ListHandler interface {
	HandleList(kind bramblelock.ListKind, list MemberList)
}

// splitAddrs parses GW_DISCOVERY: one address, or several of one service, separated by commas.
func splitAddrs(s string) []string {
	var out []string
	for _, a := range strings.Split(s, ",") {
		if a = strings.TrimSpace(a); a != "" {
			out = append(out, a)
		}
	}
	if len(out) == 0 {
		out = []string{s}
	}
	return out
}

var (
	errSilent       = errors.New("discovery is silent")
	errAddrsChanged = errors.New("discovery has moved")
	errOlderList    = errors.New("discovery offers a list older than ours")
)

// NewDiscovery returns a Discovery that starts from the known list.
func NewDiscovery(cfg *Config) *Discovery {
	d := &Discovery{
		addrs: splitAddrs(cfg.Discovery), addrsChanged: make(chan struct{}, 1), lastHeardAt: time.Now(),
		onDemand: cfg.Settings.WatchHosts, watchRequested: make(chan struct{}, 1), version: cfg.Known.Version,
		silenceTimeout: bramblelock.SilentAfter, timeoutFactor: usualTimeoutFactor, answerTimeout: callTimeout, haveList: len(cfg.Known.Servers) > 0, maxRetryDelay: cfg.Settings.MaxWatchGap,
	}
	d.syncLists = func() {}
	d.client = http.Client{Transport: &http.Transport{DialContext: d.dial, DisableKeepAlives: true}}
	return d
}

// dial connects to discovery for a call.
func (d *Discovery) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := (&net.Dialer{Timeout: watchDialTimeout}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	watch := newWatchConn(c, d.syncLists)
	d.mu.Lock()
	d.callConn = watch
	d.mu.Unlock()
	return watch, nil
}

// currentConn returns the connection of the present or the last call, or nil before the first.
func (d *Discovery) currentConn() *watchConn {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.callConn
}

// SetSync sets a function that returns once the lists that were passed on are in force. It must be
// called before Run.
func (d *Discovery) SetSync(sync func()) { d.syncLists = sync }

// UpdateOverdue returns whether discovery has written something that should be in force by now.
// That happens after the process was stalled: a change counts as notified from when it was written.
func (d *Discovery) UpdateOverdue() bool {
	c := d.currentConn()
	return c != nil && c.updateOverdue()
}

// Watch requests a watch, if the module has to ask for watches.
func (d *Discovery) Watch() {
	select {
	case d.watchRequested <- struct{}{}:
	default: // requested already
	}
}

// SetAddrs changes the addresses of discovery. It ends the present watch, as the old address may
// stay connected and send nothing more.
func (d *Discovery) SetAddrs(addr string) {
	addrs := splitAddrs(addr)
	d.mu.Lock()
	defer d.mu.Unlock()
	if strings.Join(addrs, ",") == strings.Join(d.addrs, ",") {
		return
	}
	d.addrs, d.addrIndex, d.addrsUnused = addrs, 0, true
	select {
	case d.addrsChanged <- struct{}{}:
	default: // Run has not handled the last change yet
	}
	if d.cancelWatch != nil {
		d.cancelWatch(errAddrsChanged)
	}
}

// Run watches the list until ctx ends. After a watch breaks it begins a new one at the next
// address, after a capped exponential backoff with jitter. If the module asks for watches, Run
// reports the loss instead, and the module decides when to watch again. After a change of addresses
// a watch begins at once, as the request for it still holds. While no address answers, the last
// list stays in use, and its age is logged every listAgeLogInterval.
func (d *Discovery) Run(ctx context.Context, loop ListHandler) {
	backoff, watchLost := minWatchBackoff, false
	var lostSince, loggedAt time.Time      // time of the loss, and of the last log line about it
	callAgain, failedInstances := false, 0 // whether the next watch begins without being requested; instances that failed in this round
	retriedUnanswered := false             // an unanswered call has already been repeated at once
	for ctx.Err() == nil {
		if d.onDemand && !callAgain {
			select {
			case <-ctx.Done():
				return
			case <-d.watchRequested:
				select { // discovery may have asked to be called later
				case <-ctx.Done():
					return
				case <-time.After(time.Until(d.retryAt)):
				case <-d.addrsChanged:
				}
			case <-d.addrsChanged:
			}
		}
		received, err := d.watch(ctx, loop)
		if ctx.Err() != nil {
			return
		}
		if received {
			if watchLost && time.Since(lostSince) > listAgeLogInterval {
				slog.Info("discovery back", "after_s", time.Since(lostSince).Round(time.Millisecond).Seconds())
			}
			backoff, watchLost = minWatchBackoff, false
		}
		if errors.Is(err, errAddrsChanged) {
			continue
		}
		// A watch that fell silent has missed changes that count as notified by now. It is reopened
		// at once, and a failure is reported to the module only if that fails, as the module waits
		// before the next call. A call without an answer is also repeated at once, but only once:
		// if no call is answered, the module spaces the calls of the fleet.
		callAgain = errors.Is(err, errSilent) && (received || !retriedUnanswered)
		switch {
		case callAgain && received:
			d.timeoutFactor = urgentTimeoutFactor
			loop.HandleList(bramblelock.ListSilent, MemberList{})
		case errors.Is(err, errEnded):
			d.timeoutFactor = endedTimeoutFactor
		default:
			d.timeoutFactor = usualTimeoutFactor
		}
		retriedUnanswered = callAgain && !received
		d.mu.Lock()
		d.addrIndex = (d.addrIndex + 1) % len(d.addrs)
		instances := len(d.addrs)
		d.mu.Unlock()
		// Another instance may be available: each is tried once before a failure is reported, unless
		// one has asked not to be called.
		if failedInstances++; !received && failedInstances < instances && time.Now().After(d.retryAt) {
			callAgain = true
		} else {
			failedInstances = 0
		}
		switch now := time.Now(); {
		case !watchLost:
			slog.Warn("watch of the host list lost, watching anew", "err", err)
			watchLost, lostSince, loggedAt = true, now, now
		case now.Sub(loggedAt) >= listAgeLogInterval:
			slog.Warn("discovery unreachable, serving on the last list", "age_s",
				now.Sub(d.lastHeardAt).Round(time.Second).Seconds(), "err", err)
			loggedAt = now
		}
		if d.onDemand && callAgain {
			continue
		}
		if d.onDemand {
			loop.HandleList(lossKind(err), MemberList{})
			continue
		}
		select {
		case <-ctx.Done():
		case <-d.addrsChanged:
		case <-time.After(jitter(backoff)):
		}
		backoff = min(2*backoff, maxWatchBackoff)
	}
}

// watch holds one watch until it ends. It returns whether the watch received anything, or was open
// when it fell silent.
func (d *Discovery) watch(ctx context.Context, loop ListHandler) (received bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	d.mu.Lock()
	addrsChanged := d.addrsUnused
	d.mu.Unlock()
	if addrsChanged {
		d.timeoutFactor = urgentTimeoutFactor
		loop.HandleList(bramblelock.ListMoved, MemberList{})
	}
	silenceTimer := d.startSilenceTimer(d.nextCallTimeout(), func() { cancel(errSilent) })
	defer silenceTimer.Stop()
	answered := false
	defer func() {
		if cause := context.Cause(ctx); cause == errSilent || cause == errAddrsChanged {
			err, received = cause, received || answered
		} else if answered && errors.Is(err, io.ErrUnexpectedEOF) {
			err = fmt.Errorf("%w: %w", errEnded, err)
		}
	}()
	d.mu.Lock()
	addr := d.addrs[d.addrIndex]
	d.cancelWatch = cancel
	if d.addrsUnused {
		// Another discovery service numbers its versions by itself, and a Retry-After of the old
		// one does not apply to it.
		d.addrsUnused, d.version, d.olderListSince, d.retryAt, d.unansweredCalls = false, 0, time.Time{}, time.Time{}, 0
	}
	d.mu.Unlock()
	index := d.version
	if d.needFullList {
		index = 0
	}
	url := "http://" + addr + pathMembers + "?stream=1&index=" + strconv.FormatUint(index, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false, err
	}
	if d.haveList {
		req.Header.Set("X-Catalog-Have", strconv.FormatUint(d.version, 10))
	}
	began := time.Now()
	resp, err := d.client.Do(req)
	logCall(ctx, index, time.Since(began), resp, err)
	if context.Cause(ctx) == errSilent {
		d.unansweredCalls++
	} else {
		d.unansweredCalls = 0
	}
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		d.applyRetryAfter(resp.Header.Get("Retry-After"))
		return false, fmt.Errorf("discovery answers %s", resp.Status)
	}
	answered = true
	silenceTimer.Reset(d.silenceTimeout)
	upToDate := d.haveList && index == d.version && index > 0 // otherwise the list is still to come
	reader := &listReader{body: resp.Body, onData: func(blank bool) {
		silenceTimer.Reset(d.silenceTimeout)
		received, d.lastHeardAt = true, time.Now()
		if blank && upToDate { // the list has not changed since our version
			loop.HandleList(bramblelock.ListChanges, MemberList{Version: index})
		}
		upToDate = false
	}}
	lists := json.NewDecoder(reader) // not by lines, as a list may be indented
	for {
		var list MemberList
		err := lists.Decode(&list)
		reader.bytesSinceList = 0
		switch {
		case errors.Is(err, errListTooLong):
			return received, fmt.Errorf("discovery's list is longer than %d MB, ours is kept", maxListBytes>>20)
		case reader.readErr != nil:
			return received, reader.readErr
		case err == io.EOF:
			return received, io.ErrUnexpectedEOF // a watch never ends in order
		case isMalformedList(err):
			d.needFullList = true // the changes in it are lost
			return false, fmt.Errorf("discovery's list: %w", err)
		case err != nil:
			return received, err
		}
		if list.Version < d.version {
			if d.olderListSince.IsZero() {
				d.olderListSince = time.Now()
			}
			if time.Since(d.olderListSince) < versionResetAfter || !list.Full {
				d.needFullList = true // if its versions start anew, ours is not one of them
				return false, fmt.Errorf("%w: %d, ours %d", errOlderList, list.Version, d.version)
			}
			slog.Error("discovery counts anew: its whole list is taken", "version", list.Version, "ours", d.version)
		}
		d.olderListSince, d.needFullList = time.Time{}, false
		kind := bramblelock.ListChanges
		if list.Full {
			kind = bramblelock.ListFull
		}
		d.version, d.haveList = list.Version, true
		loop.HandleList(kind, list)
	}
}

// listReader calls onData for every read that returns data, and fails if a list is too long.
type listReader struct {
	body           io.Reader
	onData         func(blank bool) // blank means that there is only white space
	bytesSinceList int              // bytes read since the last whole list
	readErr        error            // error other than io.EOF that ended the connection
}

var errListTooLong = errors.New("too much")

func (r *listReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if n > 0 {
		r.onData(len(bytes.TrimSpace(p[:n])) == 0)
	}
	if err != io.EOF {
		r.readErr = err
	}
	if r.bytesSinceList += n; r.bytesSinceList > maxListBytes {
		return 0, errListTooLong
	}
	return n, err
}

// isMalformedList returns whether the data cannot be parsed as a list, or ended within one.
func isMalformedList(err error) bool {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	return errors.As(err, &syntax) || errors.As(err, &kind) || errors.Is(err, io.ErrUnexpectedEOF)
}
