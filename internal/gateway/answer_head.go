package gateway

import (
	"io"
	"math"
)

// maxHeadLines is how many lines the head of an answer may have. net/http makes an entry of a map of each.
const maxHeadLines = 200

// answerReader reads from the connection to a host and limits the head of an answer, in bytes and lines. Beyond a
// limit, it returns io.EOF.
type answerReader struct {
	conn      io.Reader
	remaining int64 // bytes that may still be read
	inHead    bool  // the end of the head has not been read yet
	lines     int   // lines of the head that have been read
	lineBytes int   // bytes of the present line, without line ends
	exceeded  bool  // a head is longer than the limits

	progress *answerProgress // of the present attempt; nil before the first one
}

// startHead makes the limits apply to what is read next.
func (r *answerReader) startHead() {
	r.remaining, r.inHead, r.exceeded = maxHeadBytes, true, false
	r.lines, r.lineBytes = 0, 0
}

// endHead lifts the limits.
func (r *answerReader) endHead() { r.remaining, r.inHead = math.MaxInt64, false }

// Read reads as an io.Reader does.
func (r *answerReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 || r.exceeded {
		r.exceeded = true
		return 0, io.EOF
	}
	p = p[:min(int64(len(p)), r.remaining)]
	n, err := r.conn.Read(p)
	r.remaining -= int64(n)
	if r.progress != nil {
		r.progress.bytes.Add(int64(n))
	}
	r.countLines(p[:n])
	if r.exceeded {
		return 0, io.EOF
	}
	return n, err
}

// countLines counts the lines of the head in bytes that were read.
func (r *answerReader) countLines(read []byte) {
	for _, b := range read {
		switch {
		case !r.inHead:
			return
		case b == '\n':
			r.lines++
			r.inHead = r.lineBytes > 0 || r.lines == 1 // an empty line ends the head
			r.exceeded = r.lines > maxHeadLines
			r.lineBytes = 0
		case b != '\r':
			r.lineBytes++
		}
	}
}
