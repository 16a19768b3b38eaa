package main

import (
	"bytes"
	"encoding/binary"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// validSettings are settings of a fleet of one instance, with one class of requests.
const validSettings = `{"balancers": 1, "caps": {"cancel": true}, "step": 1000,
	"classes": [{"effect": "idempotent", "promise": 300000, "hard_limit": 1200000}]}`

// encodeUint32s encodes values in little-endian order.
func encodeUint32s(values ...uint32) (b []byte) {
	for _, x := range values {
		b = binary.LittleEndian.AppendUint32(b, x)
	}
	return b
}

// encodeRecord encodes an event with a code and its fields.
func encodeRecord(code byte, fields ...[]byte) []byte {
	body := bytes.Join(fields, nil)
	return append(append([]byte{code}, encodeUint32s(uint32(len(body)))...), body...)
}

// encodeBatch encodes a frame with a time in microseconds and records.
func encodeBatch(clock uint64, records ...[]byte) []byte {
	b := binary.LittleEndian.AppendUint64(nil, clock)
	b = append(b, encodeUint32s(uint32(len(records)))...)
	b = append(b, bytes.Join(records, nil)...)
	return append(encodeUint32s(uint32(len(b))), b...)
}

// helloRecord encodes the start of an instance with JSON settings.
func helloRecord(instance uint32, settings string) []byte {
	return encodeRecord(0, encodeUint32s(instance, 1, 0, uint32(len(settings))), []byte(settings))
}

// hostAddr is the address of the only host: 10.0.0.1, port 9000.
var hostAddr = []byte{10, 0, 0, 1, 0x28, 0x23}

// hostListRecord encodes a saved host list with one host, which is ready.
func hostListRecord(instance uint32) []byte {
	return encodeRecord(1, encodeUint32s(instance), []byte{3}, make([]byte, 8), encodeUint32s(1),
		make([]byte, 8), []byte{0}, hostAddr, make([]byte, 4), []byte{3}, make([]byte, 4))
}

// requestRecord encodes the arrival of a request of class 0 with 1 s until its deadline.
func requestRecord(instance, id uint32) []byte {
	return encodeRecord(2, encodeUint32s(instance, id), []byte{0, 0, 0}, encodeUint32s(0, 1000000), make([]byte, 9))
}

// readReply reads one reply and returns the codes of its records and their bodies.
func readReply(t *testing.T, r io.Reader) (codes []byte, bodies [][]byte) {
	t.Helper()
	var head [8]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		t.Fatalf("failed to read the length of a reply: %v", err)
	}
	data := make([]byte, binary.LittleEndian.Uint32(head[:])-4)
	if _, err := io.ReadFull(r, data); err != nil {
		t.Fatal(err)
	}
	for range binary.LittleEndian.Uint32(head[4:]) {
		size := binary.LittleEndian.Uint32(data[1:])
		codes = append(codes, data[0])
		bodies = append(bodies, data[5:5+size])
		data = data[5+size:]
	}
	if len(data) != 0 {
		t.Fatalf("%d bytes after the records of the reply", len(data))
	}
	return codes, bodies
}

// startAdapter runs the adapter on pipes. The channel done receives the result of run.
func startAdapter(t *testing.T) (in *io.PipeWriter, out *io.PipeReader, done chan error) {
	inR, inW := io.Pipe()
	outR, outW := io.Pipe()
	done = make(chan error, 1)
	go func() {
		err := run(inR, outW)
		inR.CloseWithError(io.ErrClosedPipe)
		outW.Close()
		done <- err
	}()
	return inW, outR, done
}

