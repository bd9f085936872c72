package leaser

import (
	"context"
	"encoding/json"

	"k8s.io/klog/v2"

	"example.com/dotterelwell/internal/contract/duty"
	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
)

// record is the object that names a duty's holder.
type record struct {
	Holder      ident.Instance    `json:"holder"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Term        duty.Term         `json:"term"`
	Since       clock.Millis      `json:"since"`
	Released    bool              `json:"released,omitempty"`
}

// stored is the duty's object as the store holds it.
type stored struct {
	object storer.Object
	found  bool
	record record // zero if the object can't be read
	era    ident.StoreEra
}

// work calls the store if that is due.
func (l *Leaser) work(ctx context.Context) {
	touch, stopping := l.TouchFunc(), l.StoppingFunc()
	named := !stopping && l.CandidateFunc()
	elsewhere := l.StoreElsewhereFunc()
	l.mu.Lock()
	now := l.Clock.Now()
	unheard := l.unheard(now)
	if unheard {
		l.restUntil = now + restSpan
	}
	candidate := named && now >= l.restUntil
	own, before := l.own, l.known.Holder
	due := now >= l.pauseUntil
	reads := own != nil && now-own.readAt >= l.readEvery(touch)
	gone := own != nil && own.awaySince > 0 && now-own.awaySince >= awaySpan && elsewhere
	claims := own == nil && !stopping && l.mayClaim(now, candidate, touch)
	l.mu.Unlock()
	switch {
	case own != nil && (stopping || gone || unheard):
		l.release(ctx)
	case due && reads:
		l.confirm(ctx)
	case due && claims:
		l.claim(ctx, before, touch)
	case candidate && own == nil:
		l.askSilent(now)
	}
}

// readEvery returns the time between two reads of the holder. The lock must be held.
func (l *Leaser) readEvery(touch float64) clock.Millis {
	if touch < holdTouch || l.own.confirmedAt == 0 || l.own.awaySince > 0 {
		return lonelyConfirmEvery
	}
	return confirmEvery
}

// mayClaim reports whether the holder has been silent for long enough. The lock must be held.
func (l *Leaser) mayClaim(now clock.Millis, candidate bool, touch float64) bool {
	if l.tickedAt == 0 || now-l.tickedAt > maxTickGap {
		return false
	}
	if l.heardAt == 0 {
		l.heardAt = now
	}
	wait := l.LeaseFunc() + silenceMargin
	switch {
	case l.known.Term == 0:
		wait = silenceMargin // peers may know a holder
	case l.known.Released, l.known.Incarnation == l.Incarnation:
		wait = 0
	case touch < claimTouch:
		wait = max(wait, lonelySilence)
	}
	if !candidate {
		wait += otherDelay + l.spread()
	}
	if now < l.restUntil {
		wait += restDelay
	}
	return now-l.heardAt >= wait
}

// spread differs between instances, so that few of them claim a duty at the same time.
func (l *Leaser) spread() clock.Millis {
	sum := clock.Millis(0)
	for _, b := range []byte(l.Incarnation) {
		sum = (sum*31 + clock.Millis(b)) % (4 * clock.Second)
	}
	return sum
}

// askSilent asks a silent holder directly, before it is replaced.
func (l *Leaser) askSilent(now clock.Millis) {
	l.mu.Lock()
	ask := l.known.Holder != "" && !l.known.Released && now-l.heardAt >= askAfter && now-l.askedAt >= askAfter/4
	if ask {
		l.askedAt = now
	}
	holder := l.known.Holder
	l.mu.Unlock()
	if ask && l.OnSilent != nil && holder != l.Instance {
		l.OnSilent(holder)
	}
}

// read reads the duty's object. It lists the kind, because only a list tells the store's era where
// there is no object.
func (l *Leaser) read(ctx context.Context) (stored, error) {
	changes, err := l.Store.List(ctx, ObjectKind, 0, 0)
	if err != nil {
		l.mu.Lock()
		l.pauseUntil = l.Clock.Now() + storePause
		l.mu.Unlock()
		return stored{}, err
	}
	s := stored{era: changes.Era}
	for _, o := range changes.Objects {
		if o.Name != string(l.Duty) || o.Deleted {
			continue
		}
		o.Era = changes.Era
		s.object, s.found = o, true
		if json.Unmarshal(o.Value, &s.record) != nil {
			s.record = record{}
		}
	}
	return s, nil
}

// claimOf returns what the object says as a claim.
func (l *Leaser) claimOf(r record) Claim {
	return Claim{Duty: l.Duty, Holder: r.Holder, Incarnation: r.Incarnation, Term: r.Term, Released: r.Released}
}

// confirm reads whether this instance is still the holder.
func (l *Leaser) confirm(ctx context.Context) {
	began := l.Clock.Now()
	s, err := l.read(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	own := l.own
	if own == nil {
		return
	}
	own.readAt = began
	if err != nil {
		if own.awaySince == 0 {
			own.awaySince = began
		}
		return
	}
	own.awaySince = 0
	switch r := s.record; {
	case r.Term > own.term:
		l.learn(l.claimOf(r))
	case r.Term == own.term && r.Incarnation == l.Incarnation && s.era == own.era:
		if l.tickedAt >= began || began-l.tickedAt <= maxTickGap {
			own.confirmedAt = began
		}
	default:
		// The store was restored, or another writer changed the object: the duty is claimed again.
		klog.InfoS("Duty's object differs, claiming it again", "duty", l.Duty, "term", own.term, "stored-term", r.Term, "era", s.era, "own-era", own.era)
		l.own = nil
	}
}

// claim takes the duty if the store agrees that its holder is the silent one.
func (l *Leaser) claim(ctx context.Context, before ident.Instance, touch float64) {
	s, err := l.read(ctx)
	if err != nil {
		return
	}
	l.mu.Lock()
	now := l.Clock.Now()
	known := l.known
	l.learn(l.claimOf(s.record))
	if l.known.Term != known.Term && !l.known.Released {
		l.mu.Unlock()
		return // another holder, which is heard first
	}
	if l.known.Incarnation == known.Incarnation && l.known.Beat != known.Beat {
		l.mu.Unlock()
		return // it has just been heard of
	}
	term := max(l.known.Term, s.record.Term, duty.Term(s.era)<<eraShift) + 1
	if l.refused > 0 && term == l.refused+1 {
		term += refusedStep // nobody here knows the higher term, which a restored store has lost
	}
	l.mu.Unlock()
	value, err := json.Marshal(record{Holder: l.Instance, Incarnation: l.Incarnation, Term: term, Since: now})
	if err != nil {
		klog.ErrorS(err, "Duty cannot be encoded", "duty", l.Duty)
		return
	}
	version, err := l.Store.Put(ctx, ObjectKind, string(l.Duty), value, storer.Unchanged(s.object, s.found))
	if err != nil {
		klog.InfoS("Duty is not taken", "duty", l.Duty, "term", term, "err", err)
		l.mu.Lock()
		l.pauseUntil = l.Clock.Now() + storePause
		l.mu.Unlock()
		return // the next read tells whether the write was done
	}
	s.object.Version = version
	l.mu.Lock()
	taken := l.known.Term < term
	if taken {
		l.begin(term, s, now, touch)
	}
	l.mu.Unlock()
	if taken {
		l.told(before)
		l.confirm(ctx)
	}
}

// begin notes that this instance holds the duty. The lock must be held.
func (l *Leaser) begin(term duty.Term, s stored, now clock.Millis, touch float64) {
	settle := l.LeaseFunc()/2 + silenceMargin
	if l.known.Released {
		settle = releasedSettle
	}
	if touch < claimTouch {
		settle = max(settle, lonelySettle)
	}
	klog.InfoS("Duty is taken", "duty", l.Duty, "term", term, "era", s.era, "from", l.known.Holder, "silent-ms", now-l.heardAt, "settle-ms", settle)
	l.own = &holding{term: term, version: s.object.Version, era: s.era, claimedAt: l.Clock.Now(), actFrom: l.Clock.Now() + settle}
	l.known = Claim{Duty: l.Duty, Holder: l.Instance, Incarnation: l.Incarnation, Term: term, Beat: 1}
	l.heardAt = now
}

func (l *Leaser) told(before ident.Instance) {
	if l.OnClaim != nil {
		l.OnClaim(before)
	}
}

// release gives the duty up.
func (l *Leaser) release(ctx context.Context) {
	l.mu.Lock()
	own := l.own
	if own == nil {
		l.mu.Unlock()
		return
	}
	l.own = nil
	l.known.Released = true
	l.mu.Unlock()
	klog.InfoS("Duty is given up", "duty", l.Duty, "term", own.term, "store-away", own.awaySince > 0, "platform-silent", own.unansweredSince > 0)
	l.told("")
	value, err := json.Marshal(record{Holder: l.Instance, Incarnation: l.Incarnation, Term: own.term, Since: l.Clock.Now(), Released: true})
	if err == nil {
		_, err = l.Store.Put(ctx, ObjectKind, string(l.Duty), value, storer.Precondition{Match: own.version, Era: own.era})
	}
	if err != nil {
		klog.InfoS("Duty given up is not written", "duty", l.Duty, "term", own.term, "err", err)
	}
}
