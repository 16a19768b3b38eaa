package catalog

import (
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"strings"

	"github.com/hashicorp/raft"
)

const (
	snapshotsDir   = "snapshots" // raft's name for the folder of the snapshots
	storageFile    = "raft.db"
	newStorageFile = "raft.db.new" // renamed to storageFile once it holds the bootstrapped cluster
)

// createDataDir creates the data folder unless it exists.
func createDataDir(dir string) error {
	if _, err := os.Stat(dir); !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	return syncDir(filepath.Dir(dir))
}

// syncDir makes the entries of a folder durable.
func syncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// removeInterruptedSnapshots removes the folders of snapshots that were not completed. Raft passes over
// them but never removes them.
func removeInterruptedSnapshots(dataDir string) {
	const suffix = ".tmp" // of a snapshot's folder until raft renames it
	dir := filepath.Join(dataDir, snapshotsDir)
	entries, err := os.ReadDir(dir)
	for _, entry := range entries {
		if strings.HasSuffix(entry.Name(), suffix) {
			err = errors.Join(err, os.RemoveAll(filepath.Join(dir, entry.Name())))
		}
	}
	if err != nil {
		slog.Warn("interrupted snapshots not removed", "err", err)
	}
}

// openStorage opens raft's storage in the data folder. If the folder holds no raft state, it first
// bootstraps the cluster with opt.Peers as its configuration. If it holds part of a bootstrap, it
// completes it.
func openStorage(opt Options, cfg *raft.Config, snapshots raft.SnapshotStore, transport raft.Transport) (*retryingStorage, error) {
	path := filepath.Join(opt.DataDir, storageFile)
	storage, err := openStorageWithState(opt, path, snapshots)
	if err != nil {
		return nil, err
	}
	if storage == nil {
		if err := createStorage(opt, path, cfg, snapshots, transport); err != nil {
			return nil, err
		}
		if storage, err = openStorageFile(opt, path); err != nil {
			return nil, err
		}
	}
	if err := completeBootstrap(opt, cfg, storage, transport); err != nil {
		storage.Close()
		return nil, fmt.Errorf("catalog: bootstrap: %w", err)
	}
	// Nothing else makes the entries of raft.db and of the folder of the snapshots durable.
	if err := syncDir(opt.DataDir); err != nil {
		storage.Close()
		return nil, fmt.Errorf("catalog: data folder: %w", err)
	}
	return storage, nil
}

func openStorageFile(opt Options, path string) (*retryingStorage, error) {
	underlying, err := opt.openStorage(path)
	if err != nil {
		return nil, fmt.Errorf("catalog: log store: %w", err)
	}
	return newRetryingStorage(underlying), nil
}

// openStorageWithState opens the storage at path, or returns nil if there is none or if neither it nor
// the snapshots hold raft state.
func openStorageWithState(opt Options, path string, snapshots raft.SnapshotStore) (*retryingStorage, error) {
	if _, err := os.Stat(path); errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	} else if err != nil {
		return nil, fmt.Errorf("catalog: data folder: %w", err)
	}
	storage, err := openStorageFile(opt, path)
	if err != nil {
		return nil, err
	}
	hasState, err := raft.HasExistingState(storage, storage, snapshots)
	if err == nil && hasState {
		return storage, nil
	}
	storage.Close()
	if err != nil {
		return nil, fmt.Errorf("catalog: data folder: %w", err)
	}
	return nil, nil
}

// createStorage puts a new storage at path that holds a bootstrapped cluster, or no state if there are
// snapshots.
//
// A bootstrap takes several writes: raft counts a folder with a term alone as bootstrapped, although
// such an instance has no configuration and never elects a leader, and a part of an empty database is
// not readable. The storage is therefore built in a file of another name, so that an interrupted
// bootstrap starts anew.
func createStorage(opt Options, path string, cfg *raft.Config, snapshots raft.SnapshotStore, transport raft.Transport) error {
	newPath := filepath.Join(opt.DataDir, newStorageFile)
	if err := os.RemoveAll(newPath); err != nil {
		return fmt.Errorf("catalog: data folder: %w", err)
	}
	storage, err := openStorageFile(opt, newPath)
	if err != nil {
		return err
	}
	err = bootstrap(opt.Peers, cfg, storage, snapshots, transport)
	if closeErr := storage.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return fmt.Errorf("catalog: bootstrap: %w", err)
	}
	if err := os.Rename(newPath, path); err != nil {
		return fmt.Errorf("catalog: data folder: %w", err)
	}
	return nil
}

// bootstrap stores the first configuration of the cluster, unless there are snapshots, which hold one.
func bootstrap(peers []Peer, cfg *raft.Config, storage logAndStableStore, snapshots raft.SnapshotStore, transport raft.Transport) error {
	hasState, err := raft.HasExistingState(storage, storage, snapshots)
	if err != nil || hasState {
		return err
	}
	var configuration raft.Configuration
	for _, p := range peers {
		server := raft.Server{ID: raft.ServerID(p.ID), Address: raft.ServerAddress(p.RaftAddr)}
		configuration.Servers = append(configuration.Servers, server)
	}
	return raft.BootstrapCluster(cfg, storage, storage, snapshots, transport, configuration)
}

// completeBootstrap stores the first configuration of the cluster if the data folder holds a term but
// no configuration, as a bootstrap that was interrupted between the two leaves it: neither a log entry
// nor a snapshot, not even an unreadable one.
//
// The term and the vote stay, because without a configuration raft votes for its peers. The entry is
// the one that each peer has bootstrapped with, so it agrees with the log of any leader.
func completeBootstrap(opt Options, cfg *raft.Config, storage raftStorage, transport raft.Transport) error {
	last, err := storage.LastIndex()
	if err != nil || last > 0 {
		return err
	}
	snapshots, err := os.ReadDir(filepath.Join(opt.DataDir, snapshotsDir))
	if err != nil || len(snapshots) > 0 {
		return err
	}
	// Raft refuses to bootstrap a storage that holds a term.
	complete := raft.NewInmemStore()
	if err := bootstrap(opt.Peers, cfg, complete, raft.NewInmemSnapshotStore(), transport); err != nil {
		return err
	}
	var configuration raft.Log
	if err := complete.GetLog(1, &configuration); err != nil {
		return err
	}
	slog.Warn("data folder holds a term without a configuration, bootstrap completed", "peers", len(opt.Peers))
	return storage.StoreLog(&configuration)
}
