package informer_test

import (
	"testing"

	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/zone/informer"
)

// TestUnreadSince checks that an object that changed while the store was away is known to have been
// written after the last confirmation before, and that no such time is given for other changes.
func TestUnreadSince(t *testing.T) {
	now := clock.Millis(1000)
	h := &history{}
	i := &informer.Informer{Clock: &clock.Clock{NowFunc: func() clock.Millis { return now }}}
	step := func(name string, from, span clock.Millis) {
		t.Helper()
		now += span
		h.write(name, false)
		i.Apply(h.since(i.Position(), h.newest()))
		if got := i.UnreadSince(name); got != from {
			t.Errorf("at %d %q was unread since %d, want %d", now, name, got, from)
		}
	}
	step("first copy", 0, 0)
	step("read at once", 0, 500)
	i.Confirm(i.Point(), 0)
	now += 300
	i.RecordStoreCall(fault.Newf("watch", storer.KindUnavailable, "reset"))
	step("placed in the outage", 1500, 700)
	i.RecordStoreCall(nil)
	step("placed in the outage", 0, 100)
	i.RecordStoreCall(fault.Newf("watch", storer.KindExpired, "history dropped"))
	step("listed anew", 2600, 50)
}