func TestServesOverPipes(t *testing.T) {
	in, out, done := startAdapter(t)
	in.Write(encodeBatch(1000))
	if codes, _ := readReply(t, out); len(codes) != 0 {
		t.Errorf("actions %v after an empty batch, want none", codes)
	}
	in.Write(encodeBatch(2000, helloRecord(3, validSettings), hostListRecord(3), requestRecord(3, 77)))
	codes, bodies := readReply(t, out)
	i := bytes.IndexByte(codes, 64)
	if i < 0 || !bytes.Equal(bodies[i][:14], append(encodeUint32s(3, 77), hostAddr...)) {
		t.Fatalf("actions %v %x, want a send of request 77", codes, bodies)
	}
	attemptEnded := encodeRecord(4, encodeUint32s(3, 77), []byte{0, 0}, hostAddr, []byte{100, 0}, encodeUint32s(500), []byte{1, 0})
	in.Write(encodeBatch(3000, attemptEnded, requestRecord(9, 78))) // instance 9 was never started
	if codes, _ := readReply(t, out); len(codes) != 0 {
		t.Errorf("actions %v after the end of the attempt and a request of an unknown instance, want none", codes)
	}
	in.Write(encodeBatch(4000, encodeRecord(9, encodeUint32s(3)), requestRecord(3, 79)))
	if codes, _ := readReply(t, out); len(codes) != 0 {
		t.Errorf("actions %v of a stopped instance, want none", codes)
	}
	in.Close()
	if err := <-done; err != nil {
		t.Errorf("error at the end of input: %v", err)
	}
}

func TestInvalidSettingsCrashOneInstance(t *testing.T) {
	in, out, done := startAdapter(t)
	in.Write(encodeBatch(1, helloRecord(1, `{"balancers": 1}`), helloRecord(2, `nonsense`), helloRecord(3, validSettings),
		hostListRecord(3), requestRecord(1, 5), requestRecord(3, 6)))
	codes, bodies := readReply(t, out)
	var crashed []string
	sent := false
	for i, c := range codes {
		if c == 73 {
			crashed = append(crashed, string(bodies[i][6:]))
		}
		sent = sent || c == 64 && bodies[i][0] == 3
	}
	if len(crashed) != 2 || !strings.Contains(crashed[0], "settings.classes: an empty list") || !sent {
		t.Errorf("crashes %q, instance 3 sent its request: %v; want 2 crashes, the first for no classes, and true", crashed, sent)
	}
	in.Close()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// Instances share no state: two of them in one process act as each does alone.
func TestInstancesAreIndependent(t *testing.T) {
	runInstances := func(instances ...uint32) map[uint32]string {
		in, out, done := startAdapter(t)
		got := map[uint32]string{}
		for step := range uint64(40) {
			var records [][]byte
			for _, i := range instances {
				if step == 0 {
					records = append(records, helloRecord(i, validSettings), hostListRecord(i))
				}
				records = append(records, requestRecord(i, uint32(step)))
			}
			in.Write(encodeBatch(1000*(step+1), records...))
			_, bodies := readReply(t, out)
			for _, b := range bodies {
				i := binary.LittleEndian.Uint32(b)
				got[i] += string(b)
			}
		}
		in.Close()
		<-done
		return got
	}
	both := runInstances(1, 2)
	for _, i := range []uint32{1, 2} {
		if alone := runInstances(i)[i]; alone != both[i] || alone == "" {
			t.Errorf("instance %d acts differently beside another one, or not at all", i)
		}
	}
}

func TestBuiltProgram(t *testing.T) {
	bin := filepath.Join(t.TempDir(), "simhost")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	validBatch := encodeBatch(1, helloRecord(3, validSettings))
	for _, tt := range []struct {
		name string
		in   []byte
		code int
		want string
	}{
		{"clean end", validBatch, 0, ""},
		{"truncated", validBatch[:len(validBatch)-2], 1, "batch 1: at byte 173: input ends"},
		{"oversized", append(bytes.Clone(validBatch), 255, 255, 255, 255), 1, "batch 2: at byte 175: frame length"},
		{"inconsistent", encodeBatch(1, encodeRecord(6, encodeUint32s(3))), 1, "at byte 16: record"},
	} {
		cmd := exec.Command(bin)
		var stderr bytes.Buffer
		cmd.Stdin, cmd.Stderr, cmd.Env = bytes.NewReader(tt.in), &stderr, os.Environ()
		timer := time.AfterFunc(time.Minute, func() { cmd.Process.Kill() })
		cmd.Run()
		timer.Stop()
		stderrText := stderr.String()
		if cmd.ProcessState.ExitCode() != tt.code || !strings.Contains(stderrText, tt.want) || strings.Count(stderrText, "\n") > 1 {
			t.Errorf("%s: exit code %d, standard error %q, want %d and %q", tt.name, cmd.ProcessState.ExitCode(), stderrText, tt.code, tt.want)
		}
	}
}
