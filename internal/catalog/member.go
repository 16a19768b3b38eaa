package catalog

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
)

// Member is one host of the list as the discovery protocol encodes it.
type Member struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"` // host:port
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`      // stateReady, stateDraining, or stateGone in a change that removes the host
	Weight    float64 `json:"weight"`     // from 0 to 1e6
	StartedMS int64   `json:"started_ms"` // when the host started, in Unix milliseconds
}

// The states of a host as the discovery protocol encodes them.
const (
	stateReady    = "ready"
	stateDraining = "draining"
	stateGone     = "gone" // removed from the list
)

// List is one message of the discovery protocol. If Full is set, Servers holds all hosts;
// otherwise it holds the hosts that changed since an earlier version, with removed hosts in state
// "gone".
type List struct {
	Version uint64   `json:"version"`
	Full    bool     `json:"full"`
	Servers []Member `json:"servers"`
}

// Patch is the body of a write. Fields that are present replace those of the entry; absent or null
// fields leave an existing entry unchanged. A new entry requires Addr and starts in state ready
// with weight 1 unless the patch sets these. The units are those of Member.
type Patch struct {
	Addr      *string  `json:"addr"`
	Zone      *string  `json:"zone"`
	Kind      *string  `json:"kind"`
	Cell      *int     `json:"cell"`
	State     *string  `json:"state"`
	Weight    *float64 `json:"weight"`
	StartedMS *int64   `json:"started_ms"`
}

// Limits on writes.
const (
	MaxBodyBytes  = 64 << 10 // maximum size of the body of a write
	MaxIDBytes    = 128      // maximum length of an entry's id
	MaxFieldBytes = 256      // maximum length of addr, zone and kind
	maxWeight     = 1e6
)

// ErrInvalid marks a malformed write. No part of such a write is applied.
var ErrInvalid = errors.New("invalid write")

func invalidf(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrInvalid, fmt.Sprintf(format, args...))
}

// ValidateID checks that id has 1 to MaxIDBytes bytes and consists of ASCII letters, digits and
// the characters ".-_:". Its errors wrap ErrInvalid.
func ValidateID(id string) error {
	if id == "" || len(id) > MaxIDBytes {
		return invalidf("id must have 1 to %d bytes", MaxIDBytes)
	}
	for _, c := range []byte(id) {
		ok := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' ||
			c == '.' || c == '-' || c == '_' || c == ':'
		if !ok {
			return invalidf("id may hold only letters, digits and .-_:")
		}
	}
	return nil
}

// DecodePatch decodes the body of a write. It accepts exactly one JSON object, or null for a patch
// that sets nothing, and rejects unknown keys and trailing data. Its errors wrap ErrInvalid.
func DecodePatch(body []byte) (Patch, error) {
	var p Patch
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&p); err != nil {
		return p, invalidf("body: %v", err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return p, invalidf("body: data after the object")
	}
	return p, nil
}

// validate checks the fields that p sets, whatever the list holds. Its errors wrap ErrInvalid.
func (p *Patch) validate() error {
	for _, field := range []struct {
		name  string
		value *string
	}{{"addr", p.Addr}, {"zone", p.Zone}, {"kind", p.Kind}} {
		if field.value != nil && len(*field.value) > MaxFieldBytes {
			return invalidf("%s is longer than %d bytes", field.name, MaxFieldBytes)
		}
	}
	if p.Addr != nil {
		if _, port, err := net.SplitHostPort(*p.Addr); err != nil || port == "" {
			return invalidf("addr must be host:port")
		}
	}
	if p.State != nil && *p.State != stateReady && *p.State != stateDraining {
		return invalidf("state must be ready or draining (gone is DELETE)")
	}
	if p.Cell != nil && *p.Cell < 0 {
		return invalidf("cell must not be negative")
	}
	if p.Weight != nil && (math.IsNaN(*p.Weight) || *p.Weight < 0 || *p.Weight > maxWeight) {
		return invalidf("weight must be from 0 to 1e6")
	}
	if p.StartedMS != nil && *p.StartedMS < 0 {
		return invalidf("started_ms must not be negative")
	}
	return nil
}

// apply returns m updated with the fields that p sets, or an error that wraps ErrInvalid. exists
// reports whether m is already in the list; if not, m is the zero Member.
func (p *Patch) apply(m Member, exists bool) (Member, error) {
	if err := p.validate(); err != nil {
		return Member{}, err
	}
	if !exists {
		if p.Addr == nil {
			return Member{}, invalidf("a new entry needs addr")
		}
		m.State = stateReady
		m.Weight = 1
	}
	setField(&m.Addr, p.Addr)
	setField(&m.Zone, p.Zone)
	setField(&m.Kind, p.Kind)
	setField(&m.Cell, p.Cell)
	setField(&m.State, p.State)
	setField(&m.Weight, p.Weight)
	setField(&m.StartedMS, p.StartedMS)
	return m, nil
}

// setField sets a field of a Member to a value of a Patch, if the patch has it.
func setField[T any](field, value *T) {
	if value != nil {
		*field = *value
	}
}

// ErrNotFound is returned for the deletion of an entry that is not in the list.
var ErrNotFound = errors.New("no such entry")
