package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"bramblelock"
	"bramblelock/internal/gateway/hostlist"
)

// BenchmarkRequestRoundTrip measures one request from a client through the gateway to a host and
// back, on kept connections. It counts the allocations of all three.
func BenchmarkRequestRoundTrip(b *testing.B) {
	host := benchHost(b)
	cfg := testConfig()
	cfg.Known.Servers = []hostlist.Member{{ID: "s-0", Addr: host, State: "ready"}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	pool := NewPool(cfg)
	loop, err := NewLoop(cfg, pool, func() {})
	if err != nil {
		b.Fatal(err)
	}
	server := NewServer(cfg, loop)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go loop.Run(ctx)
	go server.Serve(ln)
	defer server.http.Close()
	loop.HandleList(bramblelock.ListSaved, cfg.Known)
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	in := bufio.NewReader(c)
	b.ReportAllocs()
	for b.Loop() {
		io.WriteString(c, lookHead)
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			b.Fatal(resp, err)
		}
		io.Copy(io.Discard, resp.Body)
	}
}

// benchHost answers every request on every connection at once and returns its address.
func benchHost(b *testing.B) (addr string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				buf := make([]byte, 4096) // a request arrives in one piece
				for {
					if _, err := c.Read(buf); err != nil {
						return
					}
					io.WriteString(c, okAnswer)
				}
			}()
		}
	}()
	return ln.Addr().String()
}
