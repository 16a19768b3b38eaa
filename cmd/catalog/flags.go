package main

import (
	"flag"
	"fmt"
	"io"
	"strings"
	"syscall"
	"time"

	"bramblelock/internal/catalog"
)

// parseOptions parses the command line. It writes the usage text to log.
func parseOptions(args []string, log io.Writer) (catalog.Options, error) {
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
		return catalog.Options{}, err
	}
	if flags.NArg() > 0 {
		return catalog.Options{}, fmt.Errorf("unexpected argument %q", flags.Arg(0))
	}
	var err error
	if options.Peers, err = catalog.ParsePeers(*peers); err != nil {
		return catalog.Options{}, err
	}
	for _, peer := range options.Peers {
		if peer.ID == options.ID && (peer.RaftAddr != options.RaftAddr || peer.HTTPAddr != options.HTTPAddr) {
			return catalog.Options{}, fmt.Errorf("addresses of %s in -peers differ from -raft and -http", peer.ID)
		}
	}
	if options.DialOverrides, err = parseDialOverrides(*dialOverrides); err != nil {
		return catalog.Options{}, err
	}
	return options, nil
}

// parseDialOverrides parses the value of the -via flag, a comma-separated list of raftaddr=dialaddr.
// Empty elements are skipped.
func parseDialOverrides(text string) (map[string]string, error) {
	overrides := map[string]string{}
	for _, override := range strings.Split(text, ",") {
		if override == "" {
			continue
		}
		raftAddr, dialAddr, ok := strings.Cut(override, "=")
		if !ok {
			return nil, fmt.Errorf("-via %q: want raftaddr=dialaddr", override)
		}
		overrides[raftAddr] = dialAddr
	}
	return overrides, nil
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
