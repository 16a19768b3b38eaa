package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// entry is one host of the list, in the form of PROTOCOL.
type entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

type list struct {
	Version uint64  `json:"version"`
	Full    bool    `json:"full"`
	Servers []entry `json:"servers"`
}

// discovery is a stand-in for the discovery service: the whole list, and watches of its changes.
type discovery struct {
	rec   *record
	addrs []string // each gateway has an address of its own

	mu      sync.Mutex
	version uint64
	hosts   map[string]entry
	order   []string
	changes []list
	changed chan struct{} // closed at each change
	ended   chan struct{} // closed when all open watches are to be reset
	refuse  string        // address at which each call is answered with 503; empty: none
}

func startDiscovery(rec *record, gateways int) (*discovery, error) {
	d := &discovery{rec: rec, version: 40, hosts: map[string]entry{}, changed: make(chan struct{}), ended: make(chan struct{})}
	for range gateways {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		addr := ln.Addr().String()
		d.addrs = append(d.addrs, addr)
		go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.serve(addr, w, r) }))
	}
	return d, nil
}

// set adds or changes an entry; a state of "gone" removes it.
func (d *discovery) set(e entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	if _, ok := d.hosts[e.ID]; !ok {
		d.order = append(d.order, e.ID)
	}
	d.hosts[e.ID] = e
	if e.State == "gone" {
		delete(d.hosts, e.ID)
	}
	d.changes = append(d.changes, list{d.version, false, []entry{e}})
	close(d.changed)
	d.changed = make(chan struct{})
	d.rec.add("discovery has version %d: %s %s %s", d.version, e.ID, e.Addr, e.State)
}

// setState changes the state of an entry.
func (d *discovery) setState(id, state string) {
	d.mu.Lock()
	e := d.hosts[id]
	d.mu.Unlock()
	e.State = state
	d.set(e)
}

func (d *discovery) full() list {
	l := list{Version: d.version, Full: true, Servers: []entry{}}
	seen := map[string]bool{}
	for _, id := range d.order {
		if e, ok := d.hosts[id]; ok && !seen[id] {
			seen[id] = true
			l.Servers = append(l.Servers, e)
		}
	}
	return l
}

// known is the list in the form of the key "known" of the configuration.
func (d *discovery) known() list {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.full()
}

// setRefuse makes discovery answer every call at one address with 503, or serve all if it is empty.
func (d *discovery) setRefuse(addr string) {
	d.mu.Lock()
	d.refuse = addr
	d.mu.Unlock()
	d.rec.add("discovery refuses calls at %q", addr)
}

// resetWatches resets all open watches.
func (d *discovery) resetWatches() {
	d.mu.Lock()
	close(d.ended)
	d.ended = make(chan struct{})
	d.mu.Unlock()
	d.rec.add("discovery resets all open watches")
}

func (d *discovery) serve(addr string, w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	refuse, ended := d.refuse == addr, d.ended
	d.mu.Unlock()
	if refuse {
		d.rec.add("discovery answers 503 at %s to %s", addr, r.URL.RawQuery)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.URL.Path != "/catalog/members" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	encode := json.NewEncoder(w)
	if r.FormValue("stream") != "1" {
		encode.Encode(d.known())
		return
	}
	flush := w.(http.Flusher).Flush
	after, _ := strconv.ParseUint(r.FormValue("index"), 10, 64)
	first := true
	for {
		d.mu.Lock()
		changed, version := d.changed, d.version
		var out []list
		if first && (after == 0 || after < 41 || after > version) {
			out = []list{d.full()}
		} else {
			for _, c := range d.changes {
				if c.Version > after {
					out = append(out, c)
				}
			}
		}
		d.mu.Unlock()
		first, after = false, version
		for _, l := range out {
			encode.Encode(l)
			d.rec.add("discovery writes version %d, full %v, to a watch at %s", l.Version, l.Full, addr)
		}
		flush()
		for idle := true; idle; {
			select {
			case <-changed:
				idle = false
			case <-time.After(2 * time.Second):
				fmt.Fprintln(w)
				flush()
			case <-r.Context().Done():
				return
			case <-ended:
				if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
					c.(*net.TCPConn).SetLinger(0)
					c.Close()
				}
				return
			}
		}
	}
}
