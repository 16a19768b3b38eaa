package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// badClientKind is a way in which a client fails to send a valid request.
type badClientKind struct {
	name        string
	afterAnswer bool   // the client first gets the answer to a valid request on the connection
	text        string // sent at once, after which the client keeps the connection open
}

// partialHead is a request head without its end; its verb takes the request id.
const partialHead = "POST /api/1 HTTP/1.1\r\nHost: soak\r\nX-Request-ID: %s\r\nX-Priority-Class: book\r\n"

var badClientKinds = []badClientKind{
	{name: "nothing"},
	{name: "half a line", text: "POST /ap"},
	{name: "three bytes on a resting connection", afterAnswer: true, text: "POS"},
	{name: "half a head", text: partialHead},
	{name: "half a head on a resting connection", afterAnswer: true, text: partialHead},
	{name: "half a body", text: partialHead + "Content-Length: 60000\r\n\r\n" + strings.Repeat("b", 50_000)},
	{name: "no HTTP", text: "\x16\x03\x01\x02\x00\x01\x00\r\n\r\n"},
	{name: "two lengths", text: partialHead + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody5"},
}

// runBadClient acts as one bad client. It records after what time its connection was answered or
// closed, or 0 if it was neither within 6 s.
func (s *soak) runBadClient(g *gateway, kind *badClientKind) {
	up, generation := g.serving()
	if !up {
		return
	}
	conn, err := net.DialTimeout("tcp", g.addr, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	if kind.afterAnswer {
		io.WriteString(conn, "GET /_health HTTP/1.1\r\nHost: soak\r\n\r\n")
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if resp.Close {
			return
		}
	}
	client := badClient{kind: kind.name, gateway: g.name, generation: generation, sentAt: time.Now()}
	text := kind.text
	if strings.Contains(text, "%s") {
		text = fmt.Sprintf(text, "bad-request")
	}
	io.WriteString(conn, text)
	conn.SetReadDeadline(time.Now().Add(6 * time.Second))
	_, err = in.Peek(1)
	var network net.Error
	if err == nil || !(errors.As(err, &network) && network.Timeout()) {
		client.closedAfter = time.Since(client.sentAt)
	}
	s.ledger.update(func() { s.ledger.badClients = append(s.ledger.badClients, client) })
}
