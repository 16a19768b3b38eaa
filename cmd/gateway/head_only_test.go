package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	headOnlyRequests = 40 // of each framing, over headOnlyTime
	headOnlyTime     = 4 * time.Second
	headOnlySound    = 9 * time.Second // how long sound clients send
)

// headOnlyFramings are the heads of answers whose bodies never come, and whether the answer is long enough for its head
// to be passed on.
var headOnlyFramings = map[string]struct {
	header    string
	forwarded bool
}{
	"long":    {"Content-Length: 100000\r\n", true},
	"short":   {"Content-Length: 1000\r\n", false},
	"chunked": {"Transfer-Encoding: chunked\r\n", false},
}

// answerWithHead answers a request below /head/ with a head alone, and others at once.
func answerWithHead(w http.ResponseWriter, r *http.Request) {
	framing, headOnly := strings.CutPrefix(r.URL.Path, "/head/")
	if !headOnly {
		io.WriteString(w, "done")
		return
	}
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s\r\n", headOnlyFramings[framing].header)
	io.Copy(io.Discard, conn) // until the gateway ends the connection
}

// requestHeadOnly sends a request whose answer has no body, and returns an error unless the client gets a final answer, or
// the head, in time.
func requestHeadOnly(p *program, framing, id string) error {
	conn, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(bookDeadline + lateAnswerSlack))
	fmt.Fprintf(conn, "POST /head/%s HTTP/1.1\r\nHost: x\r\nX-Request-ID: %s\r\nX-Priority-Class: book\r\nContent-Length: 0\r\n\r\n", framing, id)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	switch {
	case err != nil:
		return fmt.Errorf("no answer in time: %w", err)
	case headOnlyFramings[framing].forwarded && resp.StatusCode == http.StatusOK:
		conn.SetDeadline(time.Time{})
		io.Copy(io.Discard, resp.Body) // until the gateway ends it
		return nil
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// descriptors returns how many descriptors a process has open.
func descriptors(pid int) int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(entries)
}

// Hosts send the heads of answers and nothing else. Each client gets a final answer, or the head of a long answer, in
// time, and such answers leave room for others: what they hold is given back.
func TestHeadsWithoutBodyLeaveRoomForOthers(t *testing.T) {
	p := startLimitedGateway(t, 32, 256, answerWithHead)
	atRest := descriptors(p.Process.Pid)
	memory := watchMemory(p.Process.Pid)
	var requests sync.WaitGroup
	begin := time.Now()
	for framing := range headOnlyFramings {
		for i := range headOnlyRequests {
			requests.Go(func() {
				time.Sleep(time.Until(begin.Add(time.Duration(i) * headOnlyTime / headOnlyRequests)))
				if err := requestHeadOnly(p, framing, fmt.Sprintf("head-%s-%d", framing, i)); err != nil {
					t.Errorf("%s %d: %v", framing, i, err)
				}
			})
		}
	}
	clients := &soundClients{addr: strings.TrimPrefix(p.url, "http://"), timeout: bookDeadline}
	sound := clients.run(soundRate, headOnlySound)
	held := descriptors(p.Process.Pid)
	t.Logf("sound clients: %v; descriptors: %d at rest, %d after %v; peak %.1f MB", sound, atRest, held, headOnlySound, memory.peakMB())
	if sound.lost > 0 || sound.late > 0 {
		t.Errorf("of %d sound requests %d were answered late and %d lost", sound.sent, sound.late, sound.lost)
	}
	p.Process.Kill()
	requests.Wait()
}
