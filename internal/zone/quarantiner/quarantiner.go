// Package quarantiner holds the requests and the prompt parts that must not be sent to backend servers,
// because servers crash under them.
//
// All instances hold the same table: entries are exchanged with the other messages between
// instances and kept in the store, for instances that start or reach no other. An entry has a
// round that grows with each quarantine and each release, so that merging two tables takes the
// higher one. The right to send a probe is a conditional write to the store, so that all instances
// together send no more.
//
// A cause may be several parts that have always come together. Requests with all of them are refused.
// A request with some of them tells them apart: it is sent as a probe, one at a time. An answer past its
// beginning takes its parts out of the cause, and a crash takes the other parts out. A quarantine may be
// wrong, so that a few requests with the whole cause are let through as probes as well.
package quarantiner

import (
	"encoding/json"
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

// KindInvalid means that a stored entry is not one of a suspect.
const KindInvalid Kind = "invalid"

// Error is the package's error type.
type Error = fault.Error[Kind]

const (
	// maxProbes is the number of probes with the whole cause that may crash servers, and maxPartialProbes
	// the number of all probes that may before none with a part of it is sent.
	maxProbes        = 2
	maxPartialProbes = 3
	// firstProbeDelay and laterProbeDelay are the times from the quarantine to the first probe with the
	// whole cause and from one probe to the next.
	firstProbeDelay = 5 * clock.Second
	laterProbeDelay = 30 * clock.Second
	// tellingTime is how long a probe with the whole cause that has other unknown parts is put off, for one
	// whose crash would tell more.
	tellingTime = 5 * clock.Second
	// partialProbeDelay is the time from one probe with a part of a cause to the next, unless the first
	// has told something, and returnDelay the time after a probe that has told nothing.
	partialProbeDelay              = 5 * clock.Second
	returnDelay       clock.Millis = 500
	// partialRetryAfter is after what time the caller of a request with a part of a cause may come back.
	partialRetryAfter = 1 * clock.Second
	// writeInterval is the time between two attempts of one instance to write an entry.
	writeInterval = 1 * clock.Second
	// contradictionTime is how long before a quarantine an answer may have begun to contradict it.
	// The first of the crashes was longer ago: suspects get a hearing before they are found guilty.
	contradictionTime = 1 * clock.Second
	// retention is how long an entry is kept after the last request with its suspect.
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
	// OnQuarantine, when set, is called without the lock when a cause is put in quarantine or has lost parts.
	OnQuarantine func(cause crash.Cause)
	// OnRelease, when set, is called without the lock when a suspect is released. own is set if this
	// instance has released it.
	OnRelease func(suspect crash.Suspect, own bool)

	// blocked holds the causes in quarantine by their suspects; it is replaced and never changed.
	blocked atomic.Pointer[map[crash.Suspect][]crash.Cause]

	mu      sync.Mutex
	entries map[crash.Suspect]*state
}

// state is an entry and what this instance knows of it.
type state struct {
	Entry
	changedAt clock.Millis // when this instance learned of the round or the last probe
	// quarantinedAt is when this instance learned of the quarantine, and narrowedAt when it learned that the
	// cause has lost parts.
	quarantinedAt, narrowedAt clock.Millis
	// probing is set while a probe of this instance has told nothing yet.
	probing   bool
	refusedAt clock.Millis // when a request was last refused for the entry, here or elsewhere
	triedAt   clock.Millis // when this instance last tried to write the entry
	// probeTriedAt is when this instance last tried to count a probe. It doesn't put off the write that the
	// probe depends on.
	probeTriedAt clock.Millis
	writeAt      clock.Millis // when this instance writes the entry if nobody else has
}

// Hold is why a request must not be sent.
type Hold struct {
	Cause crash.Cause
	// Partial is set if the request has only some of the cause, so that sending it would tell these from
	// the others.
	Partial bool
}

// Blocked returns what keeps a request with the given suspects from servers: a cause that it has whole, or the
// one of which it has most. A request that probes causes may have some or all of those, but of no other.
func (q *Quarantiner) Blocked(suspects, probed []crash.Suspect) (hold Hold, found bool) {
	if q == nil {
		return Hold{}, false
	}
	blocked := q.blocked.Load()
	if blocked == nil || len(*blocked) == 0 {
		return Hold{}, false
	}
	most := 0
	for _, s := range suspects {
		for _, cause := range (*blocked)[s] {
			shared := len(cause.In(suspects))
			switch {
			case slices.Contains(probed, cause[0]):
			case shared == len(cause):
				return Hold{Cause: cause}, true
			case shared > most:
				hold, found, most = Hold{Cause: cause, Partial: true}, true, shared
			}
		}
	}
	return hold, found
}

// Quarantined reports whether requests with the suspects are refused whatever else they hold.
func (q *Quarantiner) Quarantined(suspects ...crash.Suspect) bool {
	hold, found := q.Blocked(suspects, nil)
	return found && !hold.Partial
}

// Causes returns the causes in quarantine.
func (q *Quarantiner) Causes() []crash.Cause {
	blocked := q.blocked.Load()
	if blocked == nil {
		return nil
	}
	var causes []crash.Cause
	for suspect, held := range *blocked {
		for _, cause := range held {
			if cause[0] == suspect {
				causes = append(causes, cause)
			}
		}
	}
	return causes
}

// Count returns the number of causes in quarantine.
func (q *Quarantiner) Count() int { return len(q.Causes()) }

// Quarantine puts a cause in quarantine. It does nothing if all requests with the cause are there already.
func (q *Quarantiner) Quarantine(cause crash.Cause) {
	if q.Quarantined(cause...) {
		return
	}
	q.mu.Lock()
	cause = q.named(cause)
	changes := []change{q.merge(q.nextRound(cause, Entry{}), "crashes of servers")}
	q.mu.Unlock()
	q.announce(changes, true)
}

// named returns the cause by a name under which no other one is in quarantine, if there is one. The
// lock must be held.
func (q *Quarantiner) named(cause crash.Cause) crash.Cause {
	for _, suspect := range cause {
		if held := q.entries[suspect]; held == nil || !held.quarantined() {
			return crash.CauseOf(suspect, cause...)
		}
	}
	return cause
}

// nextRound returns an entry that puts a cause in quarantine, with the probes of the entry that it
// follows. The lock must be held.
func (q *Quarantiner) nextRound(cause crash.Cause, follows Entry) Entry {
	e := Entry{Part: cause[0], Round: 1, Probes: follows.Probes, Returned: follows.Returned, With: cause[1:], Joint: true}
	if held := q.entries[e.Part]; held != nil {
		e.Round = held.Round + 1 - held.Round%2
	}
	return e
}

// Clear takes those of the suspects out of the causes in quarantine that were not crashing servers when an
// answer to a request with them began, which got past its beginning.
func (q *Quarantiner) Clear(suspects []crash.Suspect, begunAt clock.Millis) {
	if _, found := q.Blocked(suspects, nil); !found {
		return
	}
	q.mu.Lock()
	var changes []change
	for _, held := range q.holding(suspects) {
		if begunAt < held.quarantinedAt-contradictionTime {
			continue
		}
		e := held.Entry
		if held.probing {
			held.probing = false
			e.Returned++
		}
		changes = append(changes, q.narrow(e, e.cause().Without(suspects), "an answer past its beginning")...)
	}
	q.mu.Unlock()
	q.announce(changes, true)
}

// Narrow takes the suspects that were not at a crash out of the cause that lead names. rest are those that
// were.
func (q *Quarantiner) Narrow(lead crash.Suspect, rest crash.Cause) {
	q.mu.Lock()
	var changes []change
	if held := q.entries[lead]; held != nil && held.quarantined() {
		held.probing = false
		if rest = held.cause().In(rest); len(rest) > 0 && len(rest) <= len(held.With) {
			changes = q.narrow(held.Entry, rest, "a crash without its other parts")
		}
	}
	q.mu.Unlock()
	q.announce(changes, true)
}

// holding returns the entries in quarantine whose cause has some of the suspects. The lock must be held.
func (q *Quarantiner) holding(suspects []crash.Suspect) []*state {
	var held []*state
	for _, s := range q.entries {
		if s.quarantined() && len(s.cause().In(suspects)) > 0 {
			held = append(held, s)
		}
	}
	return held
}

// narrow leaves rest of the cause of an entry in quarantine. If the suspect that names it is not in there,
// another one does. The lock must be held.
func (q *Quarantiner) narrow(e Entry, rest crash.Cause, source string) []change {
	if len(rest) > 0 && rest[0] == e.Part {
		e.With, e.Joint = rest[1:], true
		return []change{q.merge(e, source)}
	}
	var changes []change
	if len(rest) > 0 {
		changes = append(changes, q.merge(q.nextRound(q.named(rest), e), source))
	}
	return append(changes, q.merge(Entry{Part: e.Part, Round: e.Round + 1, Joint: true}, source))
}

// Merge takes in the entries of another instance.
func (q *Quarantiner) Merge(entries []Entry) {
	q.mergeAll(entries, "a peer")
}

// Apply takes in changed objects of the store. Deleted ones have no effect: an entry ends when no
// request with its suspect has come for some time.
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
		if e.Idle < retention && e.check() == nil { // no instance sends one that fails the check
			changes = append(changes, q.merge(e, source))
		}
	}
	q.mu.Unlock()
	q.announce(changes, false)
}

