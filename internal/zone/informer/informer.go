// Package informer keeps a copy of all objects of one kind in the platform's store.
//
// It lists the objects once. A few instances then watch the store; the others take
// changes from them, and from any other instance while the store cannot be reached.
// Every change has a version of the one store, so a copy moves forward only, whichever
// way changes come.
package informer

import (
	"context"
	"math/rand/v2"
	"sync"

	"k8s.io/klog/v2"

	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
)

const (
	// DefaultWatchWait is how long one watch waits. It bounds how long a watch that fell silent
	// goes unnoticed.
	DefaultWatchWait = 8 * clock.Second
	// staleMargin is how much longer than a watch's wait the copy may go unconfirmed
	// before an instance that relies on others asks the store itself. It exceeds the
	// time-out of a watch and two rounds between instances.
	staleMargin = 2 * clock.Second
	// lostPause is how long an instance that relies on others leaves a store alone that it
	// could not reach, and up to half of it more. The watchers find its return sooner.
	lostPause = 4 * clock.Second
	// followPause is how often an instance that relies on others looks at the copy's age.
	followPause clock.Millis = 100
	// settleSpan lets changes that come together be fetched by one call.
	settleSpan clock.Millis = 60
	// firstBackoff and maxBackoff bound the pause after a failed call.
	firstBackoff clock.Millis = 100
	maxBackoff                = 1 * clock.Second
	// keptChanges is the number of changes that are kept for other instances; one that is
	// further behind gets all objects.
	keptChanges = 512
	// outageSpan is how long the copy goes unconfirmed in an outage of the store. It exceeds
	// what a watch takes to time out and a round between instances.
	outageSpan = 2 * clock.Second
)

// Update is a set of changes for another instance's copy.
type Update struct {
	Kind storer.ObjectKind
	storer.Changes
	// From is the version after which Objects holds every change.
	From ident.StoreVersion
	// Whole is set when Objects holds every object, and not only what changed.
	Whole bool
	// Age is how long ago the store confirmed that there is nothing newer.
	Age clock.Millis
}

// Informer keeps the copy. Set the exported fields before use.
type Informer struct {
	Clock *clock.Clock
	Store *storer.Storer
	Kind  storer.ObjectKind
	// WatchWait is how long one watch waits; zero for DefaultWait.
	WatchWait clock.Millis
	// InitialSyncWait is how long an instance that relies on others waits for its first copy
	// before it lists the objects itself.
	InitialSyncWait clock.Millis
	// ShouldWatchFunc, when set, reports whether this instance should watch the store. Others
	// take changes from those that do, and ask the store only if the copy gets old.
	ShouldWatchFunc func() bool
	// OnFetched, when set, is told when the store itself has brought changes.
	OnFetched func(kind storer.ObjectKind)
	// OnChange, when set, receives the objects that changed, in the order of their
	// versions for each name. Calls do not overlap.
	OnChange func(objects []storer.Object)
	// PullFunc, when set, asks other instances for changes after a version while the
	// store fails.
	PullFunc func(ctx context.Context, kind storer.ObjectKind, after ident.StoreVersion) (Update, bool)
	// OnHistoryExpired, when set, is told when the store has dropped the history that a watch
	// needs. Watches of other kinds have then missed changes as well.
	OnHistoryExpired func(kind storer.ObjectKind)
	// OnStoreContact, when set, is told when the store is lost (with the error) and back.
	OnStoreContact func(kind storer.ObjectKind, err error)

	startedAt clock.Millis // read by Run alone
	againAt   clock.Millis // when a lost store is asked again; read by Run alone
	call      call

	applying sync.Mutex // held while a change is applied and told; taken before mu
	mu       sync.Mutex
	objects  map[string]storer.Object
	position ident.StoreVersion
	recent   []span
	kept     int
	failing  bool
	// confirmedAt is when the store last said that the copy is complete.
	confirmedAt clock.Millis
	returnedAt  clock.Millis
}

// span is what changed between two versions.
type span struct {
	from, to ident.StoreVersion
	objects  []storer.Object
}

