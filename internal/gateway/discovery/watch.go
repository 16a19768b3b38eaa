package discovery

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"bramblelock"
	"bramblelock/internal/gateway/hostlist"
)

// This file implements one call for the list, and the watch that its answer begins.

// watchCall is one call for the list.
type watchCall struct {
	client       *Client
	handler      ListHandler
	silenceTimer *time.Timer
	index        uint64 // version since which changes are requested; 0 requests the full list
	answered     bool   // discovery has accepted the call
	received     bool   // data has been received
	upToDate     bool   // a blank line would mean that the list in use is current
}

// watch makes one call and handles the lists of its answer until the watch ends. It returns the reason
// for the end and whether data was received, which is false if a malformed or older list ended the
// watch. If silence or a change of addresses ended it, received is true once the call was answered.
func (c *Client) watch(ctx context.Context, handler ListHandler) (received bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if c.hasMoved() {
		c.timeoutFactor = urgentTimeoutFactor
		handler.HandleList(bramblelock.ListMoved, hostlist.List{})
	}
	call := &watchCall{client: c, handler: handler}
	call.silenceTimer = c.startSilenceTimer(c.nextCallTimeout(), func() { cancel(errSilent) })
	defer call.silenceTimer.Stop()
	received, err = call.run(ctx, c.beginCall(cancel))
	switch cause := context.Cause(ctx); {
	case cause == errSilent || cause == errAddrsChanged:
		return received || call.answered, cause
	case call.answered && errors.Is(err, io.ErrUnexpectedEOF):
		return received, fmt.Errorf("%w: %w", errEnded, err)
	}
	return received, err
}

// hasMoved returns whether none of the addresses has been called yet since they changed.
func (c *Client) hasMoved() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addrsUnused
}

// beginCall returns the address for the next call, which cancel ends. If the addresses have changed, it
// forgets what applies to the old ones: another discovery service numbers its versions by itself, and a
// Retry-After of the old one does not apply to it.
func (c *Client) beginCall(cancel context.CancelCauseFunc) (addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelWatch = cancel
	if c.addrsUnused {
		c.addrsUnused = false
		c.version = 0
		c.olderListSince = time.Time{}
		c.retryAt = time.Time{}
		c.unansweredCalls = 0
	}
	return c.addrs[c.addrIndex]
}

// run makes the call at addr and handles the lists of its answer. It returns what watch returns, but
// the reason for the end may be the error that followed from it.
func (w *watchCall) run(ctx context.Context, addr string) (received bool, err error) {
	c := w.client
	w.index = c.version
	if c.needFullList {
		w.index = 0
	}
	resp, err := w.send(ctx, addr)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		c.applyRetryAfter(resp.Header.Get("Retry-After"))
		return false, fmt.Errorf("discovery answers %s", resp.Status)
	}
	w.answered = true
	w.silenceTimer.Reset(c.SilenceTimeout)
	w.upToDate = c.haveList && w.index == c.version && w.index > 0 // else a list is still to come
	return w.readLists(resp.Body)
}

// send sends the call to addr and returns the head of its answer.
func (w *watchCall) send(ctx context.Context, addr string) (*http.Response, error) {
	c := w.client
	url := "http://" + addr + pathMembers + "?stream=1&index=" + strconv.FormatUint(w.index, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	if c.haveList {
		req.Header.Set("X-Catalog-Have", strconv.FormatUint(c.version, 10))
	}
	began := time.Now()
	resp, err := c.httpClient.Do(req)
	logCall(ctx, w.index, time.Since(began), resp, err)
	if context.Cause(ctx) == errSilent {
		c.unansweredCalls++
	} else {
		c.unansweredCalls = 0
	}
	return resp, err
}

// noteData records that data has arrived. blank means that it is only white space. If that is the first
// data, the list has not changed since the version of the call.
func (w *watchCall) noteData(blank bool) {
	w.silenceTimer.Reset(w.client.SilenceTimeout)
	w.received = true
	w.client.lastHeardAt = time.Now()
	if blank && w.upToDate {
		w.handler.HandleList(bramblelock.ListChanges, hostlist.List{Version: w.index})
	}
	w.upToDate = false
}

// readLists passes the lists in body on until the watch ends. It returns what watch returns.
func (w *watchCall) readLists(body io.Reader) (received bool, err error) {
	c := w.client
	reader := &listReader{body: body, onData: w.noteData}
	lists := json.NewDecoder(reader) // does not split at line ends, as a list may be indented
	for {
		var list hostlist.List
		err := lists.Decode(&list)
		reader.bytesSinceList = 0
		switch {
		case errors.Is(err, errListTooLong):
			return w.received, fmt.Errorf("discovery's list is longer than %d MB, ours is kept", maxListBytes>>20)
		case reader.readErr != nil:
			return w.received, reader.readErr
		case err == io.EOF:
			return w.received, io.ErrUnexpectedEOF // a watch is not meant to end; watch wraps it in errEnded
		case isMalformedList(err):
			c.needFullList = true // the changes in it are lost
			return false, fmt.Errorf("discovery's list: %w", err)
		case err != nil:
			return w.received, err
		}
		if err := c.checkVersion(&list); err != nil {
			return false, err
		}
		c.olderListSince = time.Time{}
		c.needFullList = false
		c.version = list.Version
		c.haveList = true
		kind := bramblelock.ListChanges
		if list.Full {
			kind = bramblelock.ListFull
		}
		w.handler.HandleList(kind, list)
	}
}

// checkVersion returns an error if list is older than the one in use, unless discovery has started its
// versions anew.
func (c *Client) checkVersion(list *hostlist.List) error {
	if list.Version >= c.version {
		return nil
	}
	if c.olderListSince.IsZero() {
		c.olderListSince = time.Now()
	}
	if time.Since(c.olderListSince) < versionResetAfter || !list.Full {
		c.needFullList = true // discovery may have started its versions anew, and then has no changes since c.version
		return fmt.Errorf("%w: %d, ours %d", errOlderList, list.Version, c.version)
	}
	slog.Error("discovery counts anew: its whole list is taken", "version", list.Version, "ours", c.version)
	return nil
}

// listReader reads from body, calls onData for every read that returns data, and fails with
// errListTooLong if a list is longer than maxListBytes.
type listReader struct {
	body           io.Reader
	onData         func(blank bool) // blank means that the data is only white space
	bytesSinceList int              // bytes read since the last whole list was decoded
	readErr        error            // error other than io.EOF that ended the connection
}

var errListTooLong = errors.New("too much")

func (r *listReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if n > 0 {
		r.onData(len(bytes.TrimSpace(p[:n])) == 0)
	}
	if err != io.EOF {
		r.readErr = err
	}
	if r.bytesSinceList += n; r.bytesSinceList > maxListBytes {
		return 0, errListTooLong
	}
	return n, err
}

// isMalformedList returns whether the data cannot be parsed as a list, or ended within one.
func isMalformedList(err error) bool {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	return errors.As(err, &syntax) || errors.As(err, &kind) || errors.Is(err, io.ErrUnexpectedEOF)
}
