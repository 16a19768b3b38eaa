package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// trace describes a request as its client and the hosts recorded it, with the lines about it in the logs
// of its gateway.
func (s *soak) trace(req *request) []string {
	at := func(t time.Time) string {
		if t.IsZero() {
			return "-"
		}
		return fmt.Sprintf("%.3f", t.Sub(s.loadStart).Seconds())
	}
	out := []string{fmt.Sprintf("client: to %s.%d, first byte %s, whole %s, left %s, ended %s, status %d, %v, in place of %q", req.gateway, req.generation,
		at(req.firstByteAt), at(req.sentAt), at(req.abandonedAt), at(req.endedAt), req.status, req.err, req.retryOf)}
	for _, attempt := range req.attempts {
		out = append(out, fmt.Sprintf("server %s: first byte %s, whole %s, told %v, turned away %t", attempt.host, at(attempt.firstByteAt), at(attempt.receivedAt), attempt.timeout, attempt.rejected))
	}
	logs, _ := filepath.Glob(filepath.Join(s.dir, req.gateway+".*.log"))
	for _, name := range logs {
		text, _ := os.ReadFile(name)
		if lines := linesWith(string(text), req.id, 30); lines != "" {
			out = append(out, filepath.Base(name)+": "+lines)
		}
	}
	return out
}

// linesWith returns the lines of a text that contain a word, at most limit of them, as one string that
// indents all but the first for a trace.
func linesWith(text, word string, limit int) string {
	var out []string
	for line := range strings.SplitSeq(text, "\n") {
		if strings.Contains(line, word) && len(out) < limit {
			out = append(out, line)
		}
	}
	return strings.Join(out, "\n        ")
}

// lastLines returns the last n lines of a text.
func lastLines(text string, n int) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return strings.Join(lines[max(0, len(lines)-n):], "\n")
}
