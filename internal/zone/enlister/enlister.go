// Package enlister keeps the list of instances in the platform's store: each instance
// enters itself, and all read the list to find one another.
package enlister

import (
	"context"
	"encoding/json"
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

// ObjectKind is the kind of the entries in the store.
const ObjectKind storer.ObjectKind = "instances"

// Kind classifies the package's errors.
type Kind string

// KindInvalid means that an entry names no instance.
const KindInvalid Kind = "invalid"

// Error is the package's error type.
type Error = fault.Error[Kind]

// Entry is an instance's entry; the object's name is the instance's.
type Entry struct {
	Address ident.Address        `json:"peer-address"`
	Zone    declaration.ZoneName `json:"zone"`
	// Strength compares what instances can do for others.
	Strength float64 `json:"strength"`
}

// entryFields avoids recursion in Entry's own decoder.
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
	// writePause is the pause between two tries to write the entry.
	writePause = 1 * clock.Second
	// settleSpan is how long a new instance waits after its entry was written before it
	// reads the list again: instances of a fleet start within 0.3 s of one another, and
	// each that knew of a part of the others only would watch the store for them.
	settleSpan clock.Millis = 600
	// startPause is the pause between two looks whether the list was read for the first time.
	startPause clock.Millis = 20
)

// Enlister enters this instance and reads the others. Set the exported fields before use.
type Enlister struct {
	Clock    *clock.Clock
	Store    *storer.Storer
	Informer *informer.Informer
	Instance ident.Instance
	Entry    Entry

	held    atomic.Pointer[members]
	settled atomic.Bool
}

// Run keeps the own entry in the store until ctx ends.
func (e *Enlister) Run(ctx context.Context) error {
	for e.Informer.Position() == 0 {
		if err := e.Clock.Sleep(ctx, startPause); err != nil {
			return nil
		}
	}
	for {
		if e.Informer.Current() {
			isNew := e.enter(ctx)
			if isNew && !e.settled.Load() {
				e.settle(ctx)
			}
			e.settled.Store(true)
		}
		if err := e.Clock.Sleep(ctx, writePause); err != nil {
			return nil
		}
	}
}

// settle lets other new instances enter themselves and reads the list again.
func (e *Enlister) settle(ctx context.Context) {
	if err := e.Clock.Sleep(ctx, settleSpan); err != nil {
		return
	}
	if err := e.Informer.Relist(ctx); err != nil {
		klog.InfoS("List of instances cannot be read again", "instance", e.Instance, "err", err)
	}
}

// enter writes the own entry if the list holds another, and reports whether it held none.
func (e *Enlister) enter(ctx context.Context) (isNew bool) {
	held, found := e.Informer.Get(string(e.Instance))
	if found && e.holds(held.Value) {
		return false
	}
	value, err := json.Marshal(e.Entry)
	if err != nil {
		klog.ErrorS(err, "Own entry cannot be encoded")
		return false
	}
	pre := storer.Precondition{Absent: !found, Match: held.Version}
	version, err := e.Store.Put(ctx, ObjectKind, string(e.Instance), value, pre)
	if err != nil {
		// A write without an answer may be done later; the list will show it.
		klog.InfoS("Own entry is not written yet", "instance", e.Instance, "err", err)
		return !found
	}
	klog.InfoS("Own entry is written", "instance", e.Instance, "revision", version)
	return !found
}

// Remove takes the entry of an instance that is gone off the list. An instance that is
// not gone finds its entry missing and enters itself again.
func (e *Enlister) Remove(ctx context.Context, instance ident.Instance) {
	held, found := e.Informer.Get(string(instance))
	if !found {
		return
	}
	err := e.Store.Delete(ctx, ObjectKind, string(instance), storer.Precondition{Match: held.Version})
	klog.InfoS("Entry of an instance that is gone", "instance", instance, "revision", held.Version, "removed", err == nil, "err", err)
}

// holds reports whether a stored value is the entry, in whatever order its fields are.
func (e *Enlister) holds(value []byte) bool {
	var stored Entry
	return json.Unmarshal(value, &stored) == nil && stored == e.Entry
}

// members is the list at one moment.
type members struct {
	peers []gossiper.Peer
	names []string
}

// Refresh reads the list anew. Call it whenever the informer's copy has changed.
func (e *Enlister) Refresh() {
	m := &members{names: []string{string(e.Instance)}}
	for _, o := range e.Informer.Objects() {
		var entry Entry
		if err := json.Unmarshal(o.Value, &entry); err != nil {
			klog.InfoS("Entry of an instance is unusable", "instance", o.Name, "err", err)
			continue
		}
		if ident.Instance(o.Name) == e.Instance {
			e.settled.Store(true) // the instance has been in the fleet before
			continue
		}
		m.peers = append(m.peers, gossiper.Peer{Instance: ident.Instance(o.Name), Address: entry.Address, Zone: entry.Zone, Strength: entry.Strength})
		m.names = append(m.names, o.Name)
	}
	slices.Sort(m.names)
	slices.SortFunc(m.peers, func(a, b gossiper.Peer) int { return strings.Compare(string(a.Instance), string(b.Instance)) })
	e.held.Store(m)
}

// Synced reports whether the list was read and is complete as far as can be known.
func (e *Enlister) Synced() bool { return e.settled.Load() && e.Informer.Position() > 0 }

// Peers returns the other instances, sorted by name. The slice must not be changed.
func (e *Enlister) Peers() []gossiper.Peer {
	if m := e.held.Load(); m != nil {
		return m.peers
	}
	return nil
}

// Names returns all instances, this one included, sorted. The slice must not be changed.
func (e *Enlister) Names() []string {
	if m := e.held.Load(); m != nil {
		return m.names
	}
	return []string{string(e.Instance)}
}
