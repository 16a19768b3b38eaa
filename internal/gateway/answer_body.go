package gateway

import (
	"io"
	"net/http"

	"bramblelock/internal/gateway/framing"
)

// answerBody reads the body of an answer of unknown length. A Read waits only if nothing of the body has arrived that can
// be returned, and if it fails because of the read deadline of the connection, a later one can go on. The reader of
// net/http promises neither: it can hold back data that it has, while it waits for the next chunk.
type answerBody struct {
	conn *conn
	body io.Reader // of net/http
	read int64     // bytes that have been read
}

// newAnswerBody returns a reader of the body of an answer, of which nothing has been read.
func newAnswerBody(c *conn, resp *http.Response) *answerBody {
	if len(resp.TransferEncoding) > 0 {
		c.limited.chunks = framing.NewChunkedBody()
		buffered, _ := c.reader.Peek(c.reader.Buffered()) // cannot fail
		c.limited.chunks.Parse(buffered)
	}
	return &answerBody{conn: c, body: resp.Body}
}

// Read reads as an io.Reader does.
func (b *answerBody) Read(p []byte) (n int, err error) {
	if err := b.awaitReadable(); err != nil {
		return 0, err
	}
	// A reader that is asked for no more than has arrived does not wait for the next chunk.
	if chunks := b.conn.limited.chunks; chunks != nil && !chunks.Ended() && chunks.Data() > b.read {
		p = p[:min(int64(len(p)), chunks.Data()-b.read)]
	}
	n, err = b.body.Read(p)
	b.read += int64(n)
	return n, err
}

// awaitReadable waits until the reader of net/http can return something, if only an error. A connection reports that it was
// reset only once, and a read after that returns io.EOF, so the error is returned here.
func (b *answerBody) awaitReadable() error {
	reader := b.conn.reader
	for !b.readable() {
		switch _, err := reader.Peek(reader.Buffered() + 1); {
		case err == io.EOF:
			return nil // reading the body returns the end again
		case err != nil:
			return err
		}
	}
	return nil
}

// readable returns whether the reader of net/http can return something without waiting. What is buffered of a chunked body
// may be its framing alone.
func (b *answerBody) readable() bool {
	buffered, chunks := b.conn.reader.Buffered(), b.conn.limited.chunks
	if chunks == nil {
		return buffered > 0
	}
	return chunks.Ended() || chunks.Data() > b.read || buffered == b.conn.reader.Size()
}
