package gateway

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"bramblelock/internal/gateway/socket"
)

// A peer that takes what is written to it, but slowly, is not taken for stalled when a write has waited until its
// deadline, and one that takes nothing is. A host that read a long request at 200 kB a second, and a client that read a
// long answer at 100 kB a second, were cut off, as the kernel lets a blocked writer go on only when much of its buffer
// has been taken.
func TestSlowPeerIsNotTakenForStalled(t *testing.T) {
	const size, piece = 24 << 20, 2 << 20 // more than the kernel holds, and than its buffer at the peer
	for name, newWrite := range map[string]func(conn net.Conn) func([]byte) error{
		"host": func(server net.Conn) func([]byte) error {
			w := uploadWriter{conn: &conn{Conn: server, raw: socket.Raw(server)}}
			return w.write
		},
		"client": func(server net.Conn) func([]byte) error {
			c := newFramedConn(server)
			c.trackProgress()
			c.SetWriteDeadline(time.Now().Add(waitTimeout))
			return func(p []byte) error {
				_, err := c.Write(p)
				return err
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			peer, conn := connectedPair(t)
			peer.(*net.TCPConn).SetReadBuffer(64 << 10)
			write := newWrite(conn)
			result := make(chan error, 1)
			go func() { result <- write(make([]byte, size)) }()
			passDeadline := func() {
				time.Sleep(50 * time.Millisecond) // the writer waits, and the peer has acknowledged what it took
				conn.SetWriteDeadline(time.Now())
			}
			taken := 0
			for range 3 {
				for begin := taken; taken-begin < piece; {
					n, err := peer.Read(make([]byte, piece))
					if err != nil {
						t.Fatal(err)
					}
					taken += n
				}
				passDeadline()
				select {
				case err := <-result:
					t.Fatalf("%d bytes were taken, the write ended: %v", taken, err)
				case <-time.After(50 * time.Millisecond):
				}
			}
			for end := time.Now().Add(waitTimeout); time.Now().Before(end); {
				passDeadline() // nothing is taken any more, once the buffer at the peer is full
				select {
				case err := <-result:
					if !errors.Is(err, os.ErrDeadlineExceeded) {
						t.Errorf("the write ends with %v", err)
					}
					return
				default:
				}
			}
			t.Error("the write goes on although nothing is taken")
		})
	}
}

// connectedPair returns both ends of a TCP connection.
func connectedPair(t *testing.T) (dialed, accepted net.Conn) {
	t.Helper()
	ln := listen(t, "127.0.0.1:0", nil)
	defer ln.Close()
	dialed, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { dialed.Close() })
	if accepted, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	return dialed, accepted
}
