package wire

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"io"
	"math"
	"reflect"
	"runtime"
	"strings"
	"testing"
	"time"

	"bramblelock"
)

// encodeFrame encodes a batch. The first byte of a record is its code, the others are its fields.
func encodeFrame(clock uint64, records ...[]byte) []byte {
	b := binary.LittleEndian.AppendUint64(nil, clock)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(records)))
	for _, r := range records {
		b = append(b, r[0])
		b = binary.LittleEndian.AppendUint32(b, uint32(len(r)-1))
		b = append(b, r[1:]...)
	}
	return append(binary.LittleEndian.AppendUint32(nil, uint32(len(b))), b...)
}

// decodeHex decodes hexadecimal digits, which spaces may separate.
func decodeHex(t *testing.T, s string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.ReplaceAll(s, " ", ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// readAll reads a batch and returns its time and its events.
func readAll(data []byte) (clock time.Duration, events []Event, err error) {
	r := NewReader(bytes.NewReader(data))
	if clock, err = r.ReadBatch(); err != nil {
		return clock, nil, err
	}
	for {
		var e Event
		more, err := r.Next(&e)
		if !more || err != nil {
			return clock, events, err
		}
		e.Hosts = append([]bramblelock.Host(nil), e.Hosts...)
		events = append(events, e)
	}
}

func TestDecodeEvents(t *testing.T) {
	host := bramblelock.HostID(0x00232b_074a120a)
	tests := []struct {
		name, fields string
		want         Event
	}{
		{"request", "02 03000000 c4913a5d 01 0200 e02e0000 80a90300 640ad2557c3bf091 03",
			Event{Code: EventRequest, Instance: 3, Request: bramblelock.Request{
				ID: 0x5d3a91c4, Class: 1, Tenant: 2, Remaining: 240 * time.Millisecond, ClientRetry: true}}},
		{"attempt ended", "04 03000000 c4913a5d 0100 0a124a07 2b23 2e01 44480000 01 01 0000803f",
			Event{Code: EventAttemptEnded, Instance: 3, Outcome: bramblelock.Outcome{Request: 0x5d3a91c4, Attempt: 1,
				Result: bramblelock.Full, Elapsed: 18500 * time.Microsecond, Answered: true}}},
		{"timer", "06 03000000 4d00000000000000", Event{Code: EventTimer, Instance: 3, Token: 77}},
		{"client gone", "05 05000000 192b6f0e",
			Event{Code: EventClientGone, Instance: 5, Request: bramblelock.Request{ID: 0x0e6f2b19}}},
		{"response started", "03 03000000 c4913a5d 0200 0a124a07 2b23 22240000",
			Event{Code: EventResponseStarted, Instance: 3, Request: bramblelock.Request{ID: 0x5d3a91c4}, Attempt: 2}},
		{"host list", "01 03000000 04 2900000000000000 01000000 20145d0000000000 01 0a124a07 2b23 0100 0200 00 0000c07f",
			Event{Code: EventHostList, Instance: 3, ListKind: bramblelock.ListChanges, Hosts: []bramblelock.Host{{ID: host,
				Zone: 1, Cell: 2, Kind: 1, State: bramblelock.Draining, Started: 0x5d1420 * time.Microsecond}}}},
		{"probe result", "07 03000000 6400 78050000 0a9011f2 5423 00", Event{Code: EventProbeResult, Instance: 3}},
		{"peer message", "08 03000000 0200 0400 68692037", Event{Code: EventPeerMessage, Instance: 3}},
		{"stop", "09 03000000", Event{Code: EventStop, Instance: 3}},
	}
	for _, tt := range tests {
		clock, got, err := readAll(encodeFrame(8411738, decodeHex(t, tt.fields)))
		if err != nil || clock != 8411738*time.Microsecond || len(got) != 1 {
			t.Errorf("%s: clock %v, %d events, error %v", tt.name, clock, len(got), err)
			continue
		}
		if len(got[0].Hosts) == 0 {
			got[0].Hosts = nil
		}
		if !reflect.DeepEqual(got[0], tt.want) {
			t.Errorf("%s:\ngot  %+v\nwant %+v", tt.name, got[0], tt.want)
		}
	}
}

func TestMalformedFrames(t *testing.T) {
	timer := decodeHex(t, "06 03000000 4d00000000000000")
	valid := encodeFrame(1, timer)
	withRecordCount := func(n uint32) []byte {
		b := bytes.Clone(valid)
		binary.LittleEndian.PutUint32(b[12:], n)
		return b
	}
	withRecordSize := func(n uint32) []byte {
		b := bytes.Clone(valid)
		binary.LittleEndian.PutUint32(b[17:], n)
		return b
	}
	tests := []struct {
		name string
		data []byte
		want string
	}{
		{"cut in the length", valid[:3], "at byte 3: input ends inside the length"},
		{"cut in the header", valid[:9], "at byte 9: input ends inside"},
		{"cut in a record", valid[:20], "at byte 20: input ends inside"},
		{"length too small", []byte{1, 0, 0, 0, 0}, "at byte 0: frame length 1"},
		{"length too large", []byte{255, 255, 255, 255}, "frame length"},
		{"length beyond the input", []byte{0, 0, 0, 48, 1, 2}, "at byte 6: input ends inside"},
		{"clock out of range", encodeFrame(math.MaxUint64), "clock"},
		{"more records than bytes", withRecordCount(2), "record header is cut off"},
		{"fewer records than bytes", withRecordCount(0), "behind the last record"},
		{"record past the frame", withRecordSize(1 << 31), "reaches past the frame"},
		{"record short", encodeFrame(1, timer[:9]), "too short"},
		{"record long", encodeFrame(1, append(bytes.Clone(timer), 0)), "1 bytes too many"},
		{"unknown event", encodeFrame(1, []byte{99, 0, 0, 0, 0}), "unknown event code 99"},
		{"unknown outcome", encodeFrame(1, decodeHex(t, "04 03000000 c4913a5d 0100 0a124a07 2b23 0900 44480000 01 00")),
			"unknown outcome 9"},
		{"unknown list mode", encodeFrame(1, decodeHex(t, "01 03000000 09 2900000000000000 00000000")), "list mode 9"},
		{"entry count beyond the record", encodeFrame(1, decodeHex(t, "01 03000000 01 2900000000000000 ffffffff")), "4294967295 entries"},
		{"unknown host state", encodeFrame(1, decodeHex(t, "01 03000000 01 2900000000000000 01000000"+
			"20145d0000000000 01 0a124a07 2b23 0100 0200 09 0000c07f")), "host state 9"},
	}
	for _, tt := range tests {
		_, _, err := readAll(tt.data)
		if err == nil || err == io.EOF || !strings.Contains(err.Error(), tt.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line with %q", tt.name, err, tt.want)
		}
	}
	if _, _, err := readAll(nil); err != io.EOF {
		t.Errorf("input ends between frames: error %v, want io.EOF", err)
	}
}

// Memory for a frame is allocated as its bytes arrive, not for the length that it claims.
func TestClaimedLengthAllocatesLittle(t *testing.T) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	if _, _, err := readAll([]byte{0, 0, 0, 60, 1, 2, 3}); err == nil {
		t.Fatal("no error for a frame shorter than its length")
	}
	runtime.ReadMemStats(&after)
	if n := after.TotalAlloc - before.TotalAlloc; n > 1<<20 {
		t.Errorf("%d bytes allocated for a frame of 3 bytes, want at most 1 MiB", n)
	}
}

func TestEncodeActions(t *testing.T) {
	host := bramblelock.HostID(0x00232b_074a120a)
	tests := []struct {
		action bramblelock.Action
		want   string
	}{
		{bramblelock.Action{Kind: bramblelock.Send, Request: 0x5d3a91c4, Host: host, At: 8492506 * time.Microsecond},
			"40 16000000 03000000 c4913a5d 0a124a07 2b23 da95810000000000"},
		{bramblelock.Action{Kind: bramblelock.Refuse, Request: 0x5d3a91c4, RetryAfter: 250 * time.Millisecond},
			"41 0c000000 03000000 c4913a5d 90d00300"},
		{bramblelock.Action{Kind: bramblelock.Fail, Request: 0x0e6f2b19}, "42 08000000 03000000 192b6f0e"},
		{bramblelock.Action{Kind: bramblelock.Cancel, Request: 0x5d3a91c4, Attempt: 2},
			"43 0a000000 03000000 c4913a5d 0200"},
		{bramblelock.Action{Kind: bramblelock.Wake, At: 8911482*time.Microsecond - 1, Token: 77},
			"44 14000000 03000000 7afa870000000000 4d00000000000000"},
		{bramblelock.Action{Kind: bramblelock.Log, Text: "hi 7"}, "48 0a000000 03000000 0400 68692037"},
		{bramblelock.Action{Kind: bramblelock.Close, Host: 0x232b074a120a}, "46 0a000000 03000000 0a124a07 2b23"},
		{bramblelock.Action{Kind: bramblelock.Watch}, "4a 05000000 03000000 01"},
	}
	for _, tt := range tests {
		var out bytes.Buffer
		w := NewWriter(&out)
		w.WriteAction(3, &tt.action)
		if err := w.Flush(); err != nil {
			t.Fatal(err)
		}
		body := decodeHex(t, tt.want)
		want := binary.LittleEndian.AppendUint32(nil, uint32(len(body)+4))
		want = append(append(want, 1, 0, 0, 0), body...)
		if !bytes.Equal(out.Bytes(), want) {
			t.Errorf("kind %d:\ngot  %x\nwant %x", tt.action.Kind, out.Bytes(), want)
		}
	}
}

// A time outside the range of time.Duration must not wrap around to one that is accepted.
func TestOutOfRangeTimesAreRejected(t *testing.T) {
	for _, us := range []string{"1e30", "-1e30"} {
		parsed, err := ParseSettings([]byte(`{"balancers": 1, "step": ` + us + `,
			"classes": [{"effect": "idempotent", "hard_limit": 1000}]}`))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := bramblelock.New(parsed, 1); err == nil || !strings.HasPrefix(NameSettingsKey(err).Error(), "settings.step: ") {
			t.Errorf("step %s: error %v, want one that names the step", us, err)
		}
	}
}

func TestParseSettings(t *testing.T) {
	got, err := ParseSettings([]byte(`{"balancers": 4, "rank": 2, "step": 2000, "discovery": "subscribe",
		"over_share_worth": 0.05, "unknown": {"key": [1]},
		"caps": {"cancel": true, "dial_timeout": 150000, "max_attempts": 3, "max_retry_after": 600000,
			"may_duplicate": true, "retry_after": true},
		"classes": [{"effect": "deduplicated", "group": "cell", "hard_limit": 1200000, "importance": 2.0,
			"late_worth": 0.25, "promise": 300000, "window": 5000000}, {"effect": "at_most_once", "hard_limit": 1}],
		"obligations": {"ask_within": 10000000, "cold_from": 0.31, "fall": 1000000, "overload_factor": 2.5,
			"warm_after": 8900000},
		"tenants": [{"name": "a", "quota_per_s": 104.0}]}`))
	if err != nil {
		t.Fatal(err)
	}
	want := bramblelock.Settings{
		Instances: 4, Rank: 2, EventInterval: 2 * time.Millisecond, WatchHosts: true, MaxWatchGap: 10 * time.Second,
		OverQuotaFactor: 0.05, CancelAllowed: true,
		MaxAttempts: 3, MaxRetryAfter: 600 * time.Millisecond,
		ColdCapacity: 0.31, OverloadWindow: time.Second, OverloadFactor: 2.5, WarmAfter: 8900 * time.Millisecond,
		Tenants: []bramblelock.Tenant{{Name: "a", Quota: 104}},
		Classes: []bramblelock.Class{
			{LatencyTarget: 300 * time.Millisecond, Deadline: 1200 * time.Millisecond, PriorityWeight: 2,
				Effect: bramblelock.Deduplicated, DedupScope: bramblelock.DedupCell, DedupWindow: 5 * time.Second},
			{Deadline: time.Microsecond, Effect: bramblelock.AtMostOnce},
		},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("\ngot  %+v\nwant %+v", got, want)
	}
	for text, want := range map[string]string{
		`{"classes": [{"effect": "sometimes"}]}`:                   `settings.classes[0].effect: "sometimes" is not one of "at_most_once", "deduplicated", "idempotent"`,
		`{"classes": [{"effect": "idempotent", "group": "moon"}]}`: `settings.classes[0].group: "moon" is not one of "", "all", "cell", "zone"`,
		`[]`: "settings", `{`: "settings",
	} {
		if _, err := ParseSettings([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want %q", text, err, want)
		}
	}
}
