package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"bramblelock/internal/gateway/config"
	"bramblelock/internal/gateway/gatewaytest"
)

// The connections of clients and to hosts have their shares of the descriptors and of the memory, and the former always the
// third of the descriptors that clients use for their requests. By the descriptors alone, 600 peers that read long answers
// slowly took a gateway of 32 MB to 31.9 MB.
func TestMaxConns(t *testing.T) {
	for _, c := range []struct{ memoryMB, sockets, want, wantToHosts int }{
		{0, 1024, 614, 358}, {192, 1024, 614, 358}, {64, 1024, 614, 358}, {64, 384, 230, 134}, {32, 256, 153, 89}, {32, 1024, 368, 236},
	} {
		cfg := &config.Config{MemoryMB: c.memoryMB, Sockets: c.sockets}
		got := maxClientConns(cfg)
		if got != c.want || maxHostConns(cfg) != c.wantToHosts {
			t.Errorf("%d MB and %d descriptors: %d connections and %d to hosts, want %d and %d",
				c.memoryMB, c.sockets, got, maxHostConns(cfg), c.want, c.wantToHosts)
		}
		if got < c.sockets/3 {
			t.Errorf("%d MB and %d descriptors: %d connections, fewer than a third", c.memoryMB, c.sockets, got)
		}
	}
}

// A body for which the budget has no room is refused, however long it is, and is not streamed to a host instead: each
// stream takes more memory than the body. A peer that has stopped within its body is closed to make room, and a body
// is taken again once there is.
func TestBodyWithoutMemoryIsRefused(t *testing.T) {
	host := newHost(t, answerWith(okAnswer))
	g := startGateway(t, testConfig(host))
	budget := &g.loop.pool.memory.remaining
	whole := budget.Load()
	stopped := g.openConn(head("POST /api/1 HTTP/1.1", "i", "Content-Length: 60000\r\n") + "half")
	until(t, "the body that does not come is counted", func() bool { return budget.Load() < whole })
	taken := budget.Swap(0)
	refused := func(length int) {
		if resp, _ := g.request("book", "/api/1", string(testBytes(length)), requestIDHeader, "refused"); resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("a body of %d bytes is answered %d, want 503", length, resp.StatusCode)
		}
	}
	refused(30_000)
	refused(300_000)
	if resp, _ := g.request("book", "/api/1", "short", requestIDHeader, "short"); resp.StatusCode != http.StatusOK {
		t.Errorf("a short body is answered %d", resp.StatusCode)
	}
	time.Sleep(minEvictionAge)
	refused(30_000)
	stopped.SetReadDeadline(time.Now().Add(waitTimeout))
	if _, err := stopped.Read(make([]byte, 1)); err == nil {
		t.Error("the peer that stopped within its body gets an answer, want a close")
	}
	budget.Add(taken)
	until(t, "the budget is whole again", func() bool { return budget.Load() == whole })
	if resp, _ := g.request("book", "/api/1", string(testBytes(30_000)), requestIDHeader, "room"); resp.StatusCode != http.StatusOK {
		t.Errorf("a body is answered %d after there is room again", resp.StatusCode)
	}
	if n, _, _ := host.counts(); n != 2 {
		t.Errorf("the host got %d requests, want 2", n)
	}
}

// Peers that stop within long bodies hold no more than their share of the connections to hosts: a request without a body is
// served beside them. A further long body is refused, the one that has been waited for longest makes room, and with it another
// is served. 600 peers held all connections, and a gateway of 192 MB refused 200 of 241 requests.
func TestStoppedUploadsLeaveConnectionsToHosts(t *testing.T) {
	const conns = 8
	const uploads = conns * maxUploadPercent / 100
	cfg := testConfig(newHost(t, answerWith(okAnswer)))
	cfg.Sockets = conns*100/maxHostConnPercent + 1
	g := startGateway(t, cfg)
	stop := func(id string) net.Conn {
		return g.openConn(head("POST /api/1 HTTP/1.1", id, "Content-Length: 200000\r\n") + "the first piece")
	}
	counted := func() int {
		g.loop.pool.mu.Lock()
		defer g.loop.pool.mu.Unlock()
		return g.loop.pool.uploads
	}
	for i := range uploads {
		stop(fmt.Sprint("stopped-", i))
	}
	until(t, "the uploads are counted", func() bool { return counted() == uploads })
	further, err := http.ReadResponse(bufio.NewReader(stop("further")), nil)
	if err != nil || further.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("one more long body is answered %v, %v, want 503", further, err)
	}
	if resp, _ := g.request("look", "/api/1", ""); resp.StatusCode != http.StatusOK {
		t.Errorf("a request without a body is answered %d", resp.StatusCode)
	}
	time.Sleep(minEvictionAge)
	until(t, "a long body is served in place of a stopped one", func() bool {
		resp, _ := g.request("look", "/api/1", string(testBytes(200_000)))
		return resp.StatusCode == http.StatusOK
	})
	until(t, "the count has gone back", func() bool { return counted() < uploads })
}

// A peer that stops within a long body, which is streamed to a host, is evicted minEvictionAge after its last piece, as
// one that stops within a head is. Before, it held its slot until bodyStallTimeout was over.
func TestStoppedUploadIsEvicted(t *testing.T) {
	gatewaytest.RunInBubble(t, func(t *testing.T) {
		s := &Server{conns: map[net.Conn]connState{}, connBudget: 1}
		ours, theirs := net.Pipe()
		defer ours.Close()
		c := newFramedConn(theirs)
		c.parse([]byte(head("POST /api/1 HTTP/1.1", "i", "Content-Length: 200000\r\n") + "the first piece"))
		s.trackConn(c, http.StateActive)
		time.Sleep(time.Hour)
		c.lastReadAt = time.Now()
		time.Sleep(minEvictionAge - time.Nanosecond)
		if s.evictOne(); len(s.conns) == 0 {
			t.Fatal("it is closed although the next piece may be on its way")
		}
		time.Sleep(time.Nanosecond)
		if s.evictOne(); len(s.conns) > 0 {
			t.Error("it stays open")
		}
	})
}

// Peers stop within long bodies and hold all connection slots: a new client waits no longer than it takes to evict
// one. TestStoppedUploadIsEvicted is the test that failed before.
func TestStoppedUploadsLeaveRoomForOthers(t *testing.T) {
	const slack = time.Second
	host := newHost(t, answerWith(okAnswer))
	cfg := testConfig(host)
	cfg.Sockets = 64
	g := startGateway(t, cfg)
	slots := cap(g.server.connSlots)
	for i := range slots {
		g.openConn(head("POST /api/1 HTTP/1.1", fmt.Sprint(i), "Content-Length: 200000\r\n") + strings.Repeat("b", 1000))
	}
	until(t, "all connection slots are taken", func() bool { return len(g.server.connSlots) == slots })
	began := time.Now()
	health := "GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" // no host is asked, which the peers may have filled
	if got := g.sendParts(health); !slices.Equal(got, []int{200}) {
		t.Errorf("answers %v", got)
	}
	if took := time.Since(began); took > minEvictionAge+slack {
		t.Errorf("a new client waits %v, want %v at most", took, minEvictionAge+slack)
	}
}
