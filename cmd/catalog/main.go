// Command catalog is the project's discovery service: the host list, replicated on
// raft, served in the discovery protocol's form. One instance alone needs only -data
// and -http; a cluster gives every instance the same -peers and its own -id.
//
//	catalog -data /var/lib/catalog -http 127.0.0.1:8500
//	catalog -id c2 -data d2 -raft 127.0.0.1:7502 -http 127.0.0.1:8502 \
//	    -peers c1=127.0.0.1:7501/127.0.0.1:8501,c2=127.0.0.1:7502/127.0.0.1:8502,c3=...
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"lynxspool/internal/catalog"
	"lynxspool/internal/listener"
	"lynxspool/internal/logwriter"
)

func main() {
	log := logwriter.Install(slog.LevelInfo)
	err := run(os.Args[1:], log)
	if err != nil {
		fmt.Fprintln(log, "catalog:", err)
	}
	log.Flush(flushTime)
	if err != nil {
		os.Exit(2)
	}
}

// readTime is what a caller has for a call, its body included; a watch is no call any more.
const readTime = 5 * time.Second

// flushTime is what the last log lines have to get out.
const flushTime = 100 * time.Millisecond

func run(args []string, log io.Writer) error {
	fs := flag.NewFlagSet("catalog", flag.ContinueOnError)
	fs.SetOutput(log)
	opt := catalog.Options{LogOutput: log}
	fs.StringVar(&opt.ID, "id", "c1", "raft id of this instance")
	fs.StringVar(&opt.DataDir, "data", "catalog-data", "data folder: raft log, stable store and snapshots")
	fs.StringVar(&opt.RaftAddr, "raft", "127.0.0.1:7500", "address raft listens on and peers know it by")
	fs.StringVar(&opt.HTTPAddr, "http", "127.0.0.1:8500", "address of the discovery and write API")
	peers := fs.String("peers", "", "the whole cluster as id=raftaddr/httpaddr,...; empty for one instance")
	via := fs.String("via", "", "raftaddr=dialaddr,...: dial a peer at another address (a proxy)")
	fs.DurationVar(&opt.StaleAfter, "stale-after", 2*time.Second, "a follower without a leader this long answers 503")
	fs.DurationVar(&opt.WatchWriteTimeout, "watch-write", 5*time.Second, "a watcher that takes longer for one write is ended")
	fs.IntVar(&opt.MaxWatches, "max-watches", maxWatches(), "open watches at most (default: the descriptor limit less 64)")
	opt.CallLimits = catalog.DefaultCallLimits
	fs.IntVar(&opt.CallLimits.Work, "calls-work", opt.CallLimits.Work, "calls for lists in work at most")
	fs.IntVar(&opt.CallLimits.Queue, "calls-queue", opt.CallLimits.Queue, "calls for lists that wait at most; more are answered 503")
	fs.DurationVar(&opt.CallLimits.Wait, "calls-wait", opt.CallLimits.Wait, "a call for a list that waited this long is answered 503")
	fs.DurationVar(&opt.HeartbeatTimeout, "heartbeat", 500*time.Millisecond, "raft heartbeat and election timeout")
	if err := fs.Parse(args); err != nil {
		return err
	}
	if fs.NArg() > 0 {
		return fmt.Errorf("unexpected argument %q", fs.Arg(0))
	}
	var err error
	if opt.Peers, err = catalog.ParsePeers(*peers); err != nil {
		return err
	}
	for _, p := range opt.Peers {
		if p.ID == opt.ID && (p.RaftAddr != opt.RaftAddr || p.HTTPAddr != opt.HTTPAddr) {
			return fmt.Errorf("-peers gives %s other addresses than -raft and -http", p.ID)
		}
	}
	opt.DialOverrides = map[string]string{}
	for _, f := range strings.Split(*via, ",") {
		if f == "" {
			continue
		}
		k, v, ok := strings.Cut(f, "=")
		if !ok {
			return fmt.Errorf("-via %q: want raftaddr=dialaddr", f)
		}
		opt.DialOverrides[k] = v
	}
	ln, err := net.Listen("tcp", opt.HTTPAddr)
	if err != nil {
		return err
	}
	node, err := catalog.Open(opt)
	if err != nil {
		ln.Close()
		return err
	}
	srv := &http.Server{Handler: node.Handler(), ReadHeaderTimeout: readTime, ReadTimeout: readTime,
		IdleTimeout: time.Minute, MaxHeaderBytes: 16 << 10, ConnContext: catalog.ConnContext}
	done := make(chan error, 1)
	go func() { done <- srv.Serve(listener.NewRetrying(ln, "callers")) }()
	slog.Info("catalog serving", "id", opt.ID, "http", opt.HTTPAddr, "raft", opt.RaftAddr, "peers", max(1, len(opt.Peers)))

	sig := make(chan os.Signal, 1)
	signal.Notify(sig, syscall.SIGTERM, syscall.SIGINT)
	select {
	case s := <-sig:
		slog.Info("catalog ending", "signal", s.String())
	case err = <-done:
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	srv.Shutdown(ctx) // watches do not end by themselves: what is left is closed
	srv.Close()
	if cerr := node.Close(); err == nil || errors.Is(err, http.ErrServerClosed) {
		err = cerr
	}
	return err
}

// maxWatches leaves 64 of the process's descriptors for raft, writes and the data
// folder: a watch more is answered 503 rather than the listener failing to accept.
func maxWatches() int {
	var lim syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &lim); err != nil || lim.Cur < 128 {
		return 64
	}
	return int(min(lim.Cur-64, 1<<20))
}
