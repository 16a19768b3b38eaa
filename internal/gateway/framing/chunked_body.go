package framing

import "time"

// ChunkedBody follows the framing of a chunked body in the bytes that arrive, ahead of the reader that decodes it.
type ChunkedBody struct {
	parser Parser
	head   *Head // of the body; complete once the end of the body has arrived
}

// NewChunkedBody returns a ChunkedBody of which nothing has arrived.
func NewChunkedBody() *ChunkedBody {
	head := new(Head)
	return &ChunkedBody{parser: Parser{state: parsingChunkSize, lastHead: head}, head: head}
}

// Parse parses bytes that have arrived.
func (b *ChunkedBody) Parse(in []byte) {
	now := time.Now()
	b.parser.Parse(in, now, now)
}

// Data returns how many bytes of data have arrived. It is not meaningful once Ended returns true.
func (b *ChunkedBody) Data() int64 { return b.parser.chunkData }

// Ended returns whether the end of the body, or an error in its framing, has arrived.
func (b *ChunkedBody) Ended() bool {
	return !b.head.CompleteAt.IsZero() || b.parser.state == parsingStopped
}
