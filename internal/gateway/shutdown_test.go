package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// open dials the gateway and sends what is given.
func (g *testGateway) open(text string) net.Conn {
	g.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(g.url, "http://"))
	if err != nil {
		g.Fatal(err)
	}
	g.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	fmt.Fprint(c, text)
	return c
}

// A request that was taken before the end was told, and is due after it, is answered before
// it: the host hangs, and the client would wait for a minute.
func TestWhatIsOutIsAnsweredBeforeTheEnd(t *testing.T) {
	host := newHost(t, hang)
	g := startGateway(t, testConfig(host))
	c := g.open(head("POST /api/1 HTTP/1.1", "i", "X-Priority-Class: book\r\nContent-Length: 0\r\n"))
	until(t, "the host has the request", func() bool { n, _, _ := host.counts(); return n == 1 })
	g.server.Shutdown()
	if g.server.busy() {
		t.Error("the process would end with the request open")
	}
	g.server.http.Close() // as the end of the process does
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != http.StatusBadGateway {
		t.Errorf("answer %v, %v", resp, err)
	}
	if n, _, _ := host.counts(); n != 1 {
		t.Errorf("the host got the request %d times", n)
	}
}
