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

	"bramblelock/internal/admit"
)

// newListNode returns a node with n hosts and without raft, which serveListCall does not use.
func newListNode(n int, opt admit.Options) *Node {
	node := &Node{opt: Options{WatchWriteTimeout: time.Second}, store: NewStore(), watchSlots: make(chan struct{}, 8), admission: newAdmissionController(opt)}
	for i := range n {
		node.store.Apply(&raft.Log{Index: uint64(i + 1), Data: []byte(fmt.Sprintf(
			`{"op":"put","id":"s-%04d","patch":{"addr":"127.0.0.1:9000","zone":"a"}}`, i))})
	}
	return node
}

// getList fetches the whole list as serveList does after its check for staleness.
func (n *Node) getList(haveList string) *httptest.ResponseRecorder {
	r := httptest.NewRequest("GET", membersPath, nil)
	if haveList != "" {
		r.Header.Set(headerHaveList, haveList)
	}
	w := httptest.NewRecorder()
	n.serveListCall(w, r, 0, false)
	return w
}

// With one list call in flight and one waiting, each further call must be rejected with a Retry-After
// of its own. A call without a list must displace a waiting call that has one, and an admitted call
// must be answered.
func TestListCallsAreShedWhenQueueIsFull(t *testing.T) {
	n := newListNode(3, admit.Options{Work: 1, Queue: 1, Wait: time.Minute, Least: 10 * time.Millisecond, Most: time.Minute})
	if _, ok := n.admission.acquire(t.Context(), admit.NoList); !ok { // occupies the only slot
		t.Fatal("an idle catalog did not admit a call")
	}
	admittedAt := time.Now()
	var wg sync.WaitGroup
	responses := make([]*httptest.ResponseRecorder, 2)
	waitForCounts := func(want string) {
		for i := 0; ; i++ {
			if _, waits, shed := n.admission.counts(); fmt.Sprint(waits, shed) == want {
				return
			} else if i > 5000 {
				t.Fatalf("waiting and shed calls are %d %d, want %s", waits, shed, want)
			}
			time.Sleep(time.Millisecond)
		}
	}
	for i, have := range []string{"7", ""} { // the second caller has no list
		wg.Add(1)
		go func() { defer wg.Done(); responses[i] = n.getList(have) }()
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
	if responses[0].Code != http.StatusServiceUnavailable || responses[1].Code != http.StatusOK || responses[1].Body.Len() == 0 {
		t.Errorf("status of the caller with a list %d, without a list %d", responses[0].Code, responses[1].Code)
	}
}

// BenchmarkListCall compares the cost of a rejected list call with that of a call that is served a
// list of 2,000 hosts.
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
				n.admission.acquire(b.Context(), admit.NoList)
				go n.admission.acquire(b.Context(), admit.NoList)
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
