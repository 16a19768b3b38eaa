package membership

import (
	"io"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"
)

// A line between these is what memberlist logs when its own probe of a peer fails; the name of the peer
// is between them.
const (
	suspectLogPrefix = "[INFO] memberlist: Suspect "
	suspectLogSuffix = " has failed, no acks received"
)

// decodeFailureTexts are parts of the lines that memberlist logs for packets and streams that it cannot
// decode. It has no typed errors for them.
var decodeFailureTexts = []string{"decode", "message type", "Failed to read", "too small"}

const logInterval = time.Second // the least time between two lines that are forwarded

// logSink receives memberlist's log lines. It marks the peers that memberlist suspects, counts decoding
// failures, and forwards lines other than debug and info to slog, at most one per logInterval. Further
// lines are dropped.
type logSink struct {
	node       *Node
	mu         sync.Mutex
	lastLogged time.Time
}

// Write implements io.Writer. It gets one line in each call.
func (s *logSink) Write(b []byte) (int, error) {
	line := strings.TrimSpace(string(b))
	if name, ok := suspectedPeer(line); ok {
		s.node.setLiveness(name, Suspect)
	}
	if strings.Contains(line, "[DEBUG]") || strings.Contains(line, "[INFO]") {
		return len(b), nil
	}
	if isDecodeFailure(line) {
		s.node.unreadable.Add(1)
	}
	s.forward(line)
	return len(b), nil
}

// suspectedPeer returns the name of the peer of which a line says that it is suspected.
func suspectedPeer(line string) (name string, ok bool) {
	rest, ok := strings.CutPrefix(line, suspectLogPrefix)
	if !ok {
		return "", false
	}
	return strings.CutSuffix(rest, suspectLogSuffix)
}

// isDecodeFailure reports whether a line says that a packet or stream could not be decoded.
func isDecodeFailure(line string) bool {
	return slices.ContainsFunc(decodeFailureTexts, func(text string) bool { return strings.Contains(line, text) })
}

// forward logs a line, unless one was logged within logInterval.
func (s *logSink) forward(line string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.lastLogged) >= logInterval {
		s.lastLogged = time.Now()
		slog.Warn("memberlist logged a problem", "line", line, "unreadable", s.node.unreadable.Load())
	}
}

var _ io.Writer = (*logSink)(nil)
