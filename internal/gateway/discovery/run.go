package discovery

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"bramblelock"
	"bramblelock/internal/gateway/hostlist"
)

// This file implements the loop of watches: when the next one begins, and at which address.

// Run watches the list until ctx ends. After a watch was lost, Run begins a new one at the next
// address, after a capped exponential backoff with jitter. If watches begin on demand, Run reports
// the loss instead, and the Balancer decides when to watch again. After a change of addresses a watch
// begins at once, as the request for the watch before still holds. While no address answers, the last
// list stays in use, and its age is logged every listAgeLogInterval.
//
// On demand, a call begins without a request in four cases: after a change of addresses, after a watch
// that fell silent, once after a call without an answer, and after a failed call while there are
// addresses that were not called in this round.
func (c *Client) Run(ctx context.Context, handler ListHandler) {
	backoff := minWatchBackoff
	callAgain := false         // the next watch begins without a request for it
	retriedUnanswered := false // an unanswered call has already been repeated at once
	failedAddrs := 0           // calls that failed in this round through the addresses
	var loss lossLog
	for ctx.Err() == nil {
		if c.onDemand && !callAgain && !c.awaitWatchRequest(ctx) {
			return
		}
		received, err := c.watch(ctx, handler)
		if ctx.Err() != nil {
			return
		}
		if received {
			loss.noteReceived()
			backoff = minWatchBackoff
		}
		if errors.Is(err, errAddrsChanged) {
			continue
		}
		// A watch that fell silent has missed changes that count as notified by now. It is reopened
		// at once, and a failure is reported to the Balancer only if the new call fails, as the
		// Balancer waits before the next call. A call without an answer is also repeated at once, but
		// only once: if no call is answered, the Balancer spaces the calls of the fleet.
		callAgain = errors.Is(err, errSilent) && (received || !retriedUnanswered)
		retriedUnanswered = callAgain && !received
		fellSilent := callAgain && received
		c.timeoutFactor = timeoutFactorAfter(err, fellSilent)
		if fellSilent {
			handler.HandleList(bramblelock.ListSilent, hostlist.List{})
		}
		addrCount := c.nextAddr()
		// Another address may be available: each one is called once before a loss is reported, unless
		// discovery has asked not to be called yet.
		failedAddrs++
		if !received && failedAddrs < addrCount && time.Now().After(c.retryAt) {
			callAgain = true
		} else {
			failedAddrs = 0
		}
		loss.noteLoss(err, c.lastHeardAt)
		switch {
		case c.onDemand && callAgain:
		case c.onDemand:
			handler.HandleList(lossKind(err), hostlist.List{})
		default:
			c.waitToWatch(ctx, jitter(backoff))
			backoff = min(2*backoff, maxWatchBackoff)
		}
	}
}

// awaitWatchRequest waits until a watch is requested, and then until discovery may be called, or until
// there are other addresses. It returns false if ctx has ended.
func (c *Client) awaitWatchRequest(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-c.addrsChanged:
		return true
	case <-c.watchRequested:
	}
	return c.waitToWatch(ctx, time.Until(c.retryAt))
}

// waitToWatch waits for a time, or until there are other addresses. It returns false if ctx has ended.
func (c *Client) waitToWatch(ctx context.Context, wait time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-c.addrsChanged:
	case <-time.After(wait):
	}
	return true
}

// nextAddr makes the next call go to the next address, and returns how many addresses there are.
func (c *Client) nextAddr() (addrCount int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addrIndex = (c.addrIndex + 1) % len(c.addrs)
	return len(c.addrs)
}

// timeoutFactorAfter returns the factor for the timeout of the call after a watch that was lost with
// err. fellSilent means that it had received something and then fell silent.
func timeoutFactorAfter(err error, fellSilent bool) float64 {
	switch {
	case fellSilent:
		return urgentTimeoutFactor
	case errors.Is(err, errEnded):
		return endedTimeoutFactor
	}
	return usualTimeoutFactor
}

// lossLog logs the loss of discovery, the age of the list in use while discovery is unreachable, and
// its return.
type lossLog struct {
	lost     bool
	since    time.Time // time of the loss
	loggedAt time.Time // time of the last log line about the loss
}

// noteReceived records that a watch has received data.
func (l *lossLog) noteReceived() {
	if away := time.Since(l.since); l.lost && away > listAgeLogInterval {
		slog.Info("discovery back", "after_s", away.Round(time.Millisecond).Seconds())
	}
	l.lost = false
}

// noteLoss records that a watch was lost with err. lastHeardAt is when discovery last sent anything.
func (l *lossLog) noteLoss(err error, lastHeardAt time.Time) {
	now := time.Now()
	switch {
	case !l.lost:
		slog.Warn("watch of the host list lost, watching anew", "err", err)
		l.lost = true
		l.since = now
		l.loggedAt = now
	case now.Sub(l.loggedAt) >= listAgeLogInterval:
		slog.Warn("discovery unreachable, serving on the last list", "age_s",
			now.Sub(lastHeardAt).Round(time.Second).Seconds(), "err", err)
		l.loggedAt = now
	}
}
