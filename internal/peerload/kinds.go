package peerload

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	headBytes     = 64 << 10 // size of a head that never ends
	slowHeadTime  = 2500 * time.Millisecond
	slowHeadSteps = 50
	shortBody     = 60_000 // size of a body that a gateway buffers
	longBody      = 8 << 20
	slowBodyRate  = 64_000 // in bytes a second
	slowBodyStep  = 250 * time.Millisecond
	slowReadBytes = 2 << 10
	slowReadStep  = 100 * time.Millisecond
	batchRequests = 50 // that are written at once by a peer that sends at full speed
	paddedFields  = 8
	paddingBytes  = 3 << 10
	crowdedFields = 90
)

// The kinds of peers.
const (
	Silent             = "silent"
	FieldsAtOnce       = "fields at once"
	FieldsSlowly       = "fields slowly"
	LongFieldSlowly    = "long field slowly"
	HalfShortBody      = "half a short body"
	HalfLongBody       = "half a long body"
	SlowLongBody       = "slow long body"
	SlowReader         = "slow reader"
	FloodUnsound       = "flood unsound"
	FloodPadded        = "flood padded"
	FloodFields        = "flood fields"
	FloodNames         = "flood names"
	FloodSmall         = "flood small"
	FloodSmallAnswered = "flood small answered"
	ConnectAndDrop     = "connect and drop"
)

// kinds plays one connection of a peer of each kind.
var kinds = map[string]func(p *player, conn net.Conn){
	Silent:          (*player).awaitEnd,
	FieldsAtOnce:    func(p *player, conn net.Conn) { p.sendHead(conn, shortFields(headBytes), 1) },
	FieldsSlowly:    func(p *player, conn net.Conn) { p.sendHead(conn, shortFields(headBytes), slowHeadSteps) },
	LongFieldSlowly: func(p *player, conn net.Conn) { p.sendHead(conn, longField(headBytes), slowHeadSteps) },
	HalfShortBody:   func(p *player, conn net.Conn) { p.sendHalf(conn, shortBody) },
	HalfLongBody:    func(p *player, conn net.Conn) { p.sendHalf(conn, longBody) },
	SlowLongBody:    (*player).sendSlowly,
	SlowReader:      (*player).readSlowly,
	FloodUnsound: func(p *player, conn net.Conn) {
		p.flood(conn, func() string { return "GET /api HTTP/1.1\r\nHost: x\r\n\r\n" })
	},
	FloodPadded: func(p *player, conn net.Conn) {
		padding := strings.Repeat("p", paddingBytes)
		var fields strings.Builder
		for i := range paddedFields {
			fmt.Fprintf(&fields, "X-Pad-%d: %s\r\n", i, padding)
		}
		p.flood(conn, func() string { return "GET /api HTTP/1.1\r\nHost: x\r\n" + fields.String() + "\r\n" })
	},
	FloodFields: func(p *player, conn net.Conn) {
		fields := shortFields(crowdedFields * len("1000:\r\n"))
		p.flood(conn, func() string { return "GET /api HTTP/1.1\r\nHost: x\r\n" + fields + "\r\n" })
	},
	FloodNames: func(p *player, conn net.Conn) {
		p.flood(conn, func() string {
			id := p.nextID()
			return fmt.Sprintf("GET /api/%s HTTP/1.1\r\nHost: %[1]s\r\nX-Request-ID: %[1]s\r\nX-Priority-Class: %[1]s\r\nX-Tenant-Id: %[1]s\r\n%[1]s: 1\r\n\r\n", id)
		})
	},
	FloodSmall: func(p *player, conn net.Conn) { p.flood(conn, p.smallRequest) },
	FloodSmallAnswered: func(p *player, conn net.Conn) {
		in := bufio.NewReader(conn)
		for {
			if _, err := io.WriteString(conn, p.smallRequest()); err != nil {
				return
			}
			p.requests.Add(1)
			if !p.readAnswer(in) {
				return
			}
		}
	},
	ConnectAndDrop: func(_ *player, conn net.Conn) { conn.Close() },
}

// requestHead returns the head of a valid request without the line that ends it.
func (p *player) requestHead(path string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nX-Request-ID: %s\r\nX-Priority-Class: book\r\n", path, p.nextID())
}

// smallRequest returns a valid request.
func (p *player) smallRequest() string { return p.requestHead("/api/1") + "Content-Length: 0\r\n\r\n" }

// shortFields returns about size bytes of header lines without a value.
func shortFields(size int) string {
	const firstName = 4096
	var fields strings.Builder
	for i := 0; fields.Len() < size; i++ {
		fmt.Fprintf(&fields, "%x:\r\n", firstName+i)
	}
	return fields.String()
}

// longField returns one header line of about size bytes, without its end.
func longField(size int) string { return "X-Long: " + strings.Repeat("l", size) }

// sendHead sends a head that never ends, in a number of steps over slowHeadTime, and waits for the end of
// the connection.
func (p *player) sendHead(conn net.Conn, fields string, steps int) {
	text := "GET /api HTTP/1.1\r\nHost: x\r\n" + fields
	for i := range steps {
		if _, err := io.WriteString(conn, text[i*len(text)/steps:(i+1)*len(text)/steps]); err != nil {
			return
		}
		if steps > 1 {
			time.Sleep(slowHeadTime / time.Duration(steps))
		}
	}
	p.awaitEnd(conn)
}

// sendHalf sends a valid request with half of its body and waits for the end of the connection.
func (p *player) sendHalf(conn net.Conn, size int) {
	fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n", p.requestHead("/api/1"), size)
	conn.SetWriteDeadline(time.Now().Add(answerTimeout))
	if _, err := conn.Write(make([]byte, size/2)); err == nil {
		p.awaitEnd(conn)
	}
}

// sendSlowly sends a valid request with a long body at slowBodyRate until its connection ends.
func (p *player) sendSlowly(conn net.Conn) {
	fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n", p.requestHead("/api/1"), longBody)
	piece := make([]byte, int(slowBodyRate*slowBodyStep.Seconds()))
	for {
		if _, err := conn.Write(piece); err != nil {
			return
		}
		time.Sleep(slowBodyStep)
	}
}

// readSlowly sends a valid request with a long answer and reads that in small pieces.
func (p *player) readSlowly(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetReadBuffer(slowReadBytes) // otherwise the kernel takes most of the answer
	}
	fmt.Fprintf(conn, "%sContent-Length: 0\r\n\r\n", p.requestHead("/long"))
	p.requests.Add(1)
	piece := make([]byte, slowReadBytes)
	for {
		if _, err := io.ReadFull(conn, piece); err != nil {
			return
		}
		time.Sleep(slowReadStep)
	}
}

// flood writes requests at full speed without waiting for their answers, which it reads meanwhile.
func (p *player) flood(conn net.Conn, request func() string) {
	go func() {
		for in := bufio.NewReader(conn); p.readAnswer(in); {
		}
		conn.Close()
	}()
	for {
		var batch strings.Builder
		for range batchRequests {
			batch.WriteString(request())
		}
		if _, err := io.WriteString(conn, batch.String()); err != nil {
			return
		}
		p.requests.Add(batchRequests)
	}
}

// readAnswer reads one answer and returns whether the connection is still of use.
func (p *player) readAnswer(in *bufio.Reader) bool {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	if err != nil {
		return false
	}
	p.answers.Add(1)
	return !resp.Close
}
