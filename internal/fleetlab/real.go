package fleetlab

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"bramblelock/internal/faultnet"
	"bramblelock/internal/loopback"
)

// RealOptions configures the real engine.
type RealOptions struct {
	Bin      string    // directory of the binaries gateway and catalog
	Dir      string    // directory for logs and data; empty: a temporary one that is removed at the end
	Progress io.Writer // receives progress messages; nil: none
}

// realRun is a run with real processes.
type realRun struct {
	scenario  *Scenario
	options   RealOptions
	dir       string    // for logs and data
	netPrefix string    // prefix of the loopback addresses of the run: "127.N."
	startedAt time.Time // during the setup: its start
	ctx       context.Context

	recorderMu sync.Mutex // guards recorder
	recorder   *Recorder

	starter    processStarter
	hosts      []*loopbackHost
	gateways   []*realGateway
	catalogs   []*realCatalog
	httpClient *http.Client

	busyMu       sync.Mutex   // guards busyListener, as faults at the same time run in goroutines of their own
	busyListener net.Listener // answers 503 to everything, in place of a busy list service; nil until needed

	edgeMu sync.Mutex // guards edge
	edge   edgeBalancer
}

// processStarter starts the processes of a run. A *loopback.Starter implements it.
type processStarter interface {
	Start(dir, name, bin string, args []string, env ...string) (*faultnet.Proc, time.Time, error)
	End()
}

// Real runs a scenario with real gateways and catalogs on loopback. All processes that it started have
// exited when it returns. If this process dies, the kernel kills them.
func Real(ctx context.Context, s *Scenario, opt RealOptions) (*Result, error) {
	if err := s.preflight(); err != nil {
		return nil, err
	}
	if err := loopback.RequireBinaries(opt.Bin); err != nil {
		return nil, err
	}
	if opt.Progress == nil {
		opt.Progress = io.Discard
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	run := &realRun{scenario: s, options: opt, dir: opt.Dir, ctx: ctx, recorder: NewRecorder(s), edge: newEdgeBalancer(s),
		netPrefix: fmt.Sprintf("127.%d.", 64+os.Getpid()%128), starter: loopback.NewStarter()}
	defer run.starter.End()
	if run.dir == "" {
		dir, err := os.MkdirTemp("", "fleetlab")
		if err != nil {
			return nil, err
		}
		defer os.RemoveAll(dir)
		run.dir = dir
	}
	run.httpClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: 2 * time.Second}).DialContext}}
	defer run.httpClient.CloseIdleConnections()
	defer func() {
		cancel() // before close, so that no fault starts a process behind it, when the starter may have ended
		run.close()
	}()
	run.startedAt = time.Now()
	if err := run.setUp(); err != nil {
		return nil, err
	}
	run.startedAt = time.Now()
	if err := run.restartColdHosts(); err != nil {
		return nil, err
	}
	fmt.Fprintf(opt.Progress, "%s: %d gateways, %d hosts, %d catalogs\n", s.Name, s.Gateways.Count, len(run.hosts), len(run.catalogs))
	run.execute()
	if err := ctx.Err(); err != nil {
		return nil, errors.New("interrupted before the end of the run")
	}
	return run.result(), nil
}

// now returns the time since the run started.
func (run *realRun) now() Time { return time.Since(run.startedAt) }

// record calls do with the recorder and the present time, under the lock of the recorder.
func (run *realRun) record(do func(r *Recorder, now Time)) {
	run.recorderMu.Lock()
	defer run.recorderMu.Unlock()
	do(run.recorder, run.now())
}

// at calls do in a goroutine at a time of the run, or at once if that is past, unless the run has ended by
// then.
func (run *realRun) at(t Time, do func()) {
	go func() {
		select {
		case <-run.ctx.Done():
		case <-time.After(t - run.now()):
			do()
		}
	}()
}

// setUp starts the hosts and the catalogs and writes the configuration files of the gateways.
func (run *realRun) setUp() error {
	s := run.scenario
	for groupIndex := range s.Hosts {
		for range s.Hosts[groupIndex].Count {
			index := len(run.hosts)
			model := NewHost(index, fmt.Sprintf("s-%04d", index), &s.Hosts[groupIndex], s)
			host, err := newLoopbackHost(run, model, fmt.Sprintf("%s%d.%d:9000", run.netPrefix, 200+index/250, 1+index%250))
			if err != nil {
				return err
			}
			run.hosts = append(run.hosts, host)
		}
	}
	if err := run.startCatalogs(); err != nil {
		return err
	}
	for i := range s.Gateways.Count {
		run.gateways = append(run.gateways, &realGateway{run: run, rank: i, configured: s.Gateways.Configured,
			addr: fmt.Sprintf("%s%d.%d:9000", run.netPrefix, 1+i/250, 1+i%250)})
	}
	hasSavedList := s.ranksWithSavedList()
	for i, g := range run.gateways {
		if err := g.configure(hasSavedList[i]); err != nil {
			return err
		}
	}
	return nil
}

