package gateway

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"bramblelock/internal/gateway/discovery"
	"bramblelock/internal/gateway/gatewaytest"
	"bramblelock/internal/gateway/hostlist"
)

// After a watch ends, a new one begins from the version received last. After a line that cannot be
// parsed, the full list is requested, as changes have been lost.
func TestWatchLost(t *testing.T) {
	first, second := newHost(t, answerWith(okAnswer)), newHost(t, answerWith(okAnswer))
	cfg := testConfig(first)
	cfg.Known.Version = 41
	disco := gatewaytest.NewWatchServer(t)
	cfg.Discovery = strings.TrimPrefix(disco.URL, "http://")
	g := startGateway(t, cfg)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		discovery.New(cfg).Run(ctx, g.loop)
		close(done)
	}()
	t.Cleanup(func() { cancel(); <-done })
	sendList := func(version int, full bool, m ...hostlist.Member) {
		var list []string
		for _, m := range m {
			list = append(list, fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"a","kind":"m2","cell":3,"state":%q,"weight":1.0,"started_ms":0}`,
				m.ID, m.Addr, m.State))
		}
		disco.Lines <- fmt.Sprintf(`{"version":%d,"full":%t,"servers":[%s]}`, version, full, strings.Join(list, ","))
	}
	untilUsed := func(what string, h *testHost) {
		before, _, _ := h.counts()
		until(t, what, func() bool {
			g.request("look", "/api/1", "")
			n, _, _ := h.counts()
			return n > before
		})
	}
	sendList(42, false, hostlist.Member{ID: "s-1", Addr: second.addr(), State: "ready"})
	untilUsed("a host among the changes is used", second)
	disco.Lines <- ""
	sendList(43, false, hostlist.Member{ID: "s-1", Addr: second.addr(), State: "gone"})
	untilUsed("the host that stays is used", first)
	disco.Lines <- gatewaytest.MalformedLine
	sendList(44, true, hostlist.Member{ID: "s-1", Addr: second.addr(), State: "ready"})
	untilUsed("the host of the whole list is used", second)
	const path = "/catalog/members"
	if got, want := strings.Join(disco.Calls(), ", "), path+" 1 41, "+path+" 1 42, "+path+" 1 0"; got != want {
		t.Errorf("watches of %s, want %s", got, want)
	}
}
