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

	"bramblelock"
)

// This file computes how long calls for the list may take and when they are repeated.

// applyRetryAfter applies the value of a Retry-After header, in seconds, within the limits of the
// module. It ignores a value that is not such a number, and caps one that is too long.
func (d *Discovery) applyRetryAfter(retryAfter string) {
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
	wait := d.retryDelay(asked, rand.Float64())
	if wait < asked {
		slog.Warn("discovery's Retry-After is longer than changes may go unheard, cut", "value", retryAfter[:min(len(retryAfter), 40)])
	}
	d.retryAt = time.Now().Add(wait)
}

// nextCallTimeout returns how long the next call may go without an answer. If the last call had
// none, it may have waited in the queue of a busy discovery, so the next one gets more time.
func (d *Discovery) nextCallTimeout() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := len(d.addrs); n > 1 {
		return min(d.silenceTimeout, d.answerTimeout, max(minCallTimeout, allCallsTimeout/time.Duration(n)))
	}
	factor := d.timeoutFactor
	if d.unansweredCalls > 0 {
		factor = max(factor, endedTimeoutFactor)
	}
	return time.Duration(factor * float64(d.silenceTimeout))
}

// errEnded marks a watch whose connection ended in order.
var errEnded = errors.New("the watch ended")

// lossKind returns the kind of a loss of discovery that is reported to the module.
func lossKind(err error) bramblelock.ListKind {
	switch {
	case errors.Is(err, errEnded):
		return bramblelock.ListEnded
	case errors.Is(err, syscall.ECONNREFUSED):
		return bramblelock.ListUnreachable
	}
	return bramblelock.ListFailed
}

// retryDelay returns how long to wait before the next call after discovery asked for a delay. It
// adds up to a quarter, in proportion to jitter (0 to 1), so that gateways that were given the same
// delay do not call together. It does not exceed the longest time that a list may go without a
// call; with a list, the limit follows from the deadline for notifications.
func (d *Discovery) retryDelay(asked time.Duration, jitter float64) time.Duration {
	maxDelay := d.maxRetryDelay
	if maxDelay <= 0 {
		maxDelay = listAgeLogInterval
	}
	if d.haveList {
		maxDelay = min(maxDelay, bramblelock.MaxWatchBackoff)
	}
	asked = min(asked, maxDelay)
	return min(asked+time.Duration(jitter/4*float64(asked)), maxDelay)
}

// startSilenceTimer calls onSilence after a time unless the timer is reset before. If there is
// unread data then, the process was stalled and not discovery silent, so the data is read first.
func (d *Discovery) startSilenceTimer(after time.Duration, onSilence func()) (timer *time.Timer) {
	timerSet := make(chan struct{})
	timer = time.AfterFunc(after, func() {
		<-timerSet
		if c := d.currentConn(); c != nil && c.hasRecentData() {
			timer.Reset(stallReadTime)
			return
		}
		onSilence()
	})
	close(timerSet)
	return timer
}

// jitter returns a random duration between half of d and twice d, so that gateways that lost
// discovery together do not return to it together.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(3*d/2) }

// logCall logs the result of a call for the list. If changes reach a fleet late, the durations of
// its calls show which gateway was served when.
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
