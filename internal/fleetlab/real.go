package fleetlab

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"lynxspool/internal/faultnet"
)

// RealOptions say where the real engine finds things.
type RealOptions struct {
	Bin  string    // folder with the binaries dunemoor and catalog
	Dir  string    // for logs and data; "" takes a temporary one, removed at the end
	Says io.Writer // progress; nil for none
}

// realPlay is a play with real processes.
type realPlay struct {
	s    *Scenario
	opt  RealOptions
	dir  string
	net  string // first three octets' base of the play's loopback addresses: "127.N."
	zero time.Time
	ctx  context.Context

	recMu sync.Mutex
	rec   *Recorder

	starter  *starter
	hosts    []*standIn
	gateways []*realGateway
	catalogs []*realCatalog
	busy     net.Listener // answers 503 to all, for a list service that is busy
	client   *http.Client

	frontMu sync.Mutex
	front   front
}

// Real plays a scenario with real gateways and catalogs on loopback. Every process that it
// starts has ended when it returns; should this process die, the kernel ends them.
func Real(ctx context.Context, s *Scenario, opt RealOptions) (*Result, error) {
	if err := s.preflight(); err != nil {
		return nil, err
	}
	for _, b := range []string{"dunemoor", "catalog"} {
		if _, err := os.Stat(filepath.Join(opt.Bin, b)); err != nil {
			return nil, fmt.Errorf("no %s in %s: go build -o bin/ ./cmd/... first", b, opt.Bin)
		}
	}
	if opt.Says == nil {
		opt.Says = io.Discard
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p := &realPlay{s: s, opt: opt, dir: opt.Dir, ctx: ctx, rec: NewRecorder(s), front: newFront(s),
		net: fmt.Sprintf("127.%d.", 64+os.Getpid()%128), starter: newStarter()}
	defer p.starter.end()
	if p.dir == "" {
		dir, err := os.MkdirTemp("", "fleetlab")
		if err != nil {
			return nil, err
		}
		defer os.RemoveAll(dir)
		p.dir = dir
	}
	p.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: 2 * time.Second}).DialContext}}
	defer p.client.CloseIdleConnections()
	defer p.close()
	p.zero = time.Now()
	if err := p.setUp(); err != nil {
		return nil, err
	}
	p.zero = time.Now()
	if err := p.restartColdClock(); err != nil {
		return nil, err
	}
	fmt.Fprintf(opt.Says, "%s: %d gateways, %d hosts, %d catalogs\n", s.Name, s.Gateways.Count, len(p.hosts), len(p.catalogs))
	p.play()
	if err := ctx.Err(); err != nil {
		return nil, errors.New("ended before its time")
	}
	return p.result(), nil
}

// now is the time since the play began.
func (p *realPlay) now() Time { return time.Since(p.zero) }

func (p *realPlay) record(do func(r *Recorder, now Time)) {
	p.recMu.Lock()
	defer p.recMu.Unlock()
	do(p.rec, p.now())
}

// at runs something at a time of the play, unless it has ended.
func (p *realPlay) at(t Time, do func()) {
	go func() {
		select {
		case <-p.ctx.Done():
		case <-time.After(t - p.now()):
			do()
		}
	}()
}

func (p *realPlay) setUp() error {
	s := p.s
	for i := range s.Hosts {
		for range s.Hosts[i].Count {
			n := len(p.hosts)
			h := NewHost(n, fmt.Sprintf("s-%04d", n), &s.Hosts[i], s)
			st, err := newStandIn(p, h, fmt.Sprintf("%s%d.%d:9000", p.net, 200+n/250, 1+n%250))
			if err != nil {
				return err
			}
			p.hosts = append(p.hosts, st)
		}
	}
	if err := p.startCatalogs(); err != nil {
		return err
	}
	for i := range s.Gateways.Count {
		p.gateways = append(p.gateways, &realGateway{p: p, rank: i, configured: s.Gateways.Configured,
			addr: fmt.Sprintf("%s%d.%d:9000", p.net, 1+i/250, 1+i%250)})
	}
	known := map[int]bool{}
	if s.Gateways.Known > 0 {
		for _, i := range choose(s.rng(streamAbsent+100), s.Gateways.Count, s.Gateways.Known, "random") {
			known[i] = true
		}
	}
	for i, g := range p.gateways {
		if err := g.configure(known[i]); err != nil {
			return err
		}
	}
	return nil
}

