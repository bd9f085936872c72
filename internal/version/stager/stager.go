// Package stager moves a service's requests to a new release in stages, and back at once if the
// release is found bad.
//
// All instances read the same roll-out order and measure its time from when the first of them
// read it. Sessions that are active at that time keep the old release, whichever instance their
// requests reach. During the first half of the time (the canary stage) a small share of the
// sessions uses the new release, less than the share that a bad release may receive. Then the
// share grows while the evidence of all instances is evaluated. One instance, the duty holder,
// records the outcome in the store under the order's revision. A release is found bad without
// a vote: each instance stops using it as soon as one instance reports it.
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

// Stages of a roll-out. Times are fractions of the time that the roll-out may take, shares are
// fractions of the sessions.
const (
	// canaryUntil ends the canary stage. Active sessions keep their release in the first half of
	// the time.
	canaryUntil = 0.52
	// canaryShareOfExposure is the canary share as a fraction of ExposureShare. The rest is left
	// for retried requests, which may reach the new release as well.
	canaryShareOfExposure = 0.7
	// quarterShare is the share in the second stage. halfFrom and allFrom begin the third and
	// the last stage, in which half and all of the sessions use the new release.
	quarterShare = 0.25
	halfFrom     = 0.65
	halfShare    = 0.5
	allFrom      = 0.78
	// holdUntil is the latest time at which a suspect release is only held at the canary share;
	// from then on it is found bad. It leaves time to move all requests before completion.
	holdUntil = 0.86
	// completeFrom is the earliest time to record the roll-out as completed, if no request is in
	// flight at older releases. From completeBy on it is recorded with requests in flight too.
	completeFrom = 0.88
	completeBy   = 0.95
	// moveSpan is the least time between the end of a hold and a completion with requests still
	// in flight at older releases.
	moveSpan = completeBy - allFrom
	// maxHold ends a hold for inconclusive evidence, because the service may have no requests.
	maxHold = 2
)

// guard limits how much worse than the older releases a new release may be: 3 percentage points
// more errors and delays twice as long.
var guard = declaration.Guard{MaxErrorRise: 3, MaxLatencyFactor: 2}

const (
	// openAfter is the time from the order to the first requests for the new release. Until then
	// instances exchange the draws of active sessions, because these keep the old release.
	// openAfterFraction is the upper bound of openAfter as a fraction of the roll-out's time.
	openAfter         clock.Millis = 2500
	openAfterFraction              = 0.15
	// keptDrawsSpan is how long after the first requests instances still send these draws.
	keptDrawsSpan = 2 * clock.Second
)

const (
	// falseAlarmProbability is the probability that the instances with the evidence of all
	// instances find a good release bad. A false alarm delays a release; a lower probability
	// would detect bad releases later, which costs answers.
	falseAlarmProbability = 0.03
	// ownFalseAlarmProbability is the probability of a false alarm for an instance that has only
	// its own evidence. It is lower because each of the many instances adds to the total.
	ownFalseAlarmProbability = falseAlarmProbability / 30
)

const (
	// suspectEvidence is the e-value from which a release is suspect: it is held at the canary
	// share and not completed. A good release reaches it in less than one of three roll-outs.
	suspectEvidence = 3
	// clearingRatio is the highest judge.Finding.LikelihoodRatio that clears a release.
	clearingRatio = 0.02
	// holdTTL is how long a suspicion or an inconclusive result counts without being confirmed:
	// two rounds of exchange between instances.
	holdTTL clock.Millis = 1500
)

// Stage is the state of a roll-out at one instance, as instances exchange it. Ages and elapsed
// times are relative to the time of sending, so that clocks need not agree.
type Stage struct {
	Target backend.Release
	// Elapsed is the time since the first instance read the order.
	Elapsed clock.Millis
	// MaxAge is the longest time for which the order can have existed; zero if it was read at once.
	MaxAge clock.Millis
	// Bad is the reason why the release was found bad; empty if it was not.
	Bad string
	// Suspect is set while the evidence against the release is at least suspectEvidence.
	// SuspectAge is the time since an instance last confirmed it.
	Suspect    bool
	SuspectAge clock.Millis
	// Thin is set while the evidence is inconclusive, that is too little to clear the release.
	// ThinAge is the time since an instance last confirmed it. Cleared is set once the evidence
	// cleared the release.
	Thin    bool
	ThinAge clock.Millis
	Cleared bool
	// OldInFlight is the number of the instance's requests in flight at older releases.
	OldInFlight int
	// Kept holds the draws of sessions that fall into the canary share but were active before
	// the roll-out, and therefore keep the old release.
	Kept []uint64
}

