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

	// A server of discovery answers a call within a second or rejects it; one that is cut off does
	// not answer. If there are several addresses, all of them are called within allCallsTimeout.
	callTimeout     = 2 * time.Second
	minCallTimeout  = 500 * time.Millisecond
	allCallsTimeout = 3 * bramblelock.NotifiedAfter / 4
	// If there is one address, a call that is given up keeps its place in the queue of discovery
	// and the next call gets another one, so a call is given enough time to be served in turn. Its
	// timeout is one of these factors times silenceTimeout. After a watch that ended, the deadline
	// for notifications leaves no time for a second call anyway. After a watch that fell silent,
	// part of the time until that deadline has passed, and after a change of addresses that time is
	// short, so the smallest factor applies to both.
	urgentTimeoutFactor = 1
	usualTimeoutFactor  = 1.5
	endedTimeoutFactor  = 2
	watchDialTimeout    = 500 * time.Millisecond
	// If lists are pushed (onDemand is false), a change that the gateway's own agent has counts as
	// notified whether or not a watch is open, so a new watch begins soon. With its jitter, a wait
	// may be up to twice maxWatchBackoff.
	minWatchBackoff = 50 * time.Millisecond // wait before a new watch, doubled up to maxWatchBackoff
	maxWatchBackoff = 300 * time.Millisecond
	maxListBytes    = 4 << 20 // a list of 2,000 hosts has 250 kB
	// versionResetAfter is for how long lists with a lower version than the list in use are
	// rejected. If every address still offers only such lists after that, discovery has started its
	// versions anew (a catalog that was rebuilt empty) and its full list is applied, because changes
	// that discovery has count as notified whatever their version.
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

// Discovery watches the list of hosts by calls to the discovery service, and passes the list and its
// changes on to a ListHandler. A watch is a call whose answer stays open and streams lists.
type Discovery struct {
	addrsChanged    chan struct{} // signals that there are other addresses to watch
	onDemand        bool          // a watch begins when Watch is called, as the Balancer decides; Run states the exceptions
	watchRequested  chan struct{}
	version         uint64 // version of the list that was passed on last; owned by Run
	needFullList    bool   // the next call requests a full list, not the changes since version; owned by Run
	unansweredCalls int    // consecutive calls without an answer; owned by Run
	client          http.Client
	syncLists       func()        // returns once the lists that were passed on are in force
	silenceTimeout  time.Duration // a watch on which nothing arrives for this long is given up
	timeoutFactor   float64       // time that the next call may take, as a multiple of silenceTimeout; owned by Run
	answerTimeout   time.Duration // time that a call may go without an answer if there are several addresses
	lastHeardAt     time.Time     // when discovery last sent anything; owned by Run
	olderListSince  time.Time     // since when only lists older than the one in use were offered; zero if none was; owned by Run
	haveList        bool          // a list is in use; owned by Run
	maxRetryDelay   time.Duration // longest delay that discovery can request with Retry-After
	retryAt         time.Time     // time before which discovery asked not to be called; owned by Run

	mu          sync.Mutex
	addrs       []string                // addresses of one discovery service, called in turn
	addrIndex   int                     // index of the address in use
	addrsUnused bool                    // addrs have changed and none of them has been called yet
	cancelWatch context.CancelCauseFunc // ends the present watch; nil if there is none
	callConn    *watchConn              // connection of the present or the last call
}

// ListHandler receives lists of hosts, changes of them and reports of a loss of discovery. Loop and
// Roster implement it.
type ListHandler interface {
	HandleList(kind bramblelock.ListKind, list MemberList)
}

// splitAddrs parses the value of GW_DISCOVERY: one address, or several addresses of one service that
// are separated by commas.
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

// dial connects to discovery for a call and makes the connection the current one.
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

// UpdateOverdue returns whether discovery has written data that should be in force by now and is not.
// That happens after the process was stalled: a change counts as notified from when it was written.
func (d *Discovery) UpdateOverdue() bool {
	c := d.currentConn()
	return c != nil && c.hasOverdueUpdate()
}

