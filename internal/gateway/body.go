package gateway

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	maxBufferedBytes = 64 << 10 // size up to which a body or answer is buffered whole, so that the request can be sent again
	maxBodyBytes     = 32 << 20 // limit on the body of a request
	// readAheadBytes is how much of a body that waits for a host the kernel receives ahead, so that
	// its client is seen to leave. It counts as buffered memory. A longer body hides that its
	// client has left, as the end of the connection comes after the body.
	readAheadBytes    = 256 << 10
	streamBufferBytes = 16 << 10 // size of the buffer of a stream
	smallStreamBytes  = 4 << 10  // size of the buffer of a stream for which the budget has no room
	// freeBodyBytes of a body are not counted: the memory of its connection covers them.
	freeBodyBytes = 4 << 10
	// uploadMemory is what a body that is streamed to a host takes, in bytes: the buffer of the stream, and the
	// connection to the host with its goroutines.
	uploadMemory = 40 << 10

	// An answer of unknown length that is incomplete this long after its head is streamed, so that
	// the part that has arrived is not held back.
	streamDelay = 100 * time.Millisecond

	// The head of an answer that is too long to be buffered waits for its body for maxHeadHold at most: what a host
	// has sent must not be held back for 2 s. It is passed on headForwardMargin before the module would answer.
	maxHeadHold       = time.Second
	headForwardMargin = 10 * time.Millisecond

	// A stream fails if the host takes nothing of what is written to it for hostStallTimeout, or the client for
	// clientStallTimeout.
	hostStallTimeout   = 5 * time.Second
	clientStallTimeout = 10 * time.Second

	// Clients send a body at 64 kB a second at least; minBodyRate is below that. A body of which
	// nothing arrives for bodyStallTimeout has stopped. Time that the body waits for the gateway or
	// for a host is not charged to the client.
	minBodyRate      = 56_000      // in bytes a second
	bodyRateSlack    = time.Second // allowed for a body beyond the time at minBodyRate
	bodyStallTimeout = headerTimeout
	// What a client still sends after an early answer is read for this long: closing the connection
	// earlier would reset it and destroy the answer.
	bodyDrainTime = time.Second
	// crowdedDrainTime is the same while all connection slots are taken.
	crowdedDrainTime = 200 * time.Millisecond
)

// streamBuffers holds buffers for streams: one for each direction of a stream in progress.
var streamBuffers = sync.Pool{New: func() any { return new([streamBufferBytes]byte) }}

// streamBuffer returns a buffer for a stream, a small one if the budget has no room, and the function that
// returns it.
func streamBuffer(memory *memoryBudget) (buffer []byte, release func()) {
	if !memory.acquireSpare(streamBufferBytes) {
		return make([]byte, smallStreamBytes), func() {}
	}
	pooled := streamBuffers.Get().(*[streamBufferBytes]byte)
	return pooled[:], func() {
		streamBuffers.Put(pooled)
		memory.release(streamBufferBytes)
	}
}

var (
	errBodyTooLong    = errors.New("the body is too long")
	errNoMemory       = errors.New("no memory is left for the body, trying again is harmless")
	errTooManyUploads = errors.New("too many long bodies are being sent, trying again is harmless")
	errReadStopped    = errors.New("gateway: the request has its answer")
	errClientGone     = errors.New("gateway: the client takes no more")
)

// clientBody reads the body of a request and enforces the rate at which its client must send it. An
// attempt may still be reading it for a host when another goroutine answers the client; that goroutine
// then calls stop.
type clientBody struct {
	body       io.Reader
	rc         *http.ResponseController
	startedAt  time.Time     // start of the request, or of its connection for the first request on it
	started    bool          // the first read has begun
	clientTime time.Duration // time charged to the client: until the first read, and during reads
	received   int64

	mu      sync.Mutex
	stopped bool // stop was called: the gateway reads no more
	ended   bool // the end of the body was read
}

// Read reads the body as an io.Reader does. A call after stop fails with errReadStopped. A call fails
// with errBodyTooLong once more than maxBodyBytes have arrived.
func (b *clientBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	switch {
	case b.stopped:
		b.mu.Unlock()
		return 0, errReadStopped
	case b.ended:
		b.mu.Unlock()
		return 0, io.EOF // a read deadline set now would apply to the next request
	}
	began := time.Now()
	if !b.started {
		b.started, b.clientTime = true, began.Sub(b.startedAt)
	}
	b.rc.SetReadDeadline(began.Add(min(b.allowedTime()-b.clientTime, bodyStallTimeout)))
	b.mu.Unlock()
	n, err := b.body.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.clientTime += time.Since(began)
	b.received += int64(n)
	b.ended = err == io.EOF
	if b.received > maxBodyBytes {
		return n, errBodyTooLong
	}
	return n, err
}

// allowedTime returns how long the client may have taken to send the bytes received so far.
func (b *clientBody) allowedTime() time.Duration {
	return max(requestTimeout, bodyRateSlack+time.Duration(float64(b.received)/minBodyRate*float64(time.Second)))
}

// stop makes later reads fail, and also a read in progress, by a deadline that has passed; it does not
// wait for that read to return. It returns whether the body was read whole. In that case it sets no
// deadline, which would apply to the next request.
func (b *clientBody) stop() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	if !b.ended {
		b.rc.SetReadDeadline(time.Now())
	}
	return b.ended
}
