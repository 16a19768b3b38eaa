package catalog

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"lynxspool/internal/admit"
)

// newListNode is a handler over a store of n hosts, with no raft behind it: calls for lists
// need none while the instance is not stale.
func newListNode(n int, opt admit.Options) *Node {
	node := &Node{opt: Options{WatchWriteTimeout: time.Second}, store: NewStore(), watchSlots: make(chan struct{}, 8), admission: newAdmissionController(opt)}
	for i := range n {
		node.store.Apply(&raft.Log{Index: uint64(i + 1), Data: []byte(fmt.Sprintf(
			`{"op":"put","id":"s-%04d","patch":{"addr":"127.0.0.1:9000","zone":"a"}}`, i))})
	}
	return node
}

// getList asks for the whole list as serveList does past the check on age.
func (n *Node) getList(haveList string) *httptest.ResponseRecorder {
	r := httptest.NewRequest("GET", membersPath, nil)
	if haveList != "" {
		r.Header.Set(headerHaveList, haveList)
	}
	w := httptest.NewRecorder()
	n.serveListCall(w, r, 0, false)
	return w
}

// With one call in work and one waiting, a third is told when to come back, each at a time
// of its own; one without a list takes the place of one that has one; and what was let in
// is answered.
func TestListCallsAreShedWhenQueueIsFull(t *testing.T) {
	n := newListNode(3, admit.Options{Work: 1, Queue: 1, Wait: time.Minute, Least: 10 * time.Millisecond, Most: time.Minute})
	if _, ok := n.admission.acquire(t.Context(), admit.Empty); !ok { // holds the one place
		t.Fatal("an idle catalog did not let a call in")
	}
	admittedAt := time.Now()
	var wg sync.WaitGroup
	answers := make([]*httptest.ResponseRecorder, 2)
	waitForCounts := func(want string) {
		for i := 0; ; i++ {
			if _, waits, shed := n.admission.counts(); fmt.Sprint(waits, shed) == want {
				return
			} else if i > 5000 {
				t.Fatalf("waiting and shed are %d %d, want %s", waits, shed, want)
			}
			time.Sleep(time.Millisecond)
		}
	}
	for i, have := range []string{"7", ""} { // the second has no list
		wg.Add(1)
		go func() { defer wg.Done(); answers[i] = n.getList(have) }()
		waitForCounts([]string{"1 0", "1 1"}[i])
	}
	seenRetryAfter := map[string]bool{}
	for range 3 {
		w := n.getList("7")
		after := w.Header().Get("Retry-After")
		if s, err := strconv.ParseFloat(after, 64); w.Code != http.StatusServiceUnavailable || err != nil || s <= 0 || seenRetryAfter[after] {
			t.Errorf("status %d, Retry-After %q", w.Code, after)
		}
		seenRetryAfter[after] = true
	}
	n.admission.release(admittedAt)
	wg.Wait()
	if answers[0].Code != http.StatusServiceUnavailable || answers[1].Code != http.StatusOK || answers[1].Body.Len() == 0 {
		t.Errorf("with a list %d, with none %d", answers[0].Code, answers[1].Code)
	}
}

// The cost of a call that is turned away beside one that is served 2,000 hosts.
func BenchmarkListCall(b *testing.B) {
	for _, c := range []struct {
		name string
		opt  admit.Options
	}{
		{"served", DefaultCallLimits},
		{"shed", admit.Options{Work: 1, Queue: 1, Wait: time.Hour, Least: time.Millisecond, Most: time.Minute}},
	} {
		b.Run(c.name, func(b *testing.B) {
			n := newListNode(2000, c.opt)
			if c.name == "shed" {
				n.admission.acquire(b.Context(), admit.Empty)
				go n.admission.acquire(b.Context(), admit.Empty)
				for _, waits, _ := n.admission.counts(); waits == 0; _, waits, _ = n.admission.counts() {
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				n.getList("")
			}
		})
	}
}
