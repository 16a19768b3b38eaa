package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// bubbleCall is what the discovery service does with a call for a watch.
type bubbleCall int

const (
	callServed     bubbleCall = iota
	callBusy                  // answered with 503
	callRetryAfter            // answered with 503 and a long Retry-After
	callUnanswered            // accepted and never answered
	callSilent                // answered, with no line after the head
)

// bubbleDiscovery is a discovery service that serves calls one after the other, each in
// serviceTime.
type bubbleDiscovery struct {
	addr        string
	net         *bubbleNet
	serviceTime time.Duration

	mu           sync.Mutex
	freeAt       time.Time // when it can serve the next call
	version      int
	omitDraining bool              // a full list omits draining hosts
	states       map[string]string // of the hosts, by id
	hosts        []*bubbleHost
	nextCalls    []bubbleCall // how the next calls are handled; later ones are served
	calls        []time.Time
	watches      map[net.Conn]chan string // lines for the watches that receive changes
	openConns    map[net.Conn]bool        // connections of all watches, including the silent ones
}

func newBubbleDiscovery(n *bubbleNet, addr string, hosts []*bubbleHost) *bubbleDiscovery {
	d := &bubbleDiscovery{addr: addr, net: n, version: 50, hosts: hosts, states: map[string]string{},
		watches: map[net.Conn]chan string{}, openConns: map[net.Conn]bool{}}
	for _, h := range hosts {
		d.states[h.id] = "ready"
	}
	d.up()
	return d
}

func (d *bubbleDiscovery) up() { d.net.setHandler(d.addr, d.handle) }

func (d *bubbleDiscovery) down() {
	d.net.setHandler(d.addr, nil)
	d.resetWatches()
}

// turnAwayFor resets the watches, and until the time is over it answers each call with the given text, or resets it
// if there is none.
func (d *bubbleDiscovery) turnAwayFor(length time.Duration, answer string) *bubbleDiscovery {
	d.net.setHandler(d.addr, func(c net.Conn) {
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			io.WriteString(c, answer)
		}
		if answer == "" {
			c.(bubbleServerConn).reset()
		}
	})
	d.resetWatches()
	time.AfterFunc(length, d.up)
	return d
}

// handle serves one call.
func (d *bubbleDiscovery) handle(c net.Conn) {
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	switch do := d.nextCall(); do {
	case callBusy:
		io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	case callRetryAfter:
		io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n")
	case callUnanswered:
		io.Copy(io.Discard, c) // until the gateway gives up
	default:
		d.awaitTurn()
		d.serveWatch(c, d.openWatch(c, do == callServed))
	}
}

// nextCall records a call and returns how it is handled.
func (d *bubbleDiscovery) nextCall() bubbleCall {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls = append(d.calls, time.Now())
	if len(d.nextCalls) == 0 {
		return callServed
	}
	do := d.nextCalls[0]
	d.nextCalls = d.nextCalls[1:]
	return do
}

// awaitTurn waits until the calls before this one and this one have been served.
func (d *bubbleDiscovery) awaitTurn() {
	d.mu.Lock()
	if now := time.Now(); d.freeAt.Before(now) {
		d.freeAt = now
	}
	d.freeAt = d.freeAt.Add(d.serviceTime)
	wait := time.Until(d.freeAt)
	d.mu.Unlock()
	time.Sleep(wait)
}

// openWatch opens a watch, which receives the full list and changes unless it is silent from the
// beginning.
func (d *bubbleDiscovery) openWatch(c net.Conn, receives bool) (lines chan string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	lines = make(chan string, 100)
	d.openConns[c] = true
	if receives {
		d.watches[c] = lines
		lines <- d.list(true)
	}
	return lines
}

// isSilent returns whether nothing is sent on a watch any more.
func (d *bubbleDiscovery) isSilent(c net.Conn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.watches[c] == nil
}

// serveWatch sends lines, and blank ones while it is not silent, until lines or the connection is closed.
func (d *bubbleDiscovery) serveWatch(c net.Conn, lines chan string) {
	io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	gone := make(chan struct{})
	go func() {
		io.Copy(io.Discard, c) // until either side closes
		close(gone)
	}()
	tick := time.NewTicker(2 * time.Second)
	defer tick.Stop()
	for {
		line := "\n"
		select {
		case <-gone:
			return
		case l, ok := <-lines:
			if !ok { // an end in order
				io.WriteString(c, "0\r\n\r\n")
				return
			}
			line = l
		case <-tick.C:
			if d.isSilent(c) {
				continue
			}
		}
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(line), line); err != nil {
			return
		}
	}
}

// list returns the full list, or the changes: the hosts that are draining. The caller holds d.mu.
func (d *bubbleDiscovery) list(full bool) string {
	var entries []string
	for _, h := range d.hosts {
		state := d.states[h.id]
		if full && d.omitDraining && state != "ready" || !full && state == "ready" {
			continue
		}
		entries = append(entries, fmt.Sprintf(`{"id":%q,"addr":%q,"state":%q}`, h.id, h.addr, state))
	}
	return fmt.Sprintf(`{"version":%d,"full":%t,"servers":[%s]}`+"\n", d.version, full, strings.Join(entries, ","))
}

// drain sets a host to draining and sends the change to the watches.
func (d *bubbleDiscovery) drain(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	d.states[id] = "draining"
	for _, lines := range d.watches {
		lines <- d.list(false)
	}
}

// sendBlankLine sends a blank line on every watch, so that all of them have just received
// something.
func (d *bubbleDiscovery) sendBlankLine() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, lines := range d.watches {
		lines <- "\n"
	}
}

// silenceWatches sends nothing more on the open watches, and leaves them open.
func (d *bubbleDiscovery) silenceWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.watches)
}

// endWatches ends the open watches in order.
func (d *bubbleDiscovery) endWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, lines := range d.watches {
		close(lines)
	}
	clear(d.watches)
}

// resetWatches resets the connections of all watches.
func (d *bubbleDiscovery) resetWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.openConns {
		c.(bubbleServerConn).reset()
	}
	clear(d.watches)
	clear(d.openConns)
}

// setNextCalls sets how the next calls are handled.
func (d *bubbleDiscovery) setNextCalls(next ...bubbleCall) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.nextCalls = next
}

// callCount returns how many calls have been made.
func (d *bubbleDiscovery) callCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.calls)
}
