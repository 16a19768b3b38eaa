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

	"lynxspool"
)

const (
	pathMembers = "/catalog/members"

	// An instance answers a call within a second or turns it away; one that is cut off
	// says nothing. Where there are many, all of them are tried within callsWithin.
	callSilence = 2 * time.Second
	callLeast   = 500 * time.Millisecond
	callsWithin = 3 * lynxspool.NotifiedAfter / 4
	// Where there is one, a call that is given up keeps its place in the queue, and the next
	// has another, so a call is left its time to wait its turn. After a watch that ended its
	// clock leaves none for a second call anyway. All in spans of a watch's silence.
	turnUrgent = 1 // the clock of the loss has run for some time, or is short
	turnUsual  = 1.5
	turnEnded  = 2
	watchDial  = 500 * time.Millisecond
	// Where lists are pushed, what the gateway's own agent has counts as notified whether or
	// not a watch is open: a new one is begun soon, and watchMost is half of the longest wait.
	watchBackoff = 50 * time.Millisecond // before a new watch, doubled to watchMost
	watchMost    = 300 * time.Millisecond
	maxList      = 4 << 20 // a list of 2,000 hosts has 250 kB
	// A list older than ours is refused for this long; if every address still offers
	// only older ones then, discovery has counted anew (a catalog rebuilt empty) and
	// its whole list is taken: what it has counts as notified, whatever its number.
	resetAfter = lynxspool.NotifiedAfter / 4
	// While discovery is down, how often the age of the list in use is logged.
	ageEvery = 10 * time.Second
)

// MemberList is the list of hosts, or changes of it, in discovery's form.
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

// state reads the state of a member; a host of which we cannot tell gets nothing new.
func (m *Member) state() lynxspool.HostState {
	switch m.State {
	case "ready":
		return lynxspool.Ready
	case "gone":
		return lynxspool.Removed
	}
	return lynxspool.Draining
}

// Discovery follows the list of hosts and tells the loop of it.
type Discovery struct {
	moved   chan struct{} // there is another address to watch
	ask     bool          // a watch begins only when the module asks for it
	asked   chan struct{}
	version uint64 // of the list as told to the loop; belongs to Run
	anew    bool   // the whole list is wanted, whatever we have; belongs to Run
	waited  int    // calls in a row that went without an answer; belongs to Run
	client  http.Client
	inForce func()        // returns once the lists that were handed on are in force
	silence time.Duration // after which a watch is taken for dead
	turn    float64       // how long the next call may wait its turn, in spans of silence; belongs to Run
	answer  time.Duration // ... and a call without an answer, where another instance may be well
	heard   time.Time     // when discovery last said anything; belongs to Run
	behind  time.Time     // since when lists older than ours were offered; belongs to Run
	listed  bool          // there is a list to go on with; belongs to Run
	within  time.Duration // longest time that a busy discovery can keep us from asking
	resting time.Time     // until when a busy discovery asked not to be called; belongs to Run

	mu     sync.Mutex
	addrs  []string                // instances of one discovery service, tried in turn
	at     int                     // the one in use
	fresh  bool                    // addrs have not been watched yet
	cancel context.CancelCauseFunc // ends the present watch; nil without one
	conn   *watchConn              // of the present call
}

// Lister takes what discovery tells; the Loop is one.
type Lister interface {
	Members(kind lynxspool.ListKind, list MemberList)
}

// splitAddrs reads GW_DISCOVERY: one address, or several of one service, by commas.
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
	errSilent = errors.New("discovery is silent")
	errMoved  = errors.New("discovery has moved")
	errBehind = errors.New("discovery offers a list older than ours")
)

// NewDiscovery returns a Discovery that starts from the known list.
func NewDiscovery(cfg *Config) *Discovery {
	d := &Discovery{
		addrs: splitAddrs(cfg.Discovery), moved: make(chan struct{}, 1), heard: time.Now(),
		ask: cfg.Settings.WatchHosts, asked: make(chan struct{}, 1), version: cfg.Known.Version,
		silence: lynxspool.SilentAfter, turn: turnUsual, answer: callSilence, listed: len(cfg.Known.Servers) > 0, within: cfg.Settings.MaxWatchGap,
	}
	d.inForce = func() {}
	d.client = http.Client{Transport: &http.Transport{DialContext: d.dial, DisableKeepAlives: true}}
	return d
}

