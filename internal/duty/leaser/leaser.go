// Package leaser holds a duty towards the platform for the whole fleet, at one instance at a time.
//
// An object in the store names the holder and its term. It is replaced only under its version, and
// the term rises with each change. The holder proves with every message to peers that it runs; an
// instance that hears nothing of it for longer than a lease takes the duty over. No instance
// renews anything in the store.
package leaser

import (
	"context"
	"sync"

	"k8s.io/klog/v2"

	"example.com/dotterelwell/internal/contract/duty"
	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
)

// ObjectKind is the kind of the objects that name the holders of duties.
const ObjectKind storer.ObjectKind = "duties"

const (
	// tickEvery is the interval at which the holder proves that it runs, and workEvery that at
	// which an instance looks whether the store has to be asked.
	tickEvery, workEvery clock.Millis = 200, 200
	// maxTickGap is the gap between two ticks above which the process counts as having been paused.
	maxTickGap = 1 * clock.Second
	// silenceMargin is added to the lease to get the silence after which a holder is replaced.
	silenceMargin clock.Millis = 500
	// askAfter is the silence after which a candidate asks the holder directly.
	askAfter clock.Millis = 2000
	// lonelySilence is the silence that an instance waits for that reaches few peers, and
	// lonelySettle the time between its claim and its first call.
	lonelySilence, lonelySettle = 30 * clock.Second, 8 * clock.Second
	// otherDelay is how much longer instances wait that the rendezvous choice doesn't name.
	otherDelay = 3 * clock.Second
	// awaySpan is how long the store may be away from the holder alone before it gives the duty up.
	awaySpan clock.Millis = 2500
	// silentSpan is added to the lease to get the time for which the platform may answer no call before the
	// holder gives the duty up, restSpan is for how long it then leaves the duty to others, and restDelay
	// how much longer than these it waits.
	silentSpan, restSpan, restDelay = 5 * clock.Second, 30 * clock.Second, 8 * clock.Second
	// releasedSettle is the time between a claim and the first call if the holder before has
	// given the duty up itself.
	releasedSettle clock.Millis = 500
	// storePause is the pause after a failed call of the store.
	storePause = 1 * clock.Second
	// holdTouch is the share of peers that a holder must reach to rely on their word, and
	// claimTouch that which a claimant must reach. Two such sets always share peers.
	holdTouch, claimTouch = 0.75, 0.5
	// confirmEvery is the time between two reads of the holder's object while its peers are in
	// touch, and confirmSpan how long a read counts; the second pair applies otherwise.
	confirmEvery, confirmSpan                      = 5 * clock.Second, 7 * clock.Second
	lonelyConfirmEvery, lonelyConfirm clock.Millis = 800, 2000
	// eraShift puts the terms of a restored store above those that were given out before.
	eraShift = 20
	// refusedStep is added to a term that the platform refused although no higher one is known.
	refusedStep duty.Term = 1 << 10
)

// Claim tells who holds a duty, in messages between instances.
type Claim struct {
	Duty        duty.Name
	Holder      ident.Instance
	Incarnation ident.Incarnation
	Term        duty.Term
	// Beat counts the holder's proofs that it runs.
	Beat uint64
	// Released is set when the holder has given the duty up.
	Released bool
}

// newerThan reports whether the claim replaces another one of the same duty.
func (c *Claim) newerThan(other *Claim) bool {
	if c.Term != other.Term {
		return c.Term > other.Term
	}
	if c.Released != other.Released {
		return c.Released
	}
	return c.Beat > other.Beat
}

// Leaser holds one duty or waits for it. Set the exported fields before use.
type Leaser struct {
	Clock       *clock.Clock
	Store       *storer.Storer
	Duty        duty.Name
	Instance    ident.Instance
	Incarnation ident.Incarnation
	// LeaseFunc returns the time within which a duty must not go to another instance and back.
	LeaseFunc func() clock.Millis
	// CandidateFunc reports whether the rendezvous choice names this instance.
	CandidateFunc func() bool
	// TouchFunc returns the share of the instances that this one reaches, itself included.
	TouchFunc func() float64
	// StoppingFunc reports whether this instance is about to stop, or not ready to begin.
	StoppingFunc func() bool
	// StoreElsewhereFunc reports whether peers reach the store. A holder that does not gives the
	// duty up then; while nobody reaches it, the holder goes on, because nobody can replace it.
	StoreElsewhereFunc func() bool
	// OnSilent, if set, is called to ask a holder that has been silent for some time.
	OnSilent func(holder ident.Instance)
	// OnClaim, if set, is called after this instance took the duty or gave it up.
	OnClaim func(before ident.Instance)

	mu sync.Mutex
	// known is the newest claim, and heardAt when its beat last rose.
	known   Claim
	heardAt clock.Millis
	askedAt clock.Millis
	// tickedAt is the time of the last tick.
	tickedAt clock.Millis
	own      *holding
	// refused is the newest own term that the platform has refused.
	refused duty.Term
	// pauseUntil is until when the store is left alone, and restUntil until when others go first.
	pauseUntil, restUntil clock.Millis
}

