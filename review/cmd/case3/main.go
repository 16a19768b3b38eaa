// Command case3: a gateway is told to end while it passes on long answers that their hosts still give.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"review/rig"
)

const (
	gateways = 3
	hosts    = 9
	pieces   = 80                     // pieces of a long answer
	piece    = 16 << 10               // bytes of a piece: 1.3 MB in all
	pause    = 100 * time.Millisecond // between two pieces: a long answer takes 8 s
	longs    = 6                      // long answers under way at the gateway that is told to end
	termAt   = 1500 * time.Millisecond
	killAt   = 20 * time.Second // from SIGTERM to SIGKILL; the page allows it from 3.7 s on
)

func main() { rig.Run(run) }

func run(c *rig.Case) (int, error) {
	serve := func(h *rig.Host, conn net.Conn, r *http.Request, body []byte) bool {
		id := r.Header.Get("X-Request-ID")
		h.Work(20*time.Millisecond, 30*time.Millisecond)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", pieces*piece)
		text := strings.Repeat(id, piece/len(id))
		for i := range pieces {
			if _, err := io.WriteString(conn, text); err != nil {
				c.Rec.Add("host %s: the gateway takes no more of the answer to %s after piece %d of %d: %v", h.ID, id, i, pieces, err)
				return false
			}
			time.Sleep(pause)
		}
		c.Rec.Add("host %s has given the whole answer to %s", h.ID, id)
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
	g := c.Gateways[0]
	var requests sync.WaitGroup
	var mu sync.Mutex
	whole, cut, other := 0, 0, 0
	for range longs {
		requests.Add(1)
		go func() {
			defer requests.Done()
			q := rig.DrawRequest()
			got, err := fetch(c, g, q)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				whole++
				c.Rec.Say("client: %s has its whole answer", q.ID)
			case got > 0:
				cut++
				c.Rec.Say("client: the answer to %s (class %s) was cut off after %d of %d bytes: %v", q.ID, q.Class, got, pieces*piece, err)
			default:
				other++
				c.Rec.Say("client: no answer to %s: %v", q.ID, err)
			}
		}()
	}
	time.Sleep(termAt)
	endedBy := "itself"
	if c.Trouble {
		c.Rec.Say("platform: SIGTERM to %s", g.Name)
		term := time.Now()
		g.Signal(syscall.SIGTERM)
		select {
		case <-g.Ended():
			c.Rec.Say("platform: %s has ended by itself %.2f s after SIGTERM", g.Name, time.Since(term).Seconds())
		case <-time.After(killAt):
			c.Rec.Say("platform: SIGKILL to %s", g.Name)
			g.Kill()
			endedBy = "SIGKILL"
		}
	}
	requests.Wait()
	c.Rec.Say("%d long answers whole, %d cut off, %d other; end of the gateway: %s", whole, cut, other, endedBy)
	switch {
	case other > 0 || endedBy == "SIGKILL":
		return 0, errors.New("the run was not as planned")
	case cut > 0:
		return rig.RuleBroken, nil
	}
	return rig.RuleHeld, nil
}

// fetch sends a request on a new connection and reads its answer. It returns how much of the body came.
func fetch(c *rig.Case, g *rig.Gateway, q *rig.Request) (got int, err error) {
	conn, err := net.DialTimeout("tcp", g.Addr, time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	c.Rec.Add("client sends %s class %s to %s", q.ID, q.Class, g.Name)
	sent := time.Now()
	if _, err := io.WriteString(conn, q.Text()); err != nil {
		return 0, err
	}
	conn.SetReadDeadline(time.Now().Add(40 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	if resp.StatusCode != http.StatusOK {
		return 0, errors.New(resp.Status)
	}
	c.Rec.Add("client: the answer to %s has begun after %v", q.ID, time.Since(sent).Round(time.Millisecond))
	n, err := io.Copy(io.Discard, resp.Body)
	return int(n), err
}