// restartColdClock makes cold hosts start now, as setting up took time, and lists them so.
func (p *realPlay) restartColdClock() error {
	for _, st := range p.hosts {
		if st.h.Spec.Cold {
			st.mu.Lock()
			st.h.Started = 0
			st.mu.Unlock()
			if err := p.list(st); err != nil {
				return err
			}
		}
	}
	return nil
}

// play starts the gateways, sends the load and works off the time line.
func (p *realPlay) play() {
	s := p.s
	here, spread := s.Present(), s.rng(streamSeeds+100)
	for i, g := range p.gateways {
		at := Time(spread.Float64() * float64(s.Gateways.StartSpread))
		if here[i] {
			p.at(at, g.start)
		}
	}
	p.setFaults()
	var clients sync.WaitGroup
	load := newArrivals(s)
	samples := time.NewTicker(bin)
	defer samples.Stop()
	said := time.Duration(0)
	next, more := load.draw()
	for {
		until := s.Length.std()
		if more {
			until = next.At
		}
		select {
		case <-p.ctx.Done():
			return
		case <-samples.C:
			p.sample()
			if now := p.now(); now-said >= 5*time.Second {
				said = now
				p.recMu.Lock()
				e := p.rec.ends
				fmt.Fprintf(p.opt.Says, "%3.0f s: %d gateways ready, %d served, %d refused, %d failed\n",
					now.Seconds(), p.rec.ready.TotalCount(), e[Served], e[Refused], e[Failed]+e[Lost]+e[NoLiveGW])
				p.recMu.Unlock()
			}
			continue
		case <-time.After(until - p.now()):
		}
		if !more {
			break
		}
		clients.Add(1)
		go func(a Arrival) {
			defer clients.Done()
			p.request(a)
		}(next)
		next, more = load.draw()
	}
	clients.Wait()
}

// sample counts what the catalogs sent and what the hosts hold, once a bin.
func (p *realPlay) sample() {
	var pending []int
	for _, st := range p.hosts {
		st.mu.Lock()
		if st.h.Cond == Serving {
			pending = append(pending, st.h.Pending())
		}
		st.mu.Unlock()
	}
	p.record(func(r *Recorder, now Time) {
		r.Pending(now, pending)
		for i, c := range p.catalogs {
			bytes := c.link.BytesFromTarget()
			r.bytes[i] += bytes - c.bytes
			c.bytes = bytes
		}
	})
}

// request is a client: one request through the gateway that the front names, and again
// after a refusal as often as clients do.
func (p *realPlay) request(a Arrival) {
	c := &p.s.Classes[a.Class]
	arrived := p.now()
	for ; ; a.Tries++ {
		end, took := p.try(&a, c)
		if end == Refused && a.Tries < p.s.Load.Retries {
			select {
			case <-p.ctx.Done():
			case <-time.After(p.s.Load.RetryWait.std()):
				continue
			}
		}
		p.record(func(r *Recorder, _ Time) { r.Ended(arrived, end, took) })
		return
	}
}

