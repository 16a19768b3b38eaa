package maintenance

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// discardHosts ignores what it is notified of.
type discardHosts struct{}

func (discardHosts) SetMaintenance(string, bool)        {}
func (discardHosts) MaintenanceEnded(string, time.Time) {}

// newStore returns a store in a directory, as a process that starts now has it.
func newStore(t *testing.T, tmp string) *Store {
	t.Helper()
	store, err := NewStore(tmp)
	if err != nil {
		t.Fatal(err)
	}
	return store
}

// persistedMaintenance returns the ids of the hosts that a process that starts now takes to be in
// maintenance.
func persistedMaintenance(t *testing.T, tmp string) map[string]bool {
	t.Helper()
	store := newStore(t, tmp)
	if err := store.Refresh(discardHosts{}); err != nil {
		t.Fatal(err)
	}
	return store.inMaintenance
}

// An operator's call that fails because the directory cannot be written must change nothing,
// neither in this process nor for one that reads the directory later.
func TestFailedMaintenanceChangesNothing(t *testing.T) {
	tmp := t.TempDir()
	store := newStore(t, tmp)
	if err := store.Set(discardHosts{}, "s-out", true); err != nil {
		t.Fatal(err)
	}
	dir := filepath.Join(tmp, directory)
	// A non-empty directory in place of a file can be neither removed nor written as a file.
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
	maintenanceFile, endedFile := hostPrefix+"s-out", endMarkPrefix+"s-out"

	clear(maintenanceFile)
	block(maintenanceFile) // ending the maintenance cannot remove this
	if err := store.Set(discardHosts{}, "s-out", false); err == nil {
		t.Error("a maintenance ends although its file cannot be removed")
	}
	if !store.inMaintenance["s-out"] {
		t.Error("the host is in use after a failed end of its maintenance")
	}
	if _, err := os.Stat(filepath.Join(dir, endedFile)); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("a failed end of a maintenance leaves its mark: %v", err)
	}
	clear(maintenanceFile)

	block(hostPrefix + "s-new") // this maintenance cannot be written
	if err := store.Set(discardHosts{}, "s-new", true); err == nil {
		t.Error("a maintenance begins although it cannot be stored")
	}
	if store.inMaintenance["s-new"] {
		t.Error("the host is in maintenance after a call that failed")
	}
	clear(hostPrefix + "s-new")

	block(endMarkPrefix + "s-other") // the earlier mark cannot be removed: the maintenance is stored all the same
	err := store.Set(discardHosts{}, "s-other", true)
	if stored := persistedMaintenance(t, tmp)["s-other"]; stored != (err == nil) || store.inMaintenance["s-other"] != stored {
		t.Errorf("the call returns %v, the maintenance is stored: %t, and in force: %t", err, stored, store.inMaintenance["s-other"])
	}
}

// A repeated call that fails keeps what the first one has stored.
func TestFailedRepeatKeepsMaintenance(t *testing.T) {
	tmp := t.TempDir()
	store := newStore(t, tmp)
	// A link to a device that cannot be synced: the file is there, and a write to it fails.
	if err := os.Symlink("/dev/full", store.maintenanceFile("s-out")); err != nil {
		t.Fatal(err)
	}
	if err := store.Refresh(discardHosts{}); err != nil {
		t.Fatal(err)
	}
	if err := store.Set(discardHosts{}, "s-out", true); err == nil {
		t.Error("a write to a full device succeeds")
	}
	if !store.inMaintenance["s-out"] || !persistedMaintenance(t, tmp)["s-out"] {
		t.Error("the maintenance ends with a repeated call that failed")
	}
}

// A process ends a maintenance that another one has begun since it last read the directory as any other:
// the host is cold from then on.
func TestEndOfMaintenanceOfOtherProcess(t *testing.T) {
	tmp := t.TempDir()
	if err := newStore(t, tmp).Set(discardHosts{}, "s-1", true); err != nil {
		t.Fatal(err)
	}
	store := newStore(t, tmp)
	if err := store.Set(discardHosts{}, "s-1", false); err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(store.endMarkFile("s-1")); err != nil {
		t.Errorf("the end of the maintenance has left no mark: %v", err)
	}
}
