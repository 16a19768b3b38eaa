package membership

import (
	"bytes"
	"io"
	"log/slog"
	"sync"
	"time"
)

// suspectLogPrefix begins the line that memberlist logs when its own probe of a peer fails.
const suspectLogPrefix = "[INFO] memberlist: Suspect "

// logSink receives memberlist's log lines. It marks the peers that memberlist suspects, counts decoding
// failures, and forwards lines other than debug and info to slog, at most one per second. Further lines
// are dropped.
type logSink struct {
	node       *Node
	mu         sync.Mutex
	lastLogged time.Time
}

func (s *logSink) Write(b []byte) (int, error) {
	line := string(bytes.TrimSpace(b))
	if event, ok := bytes.CutPrefix(bytes.TrimSpace(b), []byte(suspectLogPrefix)); ok {
		if name, ok := bytes.CutSuffix(event, []byte(" has failed, no acks received")); ok {
			s.node.setLiveness(string(name), Suspect)
		}
	}
	if bytes.Contains(b, []byte("[DEBUG]")) || bytes.Contains(b, []byte("[INFO]")) {
		return len(b), nil
	}
	if bytes.Contains(b, []byte("decode")) || bytes.Contains(b, []byte("message type")) ||
		bytes.Contains(b, []byte("Failed to read")) || bytes.Contains(b, []byte("too small")) {
		s.node.unreadable.Add(1)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.lastLogged) >= time.Second {
		s.lastLogged = time.Now()
		slog.Warn("memberlist logged a problem", "line", line, "unreadable", s.node.unreadable.Load())
	}
	return len(b), nil
}

var _ io.Writer = (*logSink)(nil)