// Watch requests a watch. The request has an effect only if watches begin on demand.
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

// Run watches the list until ctx ends. After a watch was lost, Run begins a new one at the next
// address, after a capped exponential backoff with jitter. If watches begin on demand, Run reports
// the loss instead, and the Balancer decides when to watch again. After a change of addresses a watch
// begins at once, as the request for the watch before still holds. While no address answers, the last
// list stays in use, and its age is logged every listAgeLogInterval.
//
// On demand, a call begins without a request in four cases: after a change of addresses, after a watch
// that fell silent, once after a call without an answer, and after a failed call while there are
// addresses that were not called in this round.
func (d *Discovery) Run(ctx context.Context, handler ListHandler) {
	backoff, watchLost := minWatchBackoff, false
	var lostSince, loggedAt time.Time  // time of the loss, and of the last log line about it
	callAgain, failedAddrs := false, 0 // whether the next watch begins without a request for it; calls that failed in this round through the addresses
	retriedUnanswered := false         // an unanswered call has already been repeated at once
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
		received, err := d.watch(ctx, handler)
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
		// at once, and a failure is reported to the Balancer only if the new call fails, as the
		// Balancer waits before the next call. A call without an answer is also repeated at once, but
		// only once: if no call is answered, the Balancer spaces the calls of the fleet.
		callAgain = errors.Is(err, errSilent) && (received || !retriedUnanswered)
		switch {
		case callAgain && received:
			d.timeoutFactor = urgentTimeoutFactor
			handler.HandleList(bramblelock.ListSilent, MemberList{})
		case errors.Is(err, errEnded):
			d.timeoutFactor = endedTimeoutFactor
		default:
			d.timeoutFactor = usualTimeoutFactor
		}
		retriedUnanswered = callAgain && !received
		d.mu.Lock()
		d.addrIndex = (d.addrIndex + 1) % len(d.addrs)
		addrCount := len(d.addrs)
		d.mu.Unlock()
		// Another address may be available: each one is called once before a loss is reported, unless
		// discovery has asked not to be called yet.
		if failedAddrs++; !received && failedAddrs < addrCount && time.Now().After(d.retryAt) {
			callAgain = true
		} else {
			failedAddrs = 0
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
			handler.HandleList(lossKind(err), MemberList{})
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

// watch makes one call and handles the lists of its answer until the watch ends. It returns the reason
// for the end and whether data was received, which is false if a malformed or older list ended the
// watch. If silence or a change of addresses ended it, received is true once the call was answered.
func (d *Discovery) watch(ctx context.Context, handler ListHandler) (received bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	d.mu.Lock()
	addrsChanged := d.addrsUnused
	d.mu.Unlock()
	if addrsChanged {
		d.timeoutFactor = urgentTimeoutFactor
		handler.HandleList(bramblelock.ListMoved, MemberList{})
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
	upToDate := d.haveList && index == d.version && index > 0 // else a list is still to come
	reader := &listReader{body: resp.Body, onData: func(blank bool) {
		silenceTimer.Reset(d.silenceTimeout)
		received, d.lastHeardAt = true, time.Now()
		if blank && upToDate { // the first data is white space: the list has not changed since d.version
			handler.HandleList(bramblelock.ListChanges, MemberList{Version: index})
		}
		upToDate = false
	}}
	lists := json.NewDecoder(reader) // does not split at line ends, as a list may be indented
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
			return received, io.ErrUnexpectedEOF // a watch is not meant to end; the deferred function wraps it in errEnded
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
				d.needFullList = true // discovery may have started its versions anew, and then has no changes since d.version
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
		handler.HandleList(kind, list)
	}
}

// listReader reads from body, calls onData for every read that returns data, and fails with
// errListTooLong if a list is longer than maxListBytes.
type listReader struct {
	body           io.Reader
	onData         func(blank bool) // blank means that the data is only white space
	bytesSinceList int              // bytes read since the last whole list was decoded
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
