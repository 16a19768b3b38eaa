// Command dunemoor is one gateway: it takes clients' requests and passes them on to
// hosts as the decision module says. It is configured by the GW_ variables.
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

	"lynxspool"
	"lynxspool/internal/gateway"
	"lynxspool/internal/logwriter"
	"lynxspool/internal/membership"
)

// listTime is how long a process that shares its listener waits for a list from discovery
// before it takes anything from clients; it is due to be ready 6 s after its start.
const listTime = 4 * time.Second

// overlapTime is how long another process may serve beside one that has just started: the
// time it is given to get ready, and the other to end.
const overlapTime = 10 * time.Second

// flushTime is what the last log lines have to get out, which is less than the process has left
// between its last answers and a SIGKILL.
const flushTime = 30 * time.Millisecond

// memoryShare is the part of the memory limit at which the collector works harder;
// the rest is for stacks, the binary and what the kernel holds for us.
const memoryShare = 0.7

func main() {
	log := logwriter.Install(level(os.Getenv("GW_LOG")))
	cfg, err := gateway.Load(os.Getenv)
	if err == nil {
		err = run(cfg)
	}
	if err != nil {
		fmt.Fprintf(log, "dunemoor: %v\n", err)
	}
	log.Flush(flushTime)
	if err != nil {
		os.Exit(1)
	}
}

// level is how much is logged: "debug" adds two lines for each attempt.
func level(name string) slog.Level {
	if name == "debug" {
		return slog.LevelDebug
	}
	return slog.LevelInfo
}

// run serves until SIGTERM or SIGINT, and then ends in order. SIGHUP makes it read the
// configuration file anew.
func run(cfg *gateway.Config) error {
	if cfg.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(cfg.Cores)))
	}
	if cfg.MemoryMB > 0 {
		limit := memoryShare * float64(cfg.MemoryMB) * (1 << 20)
		if cfg.AcceptFD != 0 {
			limit /= 2 // two processes share it during an upgrade
		}
		debug.SetMemoryLimit(int64(limit))
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	reloads := make(chan os.Signal, 1) // its own, so that neither kind crowds out the other
	signal.Notify(reloads, syscall.SIGHUP)

	pool := gateway.NewPool(cfg)
	injectInto := injectFaults(pool)
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
	ln = injectInto(ln)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go pool.Run(ctx)
	go loop.Run(ctx)
	server := gateway.NewServer(cfg, loop)
	broken := make(chan error, 2)
	serveOperators := func(*bank) {}
	if cfg.Operator != "" {
		bans, err := gateway.NewMaintenanceStore(os.Getenv("TMPDIR"))
		if err != nil {
			return err
		}
		// Ahead of the hosts: nothing is sent to one that is out.
		if err := bans.Refresh(loop); err != nil {
			return err
		}
		operators, err := net.Listen("tcp", cfg.Operator)
		if err != nil {
			return fmt.Errorf("operator: %w", err)
		}
		shared := cfg.AcceptFD != 0
		if shared {
			go bans.Watch(loop, ctx.Done())
		}
		operator := gateway.NewOperator(loop, server, bans, shared)
		serveOperators = func(others *bank) {
			if others != nil {
				operator.Members = others.view
			}
			go func() { broken <- operator.Serve(operators) }()
		}
	}
	if cfg.AcceptFD != 0 {
		pool.SetOverlap(true)
		time.AfterFunc(overlapTime, func() {
			if server.Healthy() == nil { // else it stops, and another is beside it again
				pool.SetOverlap(false)
			}
		})
	}
	loop.HandleList(lynxspool.ListSaved, cfg.Known)
	roster := gateway.NewRoster(cfg.Known, loop)
	var others *bank
	if m := cfg.Membership; m.Bind != "" {
		// After what was known: a peer's list that comes with the join goes before that.
		members, err := membership.Start(membership.Options{Name: cfg.Name, Bind: m.Bind, Peers: m.Peers, Local: m.Local, Lists: roster})
		if err != nil {
			return err
		}
		others = &bank{members: members, loop: loop, roster: roster}
		others.rank.Store(int64(cfg.Settings.Rank))
		go others.run(ctx)
	}
	serveOperators(others)
	go discovery.Run(ctx, roster)
	go func() {
		if cfg.AcceptFD != 0 {
			select {
			case <-loop.Listed():
			case <-time.After(listTime):
			}
		}
		slog.Info("serving", "name", cfg.Name, "listen", cfg.Listen)
		broken <- server.Serve(ln)
	}()
	for {
		select {
		case err := <-broken:
			return fmt.Errorf("listen: %w", err)
		case <-reloads:
			if cfg = reload(cfg, loop, discovery); others != nil {
				others.rank.Store(int64(cfg.Settings.Rank))
			}
		case s := <-signals:
			slog.Info("stopping", "signal", s.String())
			left := make(chan struct{})
			go func() {
				if others != nil {
					if err := others.members.Leave(time.Second); err != nil { // peers mark it left at once
						slog.Warn("membership: goodbye not sent in time", "err", err)
					}
				}
				close(left)
			}()
			server.Shutdown()
			<-left
			loop.Audit.Log("stopped")
			return nil
		}
	}
}

// listen returns the clients' listener: the one that the platform holds, if it says so.
func listen(cfg *gateway.Config) (net.Listener, error) {
	if cfg.AcceptFD == 0 {
		return net.Listen("tcp", cfg.Listen)
	}
	f := os.NewFile(uintptr(cfg.AcceptFD), "GW_ACCEPT_FD")
	defer f.Close() // the listener has a descriptor of its own
	return net.FileListener(f)
}

// reload puts the settings of the configuration file into force and follows discovery to
// where it now says that is. A file with any fault changes nothing: better all of the old
// than a part of the new.
func reload(inForce *gateway.Config, loop *gateway.Loop, discovery *gateway.Discovery) *gateway.Config {
	cfg, err := gateway.Reload(os.Getenv, inForce)
	if err != nil {
		slog.Error("configuration not read anew, the old one stands", "err", err)
		return inForce
	}
	loop.UpdateRules(&cfg.Rules)
	discovery.SetAddrs(cfg.Discovery)
	slog.Info("configuration read anew", "discovery", cfg.Discovery, "classes", len(cfg.Classes))
	return cfg
}
