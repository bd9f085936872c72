package informer

import (
	"bytes"
	"slices"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
)

// A store that is restored from a copy loses the changes since the copy, gives their versions out
// again and counts an era on. Its first list shows objects as they were at the time of the copy.
// What the operators and the servers had written they write again; until then an object whose
// listed state this instance has seen replaced, or that is missing although it is recent, is kept
// as it was. The first change of the object in the new era ends that, and so does time.

const (
	// MaxStoreCopyAge is the age of the oldest copy from which the store is restored.
	MaxStoreCopyAge = 60 * clock.Second
	// defaultKeepTime is how long objects are kept; it exceeds the time after which writers write
	// again.
	defaultKeepTime = 10 * clock.Second
	// maxPastStates bounds the earlier states that are remembered of one object.
	maxPastStates = 16
)

// KeepTimes bounds how long objects are kept after a restore. Zero stands for defaultKeepTime.
type KeepTimes struct {
	// Missing applies to objects that the store lacks, Changed to those that it holds in an earlier
	// state, and Returned to deleted ones that it holds again.
	Missing, Changed, Returned clock.Millis
}

// pastState is an earlier state of an object, or of one that has been deleted.
type pastState struct {
	hash uint64
	// until is when the state was replaced.
	until clock.Millis
}

// keptObject describes an object that the copy of the store shows otherwise than the store does.
type keptObject struct {
	// listed is what the store holds, nil if nothing. deleted is set if the copy lacks the object.
	listed  *storer.Object
	deleted bool
	// version is the version of the kept state in an earlier era.
	version ident.StoreVersion
	until   clock.Millis
}

// Kept is an object that an instance keeps, as it is told to other instances.
type Kept struct {
	// Object is the kept state; Deleted is set in it if the instance keeps the object deleted.
	Object storer.Object
	// Version is the version of the kept state in an earlier era.
	Version ident.StoreVersion
	// Left is how long the object will be kept.
	Left clock.Millis
}

func (i *Informer) hashOf(o storer.Object) uint64 {
	if i.StateFunc != nil {
		return xxhash.Sum64(i.StateFunc(o))
	}
	return xxhash.Sum64(bytes.Join([][]byte{o.Value, o.Status}, []byte{0}))
}

// replace sets the present state of an object. The lock must be held.
func (i *Informer) replace(o storer.Object) {
	i.recordPast(o.Name)
	i.objects[o.Name] = o
	i.learnedAt[o.Name] = i.Clock.Now()
}

// forget removes an object. The lock must be held.
func (i *Informer) forget(name string) {
	i.recordPast(name)
	delete(i.objects, name)
	delete(i.learnedAt, name)
}

// recordPast remembers the present state of an object before it changes, and forgets states that are
// older than any copy of the store. The lock must be held.
func (i *Informer) recordPast(name string) {
	now := i.Clock.Now()
	for other, states := range i.past {
		if states[len(states)-1].until < now-MaxStoreCopyAge {
			delete(i.past, other)
		}
	}
	if held, found := i.objects[name]; found {
		states := append(i.past[name], pastState{hash: i.hashOf(held), until: now})
		i.past[name] = states[max(len(states)-maxPastStates, 0):]
	}
}

// wasBefore reports whether an object had the given state lately. The lock must be held.
func (i *Informer) wasBefore(o storer.Object) bool {
	hash, now := i.hashOf(o), i.Clock.Now()
	return slices.ContainsFunc(i.past[o.Name], func(s pastState) bool { return s.hash == hash && now-s.until <= MaxStoreCopyAge })
}

// discoversRestore reports whether an answer of the store is of an era that the copy is not of, and
// does not hold all objects. The next call then lists them.
func (i *Informer) discoversRestore(u Update) bool {
	i.mu.Lock()
	first := u.Era > i.newestEra && i.loaded
	i.newestEra = max(i.newestEra, u.Era)
	discovered := u.Era > i.era && !u.Whole
	if discovered {
		i.mustList = true
	}
	i.mu.Unlock()
	if first {
		klog.InfoS("Store has been restored from a copy", "kind", i.Kind, "era", u.Era, "version", u.Version, "whole", u.Whole)
		if i.OnRestored != nil {
			i.OnRestored(i.Kind, u.Era)
		}
	}
	return discovered
}

