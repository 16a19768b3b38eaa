// Command catalog runs one instance of the discovery service. It keeps the host list, replicates it
// with raft and serves it over the discovery protocol. A single instance needs only -data and -http. In
// a cluster every instance gets the same -peers, and its own -id, -raft and -http as stated there.
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

	"bramblelock/internal/catalog"
	"bramblelock/internal/listener"
	"bramblelock/internal/logwriter"
)

func main() {
	log := logwriter.Install(slog.LevelInfo)
	err := run(os.Args[1:], log)
	if err != nil {
		fmt.Fprintln(log, "catalog:", err)
	}
	log.Flush(logFlushTimeout)
	if err != nil {
		os.Exit(2)
	}
}

// readTimeout limits the reading of a call to the HTTP server, including its body. It does not limit an open watch.
const readTimeout = 5 * time.Second

// logFlushTimeout limits the wait at the end of the process until the last log lines are written.
const logFlushTimeout = 100 * time.Millisecond

// run serves one instance with the given command line until SIGTERM, SIGINT or a failure. It returns
// nil only after a shutdown without errors.
func run(args []string, log io.Writer) error {
	flags := flag.NewFlagSet("catalog", flag.ContinueOnError)
	flags.SetOutput(log)
	options := catalog.Options{LogOutput: log}
	flags.StringVar(&options.ID, "id", "c1", "raft id of this instance")
	flags.StringVar(&options.DataDir, "data", "catalog-data", "data folder for the raft log, the stable store and snapshots")
	flags.StringVar(&options.RaftAddr, "raft", "127.0.0.1:7500", "raft address of this instance, also the one that peers dial")
	flags.StringVar(&options.HTTPAddr, "http", "127.0.0.1:8500", "listen address of the API for discovery and writes")
	peers := flags.String("peers", "", "all cluster members as id=raftaddr/httpaddr,...; empty for a single instance")
	dialOverrides := flags.String("via", "", "raftaddr=dialaddr,...: dial a peer at another address, such as that of a proxy")
	flags.DurationVar(&options.StaleAfter, "stale-after", 2*time.Second, "a follower without contact with a leader for this long answers 503")
	flags.DurationVar(&options.WatchWriteTimeout, "watch-write", 5*time.Second, "close a watch on which a single write takes longer")
	flags.IntVar(&options.MaxWatches, "max-watches", maxWatches(), "maximum number of open watches (default: the descriptor limit less 64)")
	options.CallLimits = catalog.DefaultCallLimits
	flags.IntVar(&options.CallLimits.Work, "calls-work", options.CallLimits.Work, "maximum number of list calls in flight")
	flags.IntVar(&options.CallLimits.Queue, "calls-queue", options.CallLimits.Queue, "maximum number of waiting list calls; further calls are answered 503")
	flags.DurationVar(&options.CallLimits.Wait, "calls-wait", options.CallLimits.Wait, "maximum time that a list call waits before it is answered 503")
	flags.DurationVar(&options.HeartbeatTimeout, "heartbeat", 500*time.Millisecond, "raft heartbeat and election timeout")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if flags.NArg() > 0 {
		return fmt.Errorf("unexpected argument %q", flags.Arg(0))
	}
	var err error
	if options.Peers, err = catalog.ParsePeers(*peers); err != nil {
		return err
	}
	for _, peer := range options.Peers {
		if peer.ID == options.ID && (peer.RaftAddr != options.RaftAddr || peer.HTTPAddr != options.HTTPAddr) {
			return fmt.Errorf("addresses of %s in -peers differ from -raft and -http", peer.ID)
		}
	}
	options.DialOverrides = map[string]string{}
	for _, override := range strings.Split(*dialOverrides, ",") {
		if override == "" {
			continue
		}
		raftAddr, dialAddr, ok := strings.Cut(override, "=")
		if !ok {
			return fmt.Errorf("-via %q: want raftaddr=dialaddr", override)
		}
		options.DialOverrides[raftAddr] = dialAddr
	}
	ln, err := net.Listen("tcp", options.HTTPAddr)
	if err != nil {
		return err
	}
	node, err := catalog.Open(options)
	if err != nil {
		ln.Close()
		return err
	}
	server := &http.Server{Handler: node.Handler(), ReadHeaderTimeout: readTimeout, ReadTimeout: readTimeout,
		IdleTimeout: time.Minute, MaxHeaderBytes: 16 << 10, ConnContext: catalog.ConnContext}
	serveDone := make(chan error, 1)
	go func() { serveDone <- server.Serve(listener.NewRetrying(ln, "callers")) }()
	slog.Info("catalog serving", "id", options.ID, "http", options.HTTPAddr, "raft", options.RaftAddr, "peers", max(1, len(options.Peers)))

	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case sig := <-signals:
		slog.Info("catalog stopping", "signal", sig.String())
	case err = <-serveDone:
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	server.Shutdown(ctx) // watches never finish by themselves: Close ends the remaining ones
	server.Close()
	if closeErr := node.Close(); err == nil || errors.Is(err, http.ErrServerClosed) {
		err = closeErr
	}
	return err
}

// maxWatches returns the default limit of open watches: the descriptor limit of the process less 64,
// which are reserved for raft, writes and the data folder, but at most 1<<20. It returns 64 if the
// descriptor limit is below 128 or unknown. A watch over the limit is answered 503; without the limit
// the listener would fail to accept.
func maxWatches() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < 128 {
		return 64
	}
	return int(min(limit.Cur-64, 1<<20))
}