// Stager holds the states of all roll-outs and chooses the release for each request. Set the
// exported fields before use.
//
// The draw of a session is a number that is uniform over sessions and the same for all requests
// of a session. It identifies the session and decides whether it belongs to the canary.
type Stager struct {
	Clock    *clock.Clock
	ViewFunc func() *curator.View
	Tallier  *tallier.Tallier
	// ExposureShare is the share of a service's requests that a bad release may receive.
	ExposureShare float64
	// SessionGap is the longest pause between two requests of one session.
	SessionGap clock.Millis
	// HasAllEvidenceFunc reports whether this instance receives the tallies of all instances for
	// a service; nil means that it does.
	HasAllEvidenceFunc func(service declaration.ServiceName) bool
	// UnreadSinceFunc returns the time after which an order was placed, if it may have stayed unread
	// for a while, and zero otherwise; nil means that orders are read at once.
	UnreadSinceFunc func(service declaration.ServiceName) clock.Millis
	// OnBad, when set, is called once when this instance finds a release bad or receives that
	// result from another instance.
	OnBad func(service declaration.ServiceName, target backend.Release, reason string)

	mu      sync.Mutex
	states  map[declaration.ServiceName]*rollout
	pins    map[uint64]pin // by the session's draw
	pending map[*pendingFirstByte]bool
}

// rollout is the state of one roll-out order at this instance.
type rollout struct {
	target    backend.Release
	startedAt clock.Millis
	// placedAfter is a time before the order was placed; zero if the order was read at once.
	placedAfter clock.Millis
	badReason   string
	// suspectedAt is when an instance last found the release suspect; 0 for never.
	suspectedAt clock.Millis
	// inconclusiveAt is when an instance last found the evidence too little to clear the release;
	// 0 for never. cleared is set once an instance found that the evidence clears it.
	inconclusiveAt clock.Millis
	cleared        bool
	keptDraws      map[uint64]bool // draws of the sessions that keep the old release
}

// SetBounds replaces ExposureShare and SessionGap when the operator changes the settings.
func (s *Stager) SetBounds(exposureShare float64, sessionGap clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ExposureShare, s.SessionGap = exposureShare, sessionGap
}

// stateOf returns the state of an order, and creates it for a new order. The lock must be
// held.
func (s *Stager) stateOf(order backend.Rollout) *rollout {
	state := s.states[order.Service]
	if state == nil || state.target != order.Target {
		if s.states == nil {
			s.states = map[declaration.ServiceName]*rollout{}
		}
		state = &rollout{target: order.Target, startedAt: s.Clock.Now(), keptDraws: map[uint64]bool{}}
		s.recordUnread(state, order)
		s.states[order.Service] = state
		s.keepActiveSessions(state, order)
	}
	return state
}

// inCanary reports whether a draw falls into the canary share.
func (s *Stager) inCanary(order backend.Rollout, draw uint64) bool {
	return uniform(draw, string(order.Target)) < canaryShareOfExposure*s.ExposureShare
}

// opensAfter returns the time from the order to the first requests for the new release.
func opensAfter(order backend.Rollout) clock.Millis {
	return min(openAfter, clock.Millis(openAfterFraction*float64(order.Within)))
}

