// Package informer keeps a local copy of all objects of one kind in the platform's store.
//
// An informer lists the objects once. A few instances then watch the store with long polls;
// the others pull changes from the watching instances, and from any other instance while
// the store is unreachable. Every change carries a version of the one store, so the copy
// only moves forward, no matter in which order or from which source changes arrive.
package informer

import (
	"context"
	"sync"
	"sync/atomic"

	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
)

const (
	// DefaultWatchWait is how long the store holds one watch call open while nothing changes.
	// It bounds the time until a stalled watch is detected.
	DefaultWatchWait = 8 * clock.Second
	// askMargin is how much longer than the wait of a watch the copy may stay unconfirmed before an
	// instance that does not watch asks the store itself. It exceeds a gossip round between instances and
	// the time of its calls.
	askMargin = 1 * clock.Second
	// staleMargin is how much longer than the wait of a watch a copy that counts as current may be unconfirmed.
	staleMargin = 2 * clock.Second
	// DefaultRetryDelay is the delay, plus up to half of it as jitter, before an instance that
	// does not watch retries a store that it could not reach. Watching instances retry sooner
	// and pass the recovery on.
	DefaultRetryDelay = 4 * clock.Second
	// aloneRetryDelay is the same while no other instance is heard of, which could pass on the recovery.
	aloneRetryDelay clock.Millis = 500
	// ageCheckInterval is how often an instance that does not watch checks the age of its copy.
	ageCheckInterval clock.Millis = 100
	// firstCheckInterval is the same for an instance without a copy, which callers wait for.
	firstCheckInterval clock.Millis = 10
	// batchDelay is the delay before the next watch after a change, so that a burst of
	// changes is fetched by one call.
	batchDelay clock.Millis = 60
	// firstBackoff and maxBackoff bound the exponential backoff after failed calls, before jitter.
	firstBackoff clock.Millis = 100
	maxBackoff                = 1 * clock.Second
	// maxFirstBackoff bounds the backoff of an instance without a copy, which callers wait for.
	maxFirstBackoff clock.Millis = 400
	// maxRetainedChanges and maxRetainedBytes bound the changes that are retained for other
	// instances. An instance that is further behind gets all objects.
	maxRetainedChanges = 512
	maxRetainedBytes   = 1 << 20
	// minOutage is the gap between two confirmations of the copy above which the store counts
	// as having been unreachable. It exceeds the timeout of a watch plus one gossip round
	// between instances.
	minOutage = 2 * clock.Second
)

// Update is a set of changes for another instance's copy.
type Update struct {
	Kind storer.ObjectKind
	storer.Changes
	// From is the store version after which Objects holds every change.
	From ident.StoreVersion
	// Whole is set when Objects is the full list of objects, and not only the changes.
	Whole bool
	// Age is how long ago the store confirmed that no newer version existed.
	Age clock.Millis
	// Kept holds what another instance keeps although the store, restored from a copy, differs.
	Kept []Kept

	fetched bool // from the store
}

