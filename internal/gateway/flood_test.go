package gateway

import (
	"testing"
)

// Peers that connect in great number and say nothing, or never finish a head or a body, get
// no more descriptors than clients may have, and others are served meanwhile.
func TestFloodLeavesRoomForOthers(t *testing.T) {
	for name, part := range map[string]string{
		"nothing":        "",
		"half a line":    "POST /api/1 HT",
		"half a head":    "POST /api/1 HTTP/1.1\r\nHost: x\r\nX-Request-ID: i\r\n",
		"half a body":    head("POST /api/1 HTTP/1.1", "i", "Content-Length: 9\r\n") + "half",
		"no proper line": "\x16\x03\x01\x02\x00\x01\x00",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			host := newHost(t, says(good))
			cfg := testConfig(host)
			cfg.Sockets = 64
			g := startGateway(t, cfg)
			for range 120 {
				g.open(part)
			}
			if resp, body := g.ask("book", "/api/1", "b"); resp.StatusCode != 200 || body != "good" {
				t.Errorf("answer %d %q", resp.StatusCode, body)
			}
			g.server.mu.Lock()
			open := len(g.server.conns)
			g.server.mu.Unlock()
			if most := cfg.Sockets * mostSockets / 100; open > most {
				t.Errorf("%d connections are open, %d at most wanted", open, most)
			}
			if n, _, _ := host.counts(); n != 1 {
				t.Errorf("the host got %d requests", n)
			}
		})
	}
}
