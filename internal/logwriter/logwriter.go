// Package logwriter writes log lines without ever blocking on the reader of the log.
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

// maxQueuedBytes limits the log lines that wait to be written. A write in progress may hold as
// many bytes again.
const maxQueuedBytes = 128 << 10

// Writer is an io.Writer that queues lines and writes them from a goroutine of its own. While the
// reader of the output is too slow, stopped or gone, whole lines are dropped; their number is
// logged as soon as a line can be written again. A Writer is safe for concurrent use.
type Writer struct {
	out   io.Writer
	limit int

	mu        sync.Mutex
	changed   *sync.Cond // signals changes of queue and writing, and the timeout of Flush
	queue     []byte
	writing   bool
	lost      int // lines dropped since the last message about dropped lines
	totalLost int // lines dropped since the start
}

// New returns a Writer to out that holds at most twice limit bytes of lines.
func New(out io.Writer, limit int) *Writer {
	w := &Writer{out: out, limit: limit}
	w.changed = sync.NewCond(&w.mu)
	go w.run()
	return w
}

// Install sets slog's default logger, and with it the standard log package, to write lines of the
// given level and above to standard error through a Writer. From then on, SIGPIPE from a standard
// output or error that nobody reads no longer ends the process.
func Install(level slog.Level) *Writer {
	signal.Ignore(syscall.SIGPIPE)
	w := New(os.Stderr, maxQueuedBytes)
	slog.SetDefault(slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level})))
	return w
}

// Write queues one line, or drops it if the queue is full. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue)+len(line) > w.limit {
		w.addLost(1)
		return len(line), nil
	}
	w.queue = append(w.queue, line...)
	w.changed.Broadcast()
	return len(line), nil
}

// Lost returns the total number of lines dropped.
func (w *Writer) Lost() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.totalLost
}

// Flush waits until all lines are written, but no longer than wait, and reports whether they are.
func (w *Writer) Flush(wait time.Duration) bool {
	timedOut := false
	timer := time.AfterFunc(wait, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		timedOut = true
		w.changed.Broadcast()
	})
	defer timer.Stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	for (len(w.queue) > 0 || w.writing) && !timedOut {
		w.changed.Wait()
	}
	return len(w.queue) == 0 && !w.writing
}

// run writes queued lines for as long as the process runs.
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
			lines = append(lines, lostLinesMessage(lost)...) // these lines were dropped after the queued ones
		}
		written, err := w.out.Write(lines)
		w.mu.Lock()
		w.writing = false
		if err != nil {
			w.addLost(bytes.Count(lines[written:], []byte("\n")))
			if lost > 0 {
				w.lost, w.totalLost = w.lost+lost-1, w.totalLost-1 // does not count the message about dropped lines itself
			}
		}
		w.changed.Broadcast()
		w.mu.Unlock()
	}
}

// addLost counts dropped lines. The caller holds w.mu.
func (w *Writer) addLost(lines int) {
	w.lost += lines
	w.totalLost += lines
}

// lostLinesMessage returns the log line that reports dropped lines.
func lostLinesMessage(lost int) []byte {
	var line bytes.Buffer
	slog.New(slog.NewTextHandler(&line, nil)).Warn("log lines lost, the log was not read", "lines", lost)
	return line.Bytes()
}
