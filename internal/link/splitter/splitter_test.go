package splitter_test

import (
	"strings"
	"testing"

	"pgregory.net/rapid"

	"example.com/dotterelwell/internal/link/splitter"
	"example.com/dotterelwell/internal/standin/property"
)

// TestAnyPieces checks that the events are the same, byte for byte, however the stream is
// cut into pieces.
func TestAnyPieces(t *testing.T) {
	events := []string{
		"id: 1\ndata: a\n\n", "id:2\r\ndata: b\r\n\r\n", "data: no id\n\n", ": comment\n\n",
		"x-any: 2\nid: 40\ndata: c\ndata: d\n\n", "\n",
	}
	ids := []string{"1", "2", "", "", "40", ""}
	property.Check(t, 100, func(t *rapid.T) {
		rest := strings.Join(events, "") + "id: 9\ndata: par"
		var s splitter.Splitter
		var got []splitter.Event
		for len(rest) > 0 {
			n := rapid.IntRange(1, len(rest)).Draw(t, "piece")
			if err := s.Add([]byte(rest[:n])); err != nil {
				t.Fatal(err)
			}
			rest = rest[n:]
			for {
				e, found := s.Next()
				if !found {
					break
				}
				e.Raw = append([]byte(nil), e.Raw...)
				got = append(got, e)
			}
		}
		if len(got) != len(events) || !s.HasPartial() {
			t.Fatalf("%d events, partial %v", len(got), s.HasPartial())
		}
		for i, e := range got {
			if noData := i == 3 || i == 5; e.NoData != noData {
				t.Fatalf("event %d, %q: NoData is %v, want %v", i, e.Raw, e.NoData, noData)
			}
			if string(e.Raw) != events[i] || e.ID != ids[i] {
				t.Fatalf("event %d is %q with id %q", i, e.Raw, e.ID)
			}
		}
	})
}

// TestTooLong checks that an event without an end fails.
func TestTooLong(t *testing.T) {
	var s splitter.Splitter
	var err error
	for range 40 {
		if err = s.Add(make([]byte, 64<<10)); err != nil {
			break
		}
	}
	if err == nil {
		t.Error("an endless event was accepted")
	}
}

// TestEventBound checks that 64 KiB can be added without an event's end, and one byte more
// can't.
func TestEventBound(t *testing.T) {
	for _, tt := range []struct {
		bytes    int
		accepted bool
	}{{64 << 10, true}, {64<<10 + 1, false}} {
		var s splitter.Splitter
		if err := s.Add(make([]byte, tt.bytes)); (err == nil) != tt.accepted {
			t.Errorf("%d bytes: error %v, want accepted %v", tt.bytes, err, tt.accepted)
		}
	}
}

func FuzzSplitter(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\n\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var s splitter.Splitter
		if s.Add(raw) != nil {
			return
		}
		total := 0
		for {
			e, found := s.Next()
			if !found {
				break
			}
			total += len(e.Raw)
		}
		if total > len(raw) || s.HasPartial() != (total < len(raw)) {
			t.Fatalf("%d of %d bytes in events, partial %v", total, len(raw), s.HasPartial())
		}
	})
}
