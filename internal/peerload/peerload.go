// Package peerload plays peers of a gateway that misbehave: they write slowly, stop within a request, send
// heads of very many fields, read slowly, or send requests at full speed. A test runs it in a process of its
// own, so that the peers take no processor time from the clients that it judges by.
package peerload

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	dialTimeout = time.Second
	// reconnectDelay is the time between two connections of a peer whose connection was closed at once.
	reconnectDelay = 20 * time.Millisecond
	// answerTimeout is how long a peer that has stopped sending waits for an answer or a close.
	answerTimeout = 6 * time.Second
)

// Options say which peers to play.
type Options struct {
	Addr   string        // of the gateway
	Kind   string        // a name of Kinds
	Peers  int           // that are connected at once
	Length time.Duration // of the play; it stops by itself
}

// Counts are the results of a play.
type Counts struct {
	Connections int64   `json:"connections"` // that were made
	Requests    int64   `json:"requests"`    // that were written whole
	Answers     int64   `json:"answers"`     // that were read whole, or as far as the kind of peer reads
	LongestWait float64 `json:"longest_wait_s"`
}

// player is one play of peers.
type player struct {
	opt         Options
	end         time.Time
	connections atomic.Int64
	requests    atomic.Int64
	answers     atomic.Int64
	longestWait atomic.Int64 // time.Duration from the last byte of an incomplete request to its answer or close
	lastID      atomic.Int64
}

// Run plays peers until the time is over or ctx ends.
func Run(ctx context.Context, opt Options) (Counts, error) {
	play := kinds[opt.Kind]
	if play == nil {
		return Counts{}, fmt.Errorf("peerload: unknown kind %q", opt.Kind)
	}
	p := &player{opt: opt, end: time.Now().Add(opt.Length)}
	ctx, cancel := context.WithDeadline(ctx, p.end)
	defer cancel()
	var peers sync.WaitGroup
	for range opt.Peers {
		peers.Go(func() { p.runPeer(ctx, play) })
	}
	peers.Wait()
	return Counts{
		Connections: p.connections.Load(), Requests: p.requests.Load(), Answers: p.answers.Load(),
		LongestWait: time.Duration(p.longestWait.Load()).Seconds(),
	}, nil
}

// runPeer plays one peer on one connection after another.
func (p *player) runPeer(ctx context.Context, play func(*player, net.Conn)) {
	dialer := net.Dialer{Timeout: dialTimeout}
	for ctx.Err() == nil {
		conn, err := dialer.DialContext(ctx, "tcp", p.opt.Addr)
		if err != nil {
			time.Sleep(reconnectDelay)
			continue
		}
		p.connections.Add(1)
		stop := context.AfterFunc(ctx, func() { conn.Close() })
		began := time.Now()
		play(p, conn)
		stop()
		conn.Close()
		time.Sleep(reconnectDelay - time.Since(began))
	}
}

// nextID returns a request id that no other request has, in this process or another.
func (p *player) nextID() string {
	return fmt.Sprintf("peer-%d-%d", os.Getpid(), p.lastID.Add(1))
}

// awaitEnd reads until the gateway answers or closes, and notes how long that took.
func (p *player) awaitEnd(conn net.Conn) {
	began := time.Now()
	conn.SetReadDeadline(began.Add(answerTimeout))
	if n, _ := conn.Read(make([]byte, 512)); n > 0 {
		p.answers.Add(1)
	}
	waited := int64(time.Since(began))
	for longest := p.longestWait.Load(); waited > longest && !p.longestWait.CompareAndSwap(longest, waited); {
		longest = p.longestWait.Load()
	}
}

// Main runs a play whose options are the arguments address, kind, number of peers and seconds, and prints
// the Counts to out as JSON. The caller is the main function of a process that plays peers.
func Main(args []string, out io.Writer) error {
	if len(args) != 4 {
		return fmt.Errorf("peerload: %d arguments, want address, kind, peers and seconds", len(args))
	}
	peers, err := strconv.Atoi(args[2])
	if err != nil || peers < 1 {
		return fmt.Errorf("peerload: %q is no number of peers", args[2])
	}
	seconds, err := strconv.ParseFloat(args[3], 64)
	if err != nil || !(seconds > 0) {
		return fmt.Errorf("peerload: %q is no number of seconds", args[3])
	}
	counts, err := Run(context.Background(), Options{
		Addr: args[0], Kind: args[1], Peers: peers, Length: time.Duration(seconds * float64(time.Second)),
	})
	if err != nil {
		return err
	}
	return json.NewEncoder(out).Encode(counts)
}