// dial makes the connection of a call.
func (d *Discovery) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := (&net.Dialer{Timeout: watchDial}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	watch := newWatchConn(c, d.inForce)
	d.mu.Lock()
	d.conn = watch
	d.mu.Unlock()
	return watch, nil
}

// watched is the connection of the present call, or of the last; nil before the first.
func (d *Discovery) watched() *watchConn {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.conn
}

// SetInForce gives what returns once the lists that were handed on are in force, before Run.
func (d *Discovery) SetInForce(inForce func()) { d.inForce = inForce }

// Overdue says whether discovery has written something that should be in force by now: the
// process was held up, and changes count from when they were written.
func (d *Discovery) Overdue() bool {
	c := d.watched()
	return c != nil && c.overdue()
}

// Watch asks for changes from now on, where they do not come by themselves.
func (d *Discovery) Watch() {
	select {
	case d.asked <- struct{}{}:
	default: // asked already
	}
}

// Move says that discovery has other addresses from now on. The old one may go on for
// a while and say no more, so its watch ends here.
func (d *Discovery) Move(addr string) {
	addrs := splitAddrs(addr)
	d.mu.Lock()
	defer d.mu.Unlock()
	if strings.Join(addrs, ",") == strings.Join(d.addrs, ",") {
		return
	}
	d.addrs, d.at, d.fresh = addrs, 0, true
	select {
	case d.moved <- struct{}{}:
	default: // Run has yet to see the last move
	}
	if d.cancel != nil {
		d.cancel(errMoved)
	}
}

// Run watches the list until ctx ends. A watch that breaks is begun anew at the next
// address, after a capped exponential backoff with jitter; where the module has
// to ask, it is told instead and decides when. After a move a watch begins at once:
// what was asked for stands. While no address answers, the loop keeps the last list
// (fail-static) and its age is logged every ageEvery.
func (d *Discovery) Run(ctx context.Context, loop Lister) {
	backoff, lost := watchBackoff, false
	var since, logged time.Time // of the loss, and of the last line about it
	asked, tried := false, 0    // what was asked for stands; instances that failed for it
	again := false              // a call without an answer was made anew at once already
	for ctx.Err() == nil {
		if d.ask && !asked {
			select {
			case <-ctx.Done():
				return
			case <-d.asked:
				select { // a busy discovery has said when
				case <-ctx.Done():
					return
				case <-time.After(time.Until(d.resting)):
				case <-d.moved:
				}
			case <-d.moved:
			}
		}
		heard, err := d.watch(ctx, loop)
		if ctx.Err() != nil {
			return
		}
		if heard {
			if lost && time.Since(since) > ageEvery {
				slog.Info("discovery back", "after_s", time.Since(since).Round(time.Millisecond).Seconds())
			}
			backoff, lost = watchBackoff, false
		}
		if errors.Is(err, errMoved) {
			continue
		}
		// A watch that fell silent has missed what counts as notified by now: it is opened anew
		// at once, and only if that fails is the module told, which takes its time. So is a
		// call that got no answer, but once: where every call goes unanswered the module's
		// turns keep the bank's calls apart.
		asked = errors.Is(err, errSilent) && (heard || !again)
		switch {
		case asked && heard:
			d.turn = turnUrgent
			loop.Members(lynxspool.ListSilent, MemberList{})
		case errors.Is(err, errEnded):
			d.turn = turnEnded
		default:
			d.turn = turnUsual
		}
		again = asked && !heard
		d.mu.Lock()
		d.at = (d.at + 1) % len(d.addrs)
		instances := len(d.addrs)
		d.mu.Unlock()
		// Another instance may be well: each is tried once before the module is told, unless
		// one asked not to be called.
		if tried++; !heard && tried < instances && time.Now().After(d.resting) {
			asked = true
		} else {
			tried = 0
		}
		switch now := time.Now(); {
		case !lost:
			slog.Warn("watch of the host list lost, watching anew", "err", err)
			lost, since, logged = true, now, now
		case now.Sub(logged) >= ageEvery:
			slog.Warn("discovery unreachable, serving on the last list", "age_s",
				now.Sub(d.heard).Round(time.Second).Seconds(), "err", err)
			logged = now
		}
		if d.ask && asked {
			continue
		}
		if d.ask {
			loop.Members(lossKind(err), MemberList{})
			continue
		}
		select {
		case <-ctx.Done():
		case <-d.moved:
		case <-time.After(jitter(backoff)):
		}
		backoff = min(2*backoff, watchMost)
	}
}

