package gateway

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"time"
)

// upload is a body that is too long to be buffered and is streamed to a host.
type upload struct {
	*clientBody
	length   int64         // of the whole body; -1 if unknown
	sent     chan struct{} // closed when a host has been sent the last byte, or never
	consumed bool          // part of it has been read; owned by the attempt
}

// next reads the next piece of the body. last says that the body ends with it.
func (u *upload) next(p []byte) (n int, last bool, err error) {
	u.consumed = true
	n, err = u.Read(p)
	switch {
	case err == io.EOF:
		return n, true, nil
	case err != nil:
		return n, false, err
	}
	return n, u.received == u.length, nil // a host does not need the end of a body to be signalled
}

// errClientBody marks a failure to read the body from the client while it was streamed to a host.
var errClientBody = errors.New("the body did not arrive")

// streamRequest writes a request whose body is too long to be buffered, as writeRequest does. It sets the
// deadline of the request once the body has arrived whole.
func (c *conn) streamRequest(x *exchange, head []byte) (early bool, err error) {
	w := uploadWriter{conn: c, chunked: x.upload.length < 0, pending: net.Buffers{head}}
	if err := w.write(x.body); err != nil {
		return false, err
	}
	buf := streamBuffers.Get().(*[streamBufferBytes]byte)
	defer streamBuffers.Put(buf)
	for {
		if !c.quiet() && c.answersEarly(x.method) {
			return true, nil
		}
		n, last, err := x.upload.next(buf[:])
		if err != nil {
			return false, fmt.Errorf("%w: %w", errClientBody, err)
		}
		if last {
			// The whole body has been read. It may have arrived long before, if the host read it
			// slowly; the deadline counts from its arrival.
			x.deadline = x.capDeadline(x.clientDeadline())
		}
		if err := w.write(buf[:n]); err != nil {
			return false, err
		}
		if !last {
			yieldTurn()
			continue
		}
		if err := w.end(); err != nil {
			return false, err
		}
		close(x.upload.sent)
		return false, nil
	}
}

// uploadWriter writes a streamed body to a host, in chunks if its length is unknown.
type uploadWriter struct {
	conn    *conn
	chunked bool
	pending net.Buffers // goes before the next piece
}

// write writes one piece of the body. A host that takes nothing for hostStallTimeout makes it fail.
func (w *uploadWriter) write(piece []byte) error {
	switch {
	case len(piece) == 0:
	case w.chunked:
		size := strconv.AppendInt(nil, int64(len(piece)), 16)
		w.pending = append(w.pending, size, crlf, piece, crlf)
	default:
		w.pending = append(w.pending, piece)
	}
	defer w.conn.SetWriteDeadline(time.Time{})
	progress := newSendProgress(w.conn.raw)
	for {
		w.conn.SetWriteDeadline(time.Now().Add(hostStallTimeout))
		n, err := w.pending.WriteTo(w.conn.Conn) // removes what it writes from w.pending
		if !progress.mayContinue(int(n), err) {
			w.pending = nil
			return err
		}
	}
}

// end writes what follows the last piece.
func (w *uploadWriter) end() error {
	if !w.chunked {
		return nil
	}
	w.pending = net.Buffers{lastChunk}
	return w.write(nil)
}

var (
	crlf      = []byte("\r\n")
	lastChunk = []byte("0\r\n\r\n")
)