// Side chooses between the old and the new release for a request of a session. A choice that is
// not strict falls back to the other release if the chosen one has no server.
func (s *Stager) Side(order backend.Rollout, session string, draw uint64) (side roster.Side, strict bool) {
	switch order.Outcome {
	case backend.OutcomeCompleted:
		return roster.SideNew, true
	case backend.OutcomeRolledBack:
		return roster.SideOld, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.stateOf(order)
	if state.badReason != "" {
		return roster.SideOld, true
	}
	if s.Clock.Now()-state.startedAt < opensAfter(order) {
		if session != "" && s.inCanary(order, draw) {
			state.keptDraws[draw] = true
		}
		return roster.SideOld, true
	}
	elapsed := s.elapsedFraction(state, order)
	share := s.newReleaseShare(state, elapsed)
	side = roster.SideOld
	if uniform(draw, string(order.Target)) < share {
		side = roster.SideNew
	}
	if session != "" {
		side = s.pinnedSide(state, order, draw, elapsed, side)
	}
	return side, side == roster.SideOld && share < 1
}

// uniform hashes a draw with a salt, the release, to a number in [0, 1), so that different
// roll-outs have different sessions in their canary.
func uniform(draw uint64, salt string) float64 {
	var raw [8]byte
	for i := range raw {
		raw[i] = byte(draw >> (8 * i))
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(salt) // never returns an error
	_, _ = d.Write(raw[:])     // never returns an error
	return float64(d.Sum64()>>11) / (1 << 53)
}

// newReleaseShare returns the share of the sessions that use the new release. The lock must be
// held.
func (s *Stager) newReleaseShare(state *rollout, elapsed float64) float64 {
	switch {
	case elapsed < canaryUntil, s.onHold(state):
		return canaryShareOfExposure * s.ExposureShare
	case elapsed < halfFrom:
		return quarterShare
	case elapsed < allFrom:
		return halfShare
	}
	return 1
}

// Stages returns the state of each open roll-out, for the other instances.
func (s *Stager) Stages() map[declaration.ServiceName]Stage {
	view := s.ViewFunc()
	s.mu.Lock()
	defer s.mu.Unlock()
	stages := map[declaration.ServiceName]Stage{}
	for service, order := range view.Rollouts {
		if order.Outcome != backend.OutcomeOpen {
			continue
		}
		state := s.stateOf(order)
		sent := Stage{Target: state.target, Elapsed: s.Clock.Now() - state.startedAt, Bad: state.badReason}
		if state.placedAfter > 0 {
			sent.MaxAge = s.Clock.Now() - state.placedAfter
		}
		if s.suspected(state) {
			sent.Suspect, sent.SuspectAge = true, s.Clock.Now()-state.suspectedAt
		}
		if s.inconclusive(state) {
			sent.Thin, sent.ThinAge = true, s.Clock.Now()-state.inconclusiveAt
		}
		sent.Cleared = state.cleared && s.elapsedFraction(state, order) >= canaryUntil
		if sent.Elapsed < opensAfter(order)+keptDrawsSpan {
			sent.Kept = slices.Collect(maps.Keys(state.keptDraws))
		}
		stages[service] = sent
	}
	return stages
}

// Merge merges another instance's Stages into the states of this instance.
func (s *Stager) Merge(stages map[declaration.ServiceName]Stage) {
	view := s.ViewFunc()
	for service, received := range stages {
		order, found := view.Rollouts[service]
		if !found || order.Target != received.Target {
			continue
		}
		s.mu.Lock()
		state := s.stateOf(order)
		s.mergeStart(state, received)
		if received.Suspect {
			state.suspectedAt = max(state.suspectedAt, s.Clock.Now()-received.SuspectAge)
		}
		if received.Thin {
			state.inconclusiveAt = max(state.inconclusiveAt, s.Clock.Now()-received.ThinAge)
		}
		state.cleared = state.cleared || received.Cleared
		for _, draw := range received.Kept {
			state.keptDraws[draw] = true
		}
		s.mu.Unlock()
		if received.Bad != "" {
			s.markBad(service, received.Target, received.Bad)
		}
	}
}

// moveSpanPassed reports whether moveSpan has passed since the release was last held at the canary
// share. The lock must be held.
func (s *Stager) moveSpanPassed(state *rollout, order backend.Rollout) bool {
	lastHold := max(state.suspectedAt, state.inconclusiveAt)
	if lastHold == 0 {
		return true
	}
	sinceHold := s.Clock.Now() - lastHold - holdTTL
	return float64(sinceHold) >= moveSpan*float64(order.Within)
}

// DueOutcome returns the outcome to record for an order now, or OutcomeOpen if there is none yet.
// oldInFlight is the number of requests of all instances in flight at older releases.
func (s *Stager) DueOutcome(order backend.Rollout, oldInFlight int) backend.Outcome {
	if order.Outcome != backend.OutcomeOpen {
		return backend.OutcomeOpen
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.stateOf(order)
	elapsed := s.elapsedFraction(state, order)
	switch {
	case state.badReason != "":
		return backend.OutcomeRolledBack
	case s.onHold(state):
		return backend.OutcomeOpen
	case elapsed >= completeFrom && oldInFlight == 0, elapsed >= completeBy && s.moveSpanPassed(state, order):
		return backend.OutcomeCompleted
	}
	return backend.OutcomeOpen
}
