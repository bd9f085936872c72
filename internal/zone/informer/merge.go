package informer

import (
	"k8s.io/klog/v2"

	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
)

// changeRange holds the objects that changed after version from, up to version to.
type changeRange struct {
	from, to ident.StoreVersion
	objects  []storer.Object
}

// bytes returns the size of the objects.
func (c changeRange) bytes() int {
	size := 0
	for _, o := range c.objects {
		size += len(o.Name) + len(o.Value) + len(o.Status)
	}
	return size
}

// lateMargin is how much longer than the wait of a watch a copy is unconfirmed if the watches or the
// exchange between instances are disturbed.
const lateMargin = 1 * clock.Second

// Apply merges changes from the store or from another instance into the copy. An update
// has no effect if it is older than the copy, or if it lacks changes that follow the
// copy's position.
func (i *Informer) Apply(u Update) {
	i.applyMu.Lock()
	defer i.applyMu.Unlock()
	age, loaded := i.Age(), i.Loaded()
	changed := i.merge(u)
	if len(changed) > 0 && loaded && age > i.watchWait()+lateMargin {
		klog.InfoS("Changes are read late", "kind", i.Kind, "objects", len(changed), "unconfirmed-ms", age, "from-store", u.fetched)
	}
	if len(changed) > 0 && i.OnChange != nil {
		i.OnChange(changed)
	}
}

func (i *Informer) merge(u Update) []storer.Object {
	i.mu.Lock()
	defer i.mu.Unlock()
	if u.Era < i.era {
		return nil
	}
	if i.objects == nil {
		i.objects, i.learnedAt = map[string]storer.Object{}, map[string]clock.Millis{}
		i.past, i.kept = map[string][]pastState{}, map[string]keptObject{}
	}
	if u.Era > i.era {
		if !u.Whole {
			return nil
		}
		return append(i.enterEra(u), i.adoptKept(u)...)
	}
	if u.Whole && u.fetched {
		i.mustList = false
	}
	if u.Version < i.position || !u.Whole && u.From > i.position {
		return nil // older than the copy, or changes between the copy and the update are missing
	}
	since := i.lastReadBeforeFailure(u)
	i.setConfirmed(i.Clock.Now() - u.Age)
	var changed []storer.Object
	if u.Version > i.position {
		changed = i.mergeNewer(u)
		i.recordUnread(changed, since)
	}
	return append(changed, i.adoptKept(u)...)
}

// mergeNewer merges a newer update of the copy's era. The lock must be held.
func (i *Informer) mergeNewer(u Update) []storer.Object {
	var changed []storer.Object
	listed := map[string]bool{}
	for _, o := range u.Objects {
		o.Era = u.Era
		listed[o.Name] = true
		if !i.mergeOne(o) {
			continue
		}
		if held, found := i.objects[o.Name]; found {
			o = held // with a status that the store has lost
		}
		changed = append(changed, o)
	}
	if u.Whole {
		changed = append(changed, i.removeUnlisted(listed, u.Version)...)
	}
	i.retain(u)
	i.position, i.loaded, i.mustList = u.Version, true, false
	return changed
}

func (i *Informer) mergeOne(o storer.Object) bool {
	if k, found := i.kept[o.Name]; found && k.listed != nil && !o.Deleted && k.listed.Version >= o.Version {
		return false // what the store was restored to
	}
	held, found := i.objects[o.Name]
	if i.lacksStatus(o, held) {
		listed := o
		o.Status = held.Status
		i.keep(o.Name, o, &listed, i.kept[o.Name].version)
		return true
	}
	delete(i.kept, o.Name)
	if found && held.Version > o.Version {
		return false
	}
	if o.Deleted {
		i.forget(o.Name)
		return found
	}
	if found && held.Version == o.Version {
		return false
	}
	i.replace(o)
	return true
}

// removeUnlisted removes the objects that are missing from a full list at a version, and
// returns them marked as deleted. Objects that are newer than the list stay, and so do those that
// a restored store has lacked since.
func (i *Informer) removeUnlisted(listed map[string]bool, at ident.StoreVersion) []storer.Object {
	var removed []storer.Object
	for name, held := range i.objects {
		k, kept := i.kept[name]
		if listed[name] || held.Version > at || kept && k.listed == nil {
			continue
		}
		delete(i.kept, name)
		i.forget(name)
		held.Deleted = true
		removed = append(removed, held)
	}
	for name, k := range i.kept {
		if k.deleted && !listed[name] {
			delete(i.kept, name)
		}
	}
	return removed
}

// retain adds an update to the history for other instances. The whole update is retained,
// not only the objects that were new to this copy: Refresh may have read an object before
// the watch delivered its change. A full list clears the history, because it does not tell
// what changed since the position.
func (i *Informer) retain(u Update) {
	if u.Whole {
		i.history, i.retained, i.retainedBytes = nil, 0, 0
		return
	}
	s := changeRange{from: i.position, to: u.Version, objects: u.Objects}
	if last := len(i.history) - 1; len(s.objects) == 0 && last >= 0 && i.history[last].to == s.from {
		i.history[last].to = s.to
		return
	}
	i.history = append(i.history, s)
	i.retained += len(s.objects)
	i.retainedBytes += s.bytes()
	for len(i.history) > 1 && (i.retained > maxRetainedChanges || i.retainedBytes > maxRetainedBytes) {
		i.retained -= len(i.history[0].objects)
		i.retainedBytes -= i.history[0].bytes()
		i.history[0] = changeRange{} // the array stays for as long as history grows in it
		i.history = i.history[1:]
	}
}

// ChangesSince returns the changes after a point, or all objects if the history no longer reaches
// back to it. It reports false if the copy has nothing newer and keeps no object.
func (i *Informer) ChangesSince(after ident.StorePoint) (Update, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	point := ident.StorePoint{Era: i.era, Version: i.position}
	u := Update{Kind: i.Kind, Changes: storer.Changes{Era: i.era, Version: i.position}, From: after.Version, Age: i.age(), Kept: i.keptForPeers()}
	if !after.Before(point) {
		u.Version = after.Version // nothing but the objects kept
		return u, after == point && len(u.Kept) > 0
	}
	if after.Era != i.era || len(i.history) == 0 || after.Version < i.history[0].from {
		u.Whole = true
		u.Objects = i.storedObjects()
		return u, true
	}
	for _, s := range i.history {
		if s.to > after.Version {
			u.Objects = append(u.Objects, s.objects...)
		}
	}
	return u, true
}
