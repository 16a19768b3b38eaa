package gateway

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// keptBans are the ids of hosts that a process that starts now takes for banned.
func keptBans(t *testing.T, loop *Loop, tmp string) map[string]bool {
	t.Helper()
	b, err := NewMaintenanceStore(tmp)
	if err != nil {
		t.Fatal(err)
	}
	if err := b.Refresh(loop); err != nil {
		t.Fatal(err)
	}
	return b.inMaintenance
}

// A call of an operator that fails, as the folder takes no change, has changed nothing: not
// here, and not for a process that reads the folder later.
func TestFailedMaintenanceChangesNothing(t *testing.T) {
	g := startGateway(t, testConfig())
	tmp := t.TempDir()
	bans, err := NewMaintenanceStore(tmp)
	if err != nil {
		t.Fatal(err)
	}
	if err := bans.Set(g.loop, "s-out", true); err != nil {
		t.Fatal(err)
	}
	dir := filepath.Join(tmp, maintenanceDir)
	// What is to be removed is a folder that is not empty, which no process can remove as a file,
	// and what is to be written one, too.
	block := func(name string) {
		if err := os.MkdirAll(filepath.Join(dir, name, "in the way"), 0o700); err != nil {
			t.Fatal(err)
		}
	}
	clear := func(name string) {
		if err := os.RemoveAll(filepath.Join(dir, name)); err != nil {
			t.Fatal(err)
		}
	}
	ban, back := maintenancePrefix+"s-out", endedPrefix+"s-out"

	clear(ban)
	block(ban) // calling it back cannot remove this
	if err := bans.Set(g.loop, "s-out", false); err == nil {
		t.Error("a host is called back though its ban cannot be removed")
	}
	if !bans.inMaintenance["s-out"] {
		t.Error("the host is in use after a call back that failed")
	}
	if _, err := os.Stat(filepath.Join(dir, back)); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("a call back that failed leaves its mark: %v", err)
	}
	clear(ban)

	block(maintenancePrefix + "s-new") // this ban cannot be written
	if err := bans.Set(g.loop, "s-new", true); err == nil {
		t.Error("a host is banned though that cannot be kept")
	}
	if bans.inMaintenance["s-new"] {
		t.Error("the host is out after a call that failed")
	}
	clear(maintenancePrefix + "s-new")

	block(endedPrefix + "s-other") // the old mark of a call back cannot be removed: the ban is kept all the same
	err = bans.Set(g.loop, "s-other", true)
	if kept := keptBans(t, g.loop, tmp)["s-other"]; kept != (err == nil) || bans.inMaintenance["s-other"] != kept {
		t.Errorf("banning is answered with %v, the ban is kept: %t, and in force: %t", err, kept, bans.inMaintenance["s-other"])
	}
}

// A process that starts after the wall clock was stepped takes a host for cold that was called
// back a moment before.
func TestCallBackIsKnownAcrossAStepOfTheClock(t *testing.T) {
	tmp := t.TempDir()
	g := startGateway(t, testConfig())
	bans, err := NewMaintenanceStore(tmp)
	if err != nil {
		t.Fatal(err)
	}
	for _, out := range []bool{true, false} {
		if err := bans.Set(g.loop, "s-1", out); err != nil {
			t.Fatal(err)
		}
	}
	mark := filepath.Join(tmp, maintenanceDir, endedPrefix+"s-1")
	for _, step := range []time.Duration{0, time.Hour, -time.Hour} {
		written := time.Now().Add(-step) // by the clock as it was before the step
		if err := os.Chtimes(mark, written, written); err != nil {
			t.Fatal(err)
		}
		info, err := os.Stat(mark)
		if err != nil {
			t.Fatal(err)
		}
		if age := time.Since(maintenanceEndedAt(mark, info)); age < 0 || age > patience {
			t.Errorf("clock stepped by %v: the host was called back %v ago", step, age)
		}
	}
}
