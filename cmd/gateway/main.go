// Command gateway runs one gateway process. It accepts client requests and forwards them to hosts
// as the decision module directs. It is configured by environment variables with the prefix GW_.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"bramblelock/internal/gateway/config"
	"bramblelock/internal/logwriter"
)

// logFlushTimeout limits the writing of the last log lines. It is shorter than the time between the
// last answers of a stopping process and the SIGKILL that may follow.
const logFlushTimeout = 30 * time.Millisecond

// memoryLimitFraction is the fraction of the configured memory that is set as the soft limit of the
// Go runtime. The rest is for stacks, the binary and memory that the kernel holds for the process.
const memoryLimitFraction = 0.75

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
	setRuntimeLimits(cfg)
	signals := notifyOf(syscall.SIGTERM, os.Interrupt)
	reloads := notifyOf(syscall.SIGHUP) // separate, so that a pending signal of one kind does not drop one of the other
	p, err := newProcess(cfg)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := p.start(ctx); err != nil {
		return err
	}
	for {
		select {
		case err := <-p.serveErrors:
			return fmt.Errorf("serve: %w", err)
		case <-reloads:
			p.reload()
		case sig := <-signals:
			slog.Info("stopping", "signal", sig.String())
			p.shutdown()
			return nil
		}
	}
}

// setRuntimeLimits sets the Go runtime's number of cores and its memory limit.
func setRuntimeLimits(cfg *config.Config) {
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
}

// notifyOf returns a channel that receives the given signals.
func notifyOf(signals ...os.Signal) <-chan os.Signal {
	received := make(chan os.Signal, 1)
	signal.Notify(received, signals...)
	return received
}