// NoteEra makes an instance that watches the store list all objects if the copy is of an earlier era.
func (i *Informer) NoteEra(era ident.StoreEra) {
	watches := i.ShouldWatchFunc == nil || i.ShouldWatchFunc() // it may ask this informer
	i.mu.Lock()
	stale := era > i.newestEra && era > i.era && i.loaded
	i.newestEra = max(i.newestEra, era)
	if stale && watches {
		i.mustList = true
	}
	i.mu.Unlock()
	if stale {
		i.call.cancelNow()
	}
}

// enterEra replaces the copy by the first full list of a new era, but for the objects that are kept.
// The lock must be held.
func (i *Informer) enterEra(u Update) []storer.Object {
	now := i.Clock.Now()
	before := ident.StorePoint{Era: i.era, Version: i.position}
	earlier := i.kept
	i.era, i.newestEra, i.kept, i.history, i.retained, i.retainedBytes = u.Era, max(i.newestEra, u.Era), map[string]keptObject{}, nil, 0, 0
	if i.loaded {
		i.outageEndedAt = now
	}
	i.gap, i.peerSteady, i.steadySince = span{}, span{}, now
	i.confirmedAt = max(i.confirmedAt, now-u.Age)
	var changed []storer.Object
	listed := map[string]bool{}
	for _, o := range u.Objects {
		o.Era = u.Era
		listed[o.Name] = true
		held, found := i.objects[o.Name]
		switch {
		case found && i.hashOf(held) == i.hashOf(o):
			i.objects[o.Name] = o
		case i.wasBefore(o):
			i.keep(o.Name, held, &o, versionOf(held, earlier[o.Name]))
		default:
			i.replace(o)
			changed = append(changed, o)
		}
	}
	for name, held := range i.objects {
		switch {
		case listed[name]:
		case now-i.learnedAt[name] <= MaxStoreCopyAge:
			i.keep(name, held, nil, versionOf(held, earlier[name]))
		default:
			i.forget(name)
			held.Deleted = true
			changed = append(changed, held)
		}
	}
	klog.InfoS("Objects of a restored store are taken over", "kind", i.Kind, "era", u.Era, "version", u.Version, "before-era", before.Era, "before-version", before.Version, "objects", len(u.Objects), "kept", len(i.kept), "changed", len(changed), "loaded", i.loaded)
	i.position, i.loaded, i.mustList = u.Version, true, false
	return changed
}

// lacksStatus reports whether an object that is kept has been written again without the status,
// which is not its writer's. The lock must be held.
func (i *Informer) lacksStatus(o, held storer.Object) bool {
	_, kept := i.kept[o.Name]
	return kept && !o.Deleted && len(o.Status) == 0 && len(held.Status) > 0 && bytes.Equal(o.Value, held.Value)
}

// versionOf returns the version of a kept state in the era in which it was written.
func versionOf(held storer.Object, earlier keptObject) ident.StoreVersion {
	return max(held.Version, earlier.version)
}

// keep keeps the present state of an object, which may be deleted, although the store holds listed.
// The lock must be held.
func (i *Informer) keep(name string, held storer.Object, listed *storer.Object, version ident.StoreVersion) {
	_, found := i.objects[name]
	k := keptObject{listed: listed, deleted: !found, version: version}
	keepTime := i.KeepTimes.Changed
	switch {
	case listed == nil:
		keepTime = i.KeepTimes.Missing
	case k.deleted:
		keepTime = i.KeepTimes.Returned
	}
	if keepTime == 0 {
		keepTime = defaultKeepTime
	}
	k.until = i.Clock.Now() + keepTime
	if found {
		held.Version, held.Era = 0, i.era
		if listed != nil {
			held.Version = listed.Version
		}
		i.objects[name] = held
	}
	i.kept[name] = k
	klog.InfoS("Object is kept, the restored store holds an earlier state", "kind", i.Kind, "object", name, "era", i.era, "missing", listed == nil, "deleted", k.deleted, "kept-ms", keepTime)
}

