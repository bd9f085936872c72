package quarantiner

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"

	"k8s.io/klog/v2"

	"example.com/dotterelwell/internal/contract/crash"
	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/machine/clock"
)

// mayProbe reports whether probes are left for requests with the whole cause, or with a part of it.
func (s *state) mayProbe(partial bool) bool {
	if partial {
		return s.spent() < maxPartialProbes
	}
	return s.spent() < maxProbes
}

// nextProbe returns when the next probe may be sent.
func (s *state) nextProbe(partial bool) clock.Millis {
	switch {
	case s.spent() == 0 && s.Returned > 0:
		return max(s.changedAt+returnDelay, s.firstProbe(partial))
	case s.spent() == 0:
		return s.firstProbe(partial)
	case s.narrowedAt >= s.changedAt && partial:
		return s.narrowedAt
	case s.narrowedAt >= s.changedAt:
		return s.narrowedAt + firstProbeDelay
	case partial:
		return s.changedAt + partialProbeDelay
	}
	return s.changedAt + laterProbeDelay
}

func (s *state) firstProbe(partial bool) clock.Millis {
	if partial {
		return s.quarantinedAt
	}
	return s.quarantinedAt + firstProbeDelay
}

// TakeProbe reports whether a request may be sent as a probe. tells reports whether a crash under it could have
// no other cause. The probe is counted in the store first; without the store there are no probes.
func (q *Quarantiner) TakeProbe(ctx context.Context, hold Hold, tells func() bool) bool {
	suspect := hold.Cause[0]
	q.mu.Lock()
	now := q.Clock.Now()
	held := q.entries[suspect]
	if held == nil || !held.quarantined() || !held.mayProbe(hold.Partial) || now-held.probeTriedAt < writeInterval {
		q.mu.Unlock()
		return false
	}
	due := held.nextProbe(hold.Partial)
	if now < due || !hold.Partial && now < due+tellingTime && !tells() {
		q.mu.Unlock()
		return false
	}
	held.probeTriedAt = now
	next := held.Entry
	q.mu.Unlock()
	next.Probes++
	object, found := q.Informer.Stored(suspect.String())
	var stored Entry
	if !found || json.Unmarshal(object.Value, &stored) != nil || stored.Round != next.Round || stored.Probes != next.Probes-1 {
		return false // the store's entry is not the one that this instance knows
	}
	if !q.write(ctx, next, storer.Unchanged(object, true)) {
		return false
	}
	q.mergeAll([]Entry{next}, "own probe")
	q.mu.Lock()
	defer q.mu.Unlock()
	held = q.entries[suspect]
	if held == nil || held.Round != next.Round {
		return false // it has been released meanwhile
	}
	held.probing = true
	return true
}

// EndProbe records the end of this instance's probe of a cause. harmless is set if it crashed no server.
func (q *Quarantiner) EndProbe(lead crash.Suspect, harmless bool) {
	q.mu.Lock()
	var changes []change
	if held := q.entries[lead]; held != nil && held.probing {
		held.probing = false
		if harmless {
			e := held.Entry
			e.Returned++
			changes = append(changes, q.merge(e, "a probe that crashed no server"))
		}
	}
	q.mu.Unlock()
	q.announce(changes, true)
}

// write writes an entry to the store and reports whether that succeeded.
func (q *Quarantiner) write(ctx context.Context, e Entry, pre storer.Precondition) bool {
	value, err := json.Marshal(e)
	if err != nil {
		klog.ErrorS(err, "Quarantine cannot be encoded", "suspect", e.Part)
		return false
	}
	version, err := q.Store.Put(ctx, ObjectKind, e.Part.String(), value, pre)
	if err != nil {
		klog.InfoS("Quarantine is not written", "suspect", e.Part, "round", e.Round, "probes", e.Probes, "err", err)
		return false
	}
	klog.InfoS("Quarantine is written", "suspect", e.Part, "round", e.Round, "probes", e.Probes, "revision", version)
	return true
}

// Tick forgets old entries and writes those that the store lacks. holdsDuty is set at the instance
// that writes first.
func (q *Quarantiner) Tick(ctx context.Context, holdsDuty bool) {
	q.mu.Lock()
	now := q.Clock.Now()
	var entries []Entry
	for _, suspect := range slices.Collect(maps.Keys(q.entries)) {
		held := q.entries[suspect]
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
func (q *Quarantiner) mayWrite(suspect crash.Suspect, saved, holdsDuty bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Clock.Now()
	held := q.entries[suspect]
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
		klog.InfoS("Tried to remove a forgotten quarantine", "suspect", e.Part, "revision", o.Version, "removed", err == nil, "err", err)
		return // one in each tick
	}
}
