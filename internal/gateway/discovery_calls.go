package gateway

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"lynxspool"
)

// This file has how long calls for the list may take and when they are made anew.

// rest heeds a Retry-After, in seconds, as long as the module allows. One that is no such
// number is ignored, one that is longer is cut.
func (d *Discovery) rest(retryAfter string) {
	if retryAfter == "" {
		return
	}
	s, err := strconv.ParseFloat(retryAfter, 64)
	if err != nil || !(s >= 0) {
		slog.Warn("discovery's Retry-After is no number of seconds, ignored", "value", retryAfter[:min(len(retryAfter), 40)])
		return
	}
	asked := time.Duration(math.MaxInt64)
	if s < asked.Seconds() {
		asked = time.Duration(s * float64(time.Second))
	}
	wait := d.restFor(asked, rand.Float64())
	if wait < asked {
		slog.Warn("discovery's Retry-After is longer than changes may go unheard, cut", "value", retryAfter[:min(len(retryAfter), 40)])
	}
	d.resting = time.Now().Add(wait)
}

// answerIn is how long a call may go without an answer. One that had none may have waited
// its turn at a busy discovery, so the next is given longer.
func (d *Discovery) answerIn() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := len(d.addrs); n > 1 {
		return min(d.silence, d.answer, max(callLeast, callsWithin/time.Duration(n)))
	}
	turn := d.turn
	if d.waited > 0 {
		turn = max(turn, turnEnded)
	}
	return time.Duration(turn * float64(d.silence))
}

// errEnded marks a watch whose connection ended in order.
var errEnded = errors.New("the watch ended")

// lossKind says what the module has to know of how discovery was lost.
func lossKind(err error) lynxspool.ListKind {
	switch {
	case errors.Is(err, errEnded):
		return lynxspool.ListEnded
	case errors.Is(err, syscall.ECONNREFUSED):
		return lynxspool.ListUnreachable
	}
	return lynxspool.ListFailed
}

// restFor is how long discovery is left alone that asks for it: up to a quarter more, as
// jitter says, so that those who were told one time do not meet, but not longer than a list
// may go unasked; who has a list keeps to the clock of notifications.
func (d *Discovery) restFor(asked time.Duration, jitter float64) time.Duration {
	most := d.within
	if most <= 0 {
		most = ageEvery
	}
	if d.listed {
		most = min(most, lynxspool.MaxWatchBackoff)
	}
	asked = min(asked, most)
	return min(asked+time.Duration(jitter/4*float64(asked)), most)
}

// whenSilent calls end after a time, unless the timer is reset before. What waits unread then is read
// first: the process was held up, not discovery.
func (d *Discovery) whenSilent(after time.Duration, end func()) (silence *time.Timer) {
	set := make(chan struct{})
	silence = time.AfterFunc(after, func() {
		<-set
		if c := d.watched(); c != nil && c.hasNews() {
			silence.Reset(stallReadTime)
			return
		}
		end()
	})
	close(set)
	return silence
}

// jitter draws a wait from half of d to twice d: gateways that lost discovery together must
// not come back to it together.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(3*d/2) }

// logCall notes how a call for a list went: where a fleet is told late, the waits of its calls
// say whose turn came when.
func logCall(ctx context.Context, index uint64, took time.Duration, resp *http.Response, err error) {
	status := 0
	if resp != nil {
		status = resp.StatusCode
	}
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	slog.Info("call for the list", "index", index, "took", took.Round(time.Millisecond), "status", status, "err", err)
}