// watch holds one watch until it ends and says whether it brought anything, or was open
// when it fell silent.
func (d *Discovery) watch(ctx context.Context, loop Lister) (heard bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	d.mu.Lock()
	moved := d.fresh
	d.mu.Unlock()
	if moved {
		d.turn = turnUrgent
		loop.Members(lynxspool.ListMoved, MemberList{})
	}
	silence := d.whenSilent(d.answerIn(), func() { cancel(errSilent) })
	defer silence.Stop()
	open := false // discovery has answered the call
	defer func() {
		if cause := context.Cause(ctx); cause == errSilent || cause == errMoved {
			err, heard = cause, heard || open
		} else if open && errors.Is(err, io.ErrUnexpectedEOF) {
			err = fmt.Errorf("%w: %w", errEnded, err)
		}
	}()
	d.mu.Lock()
	addr := d.addrs[d.at]
	d.cancel = cancel
	if d.fresh {
		// Another discovery may count its versions anew, and has its own cares.
		d.fresh, d.version, d.behind, d.resting, d.waited = false, 0, time.Time{}, time.Time{}, 0
	}
	d.mu.Unlock()
	index := d.version
	if d.anew {
		index = 0
	}
	url := "http://" + addr + pathMembers + "?stream=1&index=" + strconv.FormatUint(index, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false, err
	}
	if d.listed {
		req.Header.Set("X-Catalog-Have", strconv.FormatUint(d.version, 10))
	}
	began := time.Now()
	resp, err := d.client.Do(req)
	logCall(ctx, index, time.Since(began), resp, err)
	if context.Cause(ctx) == errSilent {
		d.waited++
	} else {
		d.waited = 0
	}
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		d.rest(resp.Header.Get("Retry-After"))
		return false, fmt.Errorf("discovery answers %s", resp.Status)
	}
	open = true
	silence.Reset(d.silence)
	current := d.listed && index == d.version && index > 0 // else the list is still to come
	in := &heedfulReader{from: resp.Body, heed: func(blank bool) {
		silence.Reset(d.silence)
		heard, d.heard = true, time.Now()
		if blank && current { // nothing has changed since the version that we have
			loop.Members(lynxspool.ListChanges, MemberList{Version: index})
		}
		current = false
	}}
	lists := json.NewDecoder(in) // not by lines: a list may be indented
	for {
		var list MemberList
		err := lists.Decode(&list)
		in.taken = 0
		switch {
		case errors.Is(err, errTooMuch):
			return heard, fmt.Errorf("discovery's list is longer than %d MB, ours is kept", maxList>>20)
		case in.broke != nil:
			return heard, in.broke
		case err == io.EOF:
			return heard, io.ErrUnexpectedEOF // a watch has no end of its own
		case garbledList(err):
			d.anew = true // what it said is lost
			return false, fmt.Errorf("discovery's list: %w", err)
		case err != nil:
			return heard, err
		}
		if list.Version < d.version {
			if d.behind.IsZero() {
				d.behind = time.Now()
			}
			if time.Since(d.behind) < resetAfter || !list.Full {
				d.anew = true // if it counts anew, what we have is no part of its count
				return false, fmt.Errorf("%w: %d, ours %d", errBehind, list.Version, d.version)
			}
			slog.Error("discovery counts anew: its whole list is taken", "version", list.Version, "ours", d.version)
		}
		d.behind, d.anew = time.Time{}, false
		kind := lynxspool.ListChanges
		if list.Full {
			kind = lynxspool.ListFull
		}
		d.version, d.listed = list.Version, true
		loop.Members(kind, list)
	}
}

// heedfulReader tells of every read that brings something, and ends what brings too much.
type heedfulReader struct {
	from  io.Reader
	heed  func(blank bool) // blank: there is nothing but white space
	taken int              // bytes since a list was read whole
	broke error            // what ended the connection, if that was no end in order
}

var errTooMuch = errors.New("too much")

func (r *heedfulReader) Read(p []byte) (int, error) {
	n, err := r.from.Read(p)
	if n > 0 {
		r.heed(len(bytes.TrimSpace(p[:n])) == 0)
	}
	if err != io.EOF {
		r.broke = err
	}
	if r.taken += n; r.taken > maxList {
		return 0, errTooMuch
	}
	return n, err
}

// garbledList says whether what came cannot be read as a list, or ended within one.
func garbledList(err error) bool {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	return errors.As(err, &syntax) || errors.As(err, &kind) || errors.Is(err, io.ErrUnexpectedEOF)
}
