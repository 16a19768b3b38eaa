package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"

	"bramblelock/internal/gateway/framing"
)

// headerFields returns a number of short header lines.
func headerFields(n int) string {
	var fields strings.Builder
	for i := range n {
		fmt.Fprintf(&fields, "%x:\r\n", 4096+i)
	}
	return fields.String()
}

// A head of very many short fields costs many times its length as a map of net/http. It must be rejected
// once it has more than framing.MaxFields, whether or not it ends, and a request ahead of it is answered.
func TestHeadOfTooManyFieldsIsRejected(t *testing.T) {
	const own = 4 // fields of a request built by head
	crowded := func(fields int) string { return head("GET /api/1 HTTP/1.1", "i", headerFields(fields-own)) }
	valid := head("POST /api/1 HTTP/1.1", "i", "Content-Length: 0\r\n")
	endless := strings.TrimSuffix(crowded(10*framing.MaxFields), "\r\n")
	for _, c := range []struct {
		name, text string
		want       []int
	}{
		{"just enough", strings.Replace(crowded(framing.MaxFields), "GET", "POST", 1) + "|GET / HTTP/1.0\r\n\r\n", []int{200, 400}},
		{"one too many", crowded(framing.MaxFields + 1), []int{431}},
		{"without an end", endless, []int{431}},
		{"in pieces", endless[:1000] + "|" + endless[1000:], []int{431}},
		{"behind a request in one piece", valid + crowded(framing.MaxFields+1), []int{200, 400}},
		{"behind a request, without an end", valid + endless, []int{200, 431}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := startGateway(t, testConfig(newHost(t, answerWith(okAnswer))))
			if got := g.sendParts(c.text); !slices.Equal(got, c.want) {
				t.Errorf("answers %v, want %v", got, c.want)
			}
		})
	}
}

// All heads together take no more memory than their budget: one that does not fit is answered 503, short heads
// are served meanwhile, and a head returns what it took with its connection or with the answer to its request.
func TestHeadsStayWithinMemoryBudget(t *testing.T) {
	g := startGateway(t, testConfig(newHost(t, answerWith(okAnswer))))
	long := "X-Long: " + strings.Repeat("l", 30_000) + "\r\n"
	g.server.headBudget.remaining.Store(100_000) // holds one long head
	holder := g.openConn("POST /api/1 HTTP/1.1\r\nHost: x\r\n" + long)
	until(t, "the head is counted", func() bool { return g.server.headBudget.remaining.Load() < 50_000 })
	request := func() string { return head("POST /api/1 HTTP/1.1", freshID(), long+"Content-Length: 0\r\n") }
	if got := g.sendParts(request()); !slices.Equal(got, []int{503}) {
		t.Errorf("a second long head is answered %v, want 503", got)
	}
	if resp, _ := g.request("book", "/api/1", "b"); resp.StatusCode != 200 {
		t.Errorf("a short head is answered %d", resp.StatusCode)
	}
	holder.Close()
	until(t, "the budget is whole again", func() bool { return g.server.headBudget.remaining.Load() == 100_000 })
	kept := g.openConn("")
	in := bufio.NewReader(kept)
	for range 5 { // on one connection: each must return what it took
		io.WriteString(kept, request())
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("answer %v, %v", resp, err)
		}
		io.Copy(io.Discard, resp.Body)
	}
	until(t, "the budget is whole again on a kept connection", func() bool { return g.server.headBudget.remaining.Load() == 100_000 })
}
