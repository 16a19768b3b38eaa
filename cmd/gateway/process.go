package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"time"

	"bramblelock"
	"bramblelock/internal/gateway"
	"bramblelock/internal/gateway/config"
	"bramblelock/internal/gateway/discovery"
	"bramblelock/internal/gateway/maintenance"
	"bramblelock/internal/membership"
)

// initialListTimeout limits how long a process that inherits its listener waits for a host list from
// discovery before it accepts clients. Such a process must be ready 6 s after its start.
const initialListTimeout = 4 * time.Second

// upgradeOverlap is how long a new process and the one it replaces may serve side by side. It covers
// the time until the new process is ready and the old one has exited.
const upgradeOverlap = 10 * time.Second

// process is the gateway that this process runs, and its parts.
type process struct {
	cfg              *config.Config // in force; replaced by reload
	pool             *gateway.Pool
	discovery        *discovery.Client
	loop             *gateway.Loop
	server           *gateway.Server
	listener         net.Listener       // for clients
	operator         *gateway.Operator  // nil without an address for operators
	operatorListener net.Listener       // set with operator
	synchronizer     *fleetSynchronizer // nil while membership is off
	serveErrors      chan error         // errors that end a listener's service
}

// newProcess returns a process that listens for clients and serves nobody yet.
func newProcess(cfg *config.Config) (*process, error) {
	pool := gateway.NewPool(cfg)
	wrapListener := injectFaults(pool)
	client := discovery.New(cfg)
	loop, err := gateway.NewLoop(cfg, pool, client.Watch)
	if err != nil {
		return nil, err
	}
	pool.SetUpdateSource(client)
	client.SetSync(loop.Sync)
	ln, err := listen(cfg)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return &process{
		cfg: cfg, pool: pool, discovery: client, loop: loop, server: gateway.NewServer(cfg, loop),
		listener: wrapListener(ln), serveErrors: make(chan error, 2),
	}, nil
}

// start begins to serve. Its goroutines run until ctx ends.
func (p *process) start(ctx context.Context) error {
	go p.pool.Run(ctx)
	go p.loop.Run(ctx)
	if p.cfg.Operator != "" {
		if err := p.newOperator(ctx); err != nil {
			return err
		}
	}
	if p.cfg.AcceptFD != 0 {
		p.shareConnections()
	}
	p.loop.HandleList(bramblelock.ListSaved, p.cfg.Known)
	roster := discovery.NewRoster(p.cfg.Known, p.loop)
	if p.cfg.Membership.Bind != "" {
		// Started after the configured list is applied: a list that a peer sends during the join takes
		// precedence over the configured one.
		if err := p.joinFleet(ctx, roster); err != nil {
			return err
		}
	}
	if p.operator != nil {
		go func() { p.serveErrors <- p.operator.Serve(p.operatorListener) }()
	}
	go p.discovery.Run(ctx, roster)
	go p.serveClients(p.cfg)
	return nil
}

// newOperator restores the maintenance of hosts and listens for operators.
func (p *process) newOperator(ctx context.Context) error {
	store, err := maintenance.NewStore(os.Getenv("TMPDIR"))
	if err != nil {
		return err
	}
	// Restored before the host list is applied, so that nothing is sent to a host in maintenance.
	if err := store.Refresh(p.loop); err != nil {
		return err
	}
	p.operatorListener, err = net.Listen("tcp", p.cfg.Operator)
	if err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	sharesListener := p.cfg.AcceptFD != 0
	if sharesListener {
		go store.Watch(p.loop, ctx.Done())
	}
	p.operator = gateway.NewOperator(p.loop, p.server, store, sharesListener)
	return nil
}

// shareConnections leaves half of the connections to hosts to the process that this one replaces, while
// both serve.
func (p *process) shareConnections() {
	p.pool.SetOverlap(true)
	time.AfterFunc(upgradeOverlap, func() {
		if p.server.Healthy() == nil { // while this process stops, its successor still overlaps with it
			p.pool.SetOverlap(false)
		}
	})
}

// joinFleet starts membership and the exchange of load and lists with peers.
func (p *process) joinFleet(ctx context.Context, roster *discovery.Roster) error {
	options := p.cfg.Membership
	node, err := membership.Start(membership.Options{
		Name: p.cfg.Name, Bind: options.Bind, Peers: options.Peers, Local: options.Local, Lists: roster,
	})
	if err != nil {
		return err
	}
	p.synchronizer = &fleetSynchronizer{members: node, loop: p.loop, roster: roster}
	p.synchronizer.rank.Store(int64(p.cfg.Settings.Rank))
	go p.synchronizer.run(ctx)
	if p.operator != nil {
		p.operator.Members = p.synchronizer.membersResponse
	}
	return nil
}

// serveClients accepts clients. A process that inherits its listener first waits for a host list.
// cfg is the configuration at the start: p.cfg may be replaced meanwhile.
func (p *process) serveClients(cfg *config.Config) {
	if cfg.AcceptFD != 0 {
		select {
		case <-p.loop.Listed():
		case <-time.After(initialListTimeout):
		}
	}
	slog.Info("serving", "name", cfg.Name, "listen", cfg.Listen)
	p.serveErrors <- p.server.Serve(p.listener)
}

// shutdown tells the peers that this gateway leaves, and returns once all requests are answered.
func (p *process) shutdown() {
	leaveDone := make(chan struct{})
	go func() {
		defer close(leaveDone)
		p.leaveFleet()
	}()
	p.server.Shutdown()
	<-leaveDone
	slog.Info("event loop", "longest_hold_ms", p.loop.Status().LongestHoldMS)
	p.loop.Audit.Log("stopped")
}

// leaveFleet tells the peers that this gateway leaves, so that they need not detect a failure.
func (p *process) leaveFleet() {
	if p.synchronizer == nil {
		return
	}
	if err := p.synchronizer.members.Leave(time.Second); err != nil {
		slog.Warn("membership: goodbye not sent in time", "err", err)
	}
}

// listen returns the listener for clients: the one inherited from the platform if GW_ACCEPT_FD is set,
// otherwise a new one.
func listen(cfg *config.Config) (net.Listener, error) {
	if cfg.AcceptFD == 0 {
		return net.Listen("tcp", cfg.Listen)
	}
	file := os.NewFile(uintptr(cfg.AcceptFD), "GW_ACCEPT_FD")
	defer file.Close() // net.FileListener duplicates the descriptor
	return net.FileListener(file)
}

// reload applies the configuration file and switches to the discovery address that it gives. A file
// with any error changes nothing, so that settings are never applied in part.
func (p *process) reload() {
	cfg, err := config.Reload(os.Getenv, p.cfg)
	if err != nil {
		slog.Error("configuration not read anew, the old one stands", "err", err)
		return
	}
	p.cfg = cfg
	p.loop.UpdateRules(&cfg.Rules)
	p.discovery.SetAddrs(cfg.Discovery)
	if p.synchronizer != nil {
		p.synchronizer.rank.Store(int64(cfg.Settings.Rank))
	}
	slog.Info("configuration read anew", "discovery", cfg.Discovery, "classes", len(cfg.Classes))
}
