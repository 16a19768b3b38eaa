package discovery

import (
	"io"
	"net"
	"testing"
	"testing/synctest"

	"bramblelock/internal/gateway/gatewaytest"
	"bramblelock/internal/gateway/socket"
)

// Data that has waited unread for long counts as delayed even if more arrives behind it.
func TestLaterDataDoesNotHideDelayedData(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	ours, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer ours.Close()
	theirs, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer theirs.Close()
	c := newWatchConn(ours, func() {})
	io.WriteString(theirs, "old")
	gatewaytest.Until(t, "the data is delayed", c.hasOverdueUpdate)
	io.WriteString(theirs, "new")
	gatewaytest.Until(t, "more has arrived", func() (arrived bool) {
		c.raw.Control(func(fd uintptr) {
			n, _ := socket.UnreadBytes(int(fd))
			arrived = n == len("oldnew")
		})
		return arrived
	})
	if !c.hasOverdueUpdate() {
		t.Error("the old data no longer counts as delayed")
	}
}

// Two waits for the loop may finish in either order. The one that began first covers fewer reads and
// must not undo what the other has recorded.
func TestAppliedReadsNeverDecrease(t *testing.T) {
	gatewaytest.RunInBubble(t, func(t *testing.T) {
		releases := make(chan chan struct{})
		c := &watchConn{syncLists: func() {
			release := make(chan struct{})
			releases <- release
			<-release
		}}
		readDelayedList := func() (release chan struct{}) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.delayedReads++
			c.noteListsPassed()
			return <-releases
		}
		first, second := readDelayedList(), readDelayedList()
		close(second)
		synctest.Wait()
		close(first)
		synctest.Wait()
		if c.appliedReads != c.delayedReads {
			t.Errorf("%d of %d delayed reads count as applied", c.appliedReads, c.delayedReads)
		}
	})
}
