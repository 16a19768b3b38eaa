package gateway

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
	bansFolder = "maintenance" // in $TMPDIR
	banPrefix  = "host-"       // so that no id makes a name with a meaning, such as ".."
	backPrefix = "back-"       // a host that was called back when this was written: it is cold

	// While two processes overlap, each looks this often at what the other has banned.
	// An answer to an operator waits banSettle, in which the other has looked.
	bansEvery = 25 * time.Millisecond
	banSettle = 120 * time.Millisecond
)

// Bans keeps which hosts operators have taken out, in a folder that both processes of an
// upgrade share: one empty file a host, so that no two writes can spoil each other.
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
		ban := filepath.Join(b.dir, banPrefix+url.QueryEscape(id))
		back := filepath.Join(b.dir, backPrefix+url.QueryEscape(id))
		write, remove := ban, back
		if !out {
			write, remove = back, ban
		}
		if !out && !b.out[id] {
			write = "" // it is in use: a call that is repeated does not make it cold anew
		}
		if write != "" {
			if err := os.WriteFile(write, nil, 0o600); err != nil {
				return err
			}
		}
		if err := os.Remove(remove); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
	}
	b.tell(loop, id, out)
	return nil
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

// calledBackAt is when the mark of a call back was written.
func calledBackAt(_ string, mark fs.FileInfo) time.Time { return mark.ModTime() }

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
