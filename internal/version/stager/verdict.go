package stager

import (
	"fmt"

	"k8s.io/klog/v2"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/backend"
)

// Tick evaluates the evidence about every open roll-out. Call it periodically.
func (s *Stager) Tick() {
	s.recordOverdue()
	for _, order := range s.ViewFunc().Rollouts {
		if order.Outcome != backend.OutcomeOpen {
			continue
		}
		s.mu.Lock()
		state := s.stateOf(order)
		foundBad := state.badReason != ""
		s.mu.Unlock()
		if foundBad {
			continue
		}
		if reason := s.assess(state, order); reason != "" {
			s.markBad(order.Service, order.Target, reason)
		}
	}
}

// assess evaluates the evidence about an order and returns why its release is bad, or "". A
// release that is still suspect at holdUntil is bad. A release that the evidence does not clear
// is held at the canary share, at most until maxHold.
func (s *Stager) assess(state *rollout, order backend.Rollout) (reason string) {
	hasAll := s.HasAllEvidenceFunc == nil || s.HasAllEvidenceFunc(order.Service)
	finding := s.compareReleases(order, hasAll)
	if finding.Reason != "" || !hasAll {
		return finding.Reason
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	elapsed := s.elapsedFraction(state, order)
	// A cleared release stays cleared after the canary stage: sessions that moved to it must not
	// move back.
	state.cleared = finding.LikelihoodRatio <= clearingRatio || state.cleared && elapsed >= canaryUntil || elapsed >= maxHold
	wasOnHold := s.onHold(state)
	if !state.cleared {
		state.inconclusiveAt = s.Clock.Now()
	}
	if finding.MaxEvidence() >= suspectEvidence {
		state.suspectedAt = s.Clock.Now()
	}
	if s.onHold(state) && !wasOnHold {
		klog.InfoS("Release is held at the canary share", "service", order.Service, "target", order.Target, "answers", finding.Answers, "evidence", finding.MaxEvidence(), "doubt", finding.LikelihoodRatio)
	}
	if finding.MaxEvidence() >= suspectEvidence && elapsed >= holdUntil {
		return fmt.Sprintf("suspect when its time ran out (%.0f answers, evidence %.1f of %.0f)", finding.Answers, finding.MaxEvidence(), finding.Limit)
	}
	return ""
}

// markBad records that a release is bad, logs it and calls OnBad, unless that was done before.
func (s *Stager) markBad(service declaration.ServiceName, target backend.Release, reason string) {
	s.mu.Lock()
	state := s.states[service]
	isNew := state != nil && state.target == target && state.badReason == ""
	if isNew {
		state.badReason = reason
	}
	s.mu.Unlock()
	if !isNew {
		return
	}
	klog.InfoS("Release is bad and gets no more requests", "service", service, "target", target, "reason", reason)
	if s.OnBad != nil {
		s.OnBad(service, target, reason)
	}
}

// suspected reports whether an instance found the release suspect within holdTTL. The lock must be
// held.
func (s *Stager) suspected(state *rollout) bool {
	return state.suspectedAt > 0 && s.Clock.Now()-state.suspectedAt < holdTTL
}

// inconclusive reports whether the release is not cleared and an instance found the evidence
// inconclusive within holdTTL. The lock must be held.
func (s *Stager) inconclusive(state *rollout) bool {
	return !state.cleared && state.inconclusiveAt > 0 && s.Clock.Now()-state.inconclusiveAt < holdTTL
}

// onHold reports whether a release is held at the canary share. The lock must be held.
func (s *Stager) onHold(state *rollout) bool { return s.suspected(state) || s.inconclusive(state) }
