package gateway

import (
	"time"

	"bramblelock/internal/gateway/framing"
	"bramblelock/internal/gateway/socket"
)

// framedConn can read and parse bytes before net/http asks for them. They wait in memory, in chunks that
// are charged to a memoryBudget, and a later Read returns them.

const (
	// maxReadAhead limits what is read ahead on one connection, in bytes. A client that wrote more than
	// this after some moment was there at that moment: its socket holds less.
	maxReadAhead = maxClientSendBuffer + readAheadBytes + streamBufferBytes
	// A body is read ahead before its request is submitted, up to maxBodyReadAhead bytes and for up to
	// bodyReadAheadTime: a client that sends a body and leaves at once gets no attempt.
	maxBodyReadAhead  = 2 << 20
	bodyReadAheadTime = 20 * time.Millisecond
	// maxHeadsAhead limits the requests that are read ahead on one connection.
	maxHeadsAhead = 256
	// readAheadInterval is the time between two looks at a connection on which nothing arrives.
	readAheadInterval = time.Millisecond
)

// aheadChunk is a piece of what was read ahead.
type aheadChunk struct {
	buffer *[streamBufferBytes]byte
	unread []byte // part of buffer
	memory *memoryBudget
}

// release returns the memory of a chunk.
func (a *aheadChunk) release() {
	a.memory.release(streamBufferBytes)
	streamBuffers.Put(a.buffer)
	*a = aheadChunk{}
}

// readBodyAhead reads ahead the body of the request with head h until it is whole, its client has left, or a
// limit is reached.
func (c *framedConn) readBodyAhead(h *framing.Head, memory *memoryBudget) {
	if c.raw == nil {
		return
	}
	for end := time.Now().Add(bodyReadAheadTime); !c.complete(h) && c.aheadBytes() < maxBodyReadAhead; {
		if c.unreadBytes() > 0 {
			if !c.readAhead(memory) {
				return
			}
			yieldTurn()
			continue
		}
		if c.clientGone() || time.Now().After(end) {
			return
		}
		time.Sleep(readAheadInterval)
	}
}

// complete returns whether the request with head h has been read whole.
func (c *framedConn) complete(h *framing.Head) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !h.CompleteAt.IsZero()
}

// unreadBytes returns how many bytes wait in the socket.
func (c *framedConn) unreadBytes() (n int) {
	c.raw.Control(func(fd uintptr) { // fails only if the connection is closed
		n, _ = socket.UnreadBytes(int(fd))
	})
	return n
}

// readAhead reads unread bytes into memory, for a later Read. It returns false if it may not, as too much
// has been read ahead or the budget is used up. There may be nothing to read, or the end of the connection,
// which clientGone shows.
func (c *framedConn) readAhead(memory *memoryBudget) (allowed bool) {
	if c.aheadBytes() >= maxReadAhead || c.pendingHeads() > maxHeadsAhead || !memory.acquireSpare(streamBufferBytes) {
		return false
	}
	chunk := aheadChunk{buffer: streamBuffers.Get().(*[streamBufferBytes]byte), memory: memory}
	c.raw.Control(func(fd uintptr) { // fails only if the connection is closed
		c.mu.Lock()
		defer c.mu.Unlock()
		n, _, _ := c.readSocket(int(fd), chunk.buffer[:], &time.Time{})
		if n > 0 && !c.closed.Load() {
			chunk.unread = chunk.buffer[:n]
			c.ahead = append(c.ahead, chunk)
		}
	})
	if chunk.unread == nil {
		chunk.release()
	}
	return true
}

// aheadBytes returns how much memory the bytes hold that were read ahead.
func (c *framedConn) aheadBytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.ahead) * streamBufferBytes
}

// pendingHeads returns how many requests have been read that net/http has not asked for.
func (c *framedConn) pendingHeads() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.parser.PendingHeads()
}

// takeAhead moves bytes that were read ahead to p. The caller holds c.mu.
func (c *framedConn) takeAhead(p []byte) (n int) {
	chunk := &c.ahead[0]
	n = copy(p, chunk.unread)
	chunk.unread = chunk.unread[n:]
	if len(chunk.unread) == 0 {
		chunk.release()
		c.ahead = c.ahead[1:]
	}
	return n
}

// releaseAhead drops what was read ahead. The caller holds c.mu.
func (c *framedConn) releaseAhead() {
	for i := range c.ahead {
		c.ahead[i].release()
	}
	c.ahead = nil
}
