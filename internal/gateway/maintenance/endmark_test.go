package maintenance

import (
	"os"
	"strings"
	"testing"
	"time"
)

const maxDelay = 20 * time.Second // between writing and reading an end mark; long, as the machine may be busy

// writeEndMark begins and ends a maintenance and returns the path of its end mark.
func writeEndMark(t *testing.T) (path string) {
	t.Helper()
	store := newStore(t, t.TempDir())
	for _, on := range []bool{true, false} {
		if err := store.Set(discardHosts{}, "s-1", on); err != nil {
			t.Fatal(err)
		}
	}
	return store.endMarkFile("s-1")
}

// sinceEnd returns how long ago a maintenance ended by its end mark, if the wall clock says that the file
// is of the given age.
func sinceEnd(t *testing.T, mark string, fileAge time.Duration) time.Duration {
	t.Helper()
	written := time.Now().Add(-fileAge)
	if err := os.Chtimes(mark, written, written); err != nil {
		t.Fatal(err)
	}
	info, err := os.Stat(mark)
	if err != nil {
		t.Fatal(err)
	}
	return time.Since(endedAt(mark, info))
}

// A process that starts after the wall clock was stepped must treat a host as cold whose
// maintenance ended a moment before.
func TestEndOfMaintenanceIsKnownAfterClockStep(t *testing.T) {
	mark := writeEndMark(t)
	for _, step := range []time.Duration{0, time.Hour, -time.Hour} {
		if age := sinceEnd(t, mark, step); age < 0 || age > maxDelay { // the file was written by the clock as it was before the step
			t.Errorf("clock stepped by %v: the maintenance ended %v ago", step, age)
		}
	}
}

// An end mark from before a restart of the machine is as old as its file, and at least as old as the
// machine's boot.
func TestEndMarkOfEarlierBoot(t *testing.T) {
	mark := writeEndMark(t)
	text, err := os.ReadFile(mark)
	if err != nil {
		t.Fatal(err)
	}
	boot, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		t.Fatal(err)
	}
	earlier := strings.ReplaceAll(string(text), strings.TrimSpace(string(boot)), "9f0c2c4e-0000-4000-8000-000000000000")
	if err := os.WriteFile(mark, []byte(earlier), 0o600); err != nil {
		t.Fatal(err)
	}
	fileAge := sinceBoot() + time.Hour
	for _, tt := range []struct{ age, want time.Duration }{{fileAge, fileAge}, {0, sinceBoot()}, {-time.Hour, sinceBoot()}} {
		if age := sinceEnd(t, mark, tt.age); age < tt.want || age > tt.want+maxDelay {
			t.Errorf("file %v old: the maintenance ended %v ago, want %v", tt.age, age, tt.want)
		}
	}
}
