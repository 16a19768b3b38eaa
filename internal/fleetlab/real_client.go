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
	method, body := http.MethodGet, io.Reader(nil)
	if class.Effect == AtMostOnce {
		method, body = http.MethodPost, strings.NewReader("x")
	}
	ctx, cancel := context.WithTimeout(run.ctx, class.Deadline.std()+500*time.Millisecond)
	defer cancel()
	url := fmt.Sprintf("http://%s/api/%d/%d", run.gateways[rank].addr,
		int(a.WorkFactor*float64(class.Work)/1e3), int(a.WaitFactor*float64(class.WaitTime)/1e3))
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return Failed, 0
	}
	req.Header.Set("X-Priority-Class", class.Name)
	req.Header.Set("X-Timeout", fmt.Sprintf("%.3f", class.Deadline.std().Seconds()))
	req.Header.Set("X-Request-ID", fmt.Sprintf("%x-%d-%d", int64(a.At), a.Retries, rank))
	if a.Retries > 0 {
		req.Header.Set("X-Retried", "1")
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
	case resp.StatusCode == http.StatusOK && elapsed <= class.LatencyTarget.std():
		return Served, elapsed
	case resp.StatusCode == http.StatusOK:
		return Late, elapsed
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		return Refused, elapsed
	}
	return Failed, elapsed
}
