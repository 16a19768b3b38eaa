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
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
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

// Limits of the HTTP server.
const (
	readTimeout     = 5 * time.Second // of a call, including its body; it does not limit an open watch
	idleTimeout     = time.Minute     // until a connection without a call is closed
	maxHeaderBytes  = 16 << 10
	shutdownTimeout = time.Second // for the calls that are open at the end of the process
)

// logFlushTimeout limits the wait at the end of the process until the last log lines are written.
const logFlushTimeout = 100 * time.Millisecond

// run serves one instance with the given command line until SIGTERM, SIGINT or a failure. It returns
// nil only after a shutdown without errors.
func run(args []string, log io.Writer) error {
	options, err := parseOptions(args, log)
	if err != nil {
		return err
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
	server := newServer(node)
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
	stopServer(server)
	if closeErr := node.Close(); err == nil || errors.Is(err, http.ErrServerClosed) {
		err = closeErr
	}
	return err
}

// newServer returns the HTTP server for the calls to an instance.
func newServer(node *catalog.Node) *http.Server {
	return &http.Server{
		Handler:           node.Handler(),
		ReadHeaderTimeout: readTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       catalog.ConnContext,
	}
}

// stopServer lets the open calls finish for up to shutdownTimeout and then ends those that remain.
// Watches never finish by themselves.
func stopServer(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	server.Shutdown(ctx)
	server.Close()
}
