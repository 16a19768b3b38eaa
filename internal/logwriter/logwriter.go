// Package logwriter takes log lines without ever waiting for whoever reads the log.
package logwriter

import (
	"bytes"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// limit is how many bytes of lines may wait to be written, and as many may be under way.
const limit = 128 << 10

// Writer is an io.Writer that queues what is written and writes it from a goroutine of its own.
// Where the reader is too slow, has stopped or has gone, whole lines are lost; their number
// is logged as soon as a line gets through again. It is safe for concurrent use.
type Writer struct {
	out   io.Writer
	limit int

	mu      sync.Mutex
	changed *sync.Cond // queue, writing or closed
	queue   []byte
	writing bool
	lost    int // lines since the last that got through
	total   int // lines lost in all
}

// New returns a Writer to out. What it holds is bounded by twice limit bytes.
func New(out io.Writer, limit int) *Writer {
	w := &Writer{out: out, limit: limit}
	w.changed = sync.NewCond(&w.mu)
	go w.run()
	return w
}

// Install leads the process's log to standard error through a Writer, by slog's default
// logger and with it the standard log package. From then on a standard output or error that
// nobody reads does not end the process by SIGPIPE.
func Install(level slog.Level) *Writer {
	signal.Ignore(syscall.SIGPIPE)
	w := New(os.Stderr, limit)
	slog.SetDefault(slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level})))
	return w
}

// Write queues one line, or loses it. It never waits and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue)+len(line) > w.limit {
		w.lose(1)
		return len(line), nil
	}
	w.queue = append(w.queue, line...)
	w.changed.Broadcast()
	return len(line), nil
}

// Lost is how many lines were lost in all.
func (w *Writer) Lost() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.total
}

// Flush waits until all lines are written, for wait at the most, and says whether they are.
func (w *Writer) Flush(wait time.Duration) bool {
	late := false
	timer := time.AfterFunc(wait, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		late = true
		w.changed.Broadcast()
	})
	defer timer.Stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	for (len(w.queue) > 0 || w.writing) && !late {
		w.changed.Wait()
	}
	return len(w.queue) == 0 && !w.writing
}

// run writes what is queued, for as long as the process runs.
func (w *Writer) run() {
	var lines []byte
	for {
		w.mu.Lock()
		for len(w.queue) == 0 {
			w.changed.Wait()
		}
		lines, w.queue = w.queue, lines[:0]
		w.writing = true
		lost := w.lost
		w.lost = 0
		w.mu.Unlock()
		if lost > 0 {
			lines = append(lines, lossLine(lost)...) // they came when the queue was full
		}
		written, err := w.out.Write(lines)
		w.mu.Lock()
		w.writing = false
		if err != nil {
			w.lose(bytes.Count(lines[written:], []byte("\n")))
			if lost > 0 {
				w.lost, w.total = w.lost+lost-1, w.total-1 // the line about the loss is none of them
			}
		}
		w.changed.Broadcast()
		w.mu.Unlock()
	}
}

// lose counts lines that are lost; w.mu is held.
func (w *Writer) lose(lines int) {
	w.lost += lines
	w.total += lines
}

// lossLine says how many lines are missing.
func lossLine(lost int) []byte {
	var line bytes.Buffer
	slog.New(slog.NewTextHandler(&line, nil)).Warn("log lines lost, the log was not read", "lines", lost)
	return line.Bytes()
}
