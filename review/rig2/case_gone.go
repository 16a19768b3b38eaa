package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

func init() { cases["gone"] = goneCase }

// goneCase: clients send a body of 1 MB and leave at once, while a third of the connections to hosts come up
// late. No attempt may begin more than 0.1 s after its client has closed its connection.
func goneCase(t *trial) ([]string, error) {
	const allowed, slack = 100 * time.Millisecond, 50 * time.Millisecond
	var mu sync.Mutex
	closed := map[string]time.Time{}
	type begin struct {
		id, host string
		at       time.Time
		whole    bool
	}
	var begun []*begin
	byConn := map[*call]*begin{}
	d := &deployment{}
	stop := make(chan struct{})
	defer close(stop)
	var err error
	if d.disco, err = startDiscovery(t.rec, 1); err != nil {
		return nil, err
	}
	for i := range 10 {
		id := fmt.Sprintf("s-%d", i+1)
		e := entry{ID: id, Zone: string(rune('a' + i%3)), Kind: "std-1", State: "ready", Weight: 1}
		h, err := startLateHost(t.rec, id, func(h *host, c *call) bool {
			mu.Lock()
			if b := byConn[c]; b != nil {
				b.whole = true
			}
			mu.Unlock()
			time.Sleep(time.Duration(30+rand.IntN(60)) * time.Millisecond)
			c.write("200 OK", "Connection: close\r\n", "done "+c.id)
			return false
		})
		if err != nil {
			return nil, err
		}
		h.onStart = func(h *host, c *call) {
			mu.Lock()
			defer mu.Unlock()
			b := &begin{id: c.id, host: h.id, at: c.firstByteAt}
			byConn[c] = b
			begun = append(begun, b)
			t.rec.add("host %s gets the first bytes of %s", h.id, c.id)
		}
		e.Addr = h.addr
		if t.trouble {
			go h.late.shutForShare(1.0/3, stop)
		}
		d.disco.set(e)
	}
	g, err := t.gateway("n1", d.disco.addrs[0], limits{memoryMB: 128, sockets: 1024}, d.disco.known(), settings(1, 0, siteClasses()))
	if err != nil {
		return nil, err
	}
	cl := &clients{rec: t.rec, g: g}
	body := strings.Repeat("long body ", 100<<10)
	var leavers, whole int
	traffic(20, 60*time.Second, func() {
		if rand.IntN(2) == 0 {
			cl.do("search", "idempotent", 1200*time.Millisecond, "")
			return
		}
		id := cl.newID()
		conn, err := cl.dial()
		if err != nil {
			return
		}
		t.rec.add("client sends save-address %s with 1 MB", id)
		_, err = io.WriteString(conn, head(id, "save-address", "at_most_once", 4*time.Second, len(body))+body)
		mu.Lock()
		leavers++
		if err == nil {
			whole++
		}
		conn.Close()
		closed[id] = time.Now()
		mu.Unlock()
		t.rec.add("client of %s has written it (%v) and closes", id, err)
	})
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	var broken []string
	for _, b := range begun {
		if at, ok := closed[b.id]; ok && b.at.Sub(at) > allowed+slack {
			broken = append(broken, fmt.Sprintf("host %s got the first byte of %s %.3f s after its client had closed; whole: %v", b.host, b.id, b.at.Sub(at).Seconds(), b.whole))
		}
	}
	t.rec.say("%d clients left after 1 MB (%d had written all); %d attempts too late", leavers, whole, len(broken))
	return broken, nil
}
