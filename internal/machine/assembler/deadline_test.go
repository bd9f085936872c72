package assembler_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/loader"
	"example.com/dotterelwell/internal/standin/fleet"
)

// TestLongAnswer lets an answer take longer than the default deadline, which bounds
// only its beginning, and cuts it at a deadline that the caller has set.
func TestLongAnswer(t *testing.T) {
	for _, tt := range []struct {
		timeout string
		whole   bool
	}{{"", true}, {"5000", false}} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 2, 1)
			f.Engines[0].TokenGap = 1000
			ask := fleet.Chat("lookups", "a season summary tokens=40", true)
			if tt.timeout != "" {
				ask.Header["Request-Timeout-Ms"] = tt.timeout
			}
			reply, err := f.Send(t.Context(), f.Nodes[0], ask)
			if err != nil {
				t.Fatal(err)
			}
			if _, whole := streamText(reply.Body); whole != tt.whole {
				t.Errorf("timeout %q: whole %v, want %v", tt.timeout, whole, tt.whole)
			}
		})
	}
}

// TestDeadlineAtEnd sets deadlines at the moment at which the last frame is let go by
// the bill. An answer is whole or ends with an event that says that it is not.
func TestDeadlineAtEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 1, func(f *fleet.Fleet) {
			f.Settings = func(s *loader.Settings) { s.Limits.MaxConfigAge = clock.Hour }
		})
		f.Network.Part(func(_, to string) bool { return strings.HasSuffix(to, ":81") })
		f.Store.SetDown(true)
		time.Sleep(10 * time.Second)
		whole := 0
		for i := range 200 {
			// Neither a peer nor the store takes the bill, so that the last frame comes
			// 2000 ms after it is due, 90 ms from the start.
			ask := fleet.Chat("rulings", fmt.Sprintf("question %d tokens=5", i), true)
			ask.Header["Request-Timeout-Ms"] = "2090"
			reply, err := f.Send(context.Background(), f.Nodes[0], ask)
			if err != nil || reply.Status != 200 {
				t.Fatalf("status %d, error %v", reply.Status, err)
			}
			if _, ended := streamText(reply.Body); ended {
				whole++
			} else if !strings.Contains(string(reply.Body), "event: error") {
				t.Fatalf("request %d ended without its last frame and without notice", i)
			}
		}
		t.Logf("%d of 200 answers were whole", whole)
	})
}
