package fleetlab

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// runClient acts as a client: it sends a request to the gateway that the edge balancer picks, retries after
// refusals as the load says, and records the end.
func (run *realRun) runClient(a Arrival) {
	class := &run.scenario.Classes[a.Class]
	arrived := run.now()
	for ; ; a.Retries++ {
		end, took := run.sendRequest(&a, class)
		if end == Refused && a.Retries < run.scenario.Load.Retries {
			select {
			case <-run.ctx.Done():
			case <-time.After(run.scenario.Load.RetryWait.std()):
				continue
			}
		}
		run.record(func(r *Recorder, _ Time) { r.RecordEnd(arrived, end, took) })
		return
	}
}

// sendRequest sends a request once and returns how it ended and after what time.
func (run *realRun) sendRequest(a *Arrival, class *Class) (End, time.Duration) {
	run.edgeMu.Lock()
	rank := run.edge.pick(a.GatewayQuantile)
	run.edgeMu.Unlock()
	if rank < 0 {
		return NoLiveGateway, 0
	}
	ctx, cancel := context.WithTimeout(run.ctx, class.Deadline.std()+answerMargin)
	defer cancel()
	req, err := newClientRequest(ctx, a, class, run.gateways[rank])
	if err != nil {
		return Failed, 0
	}
	sentAt := time.Now()
	resp, err := run.httpClient.Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	elapsed := time.Since(sentAt)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return NoLiveGateway, elapsed
	case err != nil && ctx.Err() != nil:
		return Failed, elapsed
	case err != nil:
		return Lost, elapsed
	}
	return answerEnd(resp.StatusCode, elapsed, class), elapsed
}

// answerMargin is how long a client waits for an answer after the deadline of its request.
const answerMargin = 500 * time.Millisecond

// newClientRequest returns the HTTP request of an arrival to a gateway. Its path gives the hosts its work and
// its wait time in microseconds.
func newClientRequest(ctx context.Context, a *Arrival, class *Class, g *realGateway) (*http.Request, error) {
	method, body := http.MethodGet, io.Reader(nil)
	if class.Effect == AtMostOnce {
		method, body = http.MethodPost, strings.NewReader("x")
	}
	url := fmt.Sprintf("http://%s/api/%d/%d", g.addr,
		int(a.WorkFactor*float64(class.Work)/1e3), int(a.WaitFactor*float64(class.WaitTime)/1e3))
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set("X-Priority-Class", class.Name)
	req.Header.Set("X-Timeout", fmt.Sprintf("%.3f", class.Deadline.std().Seconds()))
	req.Header.Set("X-Request-ID", fmt.Sprintf("%x-%d-%d", int64(a.At), a.Retries, g.rank))
	if a.Retries > 0 {
		req.Header.Set("X-Retried", "1")
	}
	return req, nil
}

// answerEnd returns how a request ended that was answered with a status.
func answerEnd(status int, elapsed time.Duration, class *Class) End {
	switch {
	case status == http.StatusOK && elapsed <= class.LatencyTarget.std():
		return Served
	case status == http.StatusOK:
		return Late
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return Refused
	}
	return Failed
}
