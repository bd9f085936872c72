package locator_test

import (
	"slices"
	"testing"

	"example.com/dotterelwell/internal/load/locator"
	"example.com/dotterelwell/internal/machine/clock"
)

// TestPlacements checks that a server keeps a part from the end of its reading on, that a use of a kept part
// does not make it unready, and that it is forgotten after its last use.
func TestPlacements(t *testing.T) {
	var l locator.Locator
	readyAt := func(now clock.Millis) clock.Millis {
		t.Helper()
		found := l.Append(nil, 7, now)
		if len(found) == 0 {
			return -1
		}
		return found[0].ReadyAt
	}
	l.Record(7, locator.Placement{Holder: 1, ReadyAt: 1500}, 1000)
	l.Record(7, locator.Placement{Holder: 1, ReadyAt: 1700}, 1200) // waits for the same reading
	if got := readyAt(1300); got != 1500 {
		t.Errorf("ready at %d, want 1500", got)
	}
	l.Record(7, locator.Placement{Holder: 1, ReadyAt: 9400}, 9000)
	if got := readyAt(9000); got != 9000 {
		t.Errorf("a part in use counts as ready at %d, want 9000", got)
	}
	l.Record(7, locator.Placement{Holder: 1, ReadyAt: 2000}, 9100) // an old report
	if got := readyAt(9100); got != 9000 {
		t.Errorf("an old report makes it ready at %d, want 9000", got)
	}
	if got := readyAt(9000 + locator.Retention); got != -1 {
		t.Errorf("a part that was not used is still expected, ready at %d", got)
	}
}

// TestBoundedPlacements checks that parts and placements without end, as of a caller that makes up parts,
// take a bounded amount of memory.
func TestBoundedPlacements(t *testing.T) {
	var l locator.Locator
	for i := range 100 {
		l.Record(7, locator.Placement{Holder: locator.Holder(i), ReadyAt: clock.Millis(i)}, 100)
	}
	found := l.Append(nil, 7, 100)
	if len(found) > 16 || !slices.ContainsFunc(found, func(p locator.Placement) bool { return p.Holder == 99 }) {
		t.Errorf("%d placements of a part: %v", len(found), found)
	}
	for i := range 100_000 {
		l.Record(locator.Part(i+100), locator.Placement{Holder: 1}, 100)
	}
	if found := l.Append(nil, 7, 100); len(found) > 0 {
		t.Errorf("a part is held behind 100,000 newer ones: %v", found)
	}
}

// TestHomes checks that the homes are those with the highest scores, in order, however they are offered.
func TestHomes(t *testing.T) {
	var h locator.Homes[string]
	for _, order := range [][]int{{1, 2, 3, 4, 5}, {5, 4, 3, 2, 1}, {3, 5, 1, 2, 4}} {
		h.Reset()
		for _, i := range order {
			h.Offer(string(rune('a'+i)), uint64(i))
		}
		if got := h.Servers(); !slices.Equal(got, []string{"f", "e", "d"}) {
			t.Errorf("offered as %v: homes %v", order, got)
		}
	}
}

// TestDigests checks that placements reach an instance through others, also when a message is lost or comes twice, and
// that no instance passes on for ever what it hears.
func TestDigests(t *testing.T) {
	var a, b, c locator.Locator
	a.Record(7, locator.Placement{Holder: 1, ReadyAt: 1500}, 1000)
	a.Tell(7, locator.Placement{Holder: 1, ReadyAt: 1500}, 1000)
	a.Digest(1100) // lost
	b.Merge(a.Digest(1600), 51_600)
	c.Merge(b.Digest(51_700), 91_700)
	c.Merge(b.Digest(51_800), 91_800)
	found := c.Append(nil, 7, 91_800)
	if len(found) != 1 || found[0] != (locator.Placement{Holder: 1, ReadyAt: 91_500}) {
		t.Errorf("heard of %v", found)
	}
	for now := clock.Millis(92_000); now < 100_000; now += 500 {
		b.Merge(c.Digest(now), now-40_000)
		c.Merge(b.Digest(now-40_000), now)
	}
	if got := c.Digest(100_000); len(got) > 0 {
		t.Errorf("is still passed on: %d bytes", len(got))
	}
}

// TestDigestBounds checks the size of a message, and that one of another build or a damaged one is read as far
// as it makes sense.
func TestDigestBounds(t *testing.T) {
	var l locator.Locator
	for i := range 10_000 {
		l.Tell(locator.Part(i+1), locator.Placement{Holder: 1, ReadyAt: clock.Millis(i)}, 100)
	}
	digest := l.Digest(100)
	if len(digest) == 0 || len(digest) > 500 {
		t.Errorf("a digest of %d bytes", len(digest))
	}
	var other locator.Locator
	if got := other.Merge(digest[:25], 100); got != 2 {
		t.Errorf("read %d placements of a digest that was cut off", got)
	}
	if got := other.Merge(make([]byte, 1<<20), 100); got > 100 {
		t.Errorf("read %d placements of one message", got)
	}
}
