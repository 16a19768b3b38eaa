package wire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"math"
	"time"

	"bramblelock"
)

// Reader reads batches of events. Each frame of the input holds one batch.
type Reader struct {
	in         *bufio.Reader
	frameBuf   bytes.Buffer
	frame      []byte             // contents of frameBuf: the frame without its length field
	offset     int                // offset of the next record in frame
	frameStart int64              // offset of the frame in the input
	frameEnd   int64              // offset of the end of the frame in the input
	remaining  uint32             // number of records of the batch not read yet
	hosts      []bramblelock.Host // reused by every host list
}

// NewReader returns a Reader that reads from in.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, 1<<16)}
}

// ReadBatch reads the next batch and returns the time of its events. It returns io.EOF when the
// input ends between batches.
func (r *Reader) ReadBatch() (bramblelock.Time, error) {
	var lengthField [4]byte
	r.frameStart = r.frameEnd
	if got, err := io.ReadFull(r.in, lengthField[:]); err == io.EOF {
		return 0, io.EOF
	} else if err != nil {
		return 0, r.errorf(got-4, "input ends inside the length of a frame")
	}
	length := binary.LittleEndian.Uint32(lengthField[:])
	if length < batchHeaderSize || length > maxFrameSize {
		return 0, r.errorf(-4, "frame length %d is not between %d and %d", length, batchHeaderSize, maxFrameSize)
	}
	r.frameEnd = r.frameStart + 4 + int64(length)
	r.frameBuf.Reset() // it grows with the received bytes, not to the length that the frame claims
	if got, err := io.CopyN(&r.frameBuf, r.in, int64(length)); err != nil {
		return 0, r.errorf(int(got), "input ends inside a frame of %d bytes", length)
	}
	r.frame = r.frameBuf.Bytes()
	clock := binary.LittleEndian.Uint64(r.frame)
	if clock > math.MaxInt64/uint64(timeUnit) {
		return 0, r.errorf(0, "clock %d is out of range", clock)
	}
	r.remaining, r.offset = binary.LittleEndian.Uint32(r.frame[8:]), batchHeaderSize
	return bramblelock.Time(clock) * timeUnit, nil
}

// Next decodes the next event of the batch into e. It returns false after the last event.
func (r *Reader) Next(e *Event) (bool, error) {
	if r.remaining == 0 {
		if r.offset != len(r.frame) {
			return false, r.errorf(r.offset, "%d bytes behind the last record", len(r.frame)-r.offset)
		}
		return false, nil
	}
	if len(r.frame)-r.offset < recordHeaderSize {
		return false, r.errorf(r.offset, "record header is cut off")
	}
	size := binary.LittleEndian.Uint32(r.frame[r.offset+1:])
	if uint64(size) > uint64(len(r.frame)-r.offset-recordHeaderSize) {
		return false, r.errorf(r.offset, "record of %d bytes reaches past the frame", size)
	}
	start := r.offset
	end := start + recordHeaderSize + int(size)
	f := fieldReader{data: r.frame[start+recordHeaderSize : end]}
	r.offset, r.remaining = end, r.remaining-1
	*e = Event{Code: r.frame[start], Instance: f.u32()}
	if err := r.decode(e, &f); err != nil {
		return false, r.errorf(start, "%v", err)
	}
	if f.truncated {
		return false, r.errorf(start, "record of code %d is too short", e.Code)
	}
	if len(f.data) > 0 {
		return false, r.errorf(start, "record of code %d has %d bytes too many", e.Code, len(f.data))
	}
	return true, nil
}

// errorf returns an error that names its offset in the input. The argument offset is relative to
// the end of the frame's length field.
func (r *Reader) errorf(offset int, format string, args ...any) error {
	return fmt.Errorf("at byte %d: %s", r.frameStart+4+int64(offset), fmt.Sprintf(format, args...))
}

