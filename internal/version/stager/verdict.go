package stager

import (
	"fmt"

	"k8s.io/klog/v2"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/backend"
)

// Tick weighs the evidence about every open roll-out.
func (s *Stager) Tick() {
	s.countOverdue()
	for _, order := range s.ViewFunc().Rollouts {
		if order.Outcome != backend.OutcomeOpen {
			continue
		}
		s.mu.Lock()
		held := s.stageOf(order)
		known := held.bad != ""
		s.mu.Unlock()
		if known {
			continue
		}
		if reason := s.judge(held, order); reason != "" {
			s.block(order.Service, order.Target, reason)
		}
	}
}

// judge weighs the evidence about an order and returns why its release is bad, if it is.
// A release that is still suspect when its requests must move is not let through, and one
// that the evidence does not clear stays at its first share until it does.
func (s *Stager) judge(held *stage, order backend.Rollout) (reason string) {
	collects := s.HasAllEvidenceFunc == nil || s.HasAllEvidenceFunc(order.Service)
	finding := s.weigh(order, collects)
	if finding.Reason != "" || !collects {
		return finding.Reason
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	part := s.part(held, order)
	// A release that was cleared stays so: sessions that moved to it must not move back.
	held.cleared = finding.LikelihoodRatio <= enoughDoubt || held.cleared && part >= canaryUntil || part >= holdAtMost
	wasOnHold := s.onHold(held)
	if !held.cleared {
		held.thinAt = s.Clock.Now()
	}
	if finding.MaxEvidence() >= suspicion {
		held.suspectAt = s.Clock.Now()
	}
	if s.onHold(held) && !wasOnHold {
		klog.InfoS("Release is held at its first share", "service", order.Service, "target", order.Target, "answers", finding.Answers, "evidence", finding.MaxEvidence(), "doubt", finding.LikelihoodRatio)
	}
	if finding.MaxEvidence() >= suspicion && part >= holdUntil {
		return fmt.Sprintf("suspect when its time ran out (%.0f answers, evidence %.1f of %.0f)", finding.Answers, finding.MaxEvidence(), finding.Limit)
	}
	return ""
}

// block records that a release is bad.
func (s *Stager) block(service declaration.ServiceName, target backend.Release, reason string) {
	s.mu.Lock()
	held := s.stages[service]
	news := held != nil && held.target == target && held.bad == ""
	if news {
		held.bad = reason
	}
	s.mu.Unlock()
	if !news {
		return
	}
	klog.InfoS("Release is bad and gets no more requests", "service", service, "target", target, "reason", reason)
	if s.OnBad != nil {
		s.OnBad(service, target, reason)
	}
}

// suspected reports whether the evidence against a release grows. The lock must be held.
func (s *Stager) suspected(held *stage) bool {
	return held.suspectAt > 0 && s.Clock.Now()-held.suspectAt < suspectSpan
}

// isThin reports whether the evidence cannot clear a release yet. The lock must be held.
func (s *Stager) isThin(held *stage) bool {
	return !held.cleared && held.thinAt > 0 && s.Clock.Now()-held.thinAt < suspectSpan
}

// onHold reports whether a release stays at its first share. The lock must be held.
func (s *Stager) onHold(held *stage) bool { return s.suspected(held) || s.isThin(held) }
