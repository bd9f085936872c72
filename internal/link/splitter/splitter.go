// Package splitter cuts a stream of server-sent events into whole events without
// changing a byte of them.
package splitter

import (
	"bytes"

	"example.com/dotterelwell/internal/machine/fault"
)

// Kind classifies the package's errors.
type Kind string

// KindTooLong means that an event exceeds the limit.
const KindTooLong Kind = "too-long"

// Error is the package's error type.
type Error = fault.Error[Kind]

// maxEventBytes bounds one event. The events of models are far smaller, and each stream may
// hold as much.
const maxEventBytes = 64 << 10

// Event is one whole event with the blank line that ends it.
type Event struct {
	// ID is the event's identifier; empty when it has none.
	ID  string
	Raw []byte
	// NoData is set when there are only comments or empty lines, which bring nothing.
	NoData bool
}

// Splitter collects bytes and returns the events that are whole. Its zero value is ready.
type Splitter struct {
	pending []byte
}

// Add takes in bytes of the stream.
func (s *Splitter) Add(p []byte) error {
	if len(s.pending)+len(p) > maxEventBytes {
		return fault.Newf("split events", KindTooLong, "an event exceeds %d bytes", maxEventBytes)
	}
	s.pending = append(s.pending, p...)
	return nil
}

// Next returns the next whole event, which is valid until the next call of Add. It
// reports false when more bytes are needed.
func (s *Splitter) Next() (Event, bool) {
	e := Event{NoData: true}
	rest := s.pending
	for {
		end := bytes.IndexByte(rest, '\n')
		if end < 0 {
			return Event{}, false
		}
		line := bytes.TrimSuffix(rest[:end], []byte("\r"))
		rest = rest[end+1:]
		if len(line) == 0 {
			size := len(s.pending) - len(rest)
			e.Raw = s.pending[:size:size]
			s.pending = rest
			return e, true
		}
		if line[0] != ':' {
			e.NoData = false
		}
		if id, found := bytes.CutPrefix(line, []byte("id:")); found {
			e.ID = string(bytes.TrimPrefix(id, []byte(" ")))
		}
	}
}

// HasPartial reports whether bytes of an event that is not whole are left.
func (s *Splitter) HasPartial() bool { return len(s.pending) > 0 }