// Run follows the store until ctx ends.
func (i *Informer) Run(ctx context.Context) error {
	i.startedAt = i.Clock.Now()
	backoff := firstBackoff
	for ctx.Err() == nil {
		if !i.direct() {
			_ = i.Clock.Sleep(ctx, followPause) // an ended context ends the loop
			continue
		}
		fetch, end := i.call.begin(ctx, i.Clock.Now())
		update, err := i.fetch(fetch)
		restarted := end()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil && restarted {
			continue
		}
		i.RecordStoreCall(err)
		if err != nil {
			if storer.KindOf(err) == storer.KindExpired {
				i.forgetPosition()
				if i.OnHistoryExpired != nil {
					i.OnHistoryExpired(i.Kind)
				}
				continue
			}
			i.againAt = i.Clock.Now() + lostPause + clock.Millis(rand.Int64N(int64(lostPause)/2))
			i.pull(ctx)
			_ = i.Clock.Sleep(ctx, backoff/2+clock.Millis(rand.Int64N(int64(backoff)))) // an ended context ends the loop
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = firstBackoff
		i.Apply(update)
		if len(update.Objects) > 0 {
			if i.OnFetched != nil {
				i.OnFetched(i.Kind)
			}
			_ = i.Clock.Sleep(ctx, settleSpan) // an ended context ends the loop
		}
	}
	return nil
}

// RestartWatch ends the watch under way and begins another from the same version, unless it
// has just begun. A watch whose history was dropped finds out so.
func (i *Informer) RestartWatch() { i.call.restart(i.Clock.Now()) }

// direct reports whether the store is to be asked by this instance.
func (i *Informer) direct() bool {
	switch {
	case i.ShouldWatchFunc == nil, i.ShouldWatchFunc():
		return true
	case i.Position() == 0:
		return i.Clock.Now()-i.startedAt >= i.InitialSyncWait
	case i.StoreLost():
		return i.Clock.Now() >= i.againAt
	}
	return i.Age() > i.wait()+staleMargin
}

func (i *Informer) wait() clock.Millis {
	if i.WatchWait > 0 {
		return i.WatchWait
	}
	return DefaultWatchWait
}

// fetch lists the objects, or watches from where the last call ended.
func (i *Informer) fetch(ctx context.Context) (Update, error) {
	i.mu.Lock()
	position := i.position
	i.mu.Unlock()
	wait := i.wait()
	if position == 0 {
		wait = 0
	}
	changes, err := i.Store.List(ctx, i.Kind, position, wait)
	return Update{Kind: i.Kind, Changes: changes, From: position, Whole: position == 0}, err
}

func (i *Informer) pull(ctx context.Context) {
	if i.PullFunc == nil {
		return
	}
	if update, found := i.PullFunc(ctx, i.Kind, i.Position()); found {
		i.Apply(update)
	}
}

// StoreLost reports whether this instance's last call of the store failed.
func (i *Informer) StoreLost() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.failing
}

// Refresh reads one object, for instance after a write of it.
func (i *Informer) Refresh(ctx context.Context, name string) error {
	o, err := i.Store.Get(ctx, i.Kind, name)
	if err != nil {
		return err
	}
	i.applying.Lock()
	defer i.applying.Unlock()
	i.mu.Lock()
	held, found := i.objects[name]
	news := found && held.Version < o.Version
	if news {
		i.objects[name] = o
	}
	i.mu.Unlock()
	if news && i.OnChange != nil {
		i.OnChange([]storer.Object{o})
	}
	return nil
}

// Relist lists all objects now.
func (i *Informer) Relist(ctx context.Context) error {
	changes, err := i.Store.List(ctx, i.Kind, 0, 0)
	i.RecordStoreCall(err)
	if err != nil {
		return err
	}
	i.Apply(Update{Kind: i.Kind, Changes: changes, Whole: true})
	return nil
}

// RecordStoreCall takes in how a call of the store ended.
func (i *Informer) RecordStoreCall(err error) {
	if storer.KindOf(err) == storer.KindExpired {
		err = nil // the store answered
	}
	i.mu.Lock()
	changed := i.failing != (err != nil)
	i.failing = err != nil
	i.mu.Unlock()
	if changed && i.OnStoreContact != nil {
		i.OnStoreContact(i.Kind, err)
	}
}

// forgetPosition makes the next call list all objects. The copy stays.
func (i *Informer) forgetPosition() {
	klog.InfoS("Store has dropped the history of a kind; listing it anew", "kind", i.Kind, "position", i.Position())
	i.mu.Lock()
	defer i.mu.Unlock()
	i.position, i.recent, i.kept = 0, nil, 0
}

// Apply takes in changes, from the store or from another instance. Changes that are
// older than the copy have no effect.
func (i *Informer) Apply(u Update) {
	i.applying.Lock()
	defer i.applying.Unlock()
	changed := i.merge(u)
	if len(changed) > 0 && i.OnChange != nil {
		i.OnChange(changed)
	}
}

