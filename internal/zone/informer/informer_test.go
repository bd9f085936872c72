package informer_test

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/standin/property"
	"example.com/dotterelwell/internal/zone/informer"
)

// history simulates a store in which each version changes one object.
type history struct {
	mu      sync.Mutex
	version ident.StoreVersion
	changes []storer.Object
}

func (h *history) write(name string, deleted bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.version++
	h.changes = append(h.changes, storer.Object{Name: name, Version: h.version, Deleted: deleted})
}

// since returns what changed in (from, to].
func (h *history) since(from, to ident.StoreVersion) informer.Update {
	h.mu.Lock()
	defer h.mu.Unlock()
	u := informer.Update{From: from, Changes: storer.Changes{Version: to}}
	for _, o := range h.changes {
		if o.Version > from && o.Version <= to {
			u.Objects = append(u.Objects, o)
		}
	}
	return u
}

// newest returns the newest version.
func (h *history) newest() ident.StoreVersion {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.version
}

// at returns all objects as of a version.
func (h *history) at(version ident.StoreVersion) map[string]ident.StoreVersion {
	held := map[string]ident.StoreVersion{}
	for _, o := range h.changes {
		if o.Version > version {
			break
		}
		delete(held, o.Name)
		if !o.Deleted {
			held[o.Name] = o.Version
		}
	}
	return held
}

func (h *history) fullList(version ident.StoreVersion) informer.Update {
	u := informer.Update{Whole: true, Changes: storer.Changes{Version: version}}
	for name, v := range h.at(version) {
		u.Objects = append(u.Objects, storer.Object{Name: name, Version: v})
	}
	return u
}

// TestAnyOrder applies parts of a history in random order, with repetitions and gaps. The
// copy must always equal the store's state at its position, and never go back.
func TestAnyOrder(t *testing.T) {
	property.Check(t, 100, func(t *rapid.T) {
		h := &history{}
		for range rapid.IntRange(1, 30).Draw(t, "changes") {
			h.write(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), rapid.Bool().Draw(t, "deleted"))
		}
		reported := map[string]ident.StoreVersion{}
		i := &informer.Informer{Clock: &clock.Clock{}, OnChange: func(objects []storer.Object) {
			for _, o := range objects {
				delete(reported, o.Name)
				if !o.Deleted {
					reported[o.Name] = o.Version
				}
			}
		}}
		before := ident.StoreVersion(0)
		for range rapid.IntRange(1, 20).Draw(t, "updates") {
			to := ident.StoreVersion(rapid.Uint64Range(1, uint64(h.version)).Draw(t, "to"))
			from := ident.StoreVersion(rapid.Uint64Range(0, uint64(to)).Draw(t, "from"))
			if rapid.Bool().Draw(t, "whole") {
				i.Apply(h.fullList(to))
			} else {
				i.Apply(h.since(from, to))
			}
			position := i.Position()
			if position < before {
				t.Fatalf("position %d after %d", position, before)
			}
			before = position
			held := map[string]ident.StoreVersion{}
			for _, o := range i.Objects() {
				held[o.Name] = o.Version
			}
			if want := h.at(position); !maps.Equal(held, want) || !maps.Equal(reported, want) {
				t.Fatalf("at %d: holds %v and reported %v, want %v", position, held, reported, want)
			}
		}
	})
}

// TestPassOn updates a second copy from the first one, starting at any position.
func TestPassOn(t *testing.T) {
	property.Check(t, 100, func(t *rapid.T) {
		h := &history{}
		first := &informer.Informer{Clock: &clock.Clock{}}
		second := &informer.Informer{Clock: &clock.Clock{}}
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			h.write(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), rapid.Bool().Draw(t, "deleted"))
			if rapid.Bool().Draw(t, "relist") {
				first.Apply(h.fullList(h.version))
			} else {
				first.Apply(h.since(first.Position(), h.version))
			}
			if u, found := first.ChangesSince(second.Point()); found && rapid.Bool().Draw(t, "pull") {
				second.Apply(u)
				if second.Position() != first.Position() || len(second.Objects()) != len(first.Objects()) {
					t.Fatalf("second at %d with %d objects, first at %d with %d", second.Position(), len(second.Objects()), first.Position(), len(first.Objects()))
				}
			}
		}
	})
}

