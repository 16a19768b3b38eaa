package gateway

import (
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	bansFolder = "maintenance" // in $TMPDIR
	banPrefix  = "host-"       // so that no id makes a name with a meaning, such as ".."
	backPrefix = "back-"       // a host that was called back when this was written: it is cold

	// While two processes overlap, each looks this often at what the other has banned.
	// An answer to an operator waits banSettle, in which the other has looked.
	bansEvery = 25 * time.Millisecond
	banSettle = 120 * time.Millisecond
)

// Bans keeps which hosts operators have taken out, in a folder that both processes of an
// upgrade share: one file a host, so that no two writes can spoil each other.
type Bans struct {
	dir string // "": bans end with the process

	mu     sync.Mutex // held from a change or a look until the loop has been told of it
	out    map[string]bool
	looked bool // what was called back before this process is told
}

// NewBans returns the bans kept in a folder of tmp. Without tmp, which is the platform's
// to keep and to clear, bans live as long as the process.
func NewBans(tmp string) (*Bans, error) {
	b := &Bans{out: map[string]bool{}}
	if tmp == "" {
		return b, nil
	}
	b.dir = filepath.Join(tmp, bansFolder)
	if err := os.MkdirAll(b.dir, 0o700); err != nil {
		return nil, fmt.Errorf("TMPDIR: %w", err)
	}
	return b, nil
}

// Set bans a host or ends its ban, and tells the loop.
func (b *Bans) Set(loop *Loop, id string, out bool) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.dir != "" {
		keep := b.keepBan
		if !out {
			keep = b.keepCallBack
		}
		if err := keep(id); err != nil {
			return err
		}
	}
	b.tell(loop, id, out)
	return nil
}

func (b *Bans) banFile(id string) string { return filepath.Join(b.dir, banPrefix+url.QueryEscape(id)) }
func (b *Bans) backFile(id string) string {
	return filepath.Join(b.dir, backPrefix+url.QueryEscape(id))
}

// keepBan writes that a host is out. An error means that nothing has changed.
func (b *Bans) keepBan(id string) error {
	if err := b.write(b.banFile(id), ""); err != nil {
		return err
	}
	if err := b.remove(b.backFile(id)); err != nil {
		// Beside a ban the mark only says that the host is cold, once it is called back.
		slog.Warn("mark of an older call back not removed", "host", id, "err", err)
	}
	return nil
}

// keepCallBack writes that a host is in use again, and since when. An error means that nothing
// has changed.
func (b *Bans) keepCallBack(id string) error {
	if b.out[id] { // else it is in use: a call that is repeated does not make it cold anew
		if err := b.write(b.backFile(id), strconv.FormatInt(int64(sinceBoot()), 10)); err != nil {
			return err
		}
	}
	err := b.remove(b.banFile(id))
	if err != nil && b.out[id] {
		b.undo(b.backFile(id))
		if err := os.WriteFile(b.banFile(id), nil, 0o600); err != nil { // it may be gone, and that not yet kept
			slog.Error("ban not kept after a call back that failed", "host", id, "err", err)
		}
	}
	return err
}

// write makes a file that outlasts a loss of power, or none.
func (b *Bans) write(path, text string) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = f.WriteString(text)
	err = errors.Join(err, f.Sync(), f.Close())
	if err == nil {
		err = b.sync()
	}
	if err != nil {
		b.undo(path)
	}
	return err
}

// remove removes a file, if it is there, so that it stays removed after a loss of power.
func (b *Bans) remove(path string) error {
	err := os.Remove(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return nil
	case err != nil:
		return err
	}
	return b.sync()
}

// sync makes what was created and removed in the folder last.
func (b *Bans) sync() error {
	dir, err := os.Open(b.dir)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

// undo removes what a call has written that failed.
func (b *Bans) undo(path string) {
	if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		slog.Error("what a failed call has written is not removed", "file", path, "err", err)
	}
}

// sinceBoot is the time since the machine started, which no step of the wall clock changes and
// all its processes read alike; 0 where it cannot be read.
func sinceBoot() time.Duration {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		return 0
	}
	return time.Duration(at.Nano())
}

// tell is called with b.mu held, so that the loop hears of changes in their order.
func (b *Bans) tell(loop *Loop, id string, out bool) {
	if out {
		b.out[id] = true
	} else {
		delete(b.out, id)
	}
	loop.maintain(id, out)
}

// Look tells the loop what has changed in the folder.
func (b *Bans) Look(loop *Loop) error {
	if b.dir == "" {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	entries, err := os.ReadDir(b.dir)
	if err != nil {
		return err
	}
	now := map[string]bool{}
	for _, e := range entries {
		kind, name, _ := strings.Cut(e.Name(), "-")
		id, err := url.QueryUnescape(name)
		switch {
		case err != nil:
		case kind+"-" == banPrefix:
			now[id] = true
		case kind+"-" == backPrefix && !b.looked:
			if info, err := e.Info(); err == nil {
				loop.calledBack(id, calledBackAt(filepath.Join(b.dir, e.Name()), info))
			}
		}
	}
	b.looked = true
	for id := range b.out {
		if !now[id] {
			b.tell(loop, id, false)
		}
	}
	for id := range now {
		if !b.out[id] {
			b.tell(loop, id, true)
		}
	}
	return nil
}

// calledBackAt is when the mark of a call back was written: as it says itself, on the clock of
// this boot, or else by the time of the file.
func calledBackAt(path string, mark fs.FileInfo) time.Time {
	now := time.Now()
	if text, err := os.ReadFile(path); err == nil {
		written, err := strconv.ParseInt(string(text), 10, 64)
		age := sinceBoot() - time.Duration(written)
		if err == nil && age >= 0 {
			return now.Add(-age)
		}
	}
	return now.Add(-max(0, now.Sub(mark.ModTime())))
}

// Watch looks again and again, until done is closed.
func (b *Bans) Watch(loop *Loop, done <-chan struct{}) {
	tick := time.NewTicker(bansEvery)
	defer tick.Stop()
	failing := false
	for {
		select {
		case <-done:
			return
		case <-tick.C:
		}
		err := b.Look(loop)
		if err != nil && !failing {
			slog.Error("bans of hosts cannot be read, the last ones stand", "err", err)
		}
		failing = err != nil
	}
}