// change tells what a merge has done: it has put a cause in quarantine or taken parts out of it, or has
// released a suspect.
type change struct {
	cause                 crash.Cause
	quarantined, released bool
}

// announce calls OnQuarantine and OnRelease. own is set for changes that this instance has made.
func (q *Quarantiner) announce(changes []change, own bool) {
	for _, c := range changes {
		if c.quarantined && q.OnQuarantine != nil {
			q.OnQuarantine(c.cause)
		}
		if c.released && q.OnRelease != nil {
			q.OnRelease(c.cause[0], own)
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
			q.entries = map[crash.Suspect]*state{}
		}
		held = &state{Entry: Entry{Part: e.Part}, refusedAt: now - e.Idle}
		q.entries[e.Part] = held
	}
	held.refusedAt = max(held.refusedAt, now-e.Idle)
	if !e.newerThan(&held.Entry) {
		return change{cause: held.cause()}
	}
	before := held.Entry
	held.Entry = before.merged(&e)
	if held.Round != before.Round || held.Probes != before.Probes || held.Returned != before.Returned {
		held.changedAt = now
	}
	klog.InfoS("Quarantine changes", "suspect", e.Part, "with", held.With, "quarantined", held.quarantined(), "round", held.Round, "probes", held.Probes, "returned", held.Returned, "source", source)
	q.publish()
	c := change{cause: held.cause(), quarantined: held.quarantined(), released: before.quarantined() && !held.quarantined()}
	switch {
	case c.quarantined && held.Round != before.Round:
		held.quarantinedAt, held.narrowedAt = now, now
	case len(held.With) < len(before.With):
		held.narrowedAt = now
	default:
		c.quarantined = false
	}
	if held.Round != before.Round {
		held.probing = false
	}
	return c
}

// evict removes the entry whose suspect was refused longest ago, released ones first. The lock must
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
	klog.InfoS("Quarantine is forgotten", "suspect", held.Part, "round", held.Round, "idle-ms", q.Clock.Now()-held.refusedAt)
	delete(q.entries, held.Part)
	q.publish()
}

// publish replaces the causes that are blocked. One that has all of another is left out. The lock must be
// held.
func (q *Quarantiner) publish() {
	blocked := map[crash.Suspect][]crash.Cause{}
	var causes []crash.Cause
	for _, held := range q.entries {
		if held.quarantined() {
			causes = append(causes, held.cause())
		}
	}
	for _, cause := range causes {
		if slices.ContainsFunc(causes, func(other crash.Cause) bool { return len(other) < len(cause) && other.HeldBy(cause) }) {
			continue
		}
		for _, suspect := range cause {
			blocked[suspect] = append(blocked[suspect], cause)
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

// Refuse records that a request is refused, and returns after which time another one may be let through.
func (q *Quarantiner) Refuse(hold Hold) (retryAfter clock.Millis) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Clock.Now()
	retryAfter = laterProbeDelay
	if held := q.entries[hold.Cause[0]]; held != nil {
		held.refusedAt = now
		switch {
		case !held.mayProbe(hold.Partial):
		case hold.Partial:
			retryAfter = partialRetryAfter
		default:
			retryAfter = max(held.nextProbe(false)-now, firstProbeDelay)
		}
	}
	return retryAfter + clock.Millis(rand.Int64N(int64(retryAfter)/2)) // callers return spread out
}