// TestPassOnAfterRefresh guards against changes that are not passed on to another instance
// because Refresh had read the object before the watch delivered the change.
func TestPassOnAfterRefresh(t *testing.T) {
	for _, whole := range []bool{false, true} {
		h := &history{}
		h.write("a", false)
		first := &informer.Informer{Clock: &clock.Clock{}, Store: &storer.Storer{
			GetFunc: func(context.Context, storer.ObjectKind, string) (storer.Object, error) {
				return storer.Object{Name: "a", Version: h.newest()}, nil
			},
		}}
		second := &informer.Informer{Clock: &clock.Clock{}}
		first.Apply(h.fullList(1))
		second.Apply(h.fullList(1))
		h.write("a", false)
		if err := first.Refresh(context.Background(), "a"); err != nil {
			t.Fatal(err)
		}
		if whole {
			first.Apply(h.fullList(2))
		} else {
			first.Apply(h.since(1, 2))
		}
		u, found := first.ChangesSince(second.Point())
		if !found {
			t.Fatalf("whole list %v: nothing is passed on", whole)
		}
		second.Apply(u)
		if o, _ := second.Get("a"); o.Version != 2 {
			t.Errorf("whole list %v: the other instance is at %d and holds version %d, want 2", whole, second.Position(), o.Version)
		}
	}
}

// storeOf returns a store that answers lists and watches with the given function.
func storeOf(list func(since ident.StoreVersion) (storer.Changes, error)) *storer.Storer {
	return &storer.Storer{ListFunc: func(ctx context.Context, _ storer.ObjectKind, since ident.StoreVersion, wait clock.Millis) (storer.Changes, error) {
		if since > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(wait.Duration()):
			}
		}
		return list(since)
	}}
}

// TestExpiredHistory relists after the store dropped its history, and reports objects that
// were deleted in between.
func TestExpiredHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &history{}
		h.write("a", false)
		h.write("b", false)
		lists := 0
		var gone []string
		i := &informer.Informer{
			Clock: &clock.Clock{}, WatchWait: 100,
			Store: storeOf(func(since ident.StoreVersion) (storer.Changes, error) {
				if since > 0 {
					return storer.Changes{}, fault.Newf("watch", storer.KindExpired, "history is gone")
				}
				if lists++; lists == 2 {
					h.write("a", true)
				}
				return h.fullList(h.version).Changes, nil
			}),
			OnChange: func(objects []storer.Object) {
				for _, o := range objects {
					if o.Deleted {
						gone = append(gone, o.Name)
					}
				}
			},
		}
		ctx, stop := context.WithTimeout(context.Background(), 250*time.Millisecond)
		defer stop()
		_ = i.Run(ctx)
		if !slices.Equal(gone, []string{"a"}) || lists < 2 {
			t.Errorf("gone %v after %d lists", gone, lists)
		}
	})
}

// TestPeersWhileLost pulls changes from peers while calls to the store fail, and reports the
// loss and the recovery of the store once each.
func TestPeersWhileLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &history{}
		h.write("a", false)
		var down atomic.Bool
		var contacts []bool
		i := &informer.Informer{
			Clock: &clock.Clock{}, WatchWait: 100,
			Store: storeOf(func(since ident.StoreVersion) (storer.Changes, error) {
				if down.Load() {
					return storer.Changes{}, fault.Newf("watch", storer.KindUnavailable, "no answer")
				}
				return h.since(since, h.newest()).Changes, nil
			}),
			PullFunc: func(_ context.Context, _ storer.ObjectKind, after ident.StorePoint) (informer.Update, bool) {
				return h.since(after.Version, h.newest()), after.Version < h.newest()
			},
			OnStoreContact: func(_ storer.ObjectKind, err error) { contacts = append(contacts, err == nil) },
		}
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { _ = i.Run(ctx); close(ended) }()
		time.Sleep(150 * time.Millisecond)
		down.Store(true)
		time.Sleep(time.Second)
		h.write("b", false)
		time.Sleep(2 * time.Second)
		if _, found := i.Get("b"); !found || !i.StoreLost() {
			t.Errorf("found %v, lost %v", found, i.StoreLost())
		}
		down.Store(false)
		time.Sleep(3 * time.Second)
		stop()
		<-ended
		if !slices.Equal(contacts, []bool{false, true}) || i.StoreLost() {
			t.Errorf("contacts %v, lost %v", contacts, i.StoreLost())
		}
	})
}

