package fleetlab

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

// The soak runs real gateways and catalogs on loopback, with servers and clients of its own, and
// lets troubles overlap that a seed draws. Servers and clients note what they see; when the run
// is over, the rules are judged on those notes alone.

// SoakOptions say how large a soak is.
type SoakOptions struct {
	RealOptions
	Seed     uint64
	Length   time.Duration // of the load; the end of what is out comes after it
	Gateways int           // processes
	Hosts    int
	Catalogs int     // processes
	Rate     float64 // requests a second over all gateways
	Overlap  int     // troubles at a time, about
}

// SoakDefaults is a soak of a few dozen processes.
func SoakDefaults() SoakOptions {
	return SoakOptions{Seed: 1, Length: time.Minute, Gateways: 24, Hosts: 16, Catalogs: 3, Rate: 400, Overlap: 3}
}

// SoakReport is what a soak found.
type SoakReport struct {
	Seed       uint64
	Timeline   []string // the troubles, in their order
	Counts     SoakCounts
	Pauses     []string       // times at which the soak itself was held up, so that what it noted is late
	Exemptions map[string]int // cases that would break a rule but for what the pages allow, by excuse
	Violations []SoakViolation
}

// SoakCounts say how much the run exercised.
type SoakCounts struct {
	Requests, Served, Refused, Failed, Left int
	BadClients, Runs, Restarts, Troubles    int
}

// SoakViolation is a rule that was broken, with the way of the request through every process.
type SoakViolation struct {
	Rule, Text string
	Trace      []string
}

// soak is a run.
type soak struct {
	opt       SoakOptions
	dir       string
	netPrefix string
	loadStart time.Time
	planRand  *rand.Rand // of the plan alone: clients have their own
	starter   *starter
	ctx       context.Context

	ledger     *ledger
	clients    *soakClients
	gateways   []*soakGateway
	hosts      []*soakHost
	catalogs   *soakCatalogs
	background sync.WaitGroup // clients and troubles under way
}

// Soak runs one seed. The error says that it could not be run, not that rules were broken.
func Soak(ctx context.Context, opt SoakOptions) (*SoakReport, error) {
	for _, binary := range []string{"dunemoor", "catalog"} {
		if _, err := os.Stat(filepath.Join(opt.Bin, binary)); err != nil {
			return nil, fmt.Errorf("no %s in %s: go build -o bin/ ./cmd/... first", binary, opt.Bin)
		}
	}
	if opt.Says == nil {
		opt.Says = io.Discard
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
		planRand: rand.New(rand.NewPCG(opt.Seed, 1)), starter: newStarter(), ledger: newLedger()}
	s.clients = newClients(s)
	defer s.starter.end()
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

// reserveLoopbackNet finds loopback addresses that no other run has, and holds one as long as they are used.
func reserveLoopbackNet() (prefix string, held net.Listener, err error) {
	const first, count = 64, 128 // of the second byte
	for i := range count {
		prefix = fmt.Sprintf("127.%d.", first+(os.Getpid()+i)%count)
		if held, err = net.Listen("tcp", prefix+"254.254:9000"); err == nil {
			return prefix, held, nil
		}
	}
	return "", nil, fmt.Errorf("no loopback addresses are free: %w", err)
}

// elapsed is the time since the load began.
func (s *soak) elapsed() time.Duration { return time.Since(s.loadStart) }

// What the soak's own lateness is noticed by: all that it notes is late by as much.
const (
	pauseCheckInterval = 10 * time.Millisecond
	minPause           = judgeSlack / 2
)

// detectPauses notes when this process is held up, as on a machine that is too busy, until the run ends.
func (s *soak) detectPauses() {
	last := time.Now()
	for s.ctx.Err() == nil {
		time.Sleep(pauseCheckInterval)
		now := time.Now()
		if pause := now.Sub(last) - pauseCheckInterval; pause > minPause {
			at := last.Sub(s.loadStart)
			s.ledger.update(func() {
				s.ledger.pauses = append(s.ledger.pauses, fmt.Sprintf("the soak was held up for %v at %.3f s", pause.Round(time.Millisecond), at.Seconds()))
			})
		}
		last = now
	}
}

// sleepUntil waits until a time of the run and says whether it has not been ended before.
func (s *soak) sleepUntil(until time.Duration) bool {
	select {
	case <-s.ctx.Done():
		return false
	case <-time.After(until - s.elapsed()):
		return true
	}
}

// setUp starts servers, catalogs and gateways, and waits until all gateways are ready.
func (s *soak) setUp() error {
	s.loadStart = time.Now()
	var err error
	if s.catalogs, err = startSoakCatalogs(s); err != nil {
		return err
	}
	for i := range s.opt.Hosts {
		host, err := startSoakHost(s, i)
		if err != nil {
			return err
		}
		s.hosts = append(s.hosts, host)
		if err := s.catalogs.put(host, stateReady); err != nil {
			return err
		}
	}
	for i := range s.opt.Gateways {
		g := newSoakGateway(s, i)
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
		if !g.awaitServing(30 * time.Second) {
			return fmt.Errorf("%s is not ready after 30 s", g.name)
		}
	}
	s.loadStart = time.Now()
	return nil
}

// run sends the load and works off the plan.
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

// close ends every process and listener.
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

// report ends the gateways in order and judges all that was noted.
func (s *soak) report(plan []disruption) *SoakReport {
	var exits sync.WaitGroup
	for _, g := range s.gateways {
		exits.Add(1)
		go func() { defer exits.Done(); g.terminate() }()
	}
	exits.Wait()
	r := &SoakReport{Seed: s.opt.Seed}
	for i := range plan {
		r.Timeline = append(r.Timeline, plan[i].String())
	}
	r.Counts.Troubles = len(plan)
	s.judge(r)
	return r
}

// Print writes a report.
func (r *SoakReport) Print(w io.Writer) {
	c := r.Counts
	fmt.Fprintf(w, "seed %d: %d requests, %d served, %d refused, %d failed, %d left; %d bad clients, %d runs, %d restarts, %d troubles; %d violations\n",
		r.Seed, c.Requests, c.Served, c.Refused, c.Failed, c.Left, c.BadClients, c.Runs, c.Restarts, c.Troubles, len(r.Violations))
	for _, text := range r.Pauses {
		fmt.Fprintln(w, "   disturbed:", text)
	}
	for _, exemption := range slices.Sorted(maps.Keys(r.Exemptions)) {
		fmt.Fprintf(w, "   excused: %d %s\n", r.Exemptions[exemption], exemption)
	}
	if len(r.Violations) == 0 {
		return
	}
	for _, line := range r.Timeline {
		fmt.Fprintln(w, "  ", line)
	}
	for _, v := range r.Violations {
		fmt.Fprintf(w, "  BROKEN %s: %s\n", v.Rule, v.Text)
		for _, line := range v.Trace {
			fmt.Fprintln(w, "     ", line)
		}
	}
}
