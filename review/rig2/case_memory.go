package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

func init() { cases["memory"] = memoryCase }

// memoryCase: peers that connect and send 64 KiB of a head, in short lines, and never its end. The platform
// kills a gateway that goes over its memory limit.
func memoryCase(t *trial) ([]string, error) {
	lim := limits{memoryMB: 64, sockets: 384}
	d, err := t.deploy(1, 4, lim, siteClasses(), func(h *host, c *call) bool {
		time.Sleep(time.Duration(30+rand.IntN(60)) * time.Millisecond)
		return c.write("200 OK", "", "done "+c.id)
	})
	if err != nil {
		return nil, err
	}
	g := d.gateways[0]
	var badOpen, badSent, badEnded atomic.Int64
	var killedAt atomic.Pointer[string]
	go func() { // the platform's memory limit
		for n := 0; ; n++ {
			now, peak := g.residentMB()
			if n%10 == 0 {
				t.rec.add("gateway %s has %.0f MB, at most %.0f; %d bad peers are connected", g.name, now, peak, badOpen.Load())
			}
			if now > float64(lim.memoryMB) {
				text := fmt.Sprintf("gateway %s had %.0f MB of %d, with %d bad peers connected, and was killed for it", g.name, now, lim.memoryMB, badOpen.Load())
				t.rec.add("%s", text)
				killedAt.Store(&text)
				g.stop()
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	var b strings.Builder
	b.WriteString("GET /api HTTP/1.1\r\nHost: x\r\n")
	for i := 0; b.Len() < 64<<10-16; i++ {
		fmt.Fprintf(&b, "%x:\r\n", 4096+i)
	}
	badPeer := func() {
		c, err := net.DialTimeout("tcp", g.addr, time.Second)
		if err != nil {
			return
		}
		badOpen.Add(1)
		defer badOpen.Add(-1)
		defer c.Close()
		began := time.Now()
		n, err := io.WriteString(c, b.String())
		badSent.Add(1)
		t.rec.add("a bad peer has sent %d bytes (%v)", n, err)
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := c.Read(make([]byte, 1)); err != nil || true {
			badEnded.Add(1)
			t.rec.add("a bad peer has its answer or close after %.2f s", time.Since(began).Seconds())
		}
	}
	const length = 30 * time.Second
	if t.trouble {
		go func() {
			time.Sleep(5 * time.Second)
			traffic(60, 10*time.Second, badPeer)
		}()
	}
	var sent, served atomic.Int64
	var lost atomic.Int64
	traffic(60, length, func() {
		if killedAt.Load() != nil {
			return
		}
		sent.Add(1)
		switch res := d.clients[0].do("save-address", "at_most_once", 4*time.Second, "address"); {
		case res.status == 200:
			served.Add(1)
		case res.err != nil:
			lost.Add(1)
		}
	})
	_, peak := g.residentMB()
	var broken []string
	if text := killedAt.Load(); text != nil {
		broken = append(broken, *text)
		if n := lost.Load(); n > 0 {
			broken = append(broken, fmt.Sprintf("%d requests got no answer as it was killed", n))
		}
	}
	t.rec.say("%d requests, %d served, %d without an answer; %d bad peers; memory at most %.0f MB (0: killed)", sent.Load(), served.Load(), lost.Load(), badSent.Load(), peak)
	if len(broken) == 0 && served.Load() < sent.Load()/2 {
		return nil, fmt.Errorf("the deployment did not serve")
	}
	return broken, nil
}