func (p *realPlay) try(a *Arrival, c *Class) (End, time.Duration) {
	p.frontMu.Lock()
	i := p.front.pick(a.Front)
	p.frontMu.Unlock()
	if i < 0 {
		return NoLiveGW, 0
	}
	method, body := http.MethodGet, io.Reader(nil)
	if c.Effect == "at_most_once" {
		method, body = http.MethodPost, strings.NewReader("x")
	}
	ctx, cancel := context.WithTimeout(p.ctx, c.Deadline.std()+500*time.Millisecond)
	defer cancel()
	url := fmt.Sprintf("http://%s/api/%d/%d", p.gateways[i].addr,
		int(a.Work*float64(c.Work)/1e3), int(a.Waits*float64(c.Waits)/1e3))
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return Failed, 0
	}
	req.Header.Set("X-Priority-Class", c.Name)
	req.Header.Set("X-Timeout", fmt.Sprintf("%.3f", c.Deadline.std().Seconds()))
	req.Header.Set("X-Request-ID", fmt.Sprintf("%x-%d-%d", int64(a.At), a.Tries, i))
	if a.Tries > 0 {
		req.Header.Set("X-Retried", "1")
	}
	began := time.Now()
	resp, err := p.client.Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	took := time.Since(began)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return NoLiveGW, took
	case err != nil && ctx.Err() != nil:
		return Failed, took
	case err != nil:
		return Lost, took
	case resp.StatusCode == http.StatusOK && took <= c.Aim.std():
		return Served, took
	case resp.StatusCode == http.StatusOK:
		return Late, took
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		return Refused, took
	}
	return Failed, took
}

func (p *realPlay) result() *Result {
	p.recMu.Lock()
	defer p.recMu.Unlock()
	for _, g := range p.gateways {
		g.mu.Lock()
		if g.proc != nil && !g.ready {
			p.rec.never++
		}
		g.mu.Unlock()
	}
	var hosts []*Host
	for _, st := range p.hosts {
		st.mu.Lock()
		defer st.mu.Unlock()
		hosts = append(hosts, st.h)
	}
	r := p.rec.Result("real", hosts)
	for i, c := range p.catalogs {
		if c.proc != nil {
			r.Catalogs[i].RSSKB, r.Catalogs[i].FDs = procFigures(c.proc.Pid())
		}
	}
	return r
}

// close ends every process and listener of the play.
func (p *realPlay) close() {
	var ends sync.WaitGroup
	for _, g := range p.gateways {
		ends.Add(1)
		go func() { defer ends.Done(); g.kill() }()
	}
	for _, c := range p.catalogs {
		ends.Add(1)
		go func() { defer ends.Done(); c.kill() }()
	}
	ends.Wait()
	for _, c := range p.catalogs {
		c.link.Close()
	}
	if p.busy != nil {
		p.busy.Close()
	}
	for _, st := range p.hosts {
		st.close()
	}
}

// starter starts processes from one locked thread: they are tied to it, so that the kernel
// ends them should this process die in any way.
type starter struct{ calls chan func() }

func newStarter() *starter {
	s := &starter{calls: make(chan func())}
	go func() {
		runtime.LockOSThread() // never unlocked: the thread ends with this goroutine
		for do := range s.calls {
			do()
		}
	}()
	return s
}

// start also tells when the process was started, as starts wait for each other.
func (s *starter) start(dir, name, bin string, args []string, env ...string) (p *faultnet.Proc, at time.Time, err error) {
	return s.startWith(nil, dir, name, bin, args, env...)
}

// startWith is start for a process that inherits files.
func (s *starter) startWith(files []*os.File, dir, name, bin string, args []string, env ...string) (p *faultnet.Proc, at time.Time, err error) {
	done := make(chan struct{})
	s.calls <- func() {
		at = time.Now()
		p, err = faultnet.StartWithPdeathsigAndFiles(files, dir, name, bin, args, env...)
		close(done)
	}
	<-done
	return p, at, err
}

func (s *starter) end() { close(s.calls) }

func jsonText(v any) ([]byte, error) { return json.Marshal(v) }

// writeJSON writes a configuration file.
func writeJSON(path string, v any) error {
	text, err := jsonText(v)
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}

func listenLoopback() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }
