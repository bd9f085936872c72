// Package quarantiner holds the prompt parts that must not be sent to backend servers, because
// servers crash under them.
//
// All instances hold the same table: entries are exchanged with the other messages between
// instances and kept in the store, for instances that start or reach no other. An entry has a
// round that grows with each quarantine and each release, so that merging two tables takes the
// higher one. A quarantine may be wrong; a few requests are let through as probes. The right to
// send a probe is a conditional write to the store, so that all instances together send no more.
package quarantiner

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"

	"k8s.io/klog/v2"

	"example.com/dotterelwell/internal/contract/crash"
	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/zone/informer"
)

// ObjectKind is the kind of the entries in the store.
const ObjectKind storer.ObjectKind = "quarantine"

// Kind classifies the package's errors.
type Kind string

// KindInvalid means that a stored entry is not one of a prompt part.
const KindInvalid Kind = "invalid"

// Error is the package's error type.
type Error = fault.Error[Kind]

// Entry is the state of one prompt part.
type Entry struct {
	Part crash.Part `json:"part"`
	// Round is odd while the part is in quarantine, and even after its release.
	Round int `json:"round"`
	// Probes is the number of probes that have been allowed in this round.
	Probes int `json:"probes"`
	// Idle is the time since a request with the part was last refused. It is not stored.
	Idle clock.Millis `json:"-"`
}

func (e *Entry) quarantined() bool { return e.Round%2 == 1 }

// newerThan orders the states of one part.
func (e *Entry) newerThan(other *Entry) bool {
	return e.Round > other.Round || e.Round == other.Round && e.Probes > other.Probes
}

// entryFields has Entry's fields without its UnmarshalJSON, which would recurse.
type entryFields Entry

// UnmarshalJSON decodes and checks an entry.
func (e *Entry) UnmarshalJSON(raw []byte) error {
	const op = "decode entry"
	var fields entryFields
	if err := json.Unmarshal(raw, &fields); err != nil {
		return fault.New(op, KindInvalid, err)
	}
	if fields.Round < 1 || fields.Probes < 0 {
		return fault.Newf(op, KindInvalid, "round %d or number of probes %d is too low", fields.Round, fields.Probes)
	}
	*e = Entry(fields)
	return nil
}

const (
	// maxProbes is the number of probes of one quarantine.
	maxProbes = 2
	// firstProbeDelay and laterProbeDelay are the times from the quarantine to the first probe and
	// from one probe to the next.
	firstProbeDelay = 5 * clock.Second
	laterProbeDelay = 30 * clock.Second
	// writeInterval is the time between two attempts of one instance to write an entry.
	writeInterval = 1 * clock.Second
	// contradictionTime is how long before a quarantine an answer may have begun to contradict it.
	// The first of the crashes was longer ago: parts get a hearing before they are found guilty.
	contradictionTime = 1 * clock.Second
	// retention is how long an entry is kept after the last request with its part.
	retention = 10 * clock.Minute
	// maxEntries bounds the entries. Each has cost the crashes of several servers.
	maxEntries = 128
	// writeDelay is how long an instance that does not hold the duty leaves the writing of an
	// entry to the one that does, and writeJitter the random time that is added to it.
	writeDelay  = 5 * clock.Second
	writeJitter = 5 * clock.Second
)

// Quarantiner is the table. Set the exported fields before use.
type Quarantiner struct {
	Clock    *clock.Clock
	Store    *storer.Storer
	Informer *informer.Informer
	// OnQuarantine, when set, is called without the lock when a part is put in quarantine.
	OnQuarantine func(part crash.Part)
	// OnRelease, when set, is called without the lock when a part is released. own is set if this
	// instance has released it.
	OnRelease func(part crash.Part, own bool)

	// blocked holds the parts in quarantine; it is replaced and never changed.
	blocked atomic.Pointer[map[crash.Part]bool]

	mu      sync.Mutex
	entries map[crash.Part]*state
}

// state is an entry and what this instance knows of it.
type state struct {
	Entry
	changedAt clock.Millis // when this instance learned of the round or the last probe
	// quarantinedAt is when this instance learned of the quarantine.
	quarantinedAt clock.Millis
	refusedAt     clock.Millis // when a request with the part was last refused, here or elsewhere
	triedAt       clock.Millis // when this instance last tried to write the entry
	writeAt       clock.Millis // when this instance writes the entry if nobody else has
}

// Blocked returns the first of the parts that is in quarantine. A request that probes a part may
// have that part, and no other one.
func (q *Quarantiner) Blocked(parts []crash.Part, probed crash.Part) (part crash.Part, found bool) {
	if q == nil {
		return 0, false
	}
	blocked := q.blocked.Load()
	if blocked == nil || len(*blocked) == 0 {
		return 0, false
	}
	for _, p := range parts {
		if p != probed && (*blocked)[p] {
			return p, true
		}
	}
	return 0, false
}

// Quarantined reports whether a part is in quarantine.
func (q *Quarantiner) Quarantined(part crash.Part) bool {
	_, found := q.Blocked([]crash.Part{part}, 0)
	return found
}

// Count returns the number of parts in quarantine.
func (q *Quarantiner) Count() int {
	if blocked := q.blocked.Load(); blocked != nil {
		return len(*blocked)
	}
	return 0
}

// Quarantine puts a part in quarantine.
func (q *Quarantiner) Quarantine(part crash.Part) {
	q.mu.Lock()
	e := Entry{Part: part, Round: 1}
	if held := q.entries[part]; held != nil {
		e.Round = held.Round + 1 - held.Round%2
	}
	c := q.merge(e, "crashes of servers")
	q.mu.Unlock()
	q.announce([]change{c}, true)
}

// Clear releases those of the parts that were not crashing servers when an answer to a prompt with
// them began, which got past its beginning.
func (q *Quarantiner) Clear(parts []crash.Part, begunAt clock.Millis) {
	if _, found := q.Blocked(parts, 0); !found {
		return
	}
	q.mu.Lock()
	var changes []change
	for _, part := range parts {
		held := q.entries[part]
		if held != nil && held.quarantined() && begunAt >= held.quarantinedAt-contradictionTime {
			changes = append(changes, q.merge(Entry{Part: part, Round: held.Round + 1}, "an answer past its beginning"))
		}
	}
	q.mu.Unlock()
	q.announce(changes, true)
}

// Merge takes in the entries of another instance.
func (q *Quarantiner) Merge(entries []Entry) {
	q.mergeAll(entries, "a peer")
}

// Apply takes in changed objects of the store. Deleted ones have no effect: an entry ends when no
// request with its part has come for some time.
func (q *Quarantiner) Apply(objects []storer.Object) {
	var entries []Entry
	for _, o := range objects {
		if o.Deleted {
			continue
		}
		var e Entry
		if err := json.Unmarshal(o.Value, &e); err != nil {
			klog.InfoS("Ignored an invalid quarantine", "object", o.Name, "revision", o.Version, "err", err)
			continue
		}
		entries = append(entries, e)
	}
	q.mergeAll(entries, "the store")
}

func (q *Quarantiner) mergeAll(entries []Entry, source string) {
	if len(entries) == 0 {
		return
	}
	q.mu.Lock()
	var changes []change
	for _, e := range entries {
		if e.Idle < retention {
			changes = append(changes, q.merge(e, source))
		}
	}
	q.mu.Unlock()
	q.announce(changes, false)
}

// change tells whether a merge has put a part in quarantine or released it.
type change struct {
	part                  crash.Part
	quarantined, released bool
}

// announce calls OnQuarantine and OnRelease. own is set for changes that this instance has made.
func (q *Quarantiner) announce(changes []change, own bool) {
	for _, c := range changes {
		if c.quarantined && q.OnQuarantine != nil {
			q.OnQuarantine(c.part)
		}
		if c.released && q.OnRelease != nil {
			q.OnRelease(c.part, own)
		}
	}
}

// merge takes in an entry. The lock must be held.
func (q *Quarantiner) merge(e Entry, source string) change {
	now := q.Clock.Now()
	held := q.entries[e.Part]
	if held == nil {
		if len(q.entries) >= maxEntries {
			q.evict()
		}
		if q.entries == nil {
			q.entries = map[crash.Part]*state{}
		}
		held = &state{Entry: Entry{Part: e.Part}, refusedAt: now - e.Idle}
		q.entries[e.Part] = held
	}
	held.refusedAt = max(held.refusedAt, now-e.Idle)
	if !e.newerThan(&held.Entry) {
		return change{part: e.Part}
	}
	before := held.quarantined()
	held.Round, held.Probes, held.changedAt = e.Round, e.Probes, now
	klog.InfoS("Quarantine of a prompt part", "part", e.Part, "quarantined", held.quarantined(), "round", e.Round, "probes", e.Probes, "source", source)
	q.publish()
	c := change{part: e.Part, quarantined: held.quarantined() && !before, released: before && !held.quarantined()}
	if c.quarantined {
		held.quarantinedAt = now
	}
	return c
}

// evict removes the entry whose part was refused longest ago, released ones first. The lock must
// be held.
func (q *Quarantiner) evict() {
	var oldest *state
	for _, held := range q.entries {
		switch {
		case oldest == nil, oldest.quarantined() && !held.quarantined(),
			oldest.quarantined() == held.quarantined() && held.refusedAt < oldest.refusedAt:
			oldest = held
		}
	}
	q.drop(oldest)
}

func (q *Quarantiner) drop(held *state) {
	klog.InfoS("Quarantine of a prompt part is forgotten", "part", held.Part, "round", held.Round, "idle-ms", q.Clock.Now()-held.refusedAt)
	delete(q.entries, held.Part)
	q.publish()
}

// publish replaces the set of blocked parts. The lock must be held.
func (q *Quarantiner) publish() {
	blocked := map[crash.Part]bool{}
	for part, held := range q.entries {
		if held.quarantined() {
			blocked[part] = true
		}
	}
	q.blocked.Store(&blocked)
}

// Entries returns all entries, for other instances.
func (q *Quarantiner) Entries() []Entry {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Clock.Now()
	entries := make([]Entry, 0, len(q.entries))
	for _, held := range q.entries {
		e := held.Entry
		e.Idle = now - held.refusedAt
		entries = append(entries, e)
	}
	return entries
}

// Refuse records that a request with a part is refused, and returns after which time another one
// may be let through.
func (q *Quarantiner) Refuse(part crash.Part) (retryAfter clock.Millis) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Clock.Now()
	retryAfter = laterProbeDelay
	if held := q.entries[part]; held != nil {
		held.refusedAt = now
		if held.Probes < maxProbes {
			retryAfter = max(held.nextProbe()-now, firstProbeDelay)
		}
	}
	return retryAfter + clock.Millis(rand.Int64N(int64(retryAfter)/2)) // callers return spread out
}

// nextProbe returns when the next probe may be sent.
func (s *state) nextProbe() clock.Millis {
	if s.Probes == 0 {
		return s.changedAt + firstProbeDelay
	}
	return s.changedAt + laterProbeDelay
}

// TakeProbe reports whether a request with a part may be sent as a probe. The probe is counted in
// the store first; without the store there are no probes.
func (q *Quarantiner) TakeProbe(ctx context.Context, part crash.Part) bool {
	q.mu.Lock()
	now := q.Clock.Now()
	held := q.entries[part]
	if held == nil || !held.quarantined() || held.Probes >= maxProbes || now < held.nextProbe() || now-held.triedAt < writeInterval {
		q.mu.Unlock()
		return false
	}
	held.triedAt = now
	next := held.Entry
	q.mu.Unlock()
	next.Probes++
	object, found := q.Informer.Stored(part.String())
	var stored Entry
	if !found || json.Unmarshal(object.Value, &stored) != nil || stored.Round != next.Round || stored.Probes != next.Probes-1 {
		return false // the store's entry is not the one that this instance knows
	}
	if !q.write(ctx, next, storer.Unchanged(object, true)) {
		return false
	}
	q.mergeAll([]Entry{next}, "own probe")
	return true
}

// write writes an entry to the store and reports whether that succeeded.
func (q *Quarantiner) write(ctx context.Context, e Entry, pre storer.Precondition) bool {
	value, err := json.Marshal(e)
	if err != nil {
		klog.ErrorS(err, "Quarantine cannot be encoded", "part", e.Part)
		return false
	}
	version, err := q.Store.Put(ctx, ObjectKind, e.Part.String(), value, pre)
	if err != nil {
		klog.InfoS("Quarantine is not written", "part", e.Part, "round", e.Round, "probes", e.Probes, "err", err)
		return false
	}
	klog.InfoS("Quarantine is written", "part", e.Part, "round", e.Round, "probes", e.Probes, "revision", version)
	return true
}

// Tick forgets old entries and writes those that the store lacks. holdsDuty is set at the instance
// that writes first.
func (q *Quarantiner) Tick(ctx context.Context, holdsDuty bool) {
	q.mu.Lock()
	now := q.Clock.Now()
	var entries []Entry
	for _, part := range slices.Collect(maps.Keys(q.entries)) {
		held := q.entries[part]
		if now-held.refusedAt > retention {
			q.drop(held)
			continue
		}
		entries = append(entries, held.Entry)
	}
	q.mu.Unlock()
	if !q.Informer.Current() || q.Informer.StoreLost() {
		return
	}
	for _, e := range entries {
		q.save(ctx, e, holdsDuty)
	}
	if holdsDuty {
		q.removeForgotten(ctx)
	}
}

// save writes an entry if the store's is older and this instance's turn has come.
func (q *Quarantiner) save(ctx context.Context, e Entry, holdsDuty bool) {
	object, found := q.Informer.Stored(e.Part.String())
	var stored Entry
	saved := found && json.Unmarshal(object.Value, &stored) == nil && !e.newerThan(&stored)
	if q.mayWrite(e.Part, saved, holdsDuty) {
		q.write(ctx, e, storer.Unchanged(object, found))
	}
}

// mayWrite reports whether it is this instance's turn to write an entry that the store lacks.
func (q *Quarantiner) mayWrite(part crash.Part, saved, holdsDuty bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Clock.Now()
	held := q.entries[part]
	switch {
	case held == nil:
		return false
	case saved:
		held.writeAt = 0
		return false
	case held.writeAt == 0:
		held.writeAt = now + writeDelay + clock.Millis(rand.Int64N(int64(writeJitter)))
	}
	if now-held.triedAt < writeInterval || !holdsDuty && now < held.writeAt {
		return false
	}
	held.triedAt = now
	return true
}

// removeForgotten deletes entries of the store that no instance holds any more.
func (q *Quarantiner) removeForgotten(ctx context.Context) {
	for _, o := range q.Informer.Objects() {
		var e Entry
		if json.Unmarshal(o.Value, &e) != nil {
			continue
		}
		q.mu.Lock()
		held := q.entries[e.Part]
		q.mu.Unlock()
		if held != nil {
			continue
		}
		err := q.Store.Delete(ctx, ObjectKind, o.Name, storer.Unchanged(o, true))
		klog.InfoS("Tried to remove a forgotten quarantine", "part", e.Part, "revision", o.Version, "removed", err == nil, "err", err)
		return // one in each tick
	}
}
