package stager

import (
	"k8s.io/klog/v2"

	"example.com/dotterelwell/internal/contract/backend"
	"example.com/dotterelwell/internal/machine/clock"
)

// A roll-out must be completed within its time from the order, but an order that is placed while
// the store is away is read later. How long it stayed unread is only known within limits: it was
// placed after the last confirmation of the copy, and before the first instance read it. The canary
// stage counts from the latter, so that it covers the first half of the time in any case; the later
// stages are shortened, so that the last one ends in time although the order is as old as it can be.

const (
	// maxUnread is the longest time for which an order can be unread that the later stages make up
	// for, as a fraction of the roll-out's time. They then take half of their usual time.
	maxUnread = (1 - canaryUntil) / 2
	// readSpread is the time within which instances that all reach the store read an order.
	readSpread clock.Millis = 500
)

// recordUnread records for how long a new order may have stayed unread. The lock must be held.
func (s *Stager) recordUnread(state *rollout, order backend.Rollout) {
	if s.UnreadSinceFunc == nil {
		return
	}
	state.placedAfter = s.UnreadSinceFunc(order.Service)
	if state.placedAfter > 0 {
		klog.InfoS("Roll-out order was read late", "service", order.Service, "target", order.Target, "unread-ms", state.startedAt-state.placedAfter)
	}
}

// elapsedFraction returns the elapsed fraction of the roll-out's time. It exceeds 1 after the end
// of that time. The lock must be held.
func (s *Stager) elapsedFraction(state *rollout, order backend.Rollout) float64 {
	within := float64(max(order.Within, 1))
	elapsed := float64(s.Clock.Now()-state.startedAt) / within
	if elapsed <= canaryUntil || state.placedAfter == 0 {
		return elapsed
	}
	unread := min(float64(state.startedAt-state.placedAfter)/within, maxUnread)
	faster := (1 - canaryUntil) / (1 - canaryUntil - unread)
	return min(canaryUntil+faster*(elapsed-canaryUntil), elapsed+unread)
}

// mergeStart merges what another instance knows of the time of the order: the earliest times, which
// don't move with the delays of messages. An instance that read the order long after the first one
// doesn't know how long it had been unread. The lock must be held.
func (s *Stager) mergeStart(state *rollout, received Stage) {
	now := s.Clock.Now()
	start := now - received.Elapsed
	if start < state.startedAt-readSpread {
		state.placedAfter = 0
	}
	if received.MaxAge > 0 && start <= state.startedAt+readSpread {
		placedAfter := now - received.MaxAge
		if state.placedAfter == 0 || placedAfter < state.placedAfter {
			state.placedAfter = placedAfter
		}
	}
	state.startedAt = min(state.startedAt, start)
}
