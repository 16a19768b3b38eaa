package gateway

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"bramblelock"
	"bramblelock/internal/faultnet"
)

// A failed accept costs one connection and does not end service: whatever the error, once or
// repeatedly, the listeners of clients and operators keep accepting.
func TestFailedAcceptsDoNotEndService(t *testing.T) {
	host := newHost(t, answerWith(okAnswer))
	cfg := testConfig(host)
	ctx, cancel := context.WithCancel(context.Background())
	pool := NewPool(cfg)
	loop, err := NewLoop(cfg, pool, func() {})
	if err != nil {
		t.Fatal(err)
	}
	go loop.Run(ctx)
	server := NewServer(cfg, loop)
	operator := NewOperator(loop, server, newMaintenanceStore(t, ""), false)
	clients := faultnet.FailingListener(listen(t, "127.0.0.1:0", nil))
	operators := faultnet.FailingListener(listen(t, "127.0.0.1:0", nil))
	ended := make(chan error, 2)
	go func() { ended <- server.Serve(clients) }()
	go func() { ended <- operator.Serve(operators) }()
	loop.HandleList(bramblelock.ListSaved, cfg.Known)
	defer func() {
		server.http.Close()
		operator.http.Close()
		cancel()
		<-loop.done
	}()
	for _, errno := range faultnet.AcceptErrors {
		for _, ln := range []*faultnet.Listener{clients, operators} {
			ln.Fail(errno, errno, errno)
			path := pathHealth
			if ln == operators {
				path = pathHealthcheck
			}
			get := func() (*http.Response, error) {
				client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
				return client.Get("http://" + ln.Addr().String() + path)
			}
			// The accept that waits now takes this connection. The next three fail.
			for range 2 {
				resp, err := get()
				if err != nil {
					t.Fatalf("after %v (%s): %v", errno, path, err)
				}
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
			select {
			case err := <-ended:
				t.Fatalf("service ended after %v: %v", errno, err)
			default:
			}
			if left := ln.Remaining(); left > 0 {
				t.Fatalf("%v: %d failures have not occurred", errno, left)
			}
		}
	}
}
