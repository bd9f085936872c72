// Package enlister keeps the list of instances in the platform's store: each instance
// registers itself with an entry, and all instances read the list to discover their peers.
package enlister

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"

	"k8s.io/klog/v2"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/link/gossiper"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/zone/informer"
)

// ObjectKind is the object kind of the entries in the store.
const ObjectKind storer.ObjectKind = "instances"

// Kind classifies the package's errors.
type Kind string

// KindInvalid means that the peer address of an entry is not an IP address with a port.
const KindInvalid Kind = "invalid"

// Error is the package's error type.
type Error = fault.Error[Kind]

// Entry is an instance's entry in the list. The name of the stored object is the instance's.
type Entry struct {
	Address ident.Address        `json:"peer-address"`
	Zone    declaration.ZoneName `json:"zone"`
	// Strength is the instance's capacity for serving its peers, relative to other instances.
	Strength float64 `json:"strength"`
}

// entryFields has Entry's fields without its UnmarshalJSON, which would recurse.
type entryFields Entry

// UnmarshalJSON decodes and checks an entry.
func (e *Entry) UnmarshalJSON(raw []byte) error {
	var fields entryFields
	if err := json.Unmarshal(raw, &fields); err != nil {
		return err
	}
	if _, err := netip.ParseAddrPort(string(fields.Address)); err != nil {
		return fault.New("decode entry", KindInvalid, err)
	}
	*e = Entry(fields)
	return nil
}

const (
	// checkInterval is the time between two checks of the own entry, each of which writes
	// the entry if it is missing or differs.
	checkInterval = 1 * clock.Second
	// settleDelay is how long a new instance waits after writing its entry before it reads
	// the list again: the instances of a fleet start within 0.3 s of one another, and an
	// instance that saw only part of the list would watch the store on behalf of the rest.
	settleDelay clock.Millis = 600
	// countedDelay is how long after an instance has found its new entry in the list the others
	// take to learn of it, also if the watch of one of them has fallen silent.
	countedDelay = 2 * clock.Second
	// rewriteSpacing is the mean time between two instances that write their entries again after a
	// restore of the store.
	rewriteSpacing clock.Millis = 20
	// syncPollInterval is how often Run checks whether the informer has read the list for the
	// first time.
	syncPollInterval clock.Millis = 20
)

// Enlister registers this instance and reads the entries of the others. Set the exported
// fields before use.
type Enlister struct {
	Clock    *clock.Clock
	Store    *storer.Storer
	Informer *informer.Informer
	Instance ident.Instance
	Entry    Entry

	// rewriteAt is when the entry that a restored store has lost is written again; zero if it has
	// not been missed. Accessed only by Run.
	rewriteAt clock.Millis

	members atomic.Pointer[memberList]
	synced  atomic.Bool
	// isNew is set when this process has written its entry because the list lacked it.
	// countedFrom is when the others count this instance, in milliseconds; zero while the list
	// lacks its entry.
	isNew       atomic.Bool
	countedFrom atomic.Int64
}

// Run keeps this instance's entry in the store until ctx is done.
func (e *Enlister) Run(ctx context.Context) error {
	for e.Informer.Position() == 0 {
		if err := e.Clock.Sleep(ctx, syncPollInterval); err != nil {
			return nil
		}
	}
	for {
		if e.Informer.Current() {
			isNew := e.register(ctx)
			if isNew && !e.synced.Load() {
				e.relistAfterDelay(ctx)
			}
			e.synced.Store(true)
		}
		if err := e.Clock.Sleep(ctx, checkInterval); err != nil {
			return nil
		}
	}
}

// relistAfterDelay reads the list again after settleDelay, in which other new instances
// register themselves.
func (e *Enlister) relistAfterDelay(ctx context.Context) {
	if err := e.Clock.Sleep(ctx, settleDelay); err != nil {
		return
	}
	if err := e.Informer.Relist(ctx); err != nil {
		klog.InfoS("Failed to read the list of instances again", "instance", e.Instance, "err", err)
	}
}

// register writes this instance's entry if the list lacks it or holds a different one. It
// reports whether the list lacked it.
func (e *Enlister) register(ctx context.Context) (isNew bool) {
	stored, found := e.Informer.Stored(string(e.Instance))
	if found && e.isOwnEntry(stored.Value) {
		e.rewriteAt = 0
		return false
	}
	if _, lost := e.Informer.Get(string(e.Instance)); !found && lost && !e.mayRewrite() {
		return false
	}
	value, err := json.Marshal(e.Entry)
	if err != nil {
		klog.ErrorS(err, "Failed to encode the entry of this instance")
		return false
	}
	if !found {
		e.isNew.Store(true)
	}
	pre := storer.Unchanged(stored, found)
	version, err := e.Store.Put(ctx, ObjectKind, string(e.Instance), value, pre)
	if err != nil {
		// A write that timed out may still take effect; the next check compares with the list.
		klog.InfoS("Failed to write the entry of this instance; will retry", "instance", e.Instance, "err", err)
		return !found
	}
	klog.InfoS("Wrote the entry of this instance", "instance", e.Instance, "revision", version)
	return !found
}

