package timekeeper_test

import (
	"fmt"
	"testing"

	"example.com/dotterelwell/internal/link/timekeeper"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
)

const trueNow clock.Millis = 1_000_000

func withClock(own clock.Millis) *timekeeper.Timekeeper {
	return &timekeeper.Timekeeper{Clock: &clock.Clock{NowFunc: func() clock.Millis { return own }}}
}

// TestSteppedClock guards against counts in wrong periods at a process that started while the time of day of its machine, and
// of a third of the others, was an hour off.
func TestSteppedClock(t *testing.T) {
	k := withClock(trueNow + clock.Hour)
	for i := range 9 {
		theirs := trueNow + clock.Millis(i)
		if i%3 == 0 {
			theirs -= 2 * clock.Hour
		}
		k.Record(ident.Instance(fmt.Sprintf("front-%d", i)), "", theirs, trueNow+clock.Hour-1, trueNow+clock.Hour+1)
	}
	if off := k.Now() - trueNow; off < 0 || off > 10 {
		t.Errorf("%d ms off", off)
	}
}

// TestRoundTrip guards against clocks that seem ahead by the time that a slow call took.
func TestRoundTrip(t *testing.T) {
	k := withClock(trueNow)
	k.Record("front-1", "a", trueNow, trueNow-600, trueNow+600)
	k.Record("front-2", "a", trueNow, trueNow-600, trueNow+600)
	if k.Offset() != 0 {
		t.Errorf("offset %d", k.Offset())
	}
	k.Record("front-1", "a", trueNow-700, trueNow-1400, trueNow+1400) // the answer waited
	k.Record("front-2", "a", trueNow-700, trueNow-1400, trueNow+1400)
	if k.Offset() != 0 {
		t.Errorf("offset %d after slow calls", k.Offset())
	}
}

// TestRestartedPeer guards against the clock of a process that is gone standing for that of its successor.
func TestRestartedPeer(t *testing.T) {
	k := withClock(trueNow)
	for _, peer := range []ident.Instance{"front-1", "front-2"} {
		k.Record(peer, "a", trueNow+clock.Hour, trueNow, trueNow)
		k.Record(peer, "b", trueNow, trueNow-700, trueNow+700)
	}
	if k.Offset() != 0 {
		t.Errorf("offset %d", k.Offset())
	}
}

// TestUntoldClock guards against peers of a build that tells no time being taken for clocks at zero.
func TestUntoldClock(t *testing.T) {
	k := withClock(trueNow)
	for i := range 5 {
		k.Record(ident.Instance(fmt.Sprintf("front-%d", i)), "", 0, trueNow, trueNow)
	}
	if k.Offset() != 0 {
		t.Errorf("offset %d", k.Offset())
	}
}
