// Command case3: the machine of one of three instances of discovery stands still for a while, and a host
// begins to drain meanwhile.
package main

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"review/rig"
)

const (
	gateways = 3 // one for each instance of discovery
	hosts    = 9
	rate     = 170.0 // requests a second of all clients
	quiet    = 3 * time.Second
	outage   = 37 * time.Second // for which the instance stands still
	drainAt  = 30 * time.Second // from the start of the outage to the drain
	writes   = 500 * time.Millisecond
	after    = 14 * time.Second // from the end of the outage to the end of the run

	// A change counts as told at the latest 6 s after discovery had it and could be reached, and sends have
	// to stop 1 s later. Each time limit is 50 ms longer on sockets.
	told  = 6*time.Second + 50*time.Millisecond
	grace = time.Second + 50*time.Millisecond
)

func main() { rig.Run(run) }

func run(c *rig.Case) (int, error) {
	var mu sync.Mutex
	var drained string           // host that drains
	var drainedAt time.Time      // when discovery confirmed it
	var reachableAt time.Time    // when the instance went on
	var late int                 // sends to it after the limit
	var latest time.Duration     // of them, after the instance went on
	viaOf := map[string]string{} // gateway that a request was sent to
	serve := func(h *rig.Host, conn net.Conn, r *http.Request, body []byte) bool {
		id := r.Header.Get("X-Request-ID")
		now := time.Now()
		mu.Lock()
		if h.ID == drained && !reachableAt.IsZero() {
			since := now.Sub(reachableAt)
			c.Rec.Add("host %s drains and gets %s through %s, %v after its drain was confirmed, %v after the instance went on",
				h.ID, id, viaOf[id], now.Sub(drainedAt).Round(time.Millisecond), since.Round(time.Millisecond))
			if since > told+grace {
				late++
				latest = since
			}
		}
		mu.Unlock()
		h.Work(time.Duration(16+rand.IntN(20))*time.Millisecond, time.Duration(30+rand.IntN(30))*time.Millisecond)
		return rig.Answer(conn, "done "+id)
	}
	if err := c.StartCatalogs(3); err != nil {
		return 0, err
	}
	_, discovery, err := c.StartHosts(hosts, serve)
	if err != nil {
		return 0, err
	}
	var still *rig.Catalog // a follower, which stands still
	var others []*rig.Catalog
	for _, k := range c.Catalogs {
		if still == nil && k.State() == "Follower" {
			still = k
		} else {
			others = append(others, k)
		}
	}
	if still == nil {
		return 0, errors.New("discovery has no follower")
	}
	whole := discovery.Whole()
	for _, e := range whole.Servers {
		if err := others[0].Put(e); err != nil {
			return 0, err
		}
	}
	classes := []string{"search", "save-address", "issue-code"}
	for i, k := range append([]*rig.Catalog{still}, others...) {
		known := whole
		known.Version = 0
		if err := c.StartGatewayAt(i, k.HTTP, known, rig.Settings(gateways, classes...)); err != nil {
			return 0, err
		}
	}
	clients := rig.NewClients(c.Rec)
	var requests sync.WaitGroup
	stop := make(chan struct{})
	requests.Add(1)
	go func() {
		defer requests.Done()
		for next := time.Now(); ; next = next.Add(time.Duration(rand.ExpFloat64() / rate * float64(time.Second))) {
			select {
			case <-stop:
				return
			case <-time.After(time.Until(next)):
			}
			g := c.Gateways[rand.IntN(gateways)]
			q := rig.DrawRequest()
			mu.Lock()
			viaOf[q.ID] = g.Name
			mu.Unlock()
			requests.Add(1)
			go func() {
				defer requests.Done()
				res := clients.Do(g.Addr, q)
				c.Rec.Add("client: %s has status %d after %v, error %v", q.ID, res.Status, res.Took.Round(time.Millisecond), res.Err)
			}()
		}
	}()
	time.Sleep(quiet)
	began := time.Now()
	if c.Trouble {
		c.Rec.Say("platform: the machine of %s, an instance of discovery, stands still", still.ID)
		still.Signal(syscall.SIGSTOP)
	}
	for n := 0; time.Since(began) < outage; n++ {
		// Entries of other hosts are written again, as hosts that register do.
		if err := others[0].Put(whole.Servers[1+n%(hosts-1)]); err != nil {
			c.Rec.Add("platform: write not confirmed: %v", err)
		}
		mu.Lock()
		begun := drained != ""
		mu.Unlock()
		if !begun && time.Since(began) >= drainAt {
			e := whole.Servers[0]
			e.State = "draining"
			if err := others[0].Put(e); err != nil {
				return 0, err
			}
			mu.Lock()
			drained, drainedAt = e.ID, time.Now()
			mu.Unlock()
			c.Rec.Say("platform: discovery has confirmed that %s drains", e.ID)
		}
		time.Sleep(writes)
	}
	still.Signal(syscall.SIGCONT)
	mu.Lock()
	reachableAt = time.Now()
	mu.Unlock()
	c.Rec.Say("platform: %s goes on, %.1f s after the drain was confirmed", still.ID, time.Since(drainedAt).Seconds())
	stale := time.Duration(0)
	for time.Since(reachableAt) < after {
		if l, err := still.List(); err == nil {
			for _, e := range l.Servers {
				if e.ID == drained && e.State != "draining" {
					stale = time.Since(reachableAt)
				}
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	close(stop)
	requests.Wait()
	c.Rec.Say("%s gave lists that say %s is ready for %.2f s after it went on", still.ID, drained, stale.Seconds())
	c.Rec.Say("%d requests sent to %s later than %v after it went on, the last %.2f s after", late, drained, told+grace, latest.Seconds())
	if late > 0 {
		return rig.RuleBroken, nil
	}
	return rig.RuleHeld, nil
}