// TestLostFollower guards against a fleet that overloads an unreachable store with retries:
// an instance that does not watch retries every 4 to 6 s only, and detects the recovery.
func TestLostFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var calls, down atomic.Int64
		down.Store(1)
		i := &informer.Informer{
			Clock: &clock.Clock{}, WatchWait: 1000, ShouldWatchFunc: func() bool { return false },
			Store: storeOf(func(ident.StoreVersion) (storer.Changes, error) {
				calls.Add(1)
				if down.Load() > 0 {
					return storer.Changes{}, fault.Newf("watch", storer.KindUnavailable, "no answer")
				}
				return storer.Changes{Version: 1}, nil
			}),
		}
		i.Apply(informer.Update{Whole: true, Changes: storer.Changes{Version: 1}})
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { _ = i.Run(ctx); close(ended) }()
		time.Sleep(33 * time.Second) // after 3 s the copy is stale
		if n := calls.Load(); n < 4 || n > 9 {
			t.Errorf("%d calls in 30 s of an outage, want one in 4 to 6 s", n)
		}
		down.Store(0)
		time.Sleep(7 * time.Second)
		if i.StoreLost() {
			t.Error("the store is reachable again and still reported as lost")
		}
		stop()
		<-ended
	})
}

// TestStartInOutage guards against a fleet that starts during a store outage and stays
// without a copy: an instance without a copy keeps retrying, and lists the objects within
// 2 s of the recovery.
func TestStartInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var down atomic.Bool
		down.Store(true)
		i := &informer.Informer{
			Clock: &clock.Clock{}, WatchWait: 1000, InitialSyncWait: 1200, ShouldWatchFunc: func() bool { return false },
			Store: storeOf(func(ident.StoreVersion) (storer.Changes, error) {
				if down.Load() {
					return storer.Changes{}, fault.Newf("list", storer.KindUnavailable, "no answer")
				}
				return storer.Changes{Version: 1}, nil
			}),
		}
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { _ = i.Run(ctx); close(ended) }()
		time.Sleep(10 * time.Second)
		down.Store(false)
		time.Sleep(2 * time.Second) // the longest backoff after a failed call is 1.5 s
		if i.Position() == 0 {
			t.Error("the store has been reachable for 2 s and the instance has no copy")
		}
		stop()
		<-ended
	})
}

// TestReturn reports the end of an outage only if no instance had reached the store for
// longer than the confirmation gap of an outage.
func TestReturn(t *testing.T) {
	now := clock.Millis(1000)
	i := &informer.Informer{Clock: &clock.Clock{NowFunc: func() clock.Millis { return now }}}
	h := &history{}
	h.write("a", false)
	i.Apply(h.fullList(1))
	now += 1500
	i.Confirm(ident.StorePoint{Version: 1}, 100) // a peer has reached the store
	now += 1500
	i.Confirm(ident.StorePoint{Version: 1}, 100)
	if i.OutageEndedAt() != 0 {
		t.Errorf("outage ended at %d though the store was always reachable", i.OutageEndedAt())
	}
	now += 3000
	i.Confirm(ident.StorePoint{Version: 1}, 0)
	if i.OutageEndedAt() != now {
		t.Errorf("outage ended at %d, want %d", i.OutageEndedAt(), now)
	}
}