// restartColdHosts sets the start of the cold hosts to the start of the run, as the setup takes time, and
// updates them on the list.
func (run *realRun) restartColdHosts() error {
	for _, host := range run.hosts {
		if host.model.Spec.Cold {
			host.mu.Lock()
			host.model.Started = 0
			host.mu.Unlock()
			if err := run.listHost(host); err != nil {
				return err
			}
		}
	}
	return nil
}

// progressInterval is the time between two progress messages.
const progressInterval = 5 * time.Second

// execute starts the gateways, sends the load and carries out the faults. It returns when all requests have
// ended or the run is cancelled.
func (run *realRun) execute() {
	s := run.scenario
	run.scheduleStarts()
	run.scheduleFaults()
	go run.sampleGateways()
	var clients sync.WaitGroup
	arrivals := newArrivals(s)
	sampleTicker := time.NewTicker(binWidth)
	defer sampleTicker.Stop()
	lastProgress := time.Duration(0)
	next, more := arrivals.draw()
	for {
		until := s.Length.std()
		if more {
			until = next.At
		}
		select {
		case <-run.ctx.Done():
			return
		case <-sampleTicker.C:
			run.samplePending()
			if now := run.now(); now-lastProgress >= progressInterval {
				lastProgress = now
				run.printProgress()
			}
			continue
		case <-time.After(until - run.now()):
		}
		if !more {
			break
		}
		clients.Add(1)
		go func(a Arrival) {
			defer clients.Done()
			run.runClient(a)
		}(next)
		next, more = arrivals.draw()
	}
	clients.Wait()
}

// scheduleStarts schedules the starts of the present gateways.
func (run *realRun) scheduleStarts() {
	s := run.scenario
	present, startRand := s.PresentRanks(), s.newRand(streamSeeds+100)
	for rank, g := range run.gateways {
		at := Time(startRand.Float64() * float64(s.Gateways.StartSpread))
		if present[rank] {
			run.at(at, g.start)
		}
	}
}

// printProgress writes a progress message.
func (run *realRun) printProgress() {
	run.record(func(r *Recorder, now Time) {
		failed := r.ends[Failed] + r.ends[Lost] + r.ends[NoLiveGateway]
		fmt.Fprintf(run.options.Progress, "%3.0f s: %d gateways ready, %d served, %d refused, %d failed\n",
			now.Seconds(), r.readyTimes.TotalCount(), r.ends[Served], r.ends[Refused], failed)
	})
}

// samplePending records how many requests the hosts hold and how many bytes the catalogs have sent. It is
// called once per bin.
func (run *realRun) samplePending() {
	var pending []int
	for _, host := range run.hosts {
		host.mu.Lock()
		if host.model.Condition == Serving {
			pending = append(pending, host.model.Pending())
		}
		host.mu.Unlock()
	}
	run.record(func(r *Recorder, now Time) {
		r.RecordPending(now, pending)
		for i, c := range run.catalogs {
			bytes := c.link.BytesFromTarget()
			r.catalogBytes[i] += bytes - c.countedBytes
			c.countedBytes = bytes
		}
	})
}

// result returns the figures of the run.
func (run *realRun) result() *Result {
	run.recorderMu.Lock()
	defer run.recorderMu.Unlock()
	for _, g := range run.gateways {
		g.mu.Lock()
		if g.proc != nil && !g.ready {
			run.recorder.neverReady++
		}
		g.mu.Unlock()
	}
	var hosts []*Host
	for _, host := range run.hosts {
		host.mu.Lock()
		defer host.mu.Unlock()
		hosts = append(hosts, host.model)
	}
	r := run.recorder.Result(EngineReal, hosts)
	for i, c := range run.catalogs {
		if c.proc != nil {
			usage := readProcessUsage(c.proc.Pid())
			r.Catalogs[i].RSSKB, r.Catalogs[i].FDs = usage.rssKB, usage.descriptors
		}
	}
	r.GatewayUsage = run.gatewayUsage(r)
	return r
}

// close ends all processes and listeners of the run.
func (run *realRun) close() {
	var ends sync.WaitGroup
	for _, g := range run.gateways {
		ends.Add(1)
		go func() { defer ends.Done(); g.kill() }()
	}
	for _, c := range run.catalogs {
		ends.Add(1)
		go func() { defer ends.Done(); c.kill() }()
	}
	ends.Wait()
	for _, c := range run.catalogs {
		c.link.Close()
	}
	run.busyMu.Lock()
	if run.busyListener != nil {
		run.busyListener.Close()
	}
	run.busyMu.Unlock()
	for _, host := range run.hosts {
		host.close()
	}
}