// decode decodes the fields of a record with the code of e into e.
func (r *Reader) decode(e *Event, f *fieldReader) error {
	switch e.Code {
	case EventHello:
		e.Seed = f.u64()
		e.Settings = f.bytes(uint64(f.u32()))
	case EventHostList:
		return r.decodeHostList(e, f)
	case EventRequest:
		e.Request.ID = bramblelock.RequestID(f.u32())
		e.Request.Class = int(f.u8())
		e.Request.Tenant = int(f.u16())
		f.u32() // expected work
		e.Request.Remaining = f.duration()
		f.u64() // routing key
		e.Request.ClientRetry = f.u8()&flagClientRetry != 0
	case EventResponseStarted:
		e.Request.ID = bramblelock.RequestID(f.u32())
		e.Attempt = int(f.u16())
		f.hostID()
		f.duration()
	case EventAttemptEnded:
		e.Outcome.Request = bramblelock.RequestID(f.u32())
		e.Outcome.Attempt = int(f.u16())
		f.hostID()
		code := f.u16()
		e.Outcome.Elapsed = f.duration()
		e.Outcome.Answered = f.u8() != 0
		f.bytes(4 * uint64(f.u8()))
		var ok bool
		if e.Outcome.Result, ok = resultsByCode[code]; !ok && !f.truncated {
			return fmt.Errorf("unknown outcome %d", code)
		}
	case EventClientGone:
		e.Request.ID = bramblelock.RequestID(f.u32())
	case EventTimer:
		e.Token = f.u64()
	case EventProbeResult:
		f.u16()
		f.duration()
		f.hostID()
		f.bytes(4 * uint64(f.u8()))
	case EventPeerMessage:
		f.u16()
		f.bytes(uint64(f.u16()))
	case EventStop:
	default:
		return fmt.Errorf("unknown event code %d", e.Code)
	}
	return nil
}

// decodeHostList decodes the fields of a host list into e. e.Hosts uses the memory of r.hosts, which
// the next host list overwrites.
func (r *Reader) decodeHostList(e *Event, f *fieldReader) error {
	mode := f.u8()
	f.u64() // version
	entryCount := f.u32()
	if f.truncated {
		return nil
	}
	switch mode {
	case 0:
		e.ListKind = bramblelock.ListFailed
	case 1:
		e.ListKind = bramblelock.ListFull
	case 3:
		e.ListKind = bramblelock.ListSaved
	case 4:
		e.ListKind = bramblelock.ListChanges
	default:
		return fmt.Errorf("unknown list mode %d", mode)
	}
	if uint64(entryCount)*hostEntrySize != uint64(len(f.data)) {
		return fmt.Errorf("list of %d entries has %d bytes", entryCount, len(f.data))
	}
	r.hosts = r.hosts[:0]
	for range entryCount {
		started := f.u64()
		if started > math.MaxInt64/uint64(timeUnit) {
			return fmt.Errorf("start time %d is out of range", started)
		}
		h := bramblelock.Host{Started: bramblelock.Time(started) * timeUnit, Kind: int(f.u8())}
		h.ID = f.hostID()
		h.Zone, h.Cell = int(f.u16()), int(f.u16())
		switch state := f.u8(); state {
		case 3:
			h.State = bramblelock.Ready
		case 0:
			h.State = bramblelock.Draining
		case 2:
			h.State = bramblelock.Removed
		default:
			return fmt.Errorf("unknown host state %d", state)
		}
		f.u32() // weight
		r.hosts = append(r.hosts, h)
	}
	e.Hosts = r.hosts
	return nil
}

// fieldReader reads little-endian fields from data. When data is too short for a field, truncated
// is set, and that field and all further ones are zero.
type fieldReader struct {
	data      []byte // fields not read yet
	truncated bool
}

func (f *fieldReader) bytes(n uint64) []byte {
	if uint64(len(f.data)) < n {
		f.truncated, f.data = true, nil
		return nil
	}
	v := f.data[:n]
	f.data = f.data[n:]
	return v
}

func (f *fieldReader) u8() uint8 {
	if v := f.bytes(1); v != nil {
		return v[0]
	}
	return 0
}

func (f *fieldReader) u16() uint16 {
	if v := f.bytes(2); v != nil {
		return binary.LittleEndian.Uint16(v)
	}
	return 0
}

func (f *fieldReader) u32() uint32 {
	if v := f.bytes(4); v != nil {
		return binary.LittleEndian.Uint32(v)
	}
	return 0
}

func (f *fieldReader) u64() uint64 {
	if v := f.bytes(8); v != nil {
		return binary.LittleEndian.Uint64(v)
	}
	return 0
}

func (f *fieldReader) duration() time.Duration { return time.Duration(f.u32()) * timeUnit }

// hostID reads a host's address: the four address bytes are the lower 32 bits of the ID and the
// port is the next 16.
func (f *fieldReader) hostID() bramblelock.HostID {
	addr := f.u32()
	return bramblelock.HostID(addr) | bramblelock.HostID(f.u16())<<32
}
