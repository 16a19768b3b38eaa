package membership

import (
	"bytes"
	"testing"
)

// An intact list is decoded unchanged. A frame with a modified byte or cut at any length is
// refused, and a list that is too long or empty is not framed.
func TestCorruptListIsRefused(t *testing.T) {
	list := []byte(`{"version":7,"servers":[]}`)
	framed := frameList(list)
	if got, err := parseListFrame(framed); err != nil || !bytes.Equal(got, list) {
		t.Fatalf("%q, %v", got, err)
	}
	for i := range framed {
		corrupt := bytes.Clone(framed)
		corrupt[i] ^= 0x40
		if _, err := parseListFrame(corrupt); err == nil {
			t.Errorf("a frame with byte %d modified was accepted", i)
		}
		if _, err := parseListFrame(framed[:i]); err == nil {
			t.Errorf("a frame cut to %d bytes was accepted", i)
		}
	}
	if frameList(make([]byte, maxListBytes+1)) != nil || frameList(nil) != nil {
		t.Error("a list that is too long or empty was framed")
	}
}
