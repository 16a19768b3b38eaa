package rig

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Entry is one host in the list of discovery.
type Entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

// List is a message of discovery.
type List struct {
	Version int     `json:"version"`
	Full    bool    `json:"full"`
	Servers []Entry `json:"servers"`
}

// Discovery is a stand-in for the discovery service: the whole list, and watches that tell changes. It
// always answers at once.
type Discovery struct {
	Addr    string // where it is now
	server  *http.Server
	rec     *Record
	mu      sync.Mutex
	entries []Entry
	changed []int // version at which each entry changed last
	version int
	wake    chan struct{}
}

// StartDiscovery serves a list of hosts at a free port.
func StartDiscovery(rec *Record, entries []Entry) (*Discovery, error) {
	d := &Discovery{rec: rec, entries: entries, changed: make([]int, len(entries)), version: 1, wake: make(chan struct{})}
	for i := range d.changed {
		d.changed[i] = 1
	}
	return d, d.listen()
}

// listen serves at a free port.
func (d *Discovery) listen() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d.Addr, d.server = ln.Addr().String(), &http.Server{Handler: http.HandlerFunc(d.serve)}
	go d.server.Serve(ln)
	return nil
}

// Move moves discovery to another address, as a new configuration does. The old address takes no new
// connections, and its open ones close after 1.5 s.
func (d *Discovery) Move() error {
	old := d.server
	if err := d.listen(); err != nil {
		return err
	}
	d.rec.Add("platform: discovery moves to %s", d.Addr)
	go old.Shutdown(context.Background()) // closes the listener, and waits for the watches
	time.AfterFunc(1500*time.Millisecond, func() { old.Close() })
	return nil
}

// Whole returns the whole list.
func (d *Discovery) Whole() List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return List{d.version, true, append([]Entry(nil), d.entries...)}
}

// SetState changes the state of a host.
func (d *Discovery) SetState(id, state string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.entries {
		if d.entries[i].ID == id {
			d.version++
			d.entries[i].State, d.changed[i] = state, d.version
		}
	}
	close(d.wake)
	d.wake = make(chan struct{})
}

func (d *Discovery) since(index int) (List, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := List{Version: d.version, Full: index <= 0 || index > d.version, Servers: []Entry{}}
	for i, e := range d.entries {
		if l.Full || d.changed[i] > index {
			l.Servers = append(l.Servers, e)
		}
	}
	return l, d.wake
}

func (d *Discovery) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/catalog/members" {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	out := json.NewEncoder(w)
	if r.URL.Query().Get("stream") != "1" {
		out.Encode(d.Whole())
		return
	}
	index, _ := strconv.Atoi(r.URL.Query().Get("index"))
	list, wake := d.since(index)
	out.Encode(list)
	w.(http.Flusher).Flush()
	for {
		select {
		case <-r.Context().Done():
			return
		case <-wake:
			list, wake = d.since(list.Version)
			out.Encode(list)
		case <-time.After(2 * time.Second):
			if _, err := w.Write([]byte("\n")); err != nil {
				return
			}
		}
		w.(http.Flusher).Flush()
	}
}
