package faultnet

import (
	"testing"
	"time"
)

func TestParseCPUTime(t *testing.T) {
	const stat = "812 (a (very) odd name) S 1 812 812 0 -1 4194560 1083 0 0 0 17 8 0 0 20 0 9 0 5210 1238 601 0"
	if got, err := parseCPUTime([]byte(stat)); got != 250*time.Millisecond || err != nil {
		t.Errorf("got %v, %v, want 250ms", got, err)
	}
	for _, text := range []string{"", "812 (name", "812 (name) S 1 2"} {
		if _, err := parseCPUTime([]byte(text)); err == nil {
			t.Errorf("%q is accepted", text)
		}
	}
}

// The processor time of a process that has ended is no less than while it ran.
func TestCPUTimeCountsUntilTheEnd(t *testing.T) {
	p, err := Start(t.TempDir(), "busy", "/bin/sh", []string{"-c", "while :; do :; done"})
	if err != nil {
		t.Fatal(err)
	}
	defer p.Kill()
	var running time.Duration
	for running < 3*clockTick {
		if running, err = p.CPUTime(); err != nil {
			t.Fatal(err)
		}
	}
	p.Kill()
	if final, err := p.CPUTime(); err != nil || final < running {
		t.Errorf("%v, %v after the end, want at least %v", final, err, running)
	}
}
