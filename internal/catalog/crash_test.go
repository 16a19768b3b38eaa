package catalog

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"testing"

	"github.com/hashicorp/raft"
)

const metaPages = 2 // the first pages of a bbolt file; a commit syncs all other pages and then writes one of them

// A log write that is interrupted at any byte must leave the entries that were acknowledged before it,
// and the interrupted one whole or not at all.
func TestInterruptedLogWriteKeepsAcknowledgedEntries(t *testing.T) {
	const acknowledged = 3
	path := filepath.Join(t.TempDir(), storageFile)
	entry := func(index uint64) *raft.Log {
		return &raft.Log{Index: index, Term: 1, Data: fmt.Appendf(nil, `{"op":"put","id":"s-%d"}`, index)}
	}
	storage, err := openBoltStorage(path)
	if err != nil {
		t.Fatal(err)
	}
	for index := uint64(1); index <= acknowledged; index++ {
		if err := storage.StoreLog(entry(index)); err != nil {
			t.Fatal(err)
		}
	}
	before, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := storage.StoreLog(entry(acknowledged + 1)); err != nil {
		t.Fatal(err)
	}
	after, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := storage.Close(); err != nil {
		t.Fatal(err)
	}
	if len(before) != len(after) {
		t.Fatalf("the file grew from %d to %d bytes", len(before), len(after))
	}
	checkImage := func(what string, image []byte) {
		t.Helper()
		if err := os.WriteFile(path, image, 0o600); err != nil {
			t.Fatal(err)
		}
		storage, err := openBoltStorage(path)
		if err != nil {
			t.Errorf("%s: %v", what, err)
			return
		}
		defer storage.Close()
		last, err := storage.LastIndex()
		if err != nil || last != acknowledged && last != acknowledged+1 {
			t.Errorf("%s: last entry %d, %v", what, last, err)
		}
		for index := uint64(1); index <= last; index++ {
			var got raft.Log
			if err := storage.GetLog(index, &got); err != nil || !bytes.Equal(got.Data, entry(index).Data) {
				t.Errorf("%s: entry %d is %q, %v", what, index, got.Data, err)
			}
		}
	}
	image := bytes.Clone(before)
	metaBytes := metaPages * os.Getpagesize()
	for _, part := range []struct {
		name     string
		from, to int
	}{{"data page", metaBytes, len(after)}, {"meta page", 0, metaBytes}} {
		for i := part.from; i < part.to; i++ {
			if image[i] != after[i] {
				image[i] = after[i]
				checkImage(fmt.Sprintf("%s written up to byte %d", part.name, i), image)
			}
		}
	}
}

// A snapshot whose files are cut or whose folder was not renamed must be passed over at the next start.
// The one before and the log then give the whole list.
func TestInterruptedSnapshotIsPassedOver(t *testing.T) {
	addr, dir := freeAddr(t), t.TempDir()
	c := openSingleNode(t, dir, addr)
	for _, id := range []string{"s-1", "s-2"} {
		c.mustPut(id)
		if err := c.node.raft.Snapshot().Error(); err != nil {
			t.Fatal(err)
		}
	}
	version := c.node.store.Version()
	snapshots, err := raft.NewFileSnapshotStore(dir, 2, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	list, err := snapshots.List()
	if err != nil || len(list) != 2 {
		t.Fatalf("%d snapshots, %v", len(list), err)
	}
	c.close()
	newest := filepath.Join(dir, "snapshots", list[0].ID)
	checkStart := func(what string) {
		t.Helper()
		c := openSingleNode(t, dir, addr)
		defer c.close()
		c.mustPut("s-1") // succeeds only once the log is applied; changes nothing but the version
		_, found := c.node.store.member("s-2")
		if !found || c.node.store.Version() <= version {
			t.Errorf("%s: s-2 found %v, version %d after %d", what, found, c.node.store.Version(), version)
		}
		version = c.node.store.Version()
	}
	for _, name := range []string{"state.bin", "meta.json"} {
		path := filepath.Join(newest, name)
		whole, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for _, size := range []int{0, len(whole) / 2, len(whole) - 2} {
			if err := os.WriteFile(path, whole[:size], 0o600); err != nil {
				t.Fatal(err)
			}
			checkStart(fmt.Sprintf("%s cut to %d of %d bytes", name, size, len(whole)))
		}
		if err := os.WriteFile(path, whole, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if err := os.Rename(newest, newest+".tmp"); err != nil {
		t.Fatal(err)
	}
	checkStart("folder not renamed")
	if _, err := os.Stat(newest + ".tmp"); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("the folder of the interrupted snapshot was not removed: %v", err)
	}
}

// A list that is cut at any byte must not be restored in part.
func TestCutListIsNotRestored(t *testing.T) {
	encoded, err := json.Marshal(snapshot{Base: 1, Version: 3, Servers: []Member{{ID: "s-1", Addr: "127.0.0.1:80", State: "ready"}, {ID: "s-2"}}})
	if err != nil {
		t.Fatal(err)
	}
	store := NewStore()
	for size := range encoded {
		if err := store.Restore(io.NopCloser(bytes.NewReader(encoded[:size]))); err == nil || store.Version() != 0 {
			t.Errorf("a list cut to %d of %d bytes was restored", size, len(encoded))
		}
	}
	if err := store.Restore(io.NopCloser(bytes.NewReader(encoded))); err != nil || store.Version() != 3 || len(store.members) != 2 {
		t.Errorf("the whole list: %v, version %d", err, store.Version())
	}
}
