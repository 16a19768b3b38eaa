package catalog

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/hashicorp/raft"
)

var errCrash = errors.New("crash")

// storageWithoutLog is a raftStorage that stores no log entries.
type storageWithoutLog struct{ raftStorage }

func (storageWithoutLog) StoreLogs([]*raft.Log) error { return errCrash }

// emptyStorage returns the contents of the file of a raft storage that holds no state.
func emptyStorage(t *testing.T) []byte {
	t.Helper()
	path := filepath.Join(t.TempDir(), storageFile)
	storage, err := openBoltStorage(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := storage.Close(); err != nil {
		t.Fatal(err)
	}
	contents, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return contents
}

// An instance whose first start is interrupted at any step of the bootstrap must bootstrap itself and
// lead at the next start.
func TestInterruptedBootstrapStartsAnew(t *testing.T) {
	interruptions := map[string]func(path string) (raftStorage, error){
		"term without configuration": func(path string) (raftStorage, error) {
			storage, err := openBoltStorage(path)
			return storageWithoutLog{storage}, err
		},
	}
	empty := emptyStorage(t)
	page := os.Getpagesize()
	for _, size := range []int{0, 1, page - 1, page, page + 1, 2 * page, 4*page - 1, 4 * page, len(empty)} {
		interruptions[fmt.Sprintf("file cut to %d bytes", size)] = func(path string) (raftStorage, error) {
			if err := os.WriteFile(path, empty[:size], 0o600); err != nil {
				t.Error(err)
			}
			return nil, errCrash
		}
	}
	for name, openStorage := range interruptions {
		t.Run(name, func(t *testing.T) {
			addr, dir := freeAddr(t), t.TempDir()
			if _, err := Open(Options{DataDir: dir, RaftAddr: addr, LogOutput: io.Discard, openStorage: openStorage}); err == nil {
				t.Fatal("the start was not interrupted")
			}
			c := openSingleNode(t, dir, addr)
			defer c.close()
			c.mustPut("s-1")
		})
	}
	t.Run("file not renamed", func(t *testing.T) {
		addr, dir := freeAddr(t), t.TempDir()
		openSingleNode(t, dir, addr).close()
		if err := os.Rename(filepath.Join(dir, storageFile), filepath.Join(dir, newStorageFile)); err != nil {
			t.Fatal(err)
		}
		c := openSingleNode(t, dir, addr)
		defer c.close()
		c.mustPut("s-1")
	})
}
