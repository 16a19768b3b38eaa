package fleetlab

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"bramblelock/internal/faultnet"
)

// realCatalog is a catalog process and the link through which gateways reach it.
type realCatalog struct {
	run          *realRun
	id           string
	args         []string
	httpAddr     string
	link         *faultnet.Link
	countedBytes int64 // bytes from the catalog that are in the recorder, under its lock
	mu           sync.Mutex
	proc         *faultnet.Proc // nil: it does not run
}

// start starts the process unless it runs or the run has ended.
func (c *realCatalog) start() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.proc != nil || c.run.ctx.Err() != nil {
		return nil
	}
	var err error
	c.proc, _, err = c.run.starter.Start(c.run.dir, c.id, filepath.Join(c.run.options.Bin, "catalog"), c.args)
	return err
}

// kill kills the process if it runs.
func (c *realCatalog) kill() {
	c.mu.Lock()
	proc := c.proc
	c.proc = nil
	c.mu.Unlock()
	if proc != nil {
		proc.Kill()
	}
}

// startCatalogs starts the catalogs and adds all hosts to the list. From then on it records each connection
// through a link, which only gateways open, as a call.
func (run *realRun) startCatalogs() error {
	n := run.scenario.Catalog.Instances
	var peers []string
	for i := range n {
		c := &realCatalog{run: run, id: fmt.Sprintf("c%d", i+1), httpAddr: fmt.Sprintf("%s199.%d:8500", run.netPrefix, i+1)}
		raft := fmt.Sprintf("%s199.%d:7500", run.netPrefix, i+1)
		var err error
		if c.link, err = faultnet.NewLink(c.httpAddr); err != nil {
			return err
		}
		c.args = []string{"-id", c.id, "-data", filepath.Join(run.dir, c.id), "-raft", raft, "-http", c.httpAddr, "-heartbeat", "200ms", "-stale-after", "1s"}
		peers = append(peers, c.id+"="+raft+"/"+c.httpAddr)
		run.catalogs = append(run.catalogs, c)
	}
	for _, c := range run.catalogs {
		if n > 1 {
			c.args = append(c.args, "-peers", strings.Join(peers, ","))
		}
		if err := c.start(); err != nil {
			return err
		}
	}
	for _, host := range run.hosts {
		if err := run.listHost(host); err != nil {
			return err
		}
	}
	for i, c := range run.catalogs {
		c.link.OnAccept(func() {
			run.record(func(r *Recorder, now Time) { r.RecordCall(i, now, 0, false) })
		})
	}
	return nil
}

// listEntry returns a host in the format of the list.
func (run *realRun) listEntry(host *loopbackHost) map[string]any {
	started := int64(0)
	host.mu.Lock()
	defer host.mu.Unlock()
	if host.model.Started >= 0 {
		started = run.startedAt.Add(host.model.Started).UnixMilli()
	}
	return map[string]any{"id": host.model.ID, "addr": host.addr, "zone": host.model.Spec.Zone, "kind": host.model.Spec.Kind,
		"state": "ready", "weight": 1, "started_ms": started}
}

// listHost writes a host to the list.
func (run *realRun) listHost(host *loopbackHost) error {
	entry := run.listEntry(host)
	id := entry["id"].(string)
	delete(entry, "id")
	return run.writeMember(http.MethodPut, id, entry)
}

// writeMember sends a change of a host to the catalogs in turn until one accepts it. A nil body sends none.
// It gives up after 150 attempts, which are 100 ms apart.
func (run *realRun) writeMember(method, id string, body any) error {
	var lastErr error
	for attempt := range 150 {
		c := run.catalogs[attempt%len(run.catalogs)]
		var requestBody io.Reader
		if body != nil {
			b, err := json.Marshal(body)
			if err != nil {
				return err
			}
			requestBody = bytes.NewReader(b)
		}
		req, err := http.NewRequestWithContext(run.ctx, method, "http://"+c.httpAddr+"/catalog/members/"+id, requestBody)
		if err != nil {
			return err
		}
		resp, err := run.httpClient.Do(req)
		if err == nil {
			answer, _ := io.ReadAll(io.LimitReader(resp.Body, 300))
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
			err = fmt.Errorf("%s: %s", resp.Status, answer)
		}
		lastErr = err
		select {
		case <-run.ctx.Done():
			return run.ctx.Err()
		case <-time.After(100 * time.Millisecond):
		}
	}
	return fmt.Errorf("host %s could not be listed: %w", id, lastErr)
}

// busyAddr returns the address of an HTTP server that answers 503 to everything, or "" if it cannot listen.
// The first call starts the server.
func (run *realRun) busyAddr() string {
	run.busyMu.Lock()
	defer run.busyMu.Unlock()
	if run.busyListener == nil {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return ""
		}
		run.busyListener = ln
		go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Connection", "close")
			http.Error(w, "busy", http.StatusServiceUnavailable)
		}))
	}
	return run.busyListener.Addr().String()
}

// leader returns the catalog that reports to be the leader, or the first if none does.
func (run *realRun) leader() *realCatalog {
	for _, c := range run.catalogs {
		if resp, err := run.httpClient.Get("http://" + c.httpAddr + "/catalog/status"); err == nil {
			b, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			if bytes.Contains(b, []byte(`"Leader"`)) {
				return c
			}
		}
	}
	return run.catalogs[0]
}
