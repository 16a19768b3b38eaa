package gateway

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
	d            *Discovery
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
func (d *Discovery) watch(ctx context.Context, handler ListHandler) (received bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if d.hasMoved() {
		d.timeoutFactor = urgentTimeoutFactor
		handler.HandleList(bramblelock.ListMoved, hostlist.List{})
	}
	call := &watchCall{d: d, handler: handler}
	call.silenceTimer = d.startSilenceTimer(d.nextCallTimeout(), func() { cancel(errSilent) })
	defer call.silenceTimer.Stop()
	received, err = call.run(ctx, d.beginCall(cancel))
	switch cause := context.Cause(ctx); {
	case cause == errSilent || cause == errAddrsChanged:
		return received || call.answered, cause
	case call.answered && errors.Is(err, io.ErrUnexpectedEOF):
		return received, fmt.Errorf("%w: %w", errEnded, err)
	}
	return received, err
}

// hasMoved returns whether none of the addresses has been called yet since they changed.
func (d *Discovery) hasMoved() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addrsUnused
}

// beginCall returns the address for the next call, which cancel ends. If the addresses have changed, it
// forgets what applies to the old ones: another discovery service numbers its versions by itself, and a
// Retry-After of the old one does not apply to it.
func (d *Discovery) beginCall(cancel context.CancelCauseFunc) (addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cancelWatch = cancel
	if d.addrsUnused {
		d.addrsUnused = false
		d.version = 0
		d.olderListSince = time.Time{}
		d.retryAt = time.Time{}
		d.unansweredCalls = 0
	}
	return d.addrs[d.addrIndex]
}

// run makes the call at addr and handles the lists of its answer. It returns what watch returns, but
// the reason for the end may be the error that followed from it.
func (w *watchCall) run(ctx context.Context, addr string) (received bool, err error) {
	d := w.d
	w.index = d.version
	if d.needFullList {
		w.index = 0
	}
	resp, err := w.send(ctx, addr)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		d.applyRetryAfter(resp.Header.Get("Retry-After"))
		return false, fmt.Errorf("discovery answers %s", resp.Status)
	}
	w.answered = true
	w.silenceTimer.Reset(d.SilenceTimeout)
	w.upToDate = d.haveList && w.index == d.version && w.index > 0 // else a list is still to come
	return w.readLists(resp.Body)
}

// send sends the call to addr and returns the head of its answer.
func (w *watchCall) send(ctx context.Context, addr string) (*http.Response, error) {
	d := w.d
	url := "http://" + addr + pathMembers + "?stream=1&index=" + strconv.FormatUint(w.index, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	if d.haveList {
		req.Header.Set("X-Catalog-Have", strconv.FormatUint(d.version, 10))
	}
	began := time.Now()
	resp, err := d.client.Do(req)
	logCall(ctx, w.index, time.Since(began), resp, err)
	if context.Cause(ctx) == errSilent {
		d.unansweredCalls++
	} else {
		d.unansweredCalls = 0
	}
	return resp, err
}

// noteData records that data has arrived. blank means that it is only white space. If that is the first
// data, the list has not changed since the version of the call.
func (w *watchCall) noteData(blank bool) {
	w.silenceTimer.Reset(w.d.SilenceTimeout)
	w.received = true
	w.d.lastHeardAt = time.Now()
	if blank && w.upToDate {
		w.handler.HandleList(bramblelock.ListChanges, hostlist.List{Version: w.index})
	}
	w.upToDate = false
}

// readLists passes the lists in body on until the watch ends. It returns what watch returns.
func (w *watchCall) readLists(body io.Reader) (received bool, err error) {
	d := w.d
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
			d.needFullList = true // the changes in it are lost
			return false, fmt.Errorf("discovery's list: %w", err)
		case err != nil:
			return w.received, err
		}
		if err := d.checkVersion(&list); err != nil {
			return false, err
		}
		d.olderListSince = time.Time{}
		d.needFullList = false
		d.version = list.Version
		d.haveList = true
		kind := bramblelock.ListChanges
		if list.Full {
			kind = bramblelock.ListFull
		}
		w.handler.HandleList(kind, list)
	}
}

// checkVersion returns an error if list is older than the one in use, unless discovery has started its
// versions anew.
func (d *Discovery) checkVersion(list *hostlist.List) error {
	if list.Version >= d.version {
		return nil
	}
	if d.olderListSince.IsZero() {
		d.olderListSince = time.Now()
	}
	if time.Since(d.olderListSince) < versionResetAfter || !list.Full {
		d.needFullList = true // discovery may have started its versions anew, and then has no changes since d.version
		return fmt.Errorf("%w: %d, ours %d", errOlderList, list.Version, d.version)
	}
	slog.Error("discovery counts anew: its whole list is taken", "version", list.Version, "ours", d.version)
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
