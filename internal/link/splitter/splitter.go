// Package splitter splits a stream of server-sent events into complete events and keeps
// their bytes unchanged.
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

// maxEventBytes bounds the bytes that a Splitter holds, and so one event. Each open stream
// may take this much memory; the events of models are far smaller.
const maxEventBytes = 64 << 10

// Event is one complete event with the blank line that ends it.
type Event struct {
	// ID is the value of the event's id field; empty when it has none.
	ID  string
	Raw []byte
	// NoData is set when the event consists only of comments or empty lines.
	NoData bool
}

// Splitter buffers the bytes of a stream and returns the complete events. Its zero value is ready.
type Splitter struct {
	pending []byte
}

// Add appends bytes of the stream. It fails when an event would exceed the limit.
func (s *Splitter) Add(p []byte) error {
	if len(s.pending)+len(p) > maxEventBytes {
		return fault.Newf("split events", KindTooLong, "an event exceeds %d bytes", maxEventBytes)
	}
	s.pending = append(s.pending, p...)
	return nil
}

// Next returns the next complete event, whose bytes are valid until the next call of Add.
// It returns false when more bytes are needed.
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

// HasPartial reports whether bytes of an incomplete event are buffered.
func (s *Splitter) HasPartial() bool { return len(s.pending) > 0 }
