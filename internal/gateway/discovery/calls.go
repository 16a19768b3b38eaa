package discovery

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
	"bramblelock/internal/gateway/stall"
)

// This file computes how long calls for the list may take and when they are repeated.

// applyRetryAfter sets retryAt from the value of a Retry-After header in seconds. It ignores a value
// that is not a number of seconds, and cuts one that is longer than retryDelay allows.
func (c *Client) applyRetryAfter(retryAfter string) {
	if retryAfter == "" {
		return
	}
	s, err := strconv.ParseFloat(retryAfter, 64)
	if err != nil || !(s >= 0) {
		slog.Warn("discovery's Retry-After is no number of seconds, ignored", "value", retryAfter[:min(len(retryAfter), 40)])
		return
	}
	requested := time.Duration(math.MaxInt64)
	if s < requested.Seconds() {
		requested = time.Duration(s * float64(time.Second))
	}
	wait := c.retryDelay(requested, rand.Float64())
	if wait < requested {
		slog.Warn("discovery's Retry-After is longer than changes may go unheard, cut", "value", retryAfter[:min(len(retryAfter), 40)])
	}
	c.retryAt = time.Now().Add(wait)
}

// nextCallTimeout returns how long the next call may go without an answer. If there is one address and
// the last call got no answer, that call may have waited in the queue of a busy discovery, so the next
// one gets more time.
func (c *Client) nextCallTimeout() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.addrs); n > 1 {
		return min(c.SilenceTimeout, c.answerTimeout, max(minCallTimeout, allCallsTimeout/time.Duration(n)))
	}
	factor := c.timeoutFactor
	if c.unansweredCalls > 0 {
		factor = max(factor, endedTimeoutFactor)
	}
	return time.Duration(factor * float64(c.SilenceTimeout))
}

// errEnded marks a watch whose call was answered and whose answer then ended without an error of the
// connection, such as a reset. The Balancer gets ListEnded for it.
var errEnded = errors.New("the watch ended")

// lossKind returns the kind of the loss of discovery that is reported to the Balancer for err.
func lossKind(err error) bramblelock.ListKind {
	switch {
	case errors.Is(err, errEnded):
		return bramblelock.ListEnded
	case errors.Is(err, syscall.ECONNREFUSED):
		return bramblelock.ListUnreachable
	}
	return bramblelock.ListFailed
}

// retryDelay returns how long to wait before the next call after discovery requested a delay. The
// result is the requested delay and up to a quarter more, in proportion to jitter (0 to 1), so that
// gateways that were given the same delay do not call together. The result does not exceed the longest
// time that a list may go without a call, which is maxRetryDelay (listAgeLogInterval if that is not
// set). With a list, it does not exceed bramblelock.MaxWatchBackoff either, which follows from the
// deadline for notifications.
func (c *Client) retryDelay(requested time.Duration, jitter float64) time.Duration {
	maxDelay := c.maxRetryDelay
	if maxDelay <= 0 {
		maxDelay = listAgeLogInterval
	}
	if c.haveList {
		maxDelay = min(maxDelay, bramblelock.MaxWatchBackoff)
	}
	requested = min(requested, maxDelay)
	return min(requested+time.Duration(jitter/4*float64(requested)), maxDelay)
}

// startSilenceTimer returns a timer that calls onSilence after the given time unless it is reset or
// stopped before. If there is unread data when the timer fires, the process was stalled and discovery
// was not silent, so the data is read first.
func (c *Client) startSilenceTimer(after time.Duration, onSilence func()) (timer *time.Timer) {
	timerSet := make(chan struct{})
	timer = time.AfterFunc(after, func() {
		<-timerSet
		if conn := c.currentConn(); conn != nil && conn.hasRecentData() {
			timer.Reset(stall.ReadTime)
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
// the calls of its gateways show which gateway was served when.
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
