package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"bramblelock/internal/peerload"
)

// TestMain runs the program itself if GATEWAY_AS_PROGRAM is set, and misbehaving peers if PEERS_AS_PROGRAM
// is. Tests start the test binary in this way, so that they can check signals and exit codes of a real
// process, and play peers apart from the clients that they judge by.
func TestMain(m *testing.M) {
	if os.Getenv("PEERS_AS_PROGRAM") != "" {
		if err := peerload.Main(os.Args[1:], os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	if os.Getenv("GATEWAY_AS_PROGRAM") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// A gateway that was killed must be able to start again on the same address and serve from its
// configured host list while discovery is down.
func TestRestart(t *testing.T) {
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, "done")
	}))
	defer host.Close()
	addr, text := freeAddr(t), configJSON(strings.TrimPrefix(host.URL, "http://"))
	for i := range 2 {
		p := startGateway(t, text, addr)
		p.waitReady(t)
		if _, err := sendRequest(p.url); err != nil {
			t.Errorf("start %d: %v", i, err)
		}
		p.Process.Kill()
		<-p.exited
	}
}

// The program must reject a bad configuration with a single line that names the key and exit with
// code 1.
func TestBadConfiguration(t *testing.T) {
	p := startGateway(t, strings.Replace(configJSON(), `"hard_limit":2000000`, `"hard_limit":0`, 1), "127.0.0.1:0")
	select {
	case <-p.exited:
	case <-time.After(waitTimeout):
		t.Fatal("the program did not exit")
	}
	if code := p.ProcessState.ExitCode(); code != 1 {
		t.Errorf("exit code %d", code)
	}
	if out := p.output.String(); !strings.Contains(out, "settings.classes[0].hard_limit: 0") || strings.Count(out, "\n") != 1 {
		t.Errorf("output is %q, want one line that names the key", out)
	}
}
