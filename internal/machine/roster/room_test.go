package roster_test

import (
	"testing"

	"example.com/dotterelwell/internal/contract/backend"
	"example.com/dotterelwell/internal/machine/roster"
)

// TestRoom guards against servers that are filled with what isn't urgent. Load: a jump of the least urgent kind,
// whose prompts are long, and an urgent request that comes after it.
func TestRoom(t *testing.T) {
	tab := newTable("f-1", nil, 0)
	tab.put(backend.Server{ID: "i-1"}, backend.Server{ID: "i-2"})
	report := roster.Want{Service: "engines", OwnWork: 400, Room: 500}
	taken := 0
	for range 20 {
		if _, err := tab.Acquire(report); err == nil {
			taken++
		} else if roster.KindOf(err) != roster.KindNoRoom {
			t.Fatal(err)
		}
	}
	if taken != 4 {
		t.Errorf("%d reports are sent to two servers, want 4: each may find 500 ms of work before it", taken)
	}
	if _, err := tab.Acquire(roster.Want{Service: "engines", OwnWork: 100}); err != nil {
		t.Errorf("an urgent request gets no slot: %v", err)
	}
}
