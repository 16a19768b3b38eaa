package gateway

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"bramblelock"
)

// newMaintenanceStore returns a store in a directory, as a process that starts now has it.
func newMaintenanceStore(t *testing.T, tmp string) *MaintenanceStore {
	t.Helper()
	store, err := NewMaintenanceStore(tmp)
	if err != nil {
		t.Fatal(err)
	}
	return store
}

// persistedMaintenance returns the ids of the hosts that a process that starts now takes to be in
// maintenance.
func persistedMaintenance(t *testing.T, loop *Loop, tmp string) map[string]bool {
	t.Helper()
	store := newMaintenanceStore(t, tmp)
	if err := store.Refresh(loop); err != nil {
		t.Fatal(err)
	}
	return store.inMaintenance
}

// An operator's call that fails because the directory cannot be written must change nothing,
// neither in this process nor for one that reads the directory later.
func TestFailedMaintenanceChangesNothing(t *testing.T) {
	g := startGateway(t, testConfig())
	tmp := t.TempDir()
	store := newMaintenanceStore(t, tmp)
	if err := store.Set(g.loop, "s-out", true); err != nil {
		t.Fatal(err)
	}
	dir := filepath.Join(tmp, maintenanceDir)
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
	maintenanceFile, endedFile := maintenancePrefix+"s-out", endMarkPrefix+"s-out"

	clear(maintenanceFile)
	block(maintenanceFile) // ending the maintenance cannot remove this
	if err := store.Set(g.loop, "s-out", false); err == nil {
		t.Error("a maintenance ends although its file cannot be removed")
	}
	if !store.inMaintenance["s-out"] {
		t.Error("the host is in use after a failed end of its maintenance")
	}
	if _, err := os.Stat(filepath.Join(dir, endedFile)); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("a failed end of a maintenance leaves its mark: %v", err)
	}
	clear(maintenanceFile)

	block(maintenancePrefix + "s-new") // this maintenance cannot be written
	if err := store.Set(g.loop, "s-new", true); err == nil {
		t.Error("a maintenance begins although it cannot be stored")
	}
	if store.inMaintenance["s-new"] {
		t.Error("the host is in maintenance after a call that failed")
	}
	clear(maintenancePrefix + "s-new")

	block(endMarkPrefix + "s-other") // the earlier mark cannot be removed: the maintenance is stored all the same
	err := store.Set(g.loop, "s-other", true)
	if stored := persistedMaintenance(t, g.loop, tmp)["s-other"]; stored != (err == nil) || store.inMaintenance["s-other"] != stored {
		t.Errorf("the call returns %v, the maintenance is stored: %t, and in force: %t", err, stored, store.inMaintenance["s-other"])
	}
}

// A repeated call that fails keeps what the first one has stored.
func TestFailedRepeatKeepsMaintenance(t *testing.T) {
	g := startGateway(t, testConfig())
	tmp := t.TempDir()
	store := newMaintenanceStore(t, tmp)
	// A link to a device that cannot be synced: the file is there, and a write to it fails.
	if err := os.Symlink("/dev/full", store.maintenanceFile("s-out")); err != nil {
		t.Fatal(err)
	}
	if err := store.Refresh(g.loop); err != nil {
		t.Fatal(err)
	}
	if err := store.Set(g.loop, "s-out", true); err == nil {
		t.Error("a write to a full device succeeds")
	}
	if !store.inMaintenance["s-out"] || !persistedMaintenance(t, g.loop, tmp)["s-out"] {
		t.Error("the maintenance ends with a repeated call that failed")
	}
}

// A process ends a maintenance that another one has begun since it last read the directory as any other:
// the host is cold from then on.
func TestEndOfMaintenanceOfOtherProcess(t *testing.T) {
	tmp := t.TempDir()
	first, second := startGateway(t, testConfig()), startGateway(t, testConfig())
	if err := newMaintenanceStore(t, tmp).Set(first.loop, "s-1", true); err != nil {
		t.Fatal(err)
	}
	store := newMaintenanceStore(t, tmp)
	if err := store.Set(second.loop, "s-1", false); err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(store.endMarkFile("s-1")); err != nil {
		t.Errorf("the end of the maintenance has left no mark: %v", err)
	}
}

// Two ids may have the same hash, which is the number that the module has for a host. The maintenance
// of one must not take the other out of use, whichever becomes known first.
func TestMaintenanceOfCollidingID(t *testing.T) {
	const listed, other = "8yn0iYCKYHlIj4-BwPqk", "GReLUrM4wMqfg9yzV3KQ"
	if hostID(listed) != hostID(other) {
		t.Fatal("the ids have different hashes")
	}
	known := testConfig(newHost(t, answerWith(okAnswer))).Known
	known.Servers[0].ID = listed
	for _, listFirst := range []bool{true, false} {
		g := startGateway(t, testConfig())
		if listFirst {
			g.loop.HandleList(bramblelock.ListFull, known)
		}
		g.loop.setMaintenance(other, true)
		g.loop.HandleList(bramblelock.ListFull, known)
		if resp, _ := g.request("look", "/api/1", ""); resp.StatusCode != 200 {
			t.Errorf("list first %t: status %d while the other host is in maintenance", listFirst, resp.StatusCode)
		}
		g.loop.setMaintenance(listed, true)
		g.loop.setMaintenance(other, false)
		if resp, _ := g.request("look", "/api/1", ""); resp.StatusCode == 200 {
			t.Errorf("list first %t: the host is in use after the end of the other's maintenance", listFirst)
		}
	}
}
