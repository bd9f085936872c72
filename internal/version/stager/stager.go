// Package stager moves a service's requests to a new release in stages, and stops at
// once when the release turns out bad.
//
// All instances see the same order and count its time from when the first of them saw
// it. Sessions that are under way then keep the old release, whichever instance their
// requests come to. Until half of the time has passed a small share of the sessions uses the new
// release, below the share that a bad one may receive. Then the share grows, while the
// evidence of all instances is watched. One instance, the duty holder, records the
// outcome in the store under the order's revision; a verdict needs no agreement, since
// each instance stops using a bad release as soon as it hears of it.
package stager

import (
	"maps"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/backend"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/roster"
	"example.com/dotterelwell/internal/version/tallier"
	"example.com/dotterelwell/internal/zone/curator"
)

// Stages of a roll-out, as parts of its time and shares of the sessions.
const (
	// canaryUntil ends the first stage: sessions keep their release for the first half.
	canaryUntil = 0.52
	// canaryOfBound is the canary's share as a part of the share that a bad release may
	// receive; the rest is for repeats, which may meet the release as well.
	canaryOfBound = 0.7
	// quarterShare is the share of the second stage. halfFrom and allFrom begin the next
	// ones, in which half of the sessions and all of them use the new release.
	quarterShare = 0.25
	halfFrom     = 0.65
	halfShare    = 0.5
	allFrom      = 0.78
	// holdUntil is until when growing evidence against the release keeps it in the first
	// stage. It leaves time to move all requests before the roll-out is completed.
	holdUntil = 0.86
	// completeFrom is when the roll-out may be recorded as completed, once no request is
	// left at the old release, and completeBy when it is in any case.
	completeFrom = 0.88
	completeBy   = 0.95
	// moveSpan is how long requests have to move to the new release before it is completed
	// while some are left at older ones, as a part of the roll-out's time.
	moveSpan = completeBy - allFrom
	// holdAtMost ends a hold for want of evidence, as a multiple of the roll-out's time: the
	// service may have no requests.
	holdAtMost = 2
)

// guard is what a new release must keep.
var guard = declaration.Guard{MaxErrorRise: 3, MaxLatencyFactor: 2}

const (
	// openAfter is when the new release gets its first requests. Until then instances tell
	// one another which sessions are under way, because these keep the old release, and
	// openPart bounds it as a part of the roll-out's time.
	openAfter clock.Millis = 2500
	openPart               = 0.15
	// tellSpan is how long after that instances still tell one another.
	tellSpan = 2 * clock.Second
)

const (
	// falseAlarm is the probability that the instances with all evidence find a good
	// release bad: that costs a late release, and a bad one that is found late costs
	// answers.
	falseAlarm = 0.03
	// ownAlarm is that probability for an instance with its own evidence only. There are
	// many, and each is one more chance of a false alarm.
	ownAlarm = falseAlarm / 30
)

const (
	// suspicion is the evidence against a release from which it gets no larger share, and
	// is not completed. A good release reaches it in fewer than one of three roll-outs.
	suspicion = 3
	// enoughDoubt is the doubt up to which the evidence clears a release.
	enoughDoubt = 0.02
	// suspectSpan is how long a suspicion counts without being confirmed: two rounds between
	// instances.
	suspectSpan clock.Millis = 1500
)

// Stage is what an instance knows of a roll-out, and tells the others.
type Stage struct {
	Target backend.Release
	// Elapsed is how long ago the order was first seen.
	Elapsed clock.Millis
	// Bad holds the reason when the release was found bad.
	Bad string
	// Suspect is set when the evidence against the release grows, and SuspectAge tells
	// since when that has not been confirmed.
	Suspect    bool
	SuspectAge clock.Millis
	// Thin is set while the evidence cannot clear the release, ThinAge tells since when that
	// has not been confirmed, and Cleared is set once it did.
	Thin    bool
	ThinAge clock.Millis
	Cleared bool
	// OldInFlight is the number of the instance's requests at older releases.
	OldInFlight int
	// Kept holds the draws of sessions that would use the new release but had begun before.
	Kept []uint64
}

// Stager holds the stages. Set the exported fields before use.
type Stager struct {
	Clock    *clock.Clock
	ViewFunc func() *curator.View
	Tallier  *tallier.Tallier
	// ExposureShare is the share of a service's requests that a bad release may receive.
	ExposureShare float64
	// SessionGap is the longest pause between two requests of one session.
	SessionGap clock.Millis
	// HasAllEvidenceFunc reports whether this instance has the evidence of all instances; nil
	// means that it has.
	HasAllEvidenceFunc func(service declaration.ServiceName) bool
	// OnBad, when set, is told once when this instance finds or hears that a release is bad.
	OnBad func(service declaration.ServiceName, target backend.Release, reason string)

	mu     sync.Mutex
	stages map[declaration.ServiceName]*stage
	pins   map[uint64]pin // by the session's draw
	waits  map[*wait]bool
}

type stage struct {
	target backend.Release
	began  clock.Millis
	bad    string
	// suspectAt is when an instance last found the evidence growing; 0 for never.
	suspectAt clock.Millis
	// thinAt is when an instance last found the evidence too thin to clear the release; 0 for
	// never. cleared is set once an instance found that it does.
	thinAt  clock.Millis
	cleared bool
	kept    map[uint64]bool
}

// SetBounds replaces the share and the pause that operators allow.
func (s *Stager) SetBounds(exposureShare float64, sessionGap clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ExposureShare, s.SessionGap = exposureShare, sessionGap
}