// Informer keeps the copy of one kind of objects. Set the exported fields before use.
type Informer struct {
	Clock *clock.Clock
	Store *storer.Storer
	Kind  storer.ObjectKind
	// WatchWait is how long the store holds one watch call open; zero for DefaultWatchWait.
	WatchWait clock.Millis
	// RetryDelay replaces DefaultRetryDelay; zero for that.
	RetryDelay clock.Millis
	// InitialSyncWait is how long an instance that does not watch waits for its first copy
	// from a peer before it lists the objects itself.
	InitialSyncWait clock.Millis
	// MayListFunc, when set, reports whether a first copy may come from the store.
	MayListFunc func() bool
	// ShouldWatchFunc, when set, reports whether this instance should watch the store.
	// Instances that do not watch pull changes from those that do, and call the store
	// only when their copy is stale. Nil means that this instance watches.
	ShouldWatchFunc func() bool
	// AloneFunc, when set, reports whether no other instance has been heard of lately.
	AloneFunc func() bool
	// OnFetched, when set, is called after a call to the store, rather than a peer, returned changes.
	OnFetched func(kind storer.ObjectKind)
	// OnChange, when set, receives the objects that changed, in the order of their
	// versions for each name. Calls do not overlap.
	OnChange func(objects []storer.Object)
	// PullFunc, when set, fetches the changes after a version from other instances. It is
	// called after a failed call to the store.
	PullFunc func(ctx context.Context, kind storer.ObjectKind, after ident.StorePoint) (Update, bool)
	// OnHistoryExpired, when set, is called when the store has dropped the change history that
	// a watch needs. Watches of other kinds have then missed changes as well.
	OnHistoryExpired func(kind storer.ObjectKind)
	// KeepTimes bounds how long objects are kept that a restored store lacks or holds otherwise.
	KeepTimes KeepTimes
	// StateFunc, when set, returns the part of an object that matters, for a comparison of objects
	// that change without a new version.
	StateFunc func(o storer.Object) []byte
	// OnRestored, when set, is called when an answer of the store shows that it has been restored.
	OnRestored func(kind storer.ObjectKind, era ident.StoreEra)
	// OnStoreContact, when set, is called when calls to the store start to fail (with the
	// error) and when they succeed again (with nil).
	OnStoreContact func(kind storer.ObjectKind, err error)

	startedAt    clock.Millis // accessed only by Run
	storeRetryAt clock.Millis // when an unreachable store is retried; accessed only by Run
	aloneRetryAt clock.Millis // the same while no other instance is heard of; accessed only by Run
	watches      bool         // the last result of ShouldWatchFunc; accessed only by Run
	call         storeCall
	retryNow     atomic.Bool

	applyMu  sync.Mutex // held while a change is merged and OnChange is called; acquired before mu
	mu       sync.Mutex
	objects  map[string]storer.Object
	position ident.StoreVersion
	// mustList is set while the store can't tell what changed since position.
	mustList bool
	// era is the era of position and of the copy; loaded is set when there has been a copy.
	era    ident.StoreEra
	loaded bool
	// newestEra is the highest era that the instance knows of.
	newestEra ident.StoreEra
	// past holds the earlier states of objects that changed lately, and learnedAt when this
	// instance learned of the present state. kept holds what a restored store lacks.
	past      map[string][]pastState
	learnedAt map[string]clock.Millis
	kept      map[string]keptObject
	history   []changeRange
	// retained is the number of changes in history, and retainedBytes their size.
	retained, retainedBytes int
	storeLost               bool
	// confirmedAt is when the store last confirmed to this or another instance that no
	// newer version existed.
	confirmedAt   clock.Millis
	outageEndedAt clock.Millis
	// steadySince is since when confirmations have come without an outage, and peerSteady what peers said of theirs last.
	steadySince clock.Millis
	peerSteady  span
	// gap is what was taken for the last outage, unless peers have shown that it was none, and outageBefore the outageEndedAt
	// of the one before.
	gap          span
	outageBefore clock.Millis
	// failedAt is when a call to the store, for any kind of objects, last failed; zero for never.
	failedAt clock.Millis
	// unreadSince is the result of UnreadSince for each object that may have been read late.
	unreadSince map[string]clock.Millis
}

// StoreLost reports whether this instance's last call to the store failed.
func (i *Informer) StoreLost() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.storeLost
}

// Refresh reads one object that is in the copy, for example after a write to it.
func (i *Informer) Refresh(ctx context.Context, name string) error {
	o, err := i.Store.Get(ctx, i.Kind, name)
	if err != nil {
		return err
	}
	i.applyMu.Lock()
	defer i.applyMu.Unlock()
	i.mu.Lock()
	held, found := i.objects[name]
	newer := found && held.Era == o.Era && held.Version < o.Version
	if newer {
		delete(i.kept, name)
		i.replace(o)
	}
	i.mu.Unlock()
	i.NoteEra(o.Era)
	if newer && i.OnChange != nil {
		i.OnChange([]storer.Object{o})
	}
	return nil
}

