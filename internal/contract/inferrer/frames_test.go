package inferrer

import (
	"context"
	"strings"
	"testing"
	"time"

	"example.com/dotterelwell/internal/contract/chat"
	"example.com/dotterelwell/internal/link/dialer"
)

// read runs readFrames on a stream and returns the offsets of the emitted frames.
func read(t *testing.T, stream string) (offsets []int64, err error) {
	t.Helper()
	d, closeDialer := dialer.New(nil)
	defer closeDialer()
	h := &httpEngine{dial: d, hooks: &Inferrer{}}
	idleTimer := time.AfterFunc(time.Hour, func() {})
	defer idleTimer.Stop()
	call := Call{Request: "r", After: StartOffset, FrameTimeout: 1000}
	err = h.readFrames(context.Background(), context.Background(), call, strings.NewReader(stream), idleTimer, func(f Frame) error {
		offsets = append(offsets, f.Offset)
		return nil
	})
	return offsets, err
}

// TestFrames reads streams that are complete, truncated, with repeated or missing
// frames, and with a frame of another request.
func TestFrames(t *testing.T) {
	const zero, one, end = "id: 0\ndata: {\"id\":\"r\"}\n\n", "id: 1\ndata: {\"id\":\"r\"}\n\n", "id: 2\ndata: " + chat.StreamEnd + "\n\n"
	const other = "id: 1\ndata: {\"id\":\"another\"}\n\n"
	for _, tt := range []struct {
		name, stream string
		frames       int
		kind         Kind
	}{
		{"whole", zero + one + end, 3, ""},
		{"repeated frames", zero + zero + one + one + end, 3, ""},
		{"another request's frame", zero + other + one + end, 3, ""},
		{"gap", zero + end, 1, KindTruncated},
		{"no end", zero + one, 2, KindTruncated},
		{"cut in a frame", zero + one[:12], 1, KindTruncated},
		{"no offset", "data: {\"id\":\"r\"}\n\n", 0, KindTruncated},
		{"not JSON", "id: 0\ndata: {\n\n", 0, KindTruncated},
		{"nothing", "", 0, KindTruncated},
	} {
		offsets, err := read(t, tt.stream)
		if len(offsets) != tt.frames || KindOf(err) != tt.kind {
			t.Errorf("%s: frames %v, error %v, want %d and kind %q", tt.name, offsets, err, tt.frames, tt.kind)
		}
	}
}

// FuzzFrames reads arbitrary streams. Frames must be emitted once each and in order.
func FuzzFrames(f *testing.F) {
	f.Add("id: 0\ndata: {\"id\":\"r\"}\n\nid: 1\ndata: [DONE]\n\n")
	f.Fuzz(func(t *testing.T, stream string) {
		offsets, _ := read(t, stream) // arbitrary streams may end with an error
		for i, offset := range offsets {
			if offset != int64(i) {
				t.Errorf("offsets %v", offsets)
			}
		}
	})
}
