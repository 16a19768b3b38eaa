// Command case2: new configurations drop and add classes while requests are out whose connections are
// then reset.
package main

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"review/rig"
)

const (
	gateways  = 3
	hosts     = 9
	work      = 33 * time.Millisecond // of a request, on the one core of a host: 30 requests a second
	wait      = 45 * time.Millisecond // of a request, on others
	rate      = 340.0                 // requests a second of all clients: 1.25 times what the hosts can do
	places    = 200                   // requests that a host holds; it turns others away
	resets    = 0.03                  // share of requests whose connection a host resets after it has begun them
	length    = 90 * time.Second
	interval  = 2500 * time.Millisecond // between two configurations
	classStop = 1200 * time.Millisecond // clients stop using a class so long before it is dropped and begin so long after it is added
)

func main() { rig.Run(run) }

// usage says whether clients use the classes that are dropped and added.
type usage struct {
	mu     sync.Mutex
	writes bool
}

func (u *usage) set(writes bool) { u.mu.Lock(); u.writes = writes; u.mu.Unlock() }

func (u *usage) get() bool { u.mu.Lock(); defer u.mu.Unlock(); return u.writes }

func run(c *rig.Case) (int, error) {
	serve := func(h *rig.Host, conn net.Conn, r *http.Request, body []byte) bool {
		if !h.Enter(places) {
			return rig.TurnAway(conn)
		}
		defer h.Leave()
		h.Work(work, wait)
		id := r.Header.Get("X-Request-ID")
		if c.Trouble && rand.Float64() < resets {
			c.Rec.Add("host %s resets the connection of %s", h.ID, id)
			conn.(*net.TCPConn).SetLinger(0)
			return false
		}
		return rig.Answer(conn, "done "+id)
	}
	_, discovery, err := c.StartHosts(hosts, serve)
	if err != nil {
		return 0, err
	}
	all := []string{"search", "save-address", "issue-code"}
	if err := c.StartGateways(gateways, discovery, func() map[string]any { return rig.Settings(gateways, all...) }); err != nil {
		return 0, err
	}
	use := &usage{writes: true}
	if c.Trouble {
		go reconfigure(c, discovery, use, all)
	}
	clients := rig.NewClients(c.Rec)
	var requests sync.WaitGroup
	var mu sync.Mutex
	answered, ended := 0, 0
	end := time.Now().Add(length)
	for next := time.Now(); next.Before(end) && crashes(c) == 0; next = next.Add(time.Duration(rand.ExpFloat64() / rate * float64(time.Second))) {
		time.Sleep(time.Until(next))
		g := c.Gateways[rand.IntN(gateways)]
		q := rig.DrawRequest()
		if !use.get() {
			q.Search()
		}
		requests.Add(1)
		go func() {
			defer requests.Done()
			res := clients.Do(g.Addr, q)
			c.Rec.Add("client: %s has status %d after %v, error %v", q.ID, res.Status, res.Took.Round(time.Millisecond), res.Err)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case res.Status != 0:
				answered++
			case !res.Unaccepted:
				ended++
			}
		}()
	}
	requests.Wait()
	for _, g := range c.Gateways {
		if g.Crashed() {
			text, _ := os.ReadFile(g.LogFile())
			from := max(strings.Index(string(text), "panic"), 0)
			c.Rec.Say("%s ended by itself:\n%s", g.Name, text[from:min(len(text), from+1500)])
		}
	}
	n := crashes(c)
	c.Rec.Say("%d requests answered, %d on new connections without an answer; %d gateways crashed", answered, ended, n)
	switch {
	case answered == 0:
		return 0, errors.New("nothing was answered")
	case n > 0:
		return rig.RuleBroken, nil
	}
	return rig.RuleHeld, nil
}

// crashes returns how many gateways have ended by themselves.
func crashes(c *rig.Case) (n int) {
	for _, g := range c.Gateways {
		if g.Crashed() {
			n++
		}
	}
	return n
}

// reconfigure sends all gateways one new configuration after another, with and without the classes that
// write. Discovery moves each time.
func reconfigure(c *rig.Case, discovery *rig.Discovery, use *usage, all []string) {
	for {
		for _, classes := range [][]string{all[:1], all} {
			if len(classes) == 1 {
				use.set(false)
				time.Sleep(classStop)
			}
			if err := discovery.Move(); err != nil {
				c.Rec.Add("platform: %v", err)
				return
			}
			for i, g := range c.Gateways {
				settings := rig.Settings(gateways, classes...)
				settings["rank"] = i
				c.Rec.Add("platform: new configuration for %s, classes %v, SIGHUP", g.Name, classes)
				g.Reload(settings, discovery.Addr)
			}
			if len(classes) > 1 {
				time.Sleep(classStop)
				use.set(true)
			}
			time.Sleep(interval - classStop)
		}
	}
}
