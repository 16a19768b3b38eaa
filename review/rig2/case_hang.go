package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["hang"] = hangCase }

// descriptors returns how many descriptors the process of a gateway has open.
func (g *gateway) descriptors() int {
	l, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", g.cmd.Process.Pid))
	return len(l)
}

// hangCase: hosts turn away half of the long requests at their head, with an answer that never ends. Each request
// must get its final answer, and when their clients have left the gateway must serve the others as before.
func hangCase(t *trial) ([]string, error) {
	const (
		size     = 8 << 20
		timeout  = 4 * time.Second
		patience = 8 * time.Second // from the first byte, after which a client of a long request leaves
		longTime = 60 * time.Second
		rest     = 25 * time.Second // from the last long request to the end
		watched  = 12 * time.Second // the end of it, in which service is judged
	)
	d, err := t.deploy(1, 6, limits{memoryMB: 128, sockets: 256}, siteClasses(), func(h *host, c *call) bool {
		time.Sleep(time.Duration(30+rand.IntN(60)) * time.Millisecond)
		return c.write("200 OK", "", "done "+c.id)
	})
	if err != nil {
		return nil, err
	}
	var spoilt atomic.Int64
	for _, h := range d.hosts {
		h.onStart = func(h *host, c *call) {
			if t.trouble && c.length > 1<<20 && rand.IntN(2) == 0 {
				spoilt.Add(1)
				io.WriteString(c.conn, "HTTP/1.1 503 Service Unavailable\r\nX-Not-")
				t.rec.add("host %s turns %s away with an answer that never ends", h.id, c.id)
			}
		}
	}
	g, cl := d.gateways[0], d.clients[0]
	body := strings.Repeat("0123456789abcdef", size/16)
	var mu sync.Mutex
	var broken []string
	var longSent, longServed, unanswered int
	long := func() {
		conn, err := cl.dial()
		if err != nil {
			t.rec.add("client of a long request gets no connection: %v", err)
			return
		}
		id := cl.newID()
		t.rec.add("client sends save-address %s with %d bytes", id, size)
		conn.SetDeadline(time.Now().Add(patience))
		written := make(chan int, 1)
		go func() {
			n, _ := io.WriteString(conn, head(id, "save-address", "at_most_once", timeout, size)+body)
			written <- n
		}()
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		conn.Close()
		n := <-written
		mu.Lock()
		defer mu.Unlock()
		longSent++
		switch {
		case err != nil:
			unanswered++
			t.rec.add("client of %s leaves after %v without an answer; the gateway's machine took %d bytes at most", id, patience, n)
		case resp.StatusCode == 200:
			longServed++
			fallthrough
		default:
			t.rec.add("%s is answered %d", id, resp.StatusCode)
		}
	}
	before := g.descriptors()
	var others sync.WaitGroup
	others.Add(1)
	var early, earlyServed, late, lateServed atomic.Int64
	began := time.Now()
	go func() {
		defer others.Done()
		traffic(40, longTime+rest, func() {
			at := time.Since(began)
			res := cl.do("search", "idempotent", 1200*time.Millisecond, "")
			switch {
			case at < 5*time.Second:
				early.Add(1)
				if res.status == 200 {
					earlyServed.Add(1)
				}
			case at > longTime+rest-watched:
				late.Add(1)
				if res.status == 200 {
					lateServed.Add(1)
				}
			}
		})
	}()
	go func() {
		for !g.hasExited() {
			t.rec.add("the gateway has %d descriptors", g.descriptors())
			time.Sleep(time.Second)
		}
	}()
	traffic(4, longTime, long)
	others.Wait()
	after := g.descriptors()
	t.rec.say("%d long requests, %d served, %d without an answer; %d answers never ended", longSent, longServed, unanswered, spoilt.Load())
	t.rec.say("search: %d of %d served in the first 5 s, %d of %d in the last %v", earlyServed.Load(), early.Load(), lateServed.Load(), late.Load(), watched)
	t.rec.say("descriptors of the gateway: %d before, %d after, with the last long client gone for %v at least", before, after, rest-patience)
	t.rec.say("GET /_health of the gateway at the end is answered 200: %v", g.healthy())
	if earlyServed.Load() < early.Load()/2 {
		return nil, fmt.Errorf("the deployment did not serve")
	}
	if unanswered > 0 {
		broken = append(broken, fmt.Sprintf("%d requests got no final answer in %v; they gave the gateway %v", unanswered, patience, timeout))
	}
	if lateServed.Load() < late.Load()/2 {
		broken = append(broken, fmt.Sprintf("the gateway served %d of %d search requests in the last %v, long after the last long request's client had left", lateServed.Load(), late.Load(), watched))
	}
	return broken, nil
}