// Relist lists all objects and applies the list before it returns.
func (i *Informer) Relist(ctx context.Context) error {
	changes, err := i.Store.List(ctx, i.Kind, 0, 0)
	i.RecordStoreCall(err)
	if err != nil {
		return err
	}
	i.Apply(Update{Kind: i.Kind, Changes: changes, Whole: true, fetched: true})
	return nil
}

// RecordStoreCall records the result of a call to the store and calls OnStoreContact when
// the store became unreachable or reachable.
func (i *Informer) RecordStoreCall(err error) {
	if err != nil {
		i.recordFailure()
	}
	if storer.KindOf(err) == storer.KindExpired {
		err = nil // the store is reachable, it only lacks the history
	}
	i.mu.Lock()
	changed := i.storeLost != (err != nil)
	i.storeLost = err != nil
	i.mu.Unlock()
	if changed && i.OnStoreContact != nil {
		i.OnStoreContact(i.Kind, err)
	}
}

// requireList makes the next call list all objects. The copy and its position are kept until then: a copy without a
// position would take older objects from a peer.
func (i *Informer) requireList() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.mustList = true
}

// watchFrom returns the store version from which the next call watches, or zero if it lists all objects.
func (i *Informer) watchFrom() ident.StoreVersion {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.mustList {
		return 0
	}
	return i.position
}

// Position returns the store version up to which the copy is complete, or zero while there
// is no complete copy.
func (i *Informer) Position() ident.StoreVersion {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.position
}

// Point returns the position with its era.
func (i *Informer) Point() ident.StorePoint {
	i.mu.Lock()
	defer i.mu.Unlock()
	return ident.StorePoint{Era: i.era, Version: i.position}
}

// Loaded reports whether there has been a complete copy.
func (i *Informer) Loaded() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.loaded
}

// Confirm records that the store confirmed to another instance, at the given time ago, that
// nothing newer than position existed. It has no effect unless this copy has that position.
func (i *Informer) Confirm(point ident.StorePoint, age clock.Millis) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if point.Era == i.era && point.Version == i.position {
		i.setConfirmed(i.Clock.Now() - age)
	}
}

// Age returns how long ago the store confirmed that nothing newer than the copy existed.
func (i *Informer) Age() clock.Millis {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.age()
}

func (i *Informer) age() clock.Millis { return i.Clock.Now() - i.confirmedAt }

// Current reports whether the informer has a copy that was confirmed within the wait of a
// watch plus staleMargin.
func (i *Informer) Current() bool {
	return i.Position() > 0 && i.Age() <= i.watchWait()+staleMargin
}

// OutageEndedAt returns when this instance learned of the end of the last store outage: the
// first confirmation of the copy, by the store or a peer, after more than minOutage without
// one. It returns zero if there was no outage.
func (i *Informer) OutageEndedAt() clock.Millis {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.outageEndedAt
}

// setConfirmed records a time at which the store confirmed the copy. The caller must hold mu.
func (i *Informer) setConfirmed(at clock.Millis) {
	gap := span{from: i.confirmedAt, to: at}
	switch {
	case i.confirmedAt == 0:
		i.steadySince = at
	case gap.isOutage() && !i.peerSteady.covers(gap):
		i.outageBefore, i.outageEndedAt = i.outageEndedAt, i.Clock.Now()
		i.gap, i.steadySince = gap, at
	}
	i.confirmedAt = max(i.confirmedAt, at)
}

// Objects returns all objects in unspecified order.
func (i *Informer) Objects() []storer.Object {
	i.mu.Lock()
	defer i.mu.Unlock()
	objects := make([]storer.Object, 0, len(i.objects))
	for _, o := range i.objects {
		objects = append(objects, o)
	}
	return objects
}

// Get returns one object from the copy.
func (i *Informer) Get(name string) (storer.Object, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	o, found := i.objects[name]
	return o, found
}
