// Package keeper holds the configuration that is in force on this instance.
//
// Objects arrive from the store and from peers, late, repeated and in any order.
// The keeper applies an object only when its store version is higher than the one
// it holds, so that nothing reverts, and keeps tombstones for the same reason.
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

// Rejection is an invalid object that a keeper met.
type Rejection struct {
	Name    string
	Version ident.StoreVersion
	Err     error
}

// Keeper holds the configuration. Its zero value holds none.
type Keeper struct {
	// Clock stamps news of the configuration.
	Clock *clock.Clock
	// OnRejected, when set, is told of each invalid object.
	OnRejected func(Rejection)
	// OnApplied, when set, is told of each new view.
	OnApplied func(*View)

	mu       sync.Mutex
	raw      map[string]storer.Object
	parts    parts
	complete ident.StoreVersion
	heard    clock.Millis
	view     atomic.Pointer[View]
}

// View returns the configuration in force. It never changes once returned.
func (k *Keeper) View() *View {
	if v := k.view.Load(); v != nil {
		return v
	}
	return &View{}
}

// Apply takes in changes from the store or a peer and returns how many were new.
func (k *Keeper) Apply(changes storer.Changes) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.heard = k.Clock.Now()
	applied := 0
	for _, o := range changes.Objects {
		if k.applyObject(o) {
			applied++
		}
	}
	if changes.Version > k.complete {
		k.complete = changes.Version
	}
	if applied > 0 || k.view.Load() == nil {
		view := k.parts.build(k.complete)
		k.view.Store(view)
		if k.OnApplied != nil {
			k.OnApplied(view)
		}
	}
	return applied
}

// applyObject remembers o when it is newer than what is held. An invalid object is
// remembered for peers, and the last valid one stays in force.
func (k *Keeper) applyObject(o storer.Object) bool {
	if held, found := k.raw[o.Name]; found && held.Version >= o.Version {
		return false
	}
	if k.raw == nil {
		k.raw = map[string]storer.Object{}
	}
	k.raw[o.Name] = o
	if err := k.parts.set(o); err != nil && k.OnRejected != nil {
		k.OnRejected(Rejection{Name: o.Name, Version: o.Version, Err: err})
	}
	return true
}

// CompleteVersion returns the store version up to which no change is missing.
func (k *Keeper) CompleteVersion() ident.StoreVersion {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.complete
}

// LastContact returns when the store or a peer was last heard of; zero for never.
func (k *Keeper) LastContact() clock.Millis {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.heard
}

// ChangesSince returns the changes after since, in the order of their versions.
func (k *Keeper) ChangesSince(since ident.StoreVersion) storer.Changes {
	k.mu.Lock()
	defer k.mu.Unlock()
	changes := storer.Changes{Version: k.complete}
	if since >= k.complete {
		return changes
	}
	for _, o := range k.raw {
		if o.Version > since && o.Version <= k.complete {
			changes.Objects = append(changes.Objects, o)
		}
	}
	slices.SortFunc(changes.Objects, func(a, b storer.Object) int { return int(a.Version) - int(b.Version) })
	return changes
}

// Object returns the held object with name, deleted or not.
func (k *Keeper) Object(sort order.Sort, name string) (storer.Object, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	o, found := k.raw[order.Name(sort, name)]
	return o, found
}
