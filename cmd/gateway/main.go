// Command gateway runs one gateway process. It accepts client requests and forwards them to hosts
// as the decision module directs. It is configured by environment variables with the prefix GW_.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"bramblelock"
	"bramblelock/internal/gateway"
	"bramblelock/internal/gateway/config"
	"bramblelock/internal/logwriter"
	"bramblelock/internal/membership"
)

// initialListTimeout limits how long a process that inherits its listener waits for a host list from
// discovery before it accepts clients. Such a process must be ready 6 s after its start.
const initialListTimeout = 4 * time.Second

// upgradeOverlap is how long a new process and the one it replaces may serve side by side. It covers
// the time until the new process is ready and the old one has exited.
const upgradeOverlap = 10 * time.Second

// logFlushTimeout limits the writing of the last log lines. It is shorter than the time between the
// last answers of a stopping process and the SIGKILL that may follow.
const logFlushTimeout = 30 * time.Millisecond

// memoryLimitFraction is the fraction of the configured memory that is set as the soft limit of the
// Go runtime. The rest is for stacks, the binary and memory that the kernel holds for the process.
const memoryLimitFraction = 0.7

func main() {
	log := logwriter.Install(logLevel(os.Getenv("GW_LOG")))
	cfg, err := config.Load(os.Getenv)
	if err == nil {
		err = run(cfg)
	}
	if err != nil {
		fmt.Fprintf(log, "gateway: %v\n", err)
	}
	log.Flush(logFlushTimeout)
	if err != nil {
		os.Exit(1)
	}
}

// logLevel returns the log level for the value of GW_LOG. The level "debug" adds two lines for each
// attempt.
func logLevel(name string) slog.Level {
	if name == "debug" {
		return slog.LevelDebug
	}
	return slog.LevelInfo
}

// run serves until SIGTERM or SIGINT and then shuts down gracefully. On SIGHUP it reloads the
// configuration file.
func run(cfg *config.Config) error {
	if cfg.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(cfg.Cores)))
	}
	if cfg.MemoryMB > 0 {
		limit := memoryLimitFraction * float64(cfg.MemoryMB) * (1 << 20)
		if cfg.AcceptFD != 0 {
			limit /= 2 // two processes share the memory during an upgrade
		}
		debug.SetMemoryLimit(int64(limit))
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	reloads := make(chan os.Signal, 1) // separate, so that a pending signal of one kind does not drop one of the other
	signal.Notify(reloads, syscall.SIGHUP)

	pool := gateway.NewPool(cfg)
	wrapListener := injectFaults(pool)
	discovery := gateway.NewDiscovery(cfg)
	loop, err := gateway.NewLoop(cfg, pool, discovery.Watch)
	if err != nil {
		return err
	}
	pool.SetUpdateSource(discovery)
	discovery.SetSync(loop.Sync)
	ln, err := listen(cfg)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	ln = wrapListener(ln)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go pool.Run(ctx)
	go loop.Run(ctx)
	server := gateway.NewServer(cfg, loop)
	serveErrors := make(chan error, 2)
	serveOperators := func(*fleetSynchronizer) {}
	if cfg.Operator != "" {
		maintenance, err := gateway.NewMaintenanceStore(os.Getenv("TMPDIR"))
		if err != nil {
			return err
		}
		// Restored before the host list is applied, so that nothing is sent to a host in maintenance.
		if err := maintenance.Refresh(loop); err != nil {
			return err
		}
		operatorListener, err := net.Listen("tcp", cfg.Operator)
		if err != nil {
			return fmt.Errorf("listen for operators: %w", err)
		}
		sharesListener := cfg.AcceptFD != 0
		if sharesListener {
			go maintenance.Watch(loop, ctx.Done())
		}
		operator := gateway.NewOperator(loop, server, maintenance, sharesListener)
		serveOperators = func(synchronizer *fleetSynchronizer) {
			if synchronizer != nil {
				operator.Members = synchronizer.membersResponse
			}
			go func() { serveErrors <- operator.Serve(operatorListener) }()
		}
	}
	if cfg.AcceptFD != 0 {
		pool.SetOverlap(true)
		time.AfterFunc(upgradeOverlap, func() {
			if server.Healthy() == nil { // while this process stops, its successor still overlaps with it
				pool.SetOverlap(false)
			}
		})
	}
	loop.HandleList(bramblelock.ListSaved, cfg.Known)
	roster := gateway.NewRoster(cfg.Known, loop)
	var synchronizer *fleetSynchronizer
	if options := cfg.Membership; options.Bind != "" {
		// Started after the configured list is applied: a list that a peer sends during the join takes
		// precedence over the configured one.
		node, err := membership.Start(membership.Options{Name: cfg.Name, Bind: options.Bind, Peers: options.Peers, Local: options.Local, Lists: roster})
		if err != nil {
			return err
		}
		synchronizer = &fleetSynchronizer{members: node, loop: loop, roster: roster}
		synchronizer.rank.Store(int64(cfg.Settings.Rank))
		go synchronizer.run(ctx)
	}
	serveOperators(synchronizer)
	go discovery.Run(ctx, roster)
	go func() {
		if cfg.AcceptFD != 0 {
			select {
			case <-loop.Listed():
			case <-time.After(initialListTimeout):
			}
		}
		slog.Info("serving", "name", cfg.Name, "listen", cfg.Listen)
		serveErrors <- server.Serve(ln)
	}()
	for {
		select {
		case err := <-serveErrors:
			return fmt.Errorf("serve: %w", err)
		case <-reloads:
			if cfg = reload(cfg, loop, discovery); synchronizer != nil {
				synchronizer.rank.Store(int64(cfg.Settings.Rank))
			}
		case sig := <-signals:
			slog.Info("stopping", "signal", sig.String())
			leaveDone := make(chan struct{})
			go func() {
				if synchronizer != nil {
					if err := synchronizer.members.Leave(time.Second); err != nil { // peers mark this gateway as left without waiting to detect a failure
						slog.Warn("membership: goodbye not sent in time", "err", err)
					}
				}
				close(leaveDone)
			}()
			server.Shutdown()
			<-leaveDone
			loop.Audit.Log("stopped")
			return nil
		}
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
// with any error changes nothing, so that settings are never applied in part. reload returns the
// configuration that is now in force.
func reload(current *config.Config, loop *gateway.Loop, discovery *gateway.Discovery) *config.Config {
	cfg, err := config.Reload(os.Getenv, current)
	if err != nil {
		slog.Error("configuration not read anew, the old one stands", "err", err)
		return current
	}
	loop.UpdateRules(&cfg.Rules)
	discovery.SetAddrs(cfg.Discovery)
	slog.Info("configuration read anew", "discovery", cfg.Discovery, "classes", len(cfg.Classes))
	return cfg
}
