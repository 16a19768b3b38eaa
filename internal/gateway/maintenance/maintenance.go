// Package maintenance stores which hosts operators have put into maintenance, so that it outlives the
// process and both processes of an upgrade know it.
package maintenance

import (
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	directory     = "maintenance" // in $TMPDIR
	hostPrefix    = "host-"       // keeps an id from forming a special name such as ".."
	endMarkPrefix = "back-"       // end mark: maintenance of this host ended at the time that the file holds (see endMark); the host is cold (in slow start) from then on

	pollInterval = 25 * time.Millisecond // at which each of two processes that overlap polls what the other has changed
)

// PropagationTime is the time within which the other of two processes that overlap has polled a change.
// An operator's call is answered after it.
const PropagationTime = 120 * time.Millisecond

// Hosts is notified of the maintenance of hosts.
type Hosts interface {
	// SetMaintenance puts a host into maintenance or ends its maintenance.
	SetMaintenance(id string, on bool)
	// MaintenanceEnded reports that earlier maintenance of a host ended at the given time.
	MaintenanceEnded(id string, at time.Time)
}

// Store keeps which hosts are in maintenance, in a directory that both processes of an upgrade share.
// Each host has a file of its own, so that concurrent writes cannot corrupt each other.
type Store struct {
	dir string // empty if maintenance ends with the process

	mu            sync.Mutex // held from a change, or from reading the directory, until Hosts has been notified
	inMaintenance map[string]bool
	endMarksRead  bool // the end marks that were there at the start of this process have been read
}

// NewStore returns a store in a subdirectory of tmp, the value of TMPDIR. The platform decides how long
// the files in tmp are kept. If tmp is empty, maintenance ends with the process.
func NewStore(tmp string) (*Store, error) {
	s := &Store{inMaintenance: map[string]bool{}}
	if tmp == "" {
		return s, nil
	}
	s.dir = filepath.Join(tmp, directory)
	if err := os.MkdirAll(s.dir, 0o700); err != nil {
		return nil, fmt.Errorf("TMPDIR: %w", err)
	}
	return s, nil
}

// Set puts a host into maintenance or ends its maintenance, and notifies hosts.
func (s *Store) Set(hosts Hosts, id string, on bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.persist(hosts, id, on); err != nil {
		return err
	}
	s.apply(hosts, id, on)
	return nil
}

// persist stores a change, unless maintenance ends with the process.
func (s *Store) persist(hosts Hosts, id string, on bool) error {
	switch {
	case s.dir == "":
		return nil
	case on:
		return s.persistStart(id)
	}
	if !s.inMaintenance[id] && s.stored(id) {
		// Another process has put the host into maintenance since this one last read the directory. It
		// must know that before the end, which makes the host cold.
		s.apply(hosts, id, true)
	}
	return s.persistEnd(id)
}

func (s *Store) maintenanceFile(id string) string {
	return filepath.Join(s.dir, hostPrefix+url.QueryEscape(id))
}
func (s *Store) endMarkFile(id string) string {
	return filepath.Join(s.dir, endMarkPrefix+url.QueryEscape(id))
}

// stored returns whether the directory says that a host is in maintenance.
func (s *Store) stored(id string) bool {
	_, err := os.Lstat(s.maintenanceFile(id))
	return err == nil
}

// persistStart stores that a host is in maintenance and removes its end mark. If it fails, it leaves
// what was stored before the call; a failure of that is logged.
func (s *Store) persistStart(id string) error {
	file, stored := s.maintenanceFile(id), s.stored(id)
	if err := s.write(file, ""); err != nil {
		if !stored { // the file of an earlier call stays, as that maintenance goes on
			s.removeFailed(file)
		}
		return err
	}
	if err := s.remove(s.endMarkFile(id)); err != nil {
		// While the host is in maintenance, the end mark has no effect but that the host is cold
		// afterwards.
		slog.Warn("failed to remove the mark of an earlier end of maintenance", "host", id, "err", err)
	}
	return nil
}

// persistEnd stores that the maintenance of a host has ended, and when. If it fails for a host
// in maintenance, it restores what was stored, as well as it can: the restored file is not synced, and
// a failure to restore is logged.
func (s *Store) persistEnd(id string) error {
	// No end mark is written for a host that is not in maintenance, so that a repeated call does not make
	// it cold again.
	if s.inMaintenance[id] {
		if err := s.write(s.endMarkFile(id), newEndMark().String()); err != nil {
			s.removeFailed(s.endMarkFile(id))
			return err
		}
	}
	err := s.remove(s.maintenanceFile(id))
	if err != nil && s.inMaintenance[id] {
		s.removeFailed(s.endMarkFile(id))
		if err := os.WriteFile(s.maintenanceFile(id), nil, 0o600); err != nil { // remove may have removed the file and then failed to sync the directory
			slog.Error("failed to restore the maintenance of a host after an error", "host", id, "err", err)
		}
	}
	return err
}

// write creates or replaces a file so that it survives a loss of power. If it fails, the file may be
// there, with any part of the text.
func (s *Store) write(path, text string) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = f.WriteString(text)
	err = errors.Join(err, f.Sync(), f.Close())
	if err != nil {
		return err
	}
	return s.sync()
}

// remove removes a file, if it exists, in a way that survives a loss of power.
func (s *Store) remove(path string) error {
	err := os.Remove(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return nil
	case err != nil:
		return err
	}
	return s.sync()
}

// sync makes creations and removals of files in the directory durable.
func (s *Store) sync() error {
	dir, err := os.Open(s.dir)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

// removeFailed removes the file that a failed call has written.
func (s *Store) removeFailed(path string) {
	if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		slog.Error("failed to remove the file of a failed call", "file", path, "err", err)
	}
}

// apply records a change and notifies hosts. The caller holds s.mu, so that Hosts receives
// changes in order.
func (s *Store) apply(hosts Hosts, id string, on bool) {
	if on {
		s.inMaintenance[id] = true
	} else {
		delete(s.inMaintenance, id)
	}
	hosts.SetMaintenance(id, on)
}

// Refresh reads the directory and notifies hosts of what has changed. The first call that reads it
// also reports to hosts, from the end marks, when earlier maintenance of hosts ended.
func (s *Store) Refresh(hosts Hosts) error {
	if s.dir == "" {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	entries, err := os.ReadDir(s.dir)
	if err != nil {
		return err
	}
	onDisk := map[string]bool{}
	for _, e := range entries {
		kind, name, _ := strings.Cut(e.Name(), "-")
		id, err := url.QueryUnescape(name)
		switch {
		case err != nil:
		case kind+"-" == hostPrefix:
			onDisk[id] = true
		case kind+"-" == endMarkPrefix && !s.endMarksRead:
			if info, err := e.Info(); err == nil {
				hosts.MaintenanceEnded(id, endedAt(filepath.Join(s.dir, e.Name()), info))
			}
		}
	}
	s.endMarksRead = true
	for id := range s.inMaintenance {
		if !onDisk[id] {
			s.apply(hosts, id, false)
		}
	}
	for id := range onDisk {
		if !s.inMaintenance[id] {
			s.apply(hosts, id, true)
		}
	}
	return nil
}

// Watch calls Refresh every pollInterval until done is closed. It logs the first of several
// errors in a row.
func (s *Store) Watch(hosts Hosts, done <-chan struct{}) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	failing := false
	for {
		select {
		case <-done:
			return
		case <-tick.C:
		}
		err := s.Refresh(hosts)
		if err != nil && !failing {
			slog.Error("failed to read the maintenance of hosts, keeping the last state", "err", err)
		}
		failing = err != nil
	}
}
