package logwriter

import (
	"bytes"
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockableOutput is an output whose writes block while block is locked and fail while it is broken.
type blockableOutput struct {
	block  sync.Mutex
	mu     sync.Mutex
	text   bytes.Buffer
	broken bool
}

func (o *blockableOutput) Write(p []byte) (int, error) {
	o.block.Lock()
	defer o.block.Unlock()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.broken {
		return 0, errors.New("no space")
	}
	return o.text.Write(p)
}

func (o *blockableOutput) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

func (o *blockableOutput) setBroken(broken bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.broken = broken
}

// While nobody reads the log, lines are queued up to the limit and then dropped, in bounded
// memory. Once somebody reads again, the queued lines arrive in order, and then the number of
// dropped lines.
func TestUnreadLinesAreDroppedAndCounted(t *testing.T) {
	const lines, maxBytes = 1000, 400
	out := &blockableOutput{}
	out.block.Lock()
	w := New(out, maxBytes)
	for i := range lines {
		fmt.Fprintf(w, "line %04d\n", i) // 10 bytes
	}
	if len(w.queue) > maxBytes {
		t.Errorf("%d bytes are queued, want at most %d", len(w.queue), maxBytes)
	}
	if w.Flush(10 * time.Millisecond) {
		t.Error("Flush reported lines as written that nobody has read")
	}
	out.block.Unlock()
	if !w.Flush(10 * time.Second) {
		t.Fatal("the queued lines were not written within 10 s")
	}
	dropped := w.Dropped()
	fmt.Fprintln(w, "the last")
	w.Flush(10 * time.Second)
	text := out.String()
	logged := 0 // over one message or more, as some lines may have been dropped before the first write began
	for _, m := range regexp.MustCompile(`lines=(\d+)\n`).FindAllStringSubmatch(text, -1) {
		n, err := strconv.Atoi(m[1])
		if err != nil {
			t.Fatal(err)
		}
		logged += n
	}
	if logged != dropped || !strings.HasSuffix(text, "the last\n") {
		t.Errorf("%d lines were dropped, but the log reports %d; it ends with %q", dropped, logged, text[max(0, len(text)-200):])
	}
	if got := strings.Count(text, "line 0"); got+dropped != lines {
		t.Errorf("%d lines were written and %d dropped, of %d", got, dropped, lines)
	}
	if !strings.HasPrefix(text, "line 0000\nline 0001\n") {
		t.Errorf("the log begins with %q", text[:20])
	}
}

// Writes that fail for a while, as with a full disk or a reader that has gone, drop their lines
// and have no other effect: later lines are written, and the dropped ones are counted.
func TestFailedWritesOnlyLoseLines(t *testing.T) {
	out := &blockableOutput{}
	w := New(out, maxQueuedBytes)
	out.setBroken(true)
	for range 3 {
		fmt.Fprintln(w, "into the full disk")
		w.Flush(10 * time.Second)
	}
	out.setBroken(false)
	fmt.Fprintln(w, "after it")
	w.Flush(10 * time.Second)
	if text := out.String(); !strings.HasPrefix(text, "after it\n") || !strings.HasSuffix(text, "lines=3\n") {
		t.Errorf("the log is %q, want the line after the failures and a count of 3", text)
	}
	if got := w.Dropped(); got != 3 {
		t.Errorf("%d lines dropped, want 3", got)
	}
}