// ExpireKept ends the keeping of objects that have not been written again. Call it several times a
// second.
func (i *Informer) ExpireKept() {
	i.applyMu.Lock()
	defer i.applyMu.Unlock()
	i.mu.Lock()
	now := i.Clock.Now()
	var changed []storer.Object
	for name, k := range i.kept {
		if now < k.until {
			continue
		}
		delete(i.kept, name)
		klog.InfoS("Object is not written again, the state in the store counts", "kind", i.Kind, "object", name, "missing", k.listed == nil)
		if k.listed != nil {
			i.replace(*k.listed)
			changed = append(changed, *k.listed)
			continue
		}
		held := i.objects[name]
		i.forget(name)
		held.Deleted = true
		changed = append(changed, held)
	}
	i.mu.Unlock()
	if len(changed) > 0 && i.OnChange != nil {
		i.OnChange(changed)
	}
}

// storedObjects returns the objects that the store holds. The lock must be held.
func (i *Informer) storedObjects() []storer.Object {
	var objects []storer.Object
	for name, o := range i.objects {
		if _, kept := i.kept[name]; !kept {
			objects = append(objects, o)
		}
	}
	for _, k := range i.kept {
		if k.listed != nil {
			objects = append(objects, *k.listed)
		}
	}
	return objects
}

// Stored returns an object as the store holds it, also where the copy keeps another state.
func (i *Informer) Stored(name string) (storer.Object, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if k, kept := i.kept[name]; kept {
		if k.listed == nil {
			return storer.Object{}, false
		}
		return *k.listed, true
	}
	o, found := i.objects[name]
	return o, found
}

// Returned returns the objects that the store holds again although they had been deleted.
func (i *Informer) Returned() []storer.Object {
	i.mu.Lock()
	defer i.mu.Unlock()
	var objects []storer.Object
	for _, k := range i.kept {
		if k.deleted && k.listed != nil {
			objects = append(objects, *k.listed)
		}
	}
	return objects
}

// keptForPeers returns the objects that are kept. The lock must be held.
func (i *Informer) keptForPeers() []Kept {
	var all []Kept
	for name, k := range i.kept {
		o, found := i.objects[name]
		if !found {
			o = storer.Object{Name: name, Deleted: true, Era: i.era}
		}
		all = append(all, Kept{Object: o, Version: k.version, Left: max(k.until-i.Clock.Now(), 0)})
	}
	return all
}

// Kept identifies the set of objects that are kept; zero for none.
func (i *Informer) Kept() uint64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.keptSum()
}

func (i *Informer) keptSum() uint64 {
	sum := uint64(0)
	for name, k := range i.kept {
		sum ^= xxhash.Sum64String(name)*31 + uint64(k.version)
	}
	return sum
}

// LacksKept reports whether a peer at the same point keeps other objects.
func (i *Informer) LacksKept(point ident.StorePoint, kept uint64) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return kept != 0 && kept != i.keptSum() && point == ident.StorePoint{Era: i.era, Version: i.position}
}

// adoptKept keeps what a peer keeps, unless this instance knows a later state. The lock must be held.
func (i *Informer) adoptKept(u Update) []storer.Object {
	var changed []storer.Object
	if u.Era != i.era || u.Version != i.position {
		return nil
	}
	for _, k := range u.Kept {
		name := k.Object.Name
		own, keeps := i.kept[name]
		held, found := i.objects[name]
		switch {
		case k.Left <= 0, keeps && own.version >= k.Version:
			continue
		case !keeps && found && !k.Object.Deleted && i.hashOf(held) == i.hashOf(k.Object):
			continue // the store holds it again
		}
		listed := own.listed
		if !keeps && found {
			listed = &held
		}
		if k.Object.Deleted {
			i.forget(name)
		} else {
			i.replace(k.Object)
		}
		i.keep(name, k.Object, listed, k.Version)
		adopted := i.kept[name]
		adopted.until = min(adopted.until, i.Clock.Now()+k.Left)
		i.kept[name] = adopted
		changed = append(changed, k.Object)
	}
	return changed
}
