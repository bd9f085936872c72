package informer_test

import (
	"context"
	"testing"

	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/zone/informer"
)

// TestUnreadSince checks that an object that changed while the store was away is known to have been
// written after the last confirmation before, and that no such time is given for other changes.
func TestUnreadSince(t *testing.T) {
	now := clock.Millis(1000)
	var failure error
	h := &history{}
	i := &informer.Informer{Clock: &clock.Clock{NowFunc: func() clock.Millis { return now }}, Store: storeOf(func(ident.StoreVersion) (storer.Changes, error) {
		return h.fullList(h.newest()).Changes, failure
	})}
	for _, tt := range []struct {
		name     string
		failure  error // of the call before
		restart  bool  // because a call for another kind has failed
		fromPeer bool
		want     clock.Millis
	}{
		{"first copy", nil, false, false, 0},
		{"read at once", nil, false, false, 0},
		{"placed in an outage", fault.Newf("watch", storer.KindUnavailable, "reset"), false, false, 2000},
		{"read at once", nil, false, false, 0},
		{"placed before the history was dropped", fault.Newf("watch", storer.KindExpired, "history dropped"), false, false, 3000},
		{"placed while calls for another kind failed", nil, true, false, 3500},
		{"read by a peer", fault.Newf("watch", storer.KindUnavailable, "reset"), false, true, 0},
	} {
		now += 200
		h.write(tt.name, false)
		if failure = tt.failure; failure != nil {
			_ = i.Relist(context.Background())
			failure = nil
		}
		if tt.restart {
			i.RestartWatch()
		}
		now += 300
		if tt.fromPeer {
			i.Apply(h.fullList(h.newest()))
		} else if err := i.Relist(context.Background()); err != nil {
			t.Fatal(err)
		}
		if got := i.UnreadSince(tt.name); got != tt.want {
			t.Errorf("at %d: %s: unread since %d, want %d", now, tt.name, got, tt.want)
		}
	}
}
