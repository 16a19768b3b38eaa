package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxSmall = 64 << 10 // of a body or answer that is kept whole, and so can be repeated
	maxBody  = 32 << 20 // of any body of a request
	// So much of a body that waits for a host is taken ahead by the system, so that its
	// client is seen to leave; it counts as kept. What is longer hides that.
	maxAhead  = 256 << 10
	pieceSize = 16 << 10 // of what is streamed, at a time

	// Kept bodies and answers, all together, have this share of the memory limit. Two
	// processes have it together during an upgrade.
	keptShare     = 0.25
	keptUnlimited = 64 << 20 // where there is no limit

	// An answer that is not whole this long after its head is passed on as it comes:
	// what has come must not be held back.
	streamAfter = 100 * time.Millisecond

	// A stream ends with an error when its other end is silent for this long.
	hostStall   = 5 * time.Second
	clientStall = 10 * time.Second

	// A client sends a body at 64 kB a second at the least, and what does not come for bodyStall
	// has stopped. What waits for us or for a host counts against no client.
	bodyRate  = 56_000
	bodySlack = time.Second
	bodyStall = headerTimeout
	// What a client still sends behind an early answer is read for this long: closing on
	// it would reset the connection, and the answer with it.
	drainTime = time.Second
)

// budget is how many bytes may be kept, over all requests.
type budget struct{ left atomic.Int64 }

func newBudget(cfg *Config) *budget {
	b := new(budget)
	n := int64(keptShare * float64(cfg.MemoryMB) * (1 << 20))
	if cfg.MemoryMB == 0 {
		n = keptUnlimited
	}
	if cfg.AcceptFD != 0 {
		n /= 2
	}
	b.left.Store(n)
	return b
}

// take says whether n bytes more may be kept; they are given back by give.
func (b *budget) take(n int) bool {
	if b.left.Add(int64(-n)) >= 0 {
		return true
	}
	b.left.Add(int64(n))
	return false
}

func (b *budget) give(n int) { b.left.Add(int64(n)) }

// pieces are the buffers of streams, one for each direction that is under way.
var pieces = sync.Pool{New: func() any { return new([pieceSize]byte) }}

var (
	errTooLong    = errors.New("the body is too long")
	errStopped    = errors.New("gateway: the request has its answer")
	errClientGone = errors.New("gateway: the client takes no more")
)

// clientBody reads the body of a request at the pace that its client is owed. It can be
// stopped from outside, as one goroutine reads it for a host while another answers.
type clientBody struct {
	body  io.Reader
	rc    *http.ResponseController
	start time.Time     // of the request, or of its connection if that is its first
	began bool          // the first read has begun
	spent time.Duration // by the client: up to the first read, and in reads
	got   int64

	mu      sync.Mutex
	stopped bool
	ended   bool
}

func (b *clientBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	switch {
	case b.stopped:
		b.mu.Unlock()
		return 0, errStopped
	case b.ended:
		b.mu.Unlock()
		return 0, io.EOF // a deadline set now would end the wait for the next request
	}
	began := time.Now()
	if !b.began {
		b.began, b.spent = true, began.Sub(b.start)
	}
	b.rc.SetReadDeadline(began.Add(min(b.allowed()-b.spent, bodyStall)))
	b.mu.Unlock()
	n, err := b.body.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent += time.Since(began)
	b.got += int64(n)
	b.ended = err == io.EOF
	if b.got > maxBody {
		return n, errTooLong
	}
	return n, err
}

// allowed is the time that a client has for what it has sent of a request.
func (b *clientBody) allowed() time.Duration {
	return max(requestTimeout, bodySlack+time.Duration(float64(b.got)/bodyRate*float64(time.Second)))
}

// stop ends reading, also one that waits now. It says whether the body was read whole.
func (b *clientBody) stop() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	if !b.ended {
		b.rc.SetReadDeadline(time.Now())
	}
	return b.ended
}

// upload is a body that is too long to be kept and goes to a host as it comes.
type upload struct {
	*clientBody
	length int64         // of the whole body; -1: not told
	whole  chan struct{} // closed when the last byte is with a host, or never
	spent  bool          // some of it has been read; belongs to the attempt
}

// stream is an answer that is passed on as it comes. The attempt that reads it waits for
// done.
type stream struct {
	conn   *conn
	body   io.Reader
	length int64  // of the whole answer; -1: not told
	prefix []byte // what has been read of it
	done   chan error
}

// pass writes a stream to the client and says what cut it short, if anything did.
func (st *stream) pass(w http.ResponseWriter, r *http.Request) error {
	// The client may go while the host is silent.
	stop := context.AfterFunc(r.Context(), func() { st.conn.SetReadDeadline(time.Now()) })
	defer stop()
	rc := http.NewResponseController(w)
	write := func(p []byte) error {
		rc.SetWriteDeadline(time.Now().Add(clientStall))
		if _, err := w.Write(p); err != nil {
			return errClientGone
		}
		if err := rc.Flush(); err != nil {
			return errClientGone
		}
		return nil
	}
	if err := write(st.prefix); err != nil {
		return err
	}
	buf := pieces.Get().(*[pieceSize]byte)
	defer pieces.Put(buf)
	for {
		st.conn.SetReadDeadline(time.Now().Add(hostStall))
		if r.Context().Err() != nil {
			return errClientGone
		}
		n, err := st.body.Read(buf[:])
		if n > 0 {
			if err := write(buf[:n]); err != nil {
				return err
			}
		}
		switch {
		case err == io.EOF:
			return nil
		case r.Context().Err() != nil:
			return errClientGone
		case err != nil:
			return err
		}
	}
}