// mayRewrite reports whether this instance may write its entry again, which a restored store has
// lost. The instances of a fleet do so one after the other.
func (e *Enlister) mayRewrite() bool {
	now := e.Clock.Now()
	if e.rewriteAt == 0 {
		e.rewriteAt = now + clock.Millis(rand.Int64N(int64(len(e.Names()))*int64(rewriteSpacing)))
	}
	return now >= e.rewriteAt
}

// RemoveReturned deletes the entries of instances that had been removed and that a restored store
// holds again. Call it at one instance.
func (e *Enlister) RemoveReturned(ctx context.Context) {
	for _, o := range e.Informer.Returned() {
		err := e.Store.Delete(ctx, ObjectKind, o.Name, storer.Unchanged(o, true))
		klog.InfoS("Tried to remove the entry of a stopped instance again", "instance", o.Name, "revision", o.Version, "removed", err == nil, "err", err)
	}
}

// Remove deletes the entry of an instance that has stopped. An instance that is still
// running finds its entry missing and registers itself again.
func (e *Enlister) Remove(ctx context.Context, instance ident.Instance) {
	held, found := e.Informer.Stored(string(instance))
	if !found {
		return
	}
	err := e.Store.Delete(ctx, ObjectKind, string(instance), storer.Unchanged(held, true))
	klog.InfoS("Tried to remove the entry of a stopped instance", "instance", instance, "revision", held.Version, "removed", err == nil, "err", err)
}

// isOwnEntry reports whether a stored value equals this instance's entry, regardless of the
// order of the JSON fields.
func (e *Enlister) isOwnEntry(value []byte) bool {
	var stored Entry
	return json.Unmarshal(value, &stored) == nil && stored == e.Entry
}

// memberList is a snapshot of the list of instances.
type memberList struct {
	peers []gossiper.Peer
	names []string
}

// Refresh rebuilds the list of instances from the informer's copy. Call it whenever the
// copy has changed.
func (e *Enlister) Refresh() {
	m := &memberList{names: []string{string(e.Instance)}}
	listed := false
	for _, o := range e.Informer.Objects() {
		var entry Entry
		if err := json.Unmarshal(o.Value, &entry); err != nil {
			klog.InfoS("Ignored an invalid entry of an instance", "instance", o.Name, "err", err)
			continue
		}
		if ident.Instance(o.Name) == e.Instance {
			e.synced.Store(true) // this instance was registered before, so it need not wait for others
			listed = true
			continue
		}
		m.peers = append(m.peers, gossiper.Peer{Instance: ident.Instance(o.Name), Address: entry.Address, Zone: entry.Zone, Strength: entry.Strength})
		m.names = append(m.names, o.Name)
	}
	slices.Sort(m.names)
	slices.SortFunc(m.peers, func(a, b gossiper.Peer) int { return strings.Compare(string(a.Instance), string(b.Instance)) })
	e.members.Store(m)
	e.recordListed(listed)
}

// recordListed updates from when the others count this instance.
func (e *Enlister) recordListed(listed bool) {
	switch {
	case !listed:
		e.countedFrom.Store(0)
	case e.countedFrom.Load() > 0:
	case e.isNew.Load():
		e.countedFrom.Store(int64(e.Clock.Now() + countedDelay))
	default:
		e.countedFrom.Store(int64(e.Clock.Now()))
	}
}

// Counted reports whether the other instances count this one where they divide what all
// instances together may use. Until then this instance must not use a part of it.
func (e *Enlister) Counted() bool {
	from := clock.Millis(e.countedFrom.Load())
	return from > 0 && e.Clock.Now() >= from
}

// Synced reports whether the list has been read and, for a new instance, read again after
// its registration.
func (e *Enlister) Synced() bool { return e.synced.Load() && e.Informer.Position() > 0 }

// Peers returns the other instances, sorted by name. The slice must not be changed.
func (e *Enlister) Peers() []gossiper.Peer {
	if m := e.members.Load(); m != nil {
		return m.peers
	}
	return nil
}

// Names returns the sorted names of all instances, including this one. The slice must not be changed.
func (e *Enlister) Names() []string {
	if m := e.members.Load(); m != nil {
		return m.names
	}
	return []string{string(e.Instance)}
}
