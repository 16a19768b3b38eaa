package fleetlab

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"bramblelock/internal/loopback"
)

// loopbackHost is a host of the real engine: a server on a loopback address that answers as the Host model
// does. The path of a request gives its work and its wait time in microseconds: /api/WORK/WAIT.
type loopbackHost struct {
	run  *realRun
	addr string

	mu       sync.Mutex
	model    *Host
	listener net.Listener     // nil while the process of the host is down
	conns    map[net.Conn]int // open connections and the incarnation of each
	timer    *time.Timer      // fires at the next completion of the model
}

// newLoopbackHost returns a host that listens at an address.
func newLoopbackHost(run *realRun, model *Host, addr string) (*loopbackHost, error) {
	host := &loopbackHost{run: run, model: model, addr: addr, conns: map[net.Conn]int{}}
	host.timer = time.AfterFunc(time.Hour, host.advance)
	return host, host.listen()
}

// listen opens the listening socket.
func (h *loopbackHost) listen() error {
	ln, err := loopback.ListenAndServe(h.addr, h.serve)
	if err != nil {
		return fmt.Errorf("host %s: %w", h.model.ID, err)
	}
	h.mu.Lock()
	h.listener = ln
	h.mu.Unlock()
	return nil
}

// update applies a change to the model. If down is set it resets all connections and refuses new ones
// until the next call of listen. It also resets all connections if the model is Dead after the change.
func (h *loopbackHost) update(change func(h *Host), down bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.model.Advance(h.run.now())
	change(h.model)
	if down && h.listener != nil {
		h.listener.Close()
		h.listener = nil
	}
	if down || h.model.Condition == Dead {
		for c := range h.conns {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}
}

// advance advances the model to the present time, schedules the answers of the jobs whose work is complete
// and sets the timer to the next completion.
func (h *loopbackHost) advance() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advanceLocked()
}

// advanceLocked does what advance does, for callers that hold h.mu.
func (h *loopbackHost) advanceLocked() {
	now := h.run.now()
	for _, j := range h.model.Advance(now) {
		time.AfterFunc(j.WaitTime, func() {
			h.mu.Lock()
			ok := h.model.Release(j)
			h.mu.Unlock()
			if ok {
				j.Done(true)
			}
		})
	}
	if next := h.model.NextCompletion(); next != 0 {
		h.timer.Reset(max(0, next-now))
	}
}

// serve serves a connection until it is closed.
func (h *loopbackHost) serve(conn net.Conn) {
	defer conn.Close()
	h.run.record(func(recorder *Recorder, now Time) { recorder.RecordNewConn(h.model.Index, now) })
	h.mu.Lock()
	incarnation, accepted := h.model.Incarnation, h.model.Connect()
	h.conns[conn] = incarnation
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		delete(h.conns, conn)
		if accepted {
			h.model.Disconnect(incarnation)
		}
		h.mu.Unlock()
	}()
	// Requests are read in a goroutine of their own, so that a close is noticed while a request runs.
	requests := make(chan *http.Request)
	ended := make(chan struct{})
	served := make(chan struct{})
	defer close(served)
	go func() {
		defer close(ended)
		in := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			select {
			case requests <- request:
			case <-served:
				return
			}
		}
	}()
	for first := true; ; first = false {
		select {
		case r := <-requests:
			if !h.handleRequest(conn, r, first, accepted, ended) {
				return
			}
		case <-ended:
			return
		}
	}
}

// handleRequest answers a request and reports whether the connection stays open. first says that it is the
// first request on the connection, accepted that the model accepted the connection. ended is closed when the
// connection can no longer be read.
func (h *loopbackHost) handleRequest(conn net.Conn, request *http.Request, first, accepted bool, ended <-chan struct{}) bool {
	if !accepted {
		loopback.WriteResponse(conn, "503 Service Unavailable", "X-Not-Processed: 1\r\nConnection: close\r\n", "")
		return false
	}
	work, waitTime, err := parseWork(request.URL.Path)
	if err != nil {
		loopback.WriteResponse(conn, "404 Not Found", "", "")
		return true
	}
	h.run.record(func(recorder *Recorder, now Time) { recorder.RecordHostRequest(h.model.Index, now) })
	done := make(chan bool, 1)
	job := &Job{Work: work, WaitTime: waitTime, Notified: true, Done: func(ok bool) { done <- ok }}
	if first {
		job.Work += h.model.rules.ConnCost.std()
	}
	h.mu.Lock()
	h.advanceLocked()
	verdict := h.model.Arrive(h.run.now(), job)
	h.advanceLocked()
	overloaded := h.model.overloadDown
	h.mu.Unlock()
	switch verdict {
	case Rejected:
		return loopback.WriteResponse(conn, "503 Service Unavailable", "X-Not-Processed: 1\r\n", "")
	case FastError:
		time.Sleep(fastErrorDelay)
		return loopback.WriteResponse(conn, "500 Internal Server Error", "", "")
	case ConnectionReset:
		if overloaded {
			h.update(func(*Host) {}, true)
		}
		conn.(*net.TCPConn).SetLinger(0)
		return false
	case NoAnswer:
		<-ended
		return false
	}
	select {
	case <-done:
		return loopback.WriteResponse(conn, "200 OK", "", "done")
	case <-ended:
		h.mu.Lock()
		h.model.Cancel(h.run.now(), job)
		h.advanceLocked()
		h.mu.Unlock()
		return false
	}
}

// parseWork returns the work and the wait time that the path of a request gives.
func parseWork(path string) (work, waitTime time.Duration, err error) {
	parts := strings.Split(path, "/")
	if len(parts) != 4 {
		return 0, 0, errors.New("no such path")
	}
	w, workErr := strconv.Atoi(parts[2])
	x, waitErr := strconv.Atoi(parts[3])
	return time.Duration(w) * time.Microsecond, time.Duration(x) * time.Microsecond, errors.Join(workErr, waitErr)
}

// close stops the host and resets its connections.
func (h *loopbackHost) close() {
	h.update(func(h *Host) { h.Kill() }, true)
	h.timer.Stop()
}
