// Package keeper holds the configuration that is in force on this instance.
//
// Objects arrive from the store and from peers: late, repeated and in any order. The
// keeper applies an object only if its store version is higher than that of the object
// it holds, so that nothing reverts to an older state. It keeps deleted objects as
// tombstones for the same reason.
package keeper

import (
	"slices"
	"sync"
	"sync/atomic"

	"example.com/dotterelwell/internal/contract/order"
	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
)

// Rejection describes an invalid object that a keeper received.
type Rejection struct {
	Name    string
	Version ident.StoreVersion
	Err     error
}

// Keeper holds the configuration. Clock must be set before Apply is called; a new keeper
// holds no objects.
type Keeper struct {
	// Clock provides the times that LastContact returns.
	Clock *clock.Clock
	// OnRejected, when set, is called for each invalid object, with the lock held.
	OnRejected func(Rejection)
	// OnApplied, when set, is called with each new view, with the lock held.
	OnApplied func(*View)

	mu              sync.Mutex
	objects         map[string]storer.Object
	decoded         decodedObjects
	completeVersion ident.StoreVersion
	lastContact     clock.Millis
	// confirmedAt is when the store last confirmed, to this or another instance, that nothing newer than the state held existed.
	confirmedAt clock.Millis
	view        atomic.Pointer[View]
}

// View returns the configuration in force. A returned view never changes.
func (k *Keeper) View() *View {
	if v := k.view.Load(); v != nil {
		return v
	}
	return &View{}
}

// Apply applies changes from the store or a peer and returns how many objects were newer
// than those held.
func (k *Keeper) Apply(changes storer.Changes) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lastContact = k.Clock.Now()
	applied := 0
	for _, o := range changes.Objects {
		if k.applyObject(o) {
			applied++
		}
	}
	if changes.Version > k.completeVersion {
		k.completeVersion = changes.Version
	}
	if applied > 0 || k.view.Load() == nil {
		view := k.decoded.build(k.completeVersion)
		k.view.Store(view)
		if k.OnApplied != nil {
			k.OnApplied(view)
		}
	}
	return applied
}

// applyObject stores o if it is newer than the held object of its name. An invalid object is
// stored too, to be passed on to peers, but the last valid one stays in force.
func (k *Keeper) applyObject(o storer.Object) bool {
	if held, found := k.objects[o.Name]; found && held.Version >= o.Version {
		return false
	}
	if k.objects == nil {
		k.objects = map[string]storer.Object{}
	}
	k.objects[o.Name] = o
	if err := k.decoded.set(o); err != nil && k.OnRejected != nil {
		k.OnRejected(Rejection{Name: o.Name, Version: o.Version, Err: err})
	}
	return true
}

// CompleteVersion returns the store version up to which the keeper has every change.
func (k *Keeper) CompleteVersion() ident.StoreVersion {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.completeVersion
}

// LastContact returns when changes, possibly none, last arrived from the store or a peer;
// zero for never.
func (k *Keeper) LastContact() clock.Millis {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lastContact
}

// Confirm records that the store confirmed the given time ago that nothing newer than version existed. It has no effect if the
// keeper holds changes after that version.
func (k *Keeper) Confirm(version ident.StoreVersion, age clock.Millis) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if version >= k.completeVersion {
		k.confirmedAt = max(k.confirmedAt, k.Clock.Now()-age)
	}
}

// Age returns the time since the store last confirmed, to this or another instance, that nothing newer than the state held
// existed.
func (k *Keeper) Age() clock.Millis {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.Clock.Now() - k.confirmedAt
}

// ChangesSince returns the objects that changed after version since, ordered by version.
func (k *Keeper) ChangesSince(since ident.StoreVersion) storer.Changes {
	k.mu.Lock()
	defer k.mu.Unlock()
	changes := storer.Changes{Version: k.completeVersion}
	if since >= k.completeVersion {
		return changes
	}
	for _, o := range k.objects {
		if o.Version > since && o.Version <= k.completeVersion {
			changes.Objects = append(changes.Objects, o)
		}
	}
	slices.SortFunc(changes.Objects, func(a, b storer.Object) int { return int(a.Version) - int(b.Version) })
	return changes
}

// Object returns the held object of a sort and name, including a tombstone.
func (k *Keeper) Object(sort order.Sort, name string) (storer.Object, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	o, found := k.objects[order.Name(sort, name)]
	return o, found
}
