package gateway

import (
	"io"

	"bramblelock/internal/gateway/framing"
)

// chunkedBody reads the body of an answer in chunks. A Read waits only if no data of the body has arrived, and if it fails
// because of the read deadline of the connection, a later one can go on. The reader of net/http promises neither: it
// holds back data that it has, while it waits for more of the chunk or for the next one.
type chunkedBody struct {
	reader  io.Reader // of what follows the head
	framing *framing.ChunkedBody
	surplus bool // more than the body has arrived
}

// newChunkedBody returns a reader of the body of an answer, of which nothing has been read.
func newChunkedBody(reader io.Reader) *chunkedBody {
	return &chunkedBody{reader: reader, framing: framing.NewChunkedBody()}
}

// Read reads as an io.Reader does.
func (b *chunkedBody) Read(p []byte) (int, error) {
	for {
		switch {
		case b.framing.Ended():
			return 0, io.EOF
		case b.framing.Malformed():
			return 0, errBadAnswer
		}
		n, err := b.reader.Read(p)
		data, used := b.framing.Decode(p[:n])
		b.surplus = used < n
		switch {
		case data > 0 || len(p) == 0:
			return data, nil // an error will come again
		case err == io.EOF:
			return 0, io.ErrUnexpectedEOF
		case err != nil:
			return 0, err
		}
	}
}
