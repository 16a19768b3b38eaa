// Package discovery receives the list of hosts: Client watches it at the discovery service, and Roster
// shares it with the other gateways of the fleet. Both pass it on to a ListHandler.
package discovery

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

// Client watches the list of hosts by calls to the discovery service, and passes the list and its
// changes on to a ListHandler. A watch is a call whose answer stays open and streams lists.
type Client struct {
	// SilenceTimeout is how long nothing may arrive on a watch before it is given up. The timeouts of
	// calls follow from it. New sets it to bramblelock.SilentAfter. It must not be changed after Run
	// has been called.
	SilenceTimeout time.Duration
	// Dial connects to an address of discovery for a call, within the time of ctx, which is at most
	// dialTimeout. New sets it to a dial over the network. It must not be changed after Run has been
	// called.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)

	addrsChanged    chan struct{} // signals that there are other addresses to watch
	onDemand        bool          // a watch begins when Watch is called, as the Balancer decides; Run states the exceptions
	watchRequested  chan struct{}
	version         uint64 // version of the list that was passed on last; owned by Run
	needFullList    bool   // the next call requests a full list, not the changes since version; owned by Run
	unansweredCalls int    // consecutive calls without an answer; owned by Run
	httpClient      http.Client
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

// ListHandler receives lists of hosts, changes of them and reports of a loss of discovery. The event
// loop of the gateway and Roster implement it.
type ListHandler interface {
	// HandleList handles a list of the given kind. If kind is a loss of discovery, list is empty. It
	// must not block for long, as the next list is read after it has returned.
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

// New returns a Client for the discovery service of cfg, which starts from the list in cfg.Known. It
// calls nobody before Run.
func New(cfg *config.Config) *Client {
	c := &Client{
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
	c.httpClient = http.Client{Transport: &http.Transport{DialContext: c.dial, DisableKeepAlives: true}}
	return c
}

// dial connects to discovery for a call and makes the connection the current one.
func (c *Client) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.Dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	watch := newWatchConn(conn, c.syncLists)
	c.mu.Lock()
	c.callConn = watch
	c.mu.Unlock()
	return watch, nil
}

// currentConn returns the connection of the present or the last call, or nil before the first.
func (c *Client) currentConn() *watchConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.callConn
}

// SetSync sets a function that returns once the lists that were passed on are in force. It must be
// called before Run.
func (c *Client) SetSync(sync func()) { c.syncLists = sync }

// UpdateOverdue returns whether discovery has written data that should be in force by now and is not.
// That happens after the process was stalled: a change counts as notified from when it was written.
func (c *Client) UpdateOverdue() bool {
	conn := c.currentConn()
	return conn != nil && conn.hasOverdueUpdate()
}

// Watch requests a watch. The request has an effect only if watches begin on demand.
func (c *Client) Watch() {
	select {
	case c.watchRequested <- struct{}{}:
	default: // requested already
	}
}

// SetAddrs changes the addresses of discovery to addr: one address, or several addresses of one service
// that are separated by commas, each a host:port. It ends the present watch, as the old address may
// stay connected and send nothing more.
func (c *Client) SetAddrs(addr string) {
	addrs := splitAddrs(addr)
	c.mu.Lock()
	defer c.mu.Unlock()
	if strings.Join(addrs, ",") == strings.Join(c.addrs, ",") {
		return
	}
	c.addrs = addrs
	c.addrIndex = 0
	c.addrsUnused = true
	select {
	case c.addrsChanged <- struct{}{}:
	default: // Run has not handled the last change yet
	}
	if c.cancelWatch != nil {
		c.cancelWatch(errAddrsChanged)
	}
}
