package framing

import (
	"fmt"
	"testing"
	"time"
)

// The same heads are recognized however the bytes are split.
func TestFramingInPieces(t *testing.T) {
	all := "GET / HTTP/1.1\r\nHost: x\r\n\r\n" +
		"\r\nPOST / HTTP/1.1\r\ncontent-LENGTH:  5 \r\n\r\nab\r\n\n" +
		"POST / HTTP/1.1\nTransfer-Encoding: chunked\n\nA;x\r\n0123456789\r\n0\r\nT: 1\r\n\r\n" +
		"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc" +
		"POST / HTTP/1.1\r\nTransfer-Encoding:\r\n chunked\r\n\r\n"
	want := "[ 5 c 3 co]"
	for size := 1; size <= len(all); size++ {
		var p Parser
		for rest := all; len(rest) > 0; {
			n := min(size, len(rest))
			p.Parse([]byte(rest[:n]), time.Time{}, time.Time{})
			rest = rest[n:]
		}
		var got []string
		for _, h := range p.pendingHeads {
			s := h.contentLength
			if h.hasTransferEncoding {
				s += "c"
			}
			if h.ambiguous {
				s += "o"
			}
			got = append(got, s)
		}
		if fmt.Sprint(got) != want {
			t.Fatalf("in pieces of %d: heads %v, want %s", size, got, want)
		}
	}
}