// stageOf returns the stage of an order, and begins one for a new order. The lock must
// be held.
func (s *Stager) stageOf(order backend.Rollout) *stage {
	held := s.stages[order.Service]
	if held == nil || held.target != order.Target {
		if s.stages == nil {
			s.stages = map[declaration.ServiceName]*stage{}
		}
		held = &stage{target: order.Target, began: s.Clock.Now(), kept: map[uint64]bool{}}
		s.stages[order.Service] = held
		s.keepPinned(held, order)
	}
	return held
}

// inCanary reports whether a draw falls into the share of the first stage.
func (s *Stager) inCanary(order backend.Rollout, draw uint64) bool {
	return uniform(draw, string(order.Target)) < canaryOfBound*s.ExposureShare
}

// opensAfter returns when the new release gets its first requests.
func opensAfter(order backend.Rollout) clock.Millis {
	return min(openAfter, clock.Millis(openPart*float64(order.Within)))
}

// Side chooses between the releases for a request of a session. draw is uniform over
// the sessions.
func (s *Stager) Side(order backend.Rollout, session string, draw uint64) (side roster.Side, strict bool) {
	switch order.Outcome {
	case backend.OutcomeCompleted:
		return roster.SideNew, true
	case backend.OutcomeRolledBack:
		return roster.SideOld, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.stageOf(order)
	if held.bad != "" {
		return roster.SideOld, true
	}
	if s.Clock.Now()-held.began < opensAfter(order) {
		if session != "" && s.inCanary(order, draw) {
			held.kept[draw] = true
		}
		return roster.SideOld, true
	}
	part := s.part(held, order)
	share := s.share(held, part)
	side = roster.SideOld
	if uniform(draw, string(order.Target)) < share {
		side = roster.SideNew
	}
	if session != "" {
		side = s.pinned(held, order, draw, part, side)
	}
	return side, side == roster.SideOld && share < 1
}

// uniform turns a draw into a number in [0, 1) that differs between releases.
func uniform(draw uint64, salt string) float64 {
	var raw [8]byte
	for i := range raw {
		raw[i] = byte(draw >> (8 * i))
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(salt) // a digest never fails to take bytes
	_, _ = d.Write(raw[:])     // a digest never fails to take bytes
	return float64(d.Sum64()>>11) / (1 << 53)
}

// part returns how much of the roll-out's time has passed, from 0 to 1 and beyond.
func (s *Stager) part(held *stage, order backend.Rollout) float64 {
	return float64(s.Clock.Now()-held.began) / float64(max(order.Within, 1))
}

// share returns the share of the sessions that use the new release.
func (s *Stager) share(held *stage, part float64) float64 {
	switch {
	case part < canaryUntil, s.onHold(held):
		return canaryOfBound * s.ExposureShare
	case part < halfFrom:
		return quarterShare
	case part < allFrom:
		return halfShare
	}
	return 1
}

// Stages returns what this instance knows of the open roll-outs.
func (s *Stager) Stages() map[declaration.ServiceName]Stage {
	view := s.ViewFunc()
	s.mu.Lock()
	defer s.mu.Unlock()
	stages := map[declaration.ServiceName]Stage{}
	for service, order := range view.Rollouts {
		if order.Outcome != backend.OutcomeOpen {
			continue
		}
		held := s.stageOf(order)
		told := Stage{Target: held.target, Elapsed: s.Clock.Now() - held.began, Bad: held.bad}
		if s.suspected(held) {
			told.Suspect, told.SuspectAge = true, s.Clock.Now()-held.suspectAt
		}
		if s.isThin(held) {
			told.Thin, told.ThinAge = true, s.Clock.Now()-held.thinAt
		}
		told.Cleared = held.cleared && s.part(held, order) >= canaryUntil
		if told.Elapsed < opensAfter(order)+tellSpan {
			told.Kept = slices.Collect(maps.Keys(held.kept))
		}
		stages[service] = told
	}
	return stages
}

// Merge takes in what another instance knows.
func (s *Stager) Merge(stages map[declaration.ServiceName]Stage) {
	view := s.ViewFunc()
	for service, told := range stages {
		order, found := view.Rollouts[service]
		if !found || order.Target != told.Target {
			continue
		}
		s.mu.Lock()
		held := s.stageOf(order)
		held.began = min(held.began, s.Clock.Now()-told.Elapsed)
		if told.Suspect {
			held.suspectAt = max(held.suspectAt, s.Clock.Now()-told.SuspectAge)
		}
		if told.Thin {
			held.thinAt = max(held.thinAt, s.Clock.Now()-told.ThinAge)
		}
		held.cleared = held.cleared || told.Cleared
		for _, draw := range told.Kept {
			held.kept[draw] = true
		}
		s.mu.Unlock()
		if told.Bad != "" {
			s.block(service, told.Target, told.Bad)
		}
	}
}

// moved reports whether the requests have had their time to move to the new release since
// it was last held at its first share. The lock must be held.
func (s *Stager) moved(held *stage, order backend.Rollout) bool {
	last := max(held.suspectAt, held.thinAt)
	if last == 0 {
		return true
	}
	since := s.Clock.Now() - last - suspectSpan
	return float64(since) >= moveSpan*float64(order.Within)
}

// DueOutcome returns the outcome that should be recorded for an order now, if any. oldInFlight
// is the number of requests that all instances have at older releases.
func (s *Stager) DueOutcome(order backend.Rollout, oldInFlight int) backend.Outcome {
	if order.Outcome != backend.OutcomeOpen {
		return backend.OutcomeOpen
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.stageOf(order)
	part := s.part(held, order)
	switch {
	case held.bad != "":
		return backend.OutcomeRolledBack
	case s.onHold(held):
		return backend.OutcomeOpen
	case part >= completeFrom && oldInFlight == 0, part >= completeBy && s.moved(held, order):
		return backend.OutcomeCompleted
	}
	return backend.OutcomeOpen
}
