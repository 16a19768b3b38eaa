package wire

import (
	"bufio"
	"encoding/binary"
	"io"

	"bramblelock"
)

// Writer collects the actions of a batch and writes them as one reply.
type Writer struct {
	out         *bufio.Writer
	buf         []byte // reply: its length, its record count and its records
	recordCount uint32 // number of records in buf
}

// NewWriter returns a Writer that writes to out.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: bufio.NewWriterSize(out, 1<<16), buf: make([]byte, 8, 1<<12)}
}

// Flush writes the reply to the batch and starts a new one.
func (w *Writer) Flush() error {
	binary.LittleEndian.PutUint32(w.buf, uint32(len(w.buf)-4))
	binary.LittleEndian.PutUint32(w.buf[4:], w.recordCount)
	w.out.Write(w.buf) // bufio.Writer keeps an error and returns it from Flush
	w.buf, w.recordCount = w.buf[:8], 0
	return w.out.Flush()
}

// WriteAction adds an action of an instance to the reply. Kinds of action without a code are
// ignored.
func (w *Writer) WriteAction(instance uint32, a *bramblelock.Action) {
	switch a.Kind {
	case bramblelock.Send:
		w.appendRecordHeader(actionSend, instance, 22)
		w.u32(uint32(a.Request))
		w.u32(uint32(a.Host))
		w.u16(uint16(a.Host >> 32))
		w.u64(uint64(a.At / timeUnit))
	case bramblelock.Cancel:
		w.appendRecordHeader(actionCancel, instance, 10)
		w.u32(uint32(a.Request))
		w.u16(uint16(a.Attempt))
	case bramblelock.Refuse:
		w.appendRecordHeader(actionRefuse, instance, 12)
		w.u32(uint32(a.Request))
		w.u32(uint32(a.RetryAfter / timeUnit))
	case bramblelock.Fail:
		w.appendRecordHeader(actionFail, instance, 8)
		w.u32(uint32(a.Request))
	case bramblelock.Wake:
		w.appendRecordHeader(actionWake, instance, 20)
		w.u64(uint64((a.At + timeUnit - 1) / timeUnit))
		w.u64(a.Token)
	case bramblelock.Close:
		w.appendRecordHeader(actionClose, instance, 10)
		w.u32(uint32(a.Host))
		w.u16(uint16(a.Host >> 32))
	case bramblelock.Watch:
		w.appendRecordHeader(actionWatch, instance, 5)
		w.buf = append(w.buf, 1)
	case bramblelock.Log:
		w.appendTextRecord(actionLog, instance, a.Text)
	}
}

// WriteCrash adds the failure of an instance to the reply.
func (w *Writer) WriteCrash(instance uint32, text string) {
	w.appendTextRecord(actionCrash, instance, text)
}

// appendTextRecord appends a record that holds a text, truncated to maxTextSize.
func (w *Writer) appendTextRecord(code byte, instance uint32, text string) {
	text = text[:min(len(text), maxTextSize)]
	w.appendRecordHeader(code, instance, 6+len(text))
	w.u16(uint16(len(text)))
	w.buf = append(w.buf, text...)
}

// appendRecordHeader starts a record of an instance. The size counts the bytes after the record's
// code and size, which include the instance number.
func (w *Writer) appendRecordHeader(code byte, instance uint32, size int) {
	w.recordCount++
	w.buf = append(w.buf, code)
	w.u32(uint32(size))
	w.u32(instance)
}

func (w *Writer) u16(v uint16) { w.buf = binary.LittleEndian.AppendUint16(w.buf, v) }

func (w *Writer) u32(v uint32) { w.buf = binary.LittleEndian.AppendUint32(w.buf, v) }

func (w *Writer) u64(v uint64) { w.buf = binary.LittleEndian.AppendUint64(w.buf, v) }
