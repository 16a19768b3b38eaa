// Package soak runs real gateways and catalogs on loopback, with hosts and clients of its own, and overlaps
// disruptions that it draws from a seed. Hosts and clients record what they see in a ledger. After the run
// the judge checks the rules against that ledger alone.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"

	"bramblelock/internal/loopback"
)

// Options sets the size of a soak.
type Options struct {
	Bin      string // directory of the binaries gateway and catalog
	Dir      string // directory for logs and data; empty: a temporary one that is removed at the end
	Seed     uint64
	Length   time.Duration // duration of the load; requests in flight at its end finish after it
	Gateways int           // number of gateways
	Hosts    int
	Catalogs int     // number of catalogs
	Rate     float64 // requests per second over all gateways
	Overlap  int     // average number of disruptions at a time; below 1: 1
}

// Defaults returns the options of a soak of a few dozen processes.
func Defaults() Options {
	return Options{Seed: 1, Length: time.Minute, Gateways: 24, Hosts: 16, Catalogs: 3, Rate: 400, Overlap: 3}
}

// soak is the state of one run.
type soak struct {
	opt       Options
	dir       string     // for logs, settings and data
	netPrefix string     // prefix of the loopback addresses of the run: "127.N."
	loadStart time.Time  // during the setup: its start
	planRand  *rand.Rand // for the plan only: clients have their own generator
	starter   *loopback.Starter
	ctx       context.Context

	startLimit time.Duration // time within which a gateway process has to be ready

	ledger     *ledger
	clients    *clients
	gateways   []*gateway
	hosts      []*host
	catalogs   *catalogs
	background sync.WaitGroup // disruptions and everything that they run in the background
}

// processStartLimit is the time within which a gateway process has to be ready, which covers the outages of
// discovery that a plan draws.
const processStartLimit = 30 * time.Second

// Run runs one seed. An error means that the soak could not run or was cancelled, not that rules were
// broken.
func Run(ctx context.Context, opt Options) (*Report, error) {
	if err := loopback.RequireBinaries(opt.Bin); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp(opt.Dir, "soak")
	if err != nil {
		return nil, err
	}
	if opt.Dir == "" {
		defer os.RemoveAll(dir)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	addresses, reserved, err := reserveLoopbackNet()
	if err != nil {
		return nil, err
	}
	defer reserved.Close()
	s := &soak{opt: opt, dir: dir, ctx: ctx, netPrefix: addresses,
		planRand: rand.New(rand.NewPCG(opt.Seed, 1)), starter: loopback.NewStarter(), startLimit: processStartLimit, ledger: newLedger()}
	s.clients = newClients(s)
	defer s.starter.End()
	defer s.close()
	if err := s.setUp(); err != nil {
		return nil, err
	}
	plan := s.plan()
	s.run(plan)
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return s.report(plan), nil
}

// reserveLoopbackNet finds a loopback prefix that no other run uses. The prefix stays reserved until
// held is closed.
func reserveLoopbackNet() (prefix string, held net.Listener, err error) {
	const first, count = 64, 128 // range of the second octet
	for i := range count {
		prefix = fmt.Sprintf("127.%d.", first+(os.Getpid()+i)%count)
		if held, err = net.Listen("tcp", prefix+"254.254:9000"); err == nil {
			return prefix, held, nil
		}
	}
	return "", nil, fmt.Errorf("no loopback addresses are free: %w", err)
}

// elapsed returns the time since the load began.
func (s *soak) elapsed() time.Duration { return time.Since(s.loadStart) }

// Detection of pauses of the soak process: everything that it records is late by the length of the pause.
const (
	pauseCheckInterval = 10 * time.Millisecond
	minPause           = judgeSlack / 2
)

// detectPauses records when this process is paused, as on an overloaded machine, until the run ends.
func (s *soak) detectPauses() {
	last := time.Now()
	for s.ctx.Err() == nil {
		time.Sleep(pauseCheckInterval)
		now := time.Now()
		if pause := now.Sub(last) - pauseCheckInterval; pause > minPause {
			at := last.Sub(s.loadStart)
			s.ledger.update(func() {
				s.ledger.pauses = append(s.ledger.pauses, fmt.Sprintf("the soak process was paused for %v at %.3f s", pause.Round(time.Millisecond), at.Seconds()))
			})
		}
		last = now
	}
}

// sleepUntil waits until a time of the run. It returns false when the run was cancelled before.
func (s *soak) sleepUntil(until time.Duration) bool {
	select {
	case <-s.ctx.Done():
		return false
	case <-time.After(until - s.elapsed()):
		return true
	}
}

// setUp starts hosts, catalogs and gateways, waits until all gateways are ready and then sets loadStart.
func (s *soak) setUp() error {
	s.loadStart = time.Now()
	var err error
	if s.catalogs, err = startCatalogs(s); err != nil {
		return err
	}
	for i := range s.opt.Hosts {
		host, err := startHost(s, i)
		if err != nil {
			return err
		}
		s.hosts = append(s.hosts, host)
		if err := s.catalogs.put(host, stateReady); err != nil {
			return err
		}
	}
	for i := range s.opt.Gateways {
		g := newGateway(s, i)
		s.gateways = append(s.gateways, g)
		if sharesSocket(i) {
			if err := g.openSharedSocket(); err != nil {
				return err
			}
		}
		if err := g.startProcess(); err != nil {
			return err
		}
	}
	for _, g := range s.gateways {
		if !g.awaitServing(s.startLimit) {
			return fmt.Errorf("%s is not ready after %v", g.name, s.startLimit)
		}
	}
	s.loadStart = time.Now()
	return nil
}

// run sends the load and executes the plan. It returns when all requests and disruptions have ended.
func (s *soak) run(plan []disruption) {
	for i := range plan {
		d := &plan[i]
		s.background.Add(1)
		go func() {
			defer s.background.Done()
			if s.sleepUntil(d.at) {
				d.run(d)
			}
		}()
	}
	go s.detectPauses()
	s.runClients()
	s.background.Wait()
}

// close kills every process and closes every listener.
func (s *soak) close() {
	var exits sync.WaitGroup
	for _, g := range s.gateways {
		exits.Add(1)
		go func() { defer exits.Done(); g.kill() }()
	}
	exits.Wait()
	for _, g := range s.gateways {
		if g.sharedSocket != nil {
			g.sharedSocket.Close()
		}
	}
	if s.catalogs != nil {
		s.catalogs.close()
	}
	for _, host := range s.hosts {
		host.close()
	}
}

// report terminates the gateways gracefully, so that their exits are judged too, and judges the ledger.
func (s *soak) report(plan []disruption) *Report {
	var exits sync.WaitGroup
	for _, g := range s.gateways {
		exits.Add(1)
		go func() { defer exits.Done(); g.terminate() }()
	}
	exits.Wait()
	r := &Report{Seed: s.opt.Seed}
	for i := range plan {
		r.Timeline = append(r.Timeline, plan[i].String())
	}
	r.Counts.Troubles = len(plan)
	s.judge(r)
	return r
}
