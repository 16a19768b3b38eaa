package fleetlab

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"lynxspool/internal/faultnet"
)

// soakList is the catalogs and the links that gateways reach them by.
type soakList struct {
	s     *soak
	http  []string
	links []*faultnet.Link
	args  [][]string
	order sync.Mutex // held from a change until it is written, and while the catalogs count anew
	mu    sync.Mutex
	procs []*faultnet.Proc
	known map[string]map[string]any // what is listed, by server
}

func startSoakList(s *soak) (*soakList, error) {
	l := &soakList{s: s, known: map[string]map[string]any{}}
	var peers []string
	for i := range s.opt.Catalogs {
		addr := fmt.Sprintf("%s199.%d:8500", s.net, i+1)
		raft := fmt.Sprintf("%s199.%d:7500", s.net, i+1)
		link, err := faultnet.NewLink(addr)
		if err != nil {
			return l, err
		}
		id := fmt.Sprintf("c%d", i+1)
		l.http, l.links = append(l.http, addr), append(l.links, link)
		l.args = append(l.args, []string{"-id", id, "-data", filepath.Join(s.dir, id), "-raft", raft, "-http", addr,
			"-heartbeat", "200ms", "-stale-after", "1s"})
		peers = append(peers, id+"="+raft+"/"+addr)
	}
	l.procs = make([]*faultnet.Proc, len(l.args))
	for i := range l.args {
		if len(l.args) > 1 {
			l.args[i] = append(l.args[i], "-peers", strings.Join(peers, ","))
		}
		if err := l.startOne(i); err != nil {
			return l, err
		}
	}
	return l, nil
}

func (l *soakList) startOne(i int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.procs[i] != nil {
		return nil
	}
	proc, _, err := l.s.start.start(l.s.dir, fmt.Sprintf("c%d", i+1), filepath.Join(l.s.opt.Bin, "catalog"), l.args[i])
	l.procs[i] = proc
	return err
}

func (l *soakList) killOne(i int) {
	l.mu.Lock()
	proc := l.procs[i]
	l.procs[i] = nil
	l.mu.Unlock()
	if proc != nil {
		proc.Kill()
	}
}

// addrs is GW_DISCOVERY, beginning with another instance for another first.
func (l *soakList) addrs(first int) string {
	var out []string
	for i := range l.links {
		out = append(out, l.links[(first+i)%len(l.links)].Addr)
	}
	return strings.Join(out, ",")
}

// put lists a server in a state, at whichever instance takes it.
func (l *soakList) put(v *soakServer, state string) error {
	l.order.Lock()
	defer l.order.Unlock()
	entry := map[string]any{"addr": v.addr, "zone": "a", "state": state, "started_ms": 0}
	v.mu.Lock()
	if !v.started.IsZero() {
		entry["started_ms"] = v.started.UnixMilli()
	}
	v.mu.Unlock()
	l.mu.Lock()
	l.known[v.name] = entry
	l.mu.Unlock()
	return l.write(v.name, entry)
}

func (l *soakList) write(id string, entry map[string]any) error {
	text, err := jsonText(entry)
	if err != nil {
		return err
	}
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	var last error
	for try := range 150 {
		r, err := http.NewRequestWithContext(l.s.ctx, http.MethodPut, "http://"+l.http[try%len(l.http)]+"/catalog/members/"+id, bytes.NewReader(text))
		if err != nil {
			return err
		}
		resp, err := client.Do(r)
		if err == nil {
			said, _ := io.ReadAll(io.LimitReader(resp.Body, 300))
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
			err = fmt.Errorf("%s: %s", resp.Status, said)
		}
		if last = err; l.s.ctx.Err() != nil {
			return l.s.ctx.Err()
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("server %s could not be listed: %w", id, last)
}

// countAnew ends all instances and starts them on empty folders, with the list as it was.
func (l *soakList) countAnew() {
	l.order.Lock()
	defer l.order.Unlock()
	for i := range l.procs {
		l.killOne(i)
		os.RemoveAll(filepath.Join(l.s.dir, fmt.Sprintf("c%d", i+1)))
	}
	for i := range l.procs {
		l.startOne(i)
	}
	l.mu.Lock()
	entries := map[string]map[string]any{}
	for id, e := range l.known {
		entries[id] = e
	}
	l.mu.Unlock()
	for id, e := range entries {
		l.write(id, e)
	}
}

func (l *soakList) close() {
	for i := range l.procs {
		l.killOne(i)
	}
	for _, link := range l.links {
		link.Close()
	}
}
