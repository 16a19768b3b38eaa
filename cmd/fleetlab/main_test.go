package main

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"bramblelock/internal/faultnet"
)

// A soak that would run nothing is an error that names the flag, and starts nothing.
func TestSoakRejectsEmptyRuns(t *testing.T) {
	for _, flag := range []string{"seeds", "length", "gateways", "servers", "catalogs", "rate"} {
		for _, value := range []string{"0", "-1"} {
			if flag == "length" {
				value += "s"
			}
			cmd := soakCmd()
			cmd.SetArgs([]string{"--bin", t.TempDir(), "--" + flag, value})
			if err := cmd.Execute(); err == nil || !strings.Contains(err.Error(), "--"+flag+": ") {
				t.Errorf("--%s %s: got %v", flag, value, err)
			}
		}
	}
}

// An interrupt ends the measurement of catalogs, which would take hours here, and leaves no data behind.
func TestCatalogStopsOnInterrupt(t *testing.T) {
	if testing.Short() {
		t.Skip("builds and starts catalogs")
	}
	bin, dir := t.TempDir(), t.TempDir()
	if _, err := faultnet.Build(bin, "bramblelock/cmd/catalog"); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cmd := catalogCmd()
	cmd.SetArgs([]string{"--bin", bin, "--dir", dir, "--watchers", "1", "--writes", "1000000"})
	ended := make(chan error)
	go func() { ended <- cmd.ExecuteContext(ctx) }()
	for started := false; !started; time.Sleep(time.Millisecond) {
		logs, _ := filepath.Glob(filepath.Join(dir, "*", "fanout", "*.log"))
		started = len(logs) == 3
	}
	cancel()
	select {
	case err := <-ended:
		if left, _ := os.ReadDir(dir); !errors.Is(err, context.Canceled) || len(left) > 0 {
			t.Errorf("ended with %v, %d folders left", err, len(left))
		}
	case <-time.After(20 * time.Second):
		t.Error("still running 20 s after the interrupt")
	}
}
