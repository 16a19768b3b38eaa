package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// A caller that sends part of a write and then stalls must be disconnected. Each such connection holds
// a descriptor, and watches need many descriptors.
func TestIncompleteWriteIsDisconnected(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	c := startCluster(t, 1)
	c.WaitForLeader()
	conn, err := net.Dial("tcp", c.HTTPAddr["c1"])
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "PUT /catalog/members/s-1 HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{\"addr\"")
	conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.Copy(io.Discard, conn); errors.Is(err, os.ErrDeadlineExceeded) {
		t.Error("the connection is still open after 20 s")
	}
}
