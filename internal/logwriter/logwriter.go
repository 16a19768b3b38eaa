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

// maxQueuedBytes limits the log lines in the queue. The lines of a write in progress are no longer
// in the queue and may take as many bytes again.
const maxQueuedBytes = 128 << 10

// Writer is an io.Writer that queues lines and writes them from a goroutine of its own. While the
// reader of the output is too slow, stopped or gone, whole lines are dropped. Their number is logged
// after the next lines that are written from the queue; while the queue is empty, that waits for a
// further line. A Writer is safe for concurrent use.
type Writer struct {
	out   io.Writer
	limit int // of queue, in bytes

	mu           sync.Mutex
	stateChanged *sync.Cond // signalled when queue or writing changes and when a Flush times out
	queue        []byte     // lines that run has not taken yet
	writing      bool       // run is writing lines that it has taken from queue
	unreported   int        // dropped lines that no message about dropped lines has counted yet
	totalDropped int        // lines dropped since the start
}

// New returns a Writer to out that holds at most twice limit bytes of lines: limit in the queue, and
// as many in the write in progress.
func New(out io.Writer, limit int) *Writer {
	w := &Writer{out: out, limit: limit}
	w.stateChanged = sync.NewCond(&w.mu)
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
		w.addDropped(1)
		return len(line), nil
	}
	w.queue = append(w.queue, line...)
	w.stateChanged.Broadcast()
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start, because the queue was full or a write
// failed.
func (w *Writer) Dropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.totalDropped
}

// Flush waits until no line is queued or being written, but no longer than wait, and reports whether
// that is so. Lines of a failed write are dropped and not waited for.
func (w *Writer) Flush(wait time.Duration) bool {
	timedOut := false
	timer := time.AfterFunc(wait, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		timedOut = true
		w.stateChanged.Broadcast()
	})
	defer timer.Stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	for (len(w.queue) > 0 || w.writing) && !timedOut {
		w.stateChanged.Wait()
	}
	return len(w.queue) == 0 && !w.writing
}

// run writes queued lines for as long as the process runs. It uses two buffers in turn: while one is
// written, Write fills the other as the queue.
func (w *Writer) run() {
	var lines []byte
	for {
		w.mu.Lock()
		for len(w.queue) == 0 {
			w.stateChanged.Wait()
		}
		lines, w.queue = w.queue, lines[:0]
		w.writing = true
		dropped := w.unreported
		w.unreported = 0
		w.mu.Unlock()
		if dropped > 0 {
			lines = append(lines, droppedLinesMessage(dropped)...) // at the end: a full queue drops lines that come after the queued ones
		}
		written, err := w.out.Write(lines)
		w.mu.Lock()
		w.writing = false
		if err != nil {
			w.addDropped(bytes.Count(lines[written:], []byte("\n")))
			if dropped > 0 {
				w.addDropped(-1)        // addDropped counted the message itself, which is no dropped line
				w.unreported += dropped // the lines that the message was to report
			}
		}
		w.stateChanged.Broadcast()
		w.mu.Unlock()
	}
}

// addDropped counts dropped lines. The caller holds w.mu.
func (w *Writer) addDropped(lines int) {
	w.unreported += lines
	w.totalDropped += lines
}

// droppedLinesMessage returns the log line that reports dropped lines.
func droppedLinesMessage(dropped int) []byte {
	var line bytes.Buffer
	slog.New(slog.NewTextHandler(&line, nil)).Warn("log lines lost, the log was not read", "lines", dropped)
	return line.Bytes()
}
