package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"bramblelock/internal/faultnet"
)

// catalogs runs the catalogs and the links through which gateways reach them.
type catalogs struct {
	s         *soak
	httpAddrs []string         // addresses of the catalogs, without links
	links     []*faultnet.Link // one to each catalog
	args      [][]string       // command line of each catalog
	writeMu   sync.Mutex       // held from a change until it is written, and while the catalogs restart empty; taken before mu
	mu        sync.Mutex
	procs     []*faultnet.Proc          // by catalog; nil: it is down
	listed    map[string]map[string]any // latest entry of each host, by name
}

// startCatalogs starts all catalogs. With an error it returns those that were started, for the caller to
// close.
func startCatalogs(s *soak) (*catalogs, error) {
	l := &catalogs{s: s, listed: map[string]map[string]any{}}
	var peers []string
	for i := range s.opt.Catalogs {
		addr := fmt.Sprintf("%s199.%d:8500", s.netPrefix, i+1)
		raft := fmt.Sprintf("%s199.%d:7500", s.netPrefix, i+1)
		link, err := faultnet.NewLink(addr)
		if err != nil {
			return l, err
		}
		id := fmt.Sprintf("c%d", i+1)
		l.httpAddrs = append(l.httpAddrs, addr)
		l.links = append(l.links, link)
		l.args = append(l.args, []string{"-id", id, "-data", filepath.Join(s.dir, id), "-raft", raft, "-http", addr,
			"-heartbeat", "200ms", "-stale-after", "1s"})
		peers = append(peers, id+"="+raft+"/"+addr)
	}
	l.procs = make([]*faultnet.Proc, len(l.args))
	for i := range l.args {
		if len(l.args) > 1 {
			l.args[i] = append(l.args[i], "-peers", strings.Join(peers, ","))
		}
		if err := l.startCatalog(i); err != nil {
			return l, err
		}
	}
	return l, nil
}

func (l *catalogs) startCatalog(i int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.procs[i] != nil {
		return nil
	}
	proc, _, err := l.s.starter.Start(l.s.dir, fmt.Sprintf("c%d", i+1), filepath.Join(l.s.opt.Bin, "catalog"), l.args[i])
	l.procs[i] = proc
	return err
}

func (l *catalogs) killCatalog(i int) {
	l.mu.Lock()
	proc := l.procs[i]
	l.procs[i] = nil
	l.mu.Unlock()
	if proc != nil {
		proc.Kill()
	}
}

// discoveryAddrs returns the discovery addresses for the configuration of a gateway. first selects the
// catalog that they begin with.
func (l *catalogs) discoveryAddrs(first int) string {
	var addrs []string
	for i := range l.links {
		addrs = append(addrs, l.links[(first+i)%len(l.links)].Addr)
	}
	return strings.Join(addrs, ",")
}

// put lists a host in a state, at whichever catalog accepts the entry, and returns once one has.
func (l *catalogs) put(h *host, state string) error {
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	entry := map[string]any{"addr": h.addr, "zone": "a", "state": state, "started_ms": 0}
	h.mu.Lock()
	if !h.started.IsZero() {
		entry["started_ms"] = h.started.UnixMilli()
	}
	h.mu.Unlock()
	l.mu.Lock()
	l.listed[h.name] = entry
	l.mu.Unlock()
	return l.writeEntry(h.name, entry)
}

// writeEntry sends an entry to one catalog after another until one accepts it. It gives up after 150 attempts,
// which are 100 ms apart.
func (l *catalogs) writeEntry(id string, entry map[string]any) error {
	text, err := json.Marshal(entry)
	if err != nil {
		return err
	}
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	var lastErr error
	for n := range 150 {
		r, err := http.NewRequestWithContext(l.s.ctx, http.MethodPut, "http://"+l.httpAddrs[n%len(l.httpAddrs)]+"/catalog/members/"+id, bytes.NewReader(text))
		if err != nil {
			return err
		}
		resp, err := client.Do(r)
		if err == nil {
			body, _ := io.ReadAll(io.LimitReader(resp.Body, 300))
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
			err = fmt.Errorf("%s: %s", resp.Status, body)
		}
		if lastErr = err; l.s.ctx.Err() != nil {
			return l.s.ctx.Err()
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("host %s could not be listed: %w", id, lastErr)
}

// restartEmpty kills all catalogs, starts them with empty data folders, so that their versions start
// again, and writes the list as it was.
func (l *catalogs) restartEmpty() {
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	for i := range l.procs {
		l.killCatalog(i)
		os.RemoveAll(filepath.Join(l.s.dir, fmt.Sprintf("c%d", i+1)))
	}
	for i := range l.procs {
		l.startCatalog(i)
	}
	l.mu.Lock()
	entries := map[string]map[string]any{}
	for id, entry := range l.listed {
		entries[id] = entry
	}
	l.mu.Unlock()
	for id, entry := range entries {
		l.writeEntry(id, entry)
	}
}

func (l *catalogs) close() {
	for i := range l.procs {
		l.killCatalog(i)
	}
	for _, link := range l.links {
		link.Close()
	}
}

// States of hosts in the catalog.
const (
	stateReady    = "ready"
	stateDraining = "draining"
)
