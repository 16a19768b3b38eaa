// Command case1: hosts spoil some answers, and a second answer follows some milliseconds later.
package main

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"review/rig"
)

const (
	gateways = 3
	hosts    = 9
	rate     = 170.0 // requests a second of all clients
	length   = 45 * time.Second
	spoilt   = 0.02 // share of answers that are spoilt: a second answer follows
	// how much later the second answer comes
	minLate = 2 * time.Millisecond
	maxLate = 8 * time.Millisecond
)

func main() { rig.Run(run) }

func run(c *rig.Case) (int, error) {
	var mu sync.Mutex
	served := map[string]bool{}  // ids that a host has run
	doubled := map[string]bool{} // ids whose answer a host has sent twice
	serve := func(h *rig.Host, conn net.Conn, r *http.Request, body []byte) bool {
		id := r.Header.Get("X-Request-ID")
		h.Work(time.Duration(16+rand.IntN(20))*time.Millisecond, time.Duration(30+rand.IntN(30))*time.Millisecond)
		mu.Lock()
		served[id] = true
		mu.Unlock()
		if !rig.Answer(conn, "done "+id) {
			return false
		}
		if c.Trouble && rand.Float64() < spoilt {
			mu.Lock()
			doubled[id] = true
			mu.Unlock()
			late := minLate + rand.N(maxLate-minLate)
			time.Sleep(late)
			c.Rec.Add("host %s sends a second answer to %s, %v after the first", h.ID, id, late)
			return rig.Answer(conn, "done "+id)
		}
		return true
	}
	_, discovery, err := c.StartHosts(hosts, serve)
	if err != nil {
		return 0, err
	}
	classes := []string{"search", "save-address", "issue-code"}
	if err := c.StartGateways(gateways, discovery, func() map[string]any { return rig.Settings(gateways, classes...) }); err != nil {
		return 0, err
	}
	clients := rig.NewClients(c.Rec)
	var requests sync.WaitGroup
	var answered, foreign, neverRun, passedDown int
	end := time.Now().Add(length)
	for next := time.Now(); next.Before(end); next = next.Add(time.Duration(rand.ExpFloat64() / rate * float64(time.Second))) {
		time.Sleep(time.Until(next))
		g := c.Gateways[rand.IntN(gateways)]
		q := rig.DrawRequest()
		requests.Add(1)
		go func() {
			defer requests.Done()
			res := clients.Do(g.Addr, q)
			c.Rec.Add("client: %s has status %d after %v, body %q, error %v", q.ID, res.Status, res.Took.Round(time.Millisecond), res.Body, res.Err)
			mu.Lock()
			defer mu.Unlock()
			if res.Status != http.StatusOK {
				return
			}
			answered++
			if res.Body != "done "+q.ID {
				foreign++
				if !doubled[strings.TrimPrefix(res.Body, "done ")] {
					passedDown++ // the only answer to an earlier request, whose client had got another one
				}
				if !served[q.ID] {
					neverRun++
				}
				c.Rec.Add("%s (class %s, tenant %s) through %s was served with %q, which a host made for another request; own answer made by then: %v",
					q.ID, q.Class, q.Tenant, g.Name, res.Body, served[q.ID])
			}
		}()
	}
	requests.Wait()
	c.Rec.Say("%d requests served, %d of them with the answer to another request, %d of these before a host had run them; %d of the answers had been given only once",
		answered, foreign, neverRun, passedDown)
	switch {
	case answered == 0:
		return 0, errors.New("nothing was served")
	case foreign > 0:
		return rig.RuleBroken, nil
	}
	return rig.RuleHeld, nil
}