func (i *Informer) merge(u Update) []storer.Object {
	i.mu.Lock()
	defer i.mu.Unlock()
	if u.Version < i.position || !u.Whole && u.From > i.position {
		return nil // older than the copy, or with a gap before it
	}
	i.confirm(i.Clock.Now() - u.Age)
	if u.Version == i.position {
		return nil
	}
	if i.objects == nil {
		i.objects = map[string]storer.Object{}
	}
	var changed []storer.Object
	listed := map[string]bool{}
	for _, o := range u.Objects {
		listed[o.Name] = true
		if i.mergeOne(o) {
			changed = append(changed, o)
		}
	}
	if u.Whole {
		changed = append(changed, i.removeUnlisted(listed, u.Version)...)
	}
	i.remember(u)
	i.position = u.Version
	return changed
}

func (i *Informer) mergeOne(o storer.Object) bool {
	held, found := i.objects[o.Name]
	if found && held.Version > o.Version {
		return false
	}
	if o.Deleted {
		delete(i.objects, o.Name)
		return found
	}
	if found && held.Version == o.Version {
		return false
	}
	i.objects[o.Name] = o
	return true
}

// removeUnlisted removes the objects that a list of all objects at a version lacks.
func (i *Informer) removeUnlisted(listed map[string]bool, at ident.StoreVersion) []storer.Object {
	var removed []storer.Object
	for name, held := range i.objects {
		if listed[name] || held.Version > at {
			continue
		}
		delete(i.objects, name)
		held.Deleted = true
		removed = append(removed, held)
	}
	return removed
}

// remember keeps an update for other instances. It keeps all of it, not only what was
// news here: an object may have been read by Refresh before. After a list of all objects
// it starts anew, as what changed since the position is not known.
func (i *Informer) remember(u Update) {
	if u.Whole {
		i.recent, i.kept = nil, 0
		return
	}
	s := span{from: i.position, to: u.Version, objects: u.Objects}
	if last := len(i.recent) - 1; len(s.objects) == 0 && last >= 0 && i.recent[last].to == s.from {
		i.recent[last].to = s.to
		return
	}
	i.recent = append(i.recent, s)
	i.kept += len(s.objects)
	for len(i.recent) > 1 && i.kept > keptChanges {
		i.kept -= len(i.recent[0].objects)
		i.recent = i.recent[1:]
	}
}

// ChangesSince returns what changed after a version, or all objects where that is no longer
// known, and reports false when there is nothing newer.
func (i *Informer) ChangesSince(after ident.StoreVersion) (Update, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if after >= i.position {
		return Update{}, false
	}
	u := Update{Kind: i.Kind, Changes: storer.Changes{Version: i.position}, From: after, Age: i.age()}
	if len(i.recent) == 0 || after < i.recent[0].from {
		u.Whole = true
		for _, o := range i.objects {
			u.Objects = append(u.Objects, o)
		}
		return u, true
	}
	for _, s := range i.recent {
		if s.to > after {
			u.Objects = append(u.Objects, s.objects...)
		}
	}
	return u, true
}

// Position returns the store's version up to which the copy is complete.
func (i *Informer) Position() ident.StoreVersion {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.position
}

// Confirm takes in that another instance with the given position heard from the store,
// as long ago as age, that there is nothing newer.
func (i *Informer) Confirm(position ident.StoreVersion, age clock.Millis) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if position == i.position {
		i.confirm(i.Clock.Now() - age)
	}
}

// Age returns how long ago the store confirmed that there is nothing newer.
func (i *Informer) Age() clock.Millis {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.age()
}

func (i *Informer) age() clock.Millis { return i.Clock.Now() - i.confirmedAt }

// Current reports whether the copy was confirmed lately.
func (i *Informer) Current() bool {
	return i.Position() > 0 && i.Age() <= i.wait()+staleMargin
}

// OutageEndedAt returns when the store was last back after nobody had reached it for a
// while, as far as this instance knows; zero if that has not happened.
func (i *Informer) OutageEndedAt() clock.Millis {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.returnedAt
}

// confirm notes when the store said that the copy is complete. The lock must be held.
func (i *Informer) confirm(at clock.Millis) {
	if i.confirmedAt > 0 && at-i.confirmedAt > outageSpan {
		i.returnedAt = i.Clock.Now()
	}
	i.confirmedAt = max(i.confirmedAt, at)
}

// Objects returns all objects, in no order.
func (i *Informer) Objects() []storer.Object {
	i.mu.Lock()
	defer i.mu.Unlock()
	objects := make([]storer.Object, 0, len(i.objects))
	for _, o := range i.objects {
		objects = append(objects, o)
	}
	return objects
}

// Get returns one object.
func (i *Informer) Get(name string) (storer.Object, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	o, found := i.objects[name]
	return o, found
}
