package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"bramblelock"
	"bramblelock/internal/gateway/config"
	"bramblelock/internal/gateway/hostlist"
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
	// timeout is one of these factors times SilenceTimeout. After a watch that ended, the deadline
	// for notifications leaves no time for a second call anyway. After a watch that fell silent,
	// part of the time until that deadline has passed, and after a change of addresses that time is
	// short, so the smallest factor applies to both.
	urgentTimeoutFactor = 1
	usualTimeoutFactor  = 1.5
	endedTimeoutFactor  = 2
	dialTimeout         = 500 * time.Millisecond
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

// Discovery watches the list of hosts by calls to the discovery service, and passes the list and its
// changes on to a ListHandler. A watch is a call whose answer stays open and streams lists.
type Discovery struct {
	// SilenceTimeout is how long nothing may arrive on a watch before it is given up. The timeouts of
	// calls follow from it. NewDiscovery sets it to bramblelock.SilentAfter. It must not be changed
	// after Run has been called.
	SilenceTimeout time.Duration
	// Dial connects to an address of discovery for a call, within the time of ctx, which is at most
	// dialTimeout. NewDiscovery sets it to a dial over the network. It must not be changed after Run
	// has been called.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)

	addrsChanged    chan struct{} // signals that there are other addresses to watch
	onDemand        bool          // a watch begins when Watch is called, as the Balancer decides; Run states the exceptions
	watchRequested  chan struct{}
	version         uint64 // version of the list that was passed on last; owned by Run
	needFullList    bool   // the next call requests a full list, not the changes since version; owned by Run
	unansweredCalls int    // consecutive calls without an answer; owned by Run
	client          http.Client
	syncLists       func()        // returns once the lists that were passed on are in force
	timeoutFactor   float64       // time that the next call may take, as a multiple of SilenceTimeout; owned by Run
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
	HandleList(kind bramblelock.ListKind, list hostlist.List)
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
func NewDiscovery(cfg *config.Config) *Discovery {
	d := &Discovery{
		addrs:          splitAddrs(cfg.Discovery),
		addrsChanged:   make(chan struct{}, 1),
		onDemand:       cfg.Settings.WatchHosts,
		watchRequested: make(chan struct{}, 1),
		version:        cfg.Known.Version,
		haveList:       len(cfg.Known.Servers) > 0,
		lastHeardAt:    time.Now(),
		SilenceTimeout: bramblelock.SilentAfter,
		Dial:           (&net.Dialer{}).DialContext,
		timeoutFactor:  usualTimeoutFactor,
		answerTimeout:  callTimeout,
		maxRetryDelay:  cfg.Settings.MaxWatchGap,
		syncLists:      func() {},
	}
	d.client = http.Client{Transport: &http.Transport{DialContext: d.dial, DisableKeepAlives: true}}
	return d
}

// dial connects to discovery for a call and makes the connection the current one.
func (d *Discovery) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := d.Dial(ctx, network, addr)
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
	d.addrs = addrs
	d.addrIndex = 0
	d.addrsUnused = true
	select {
	case d.addrsChanged <- struct{}{}:
	default: // Run has not handled the last change yet
	}
	if d.cancelWatch != nil {
		d.cancelWatch(errAddrsChanged)
	}
}
