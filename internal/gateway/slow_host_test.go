package gateway

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"time"
)

// A host writes a long answer slowly, with a pause of 6 s within it. The client must get the whole answer: it was
// cut off after hostStallTimeout, although the host was still writing it.
func TestLongAnswerWithPauseIsNotCutOff(t *testing.T) {
	const piece, pause = 100_000, 6 * time.Second
	host := httpHost(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Write(make([]byte, piece))
		w.(http.Flusher).Flush()
		time.Sleep(pause)
		w.Write(make([]byte, piece))
	})
	g := startGateway(t, testConfig(host))
	c := g.openConn(head("POST /api/1 HTTP/1.1", "i", "Content-Length: 0\r\n"))
	c.SetDeadline(time.Now().Add(waitTimeout))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if n, err := io.Copy(io.Discard, resp.Body); err != nil || n != 2*piece {
		t.Errorf("%d bytes of %d, %v", n, 2*piece, err)
	}
}
