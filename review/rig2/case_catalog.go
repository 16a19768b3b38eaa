package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["catalog"] = catalogCase }

// catalog is one instance of the project's discovery service.
type catalog struct {
	t              *trial
	id, raft, http string
	peers          string
	cmd            *exec.Cmd
}

// start starts the instance by the command of docs/catalog.md.
func (c *catalog) start() error {
	log, err := os.OpenFile(filepath.Join(c.t.dir, c.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	c.cmd = exec.Command(filepath.Join(c.t.root, "bin", "catalog"), "-id", c.id, "-raft", c.raft, "-http", c.http,
		"-data", filepath.Join(c.t.dir, c.id), "-peers", c.peers)
	c.cmd.Stdout, c.cmd.Stderr = log, log
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	c.t.rec.add("catalog %s starts at %s", c.id, c.http)
	return c.cmd.Start()
}

// kill ends the instance with SIGKILL.
func (c *catalog) kill() {
	if c.cmd != nil && c.cmd.Process != nil {
		c.cmd.Process.Kill()
		c.cmd.Wait()
		c.cmd = nil
		c.t.rec.add("catalog %s is killed", c.id)
	}
}

var caller = http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// get fetches the whole list. Any status but 200 is a failed call.
func (c *catalog) get() (l list, ok bool) {
	resp, err := caller.Get("http://" + c.http + "/catalog/members")
	if err != nil {
		return list{}, false
	}
	defer resp.Body.Close()
	if resp.StatusCode != 200 || json.NewDecoder(resp.Body).Decode(&l) != nil {
		return list{}, false
	}
	return l, true
}

// put registers a host and returns whether that was acknowledged.
func (c *catalog) put(e entry) bool {
	body := fmt.Sprintf(`{"addr":%q,"zone":%q,"kind":%q}`, e.Addr, e.Zone, e.Kind)
	req, err := http.NewRequest("PUT", "http://"+c.http+"/catalog/members/"+e.ID, strings.NewReader(body))
	if err != nil {
		return false
	}
	resp, err := caller.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	c.t.rec.add("catalog %s answers %d to %s of %s", c.id, resp.StatusCode, body, e.ID)
	return resp.StatusCode == 200
}

// startCatalogs starts three instances and waits until they serve.
func (t *trial) startCatalogs() (all []*catalog, err error) {
	var peers []string
	for i := range 3 {
		c := &catalog{t: t, id: fmt.Sprintf("c%d", i+1), raft: freeAddr(), http: freeAddr()}
		all = append(all, c)
		peers = append(peers, fmt.Sprintf("%s=%s/%s", c.id, c.raft, c.http))
		t.cleanups = append(t.cleanups, c.kill)
	}
	for _, c := range all {
		c.peers = strings.Join(peers, ",")
		if err := c.start(); err != nil {
			return nil, err
		}
	}
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		serving := 0
		for _, c := range all {
			if _, ok := c.get(); ok {
				serving++
			}
		}
		if serving == len(all) {
			time.Sleep(time.Second)
			return all, nil
		}
		if time.Now().After(end) {
			return nil, fmt.Errorf("the catalog does not serve")
		}
	}
}

// register registers or changes a host at one of the instances, until that is acknowledged.
func register(e entry, at []*catalog) error {
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, c := range at {
			if c.put(e) {
				return nil
			}
		}
	}
	return fmt.Errorf("the change of %s was not acknowledged", e.ID)
}

// catalogCase: one of three instances of discovery is down for 8 s, in which all hosts are registered. What
// it gives as the whole list afterwards must name the hosts whose registration was acknowledged over 6 s ago.
func catalogCase(t *trial) ([]string, error) {
	const down, told = 8 * time.Second, 6 * time.Second
	all, err := t.startCatalogs()
	if err != nil {
		return nil, err
	}
	c3 := all[2]
	downAt := time.Now()
	if t.trouble {
		c3.kill()
	}
	known := list{Version: 41, Full: true}
	for i := range 3 {
		h, err := startHost(t.rec, fmt.Sprintf("s-%d", i+1), func(h *host, c *call) bool {
			time.Sleep(time.Duration(30+rand.IntN(60)) * time.Millisecond)
			return c.write("200 OK", "", "done "+c.id)
		})
		if err != nil {
			return nil, err
		}
		e := entry{ID: h.id, Addr: h.addr, Zone: "a", Kind: "std-1", State: "ready", Weight: 1}
		known.Servers = append(known.Servers, e)
		if err := register(e, all[:2]); err != nil {
			return nil, err
		}
	}
	acked := time.Now()
	g, err := t.gateway("n1", c3.http, limits{memoryMB: 128, sockets: 1024}, known, settings(1, 0, siteClasses()))
	if err != nil {
		return nil, err
	}
	var refusedWhileDown, refusedAfter, served atomic.Int64
	done := make(chan struct{})
	var up atomic.Bool
	cl := &clients{rec: t.rec, g: g}
	go func() {
		defer close(done)
		traffic(40, down+15*time.Second, func() {
			back := up.Load()
			switch res := cl.do("search", "idempotent", 1200*time.Millisecond, ""); {
			case res.status == 200:
				served.Add(1)
			case back:
				refusedAfter.Add(1)
			default:
				refusedWhileDown.Add(1)
			}
		})
	}()
	time.Sleep(time.Until(downAt.Add(down)))
	if t.trouble {
		if err := c3.start(); err != nil {
			return nil, err
		}
	}
	up.Store(true)
	var broken []string
	for end := time.Now().Add(14 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		asked := time.Now()
		l, ok := c3.get()
		if !ok {
			t.rec.add("catalog c3 refuses the call or is not reached")
			continue
		}
		t.rec.add("catalog c3 gives version %d, full %v, %d hosts", l.Version, l.Full, len(l.Servers))
		if since := asked.Sub(acked); since > told && len(l.Servers) < len(known.Servers) {
			broken = append(broken, fmt.Sprintf("catalog c3 gave a whole list of %d hosts, version %d, %.1f s after the registration of %d was acknowledged",
				len(l.Servers), l.Version, since.Seconds(), len(known.Servers)))
		}
	}
	<-done
	t.rec.say("%d requests served; gateway n1 refused or failed %d while c3 was down, %d after its return", served.Load(), refusedWhileDown.Load(), refusedAfter.Load())
	return broken, nil
}
