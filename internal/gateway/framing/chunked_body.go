package framing

import (
	"bytes"
	"time"
)

// ChunkedBody decodes a chunked body as its bytes arrive, however they are cut.
type ChunkedBody struct {
	parser Parser
	head   *Head // of the body; complete once the end of the body has arrived
}

// NewChunkedBody returns a ChunkedBody of which nothing has arrived.
func NewChunkedBody() *ChunkedBody {
	head := new(Head)
	return &ChunkedBody{parser: Parser{state: parsingChunkSize, lastHead: head}, head: head}
}

// Decode decodes bytes that have arrived, in place: it moves the data among them to the beginning of in and returns how
// many bytes of data there are, and how many bytes of in belong to the body: fewer than all if in goes on after its end.
func (b *ChunkedBody) Decode(in []byte) (data, used int) {
	now := time.Now()
	for used < len(in) && !b.Ended() && !b.Malformed() {
		rest := in[used:]
		n := bytes.IndexByte(rest, '\n') + 1
		if b.parser.state == parsingChunk {
			n = int(min(b.parser.remaining, int64(len(rest))))
			data += copy(in[data:], rest[:n])
		} else if n == 0 {
			n = len(rest)
		}
		b.parser.Parse(rest[:n], now, now)
		used += n
	}
	return data, used
}

// Ended returns whether the end of the body has arrived.
func (b *ChunkedBody) Ended() bool { return !b.head.CompleteAt.IsZero() }

// Malformed returns whether the framing of the body is faulty.
func (b *ChunkedBody) Malformed() bool { return b.parser.state == parsingStopped }