// holding is what this instance knows of the duty while it holds it.
type holding struct {
	term    duty.Term
	version ident.StoreVersion
	era     ident.StoreEra
	// actFrom is when it may first act: the holder before has then heard of the claim.
	actFrom clock.Millis
	// confirmedAt is when the store was last asked and named this instance; zero if that is
	// not known since a pause or a lost touch. readAt is when it was last asked.
	confirmedAt, readAt clock.Millis
	// awaySince is when reads began to fail; zero while they succeed.
	awaySince clock.Millis
	// unansweredSince is when calls of the platform began to get no answer; zero while they do.
	unansweredSince clock.Millis
	// claimedAt is when the duty was claimed.
	claimedAt clock.Millis
}

// Run holds the duty whenever it falls to this instance, until ctx ends.
func (l *Leaser) Run(ctx context.Context) error {
	var ticks sync.WaitGroup
	defer ticks.Wait()
	ticks.Go(func() {
		for ctx.Err() == nil {
			l.tick()
			_ = l.Clock.Sleep(ctx, tickEvery) // the loop ends when ctx is done
		}
	})
	for ctx.Err() == nil {
		l.work(ctx)
		_ = l.Clock.Sleep(ctx, workEvery) // the loop ends when ctx is done
	}
	return nil
}

// Held returns this instance's authority and whether it may act on it now. Call it right before
// each call of the platform.
func (l *Leaser) Held() (duty.Authority, bool) {
	touch := l.TouchFunc()
	stopping := l.StoppingFunc()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.own == nil {
		return duty.Authority{}, false
	}
	authority := duty.Authority{Holder: l.Instance, Term: l.own.term}
	return authority, !stopping && l.mayAct(l.Clock.Now(), touch)
}

// mayAct reports whether the holder may act now. The lock must be held.
func (l *Leaser) mayAct(now clock.Millis, touch float64) bool {
	own := l.own
	switch {
	case own == nil, own.confirmedAt == 0, now < own.actFrom, now-l.tickedAt > maxTickGap, l.known.Term > own.term:
		return false
	case touch < claimTouch && now-own.claimedAt < lonelySettle:
		return false
	case touch >= holdTouch:
		return own.awaySince > 0 || now-own.confirmedAt <= confirmSpan
	}
	return now-own.confirmedAt <= lonelyConfirm
}

// tick proves that the holder runs, and notices pauses of the process and lost touch.
func (l *Leaser) tick() {
	touch := l.TouchFunc()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	paused := l.tickedAt > 0 && now-l.tickedAt > maxTickGap
	if paused {
		l.heardAt = now // what peers said meanwhile has not been read yet
	}
	l.tickedAt = now
	if l.own == nil {
		return
	}
	if paused || touch < holdTouch && now-l.own.confirmedAt > lonelyConfirm {
		l.own.confirmedAt = 0
	}
	l.known.Beat++
	l.heardAt = now
}

// Merge takes in what a peer says of the duty.
func (l *Leaser) Merge(c Claim) {
	if c.Duty != l.Duty {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.learn(c)
}

// learn takes in a claim. The lock must be held.
func (l *Leaser) learn(c Claim) {
	if !c.newerThan(&l.known) {
		return
	}
	l.known, l.heardAt = c, l.Clock.Now()
	if l.own != nil && (c.Term > l.own.term || c.Incarnation != l.Incarnation) {
		klog.InfoS("Duty is lost", "duty", l.Duty, "term", l.own.term, "holder", c.Holder, "new-term", c.Term)
		l.own = nil
	}
}

// Doubt makes the holder ask the store soon, for example because another call of it failed.
func (l *Leaser) Doubt() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.own != nil && l.own.awaySince == 0 {
		l.own.readAt = min(l.own.readAt, l.Clock.Now()-confirmEvery)
	}
}

// NotePlatform tells whether a call of the platform was answered. A holder that gets no answer for long
// gives the duty up, as it may be cut off alone.
func (l *Leaser) NotePlatform(answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.own == nil:
	case answered:
		l.own.unansweredSince = 0
	case l.own.unansweredSince == 0:
		l.own.unansweredSince = l.Clock.Now()
	}
}

// unheard reports whether the platform has not answered the holder for too long. The lock must be held.
func (l *Leaser) unheard(now clock.Millis) bool {
	return l.own != nil && l.own.unansweredSince > 0 && now-l.own.unansweredSince >= l.LeaseFunc()+silentSpan
}

// Claim returns the newest claim known, for messages to peers.
func (l *Leaser) Claim() (Claim, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known, l.known.Term > 0
}

// Superseded records that the platform has seen a higher term than the given one, which is not
// used again.
func (l *Leaser) Superseded(term duty.Term) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.own == nil || l.own.term != term {
		return
	}
	klog.InfoS("Duty is refused, the platform has seen a higher term", "duty", l.Duty, "term", term, "known-term", l.known.Term)
	l.own, l.refused = nil, term
}
