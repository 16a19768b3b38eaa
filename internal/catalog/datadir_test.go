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

const votedTerm = 3 // of the vote of storeVote

// storeVote makes a storage without log entries that holds a term and a vote for a peer.
func storeVote(t *testing.T, dir string) {
	t.Helper()
	storage, err := openBoltStorage(filepath.Join(dir, storageFile))
	if err != nil {
		t.Fatal(err)
	}
	err = errors.Join(storage.SetUint64([]byte("CurrentTerm"), votedTerm), storage.SetUint64([]byte("LastVoteTerm"), votedTerm),
		storage.Set([]byte("LastVoteCand"), []byte("peer")), storage.Close())
	if err != nil {
		t.Fatal(err)
	}
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
	t.Run("term and vote without configuration in the renamed file", func(t *testing.T) {
		addr, dir := freeAddr(t), t.TempDir()
		storeVote(t, dir)
		c := openSingleNode(t, dir, addr)
		defer c.close()
		c.mustPut("s-1")
		if term := c.node.raft.CurrentTerm(); term <= votedTerm {
			t.Errorf("leads in term %d although it voted for a peer in term %d", term, votedTerm)
		}
	})
	t.Run("term and vote beside an unreadable snapshot", func(t *testing.T) {
		addr, dir := freeAddr(t), t.TempDir()
		storeVote(t, dir)
		if err := os.MkdirAll(filepath.Join(dir, snapshotsDir, "1-1-1"), 0o755); err != nil {
			t.Fatal(err)
		}
		c := openSingleNode(t, dir, addr)
		defer c.close()
		if last, err := c.storage.LastIndex(); last != 0 || err != nil {
			t.Errorf("a folder that lost its state was bootstrapped anew: last log entry %d, %v", last, err)
		}
	})
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
