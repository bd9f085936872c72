package informer_test

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/standin/property"
	"example.com/dotterelwell/internal/zone/informer"
)

// restorable is a store that can be restored to an earlier version.
type restorable struct {
	era     ident.StoreEra
	version ident.StoreVersion
	changes []storer.Object // of the present era, with those before the copy
	writes  int
}

func (r *restorable) write(name string, deleted bool) {
	r.version++
	r.writes++
	o := storer.Object{Name: name, Version: r.version, Deleted: deleted}
	if !deleted {
		o.Value = fmt.Appendf(nil, "state %d", r.writes)
	}
	r.changes = append(r.changes, o)
}

// restore loses the last changes.
func (r *restorable) restore(lost int) {
	r.era++
	r.changes = r.changes[:max(len(r.changes)-lost, 0):max(len(r.changes)-lost, 0)]
	r.version -= min(ident.StoreVersion(lost), r.version-1)
}

func (r *restorable) state() map[string]string {
	state := map[string]string{}
	for _, o := range r.changes {
		delete(state, o.Name)
		if !o.Deleted {
			state[o.Name] = string(o.Value)
		}
	}
	return state
}

func (r *restorable) list() informer.Update {
	u := informer.Update{Whole: true, Changes: storer.Changes{Era: r.era, Version: r.version}}
	last := map[string]storer.Object{}
	for _, o := range r.changes {
		last[o.Name] = o
	}
	for _, o := range last {
		if !o.Deleted {
			u.Objects = append(u.Objects, o)
		}
	}
	return u
}

// since returns the changes after a version, which may be one of another era.
func (r *restorable) since(from ident.StoreVersion) informer.Update {
	u := informer.Update{From: from, Changes: storer.Changes{Era: r.era, Version: max(r.version, from)}}
	for _, o := range r.changes {
		if o.Version > from {
			u.Objects = append(u.Objects, o)
		}
	}
	return u
}

// held is a copy in virtual time with what it has reported.
type held struct {
	informer.Informer
	reported map[string]string
}

func newHeld(now *clock.Millis) *held {
	h := &held{reported: map[string]string{}}
	h.Clock = &clock.Clock{NowFunc: func() clock.Millis { return *now }}
	h.OnChange = func(objects []storer.Object) {
		for _, o := range objects {
			delete(h.reported, o.Name)
			if !o.Deleted {
				h.reported[o.Name] = string(o.Value)
			}
		}
	}
	return h
}

func (h *held) state() map[string]string {
	state := map[string]string{}
	for _, o := range h.Objects() {
		state[o.Name] = string(o.Value)
	}
	return state
}

// TestErasInAnyOrder applies lists, watches and pulls of several eras in random order. Points never go
// back, what is reported is what is held, and in the end both copies hold what the store does.
func TestErasInAnyOrder(t *testing.T) {
	property.Check(t, 300, func(t *rapid.T) {
		now := clock.Millis(1000)
		store := &restorable{era: 1, version: 1}
		copies := []*held{newHeld(&now), newHeld(&now)}
		var late []informer.Update
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(0, 3000).Draw(t, "pause"))
			c := copies[rapid.IntRange(0, 1).Draw(t, "copy")]
			before := c.Point()
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0, 1:
				store.write(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), rapid.Bool().Draw(t, "deleted"))
			case 2:
				store.restore(rapid.IntRange(0, 6).Draw(t, "lost"))
			case 3:
				c.Apply(store.list())
			case 4:
				c.Apply(store.since(c.Position()))
			case 5:
				late = append(late, store.list(), store.since(c.Position()))
			case 6:
				if len(late) > 0 {
					c.Apply(late[rapid.IntRange(0, len(late)-1).Draw(t, "late")])
				}
			case 7:
				other := copies[0]
				if c == other {
					other = copies[1]
				}
				if u, found := other.ChangesSince(c.Point()); found {
					c.Apply(u)
				}
			}
			c.ExpireKept()
			if c.Point().Before(before) {
				t.Fatalf("point %v after %v", c.Point(), before)
			}
			if !maps.Equal(c.state(), c.reported) {
				t.Fatalf("holds %v and reported %v", c.state(), c.reported)
			}
		}
		store.write("a", false)
		for _, c := range copies {
			c.Apply(store.list())
			now += clock.Minute
			c.ExpireKept()
			if !maps.Equal(c.state(), store.state()) {
				t.Fatalf("holds %v, the store %v", c.state(), store.state())
			}
		}
	})
}

// TestKeptUntilWrittenAgain checks what is kept of a copy when the store is restored, and what a peer
// that knows only the restored store is told.
func TestKeptUntilWrittenAgain(t *testing.T) {
	now := clock.Millis(1000)
	store := &restorable{era: 1, version: 1}
	c, peer := newHeld(&now), newHeld(&now)
	for _, name := range []string{"same", "changed", "deleted"} {
		store.write(name, false)
	}
	c.Apply(store.list())
	now += 5 * clock.Minute
	store.write("changed", false)
	store.write("deleted", true)
	store.write("added", false)
	c.Apply(store.since(c.Position()))
	want := c.state()
	now += clock.Second
	store.restore(3)
	c.Apply(store.list())
	peer.Apply(store.list())
	if !maps.Equal(c.state(), want) {
		t.Errorf("holds %v after the restore, want %v", c.state(), want)
	}
	if !peer.LacksKept(c.Point(), c.Kept()) {
		t.Error("a new peer does not learn that objects are kept")
	}
	u, _ := c.ChangesSince(peer.Point())
	peer.Apply(u)
	if !maps.Equal(peer.state(), want) {
		t.Errorf("a new peer holds %v, want %v", peer.state(), want)
	}
	if _, found := c.Stored("added"); found {
		t.Error("the store is taken to hold an object that it lacks")
	}
	store.write("changed", false) // another state than the one that is kept, at a version given out before
	store.write("deleted", true)
	for _, i := range []*held{c, peer} {
		i.Apply(store.since(i.Position()))
		if got := i.state()["changed"]; got != store.state()["changed"] {
			t.Errorf("a change of the new era does not count: %q", got)
		}
	}
	now += clock.Minute
	c.ExpireKept()
	if !maps.Equal(c.state(), store.state()) {
		t.Errorf("holds %v for good, the store %v", c.state(), store.state())
	}
}

// TestOldObjectsOfRestoredStore guards against a deletion of the new era being ignored for objects that any
// copy of the store must have had.
func TestOldObjectsOfRestoredStore(t *testing.T) {
	now := clock.Millis(1000)
	store := &restorable{era: 1, version: 1}
	c := newHeld(&now)
	store.write("old", false)
	c.Apply(store.list())
	now += 5 * clock.Minute
	store.restore(0)
	store.write("old", true)
	c.Apply(store.list())
	if len(c.state()) > 0 {
		t.Errorf("holds %v", c.state())
	}
}
