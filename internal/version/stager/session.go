package stager

import (
	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/backend"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/roster"
)

// pin records which release served the last request of a session.
type pin struct {
	service declaration.ServiceName
	target  backend.Release // the new release of the roll-out if isNew is set
	isNew   bool
	at      clock.Millis
}

// keepActiveSessions makes the active sessions that fall into the canary share keep the old
// release. The lock must be held.
func (s *Stager) keepActiveSessions(state *rollout, order backend.Rollout) {
	now := s.Clock.Now()
	for draw, p := range s.pins {
		if p.service == order.Service && now-p.at < s.SessionGap && s.inCanary(order, draw) {
			state.keptDraws[draw] = true
		}
	}
}

// pinnedSide returns the side for a request of a session: that of an active session's pin, or side
// if none applies. A pin to the old release applies only in the canary stage. The lock must be
// held.
func (s *Stager) pinnedSide(state *rollout, order backend.Rollout, draw uint64, elapsed float64, side roster.Side) roster.Side {
	p, found := s.pins[draw]
	found = found && p.service == order.Service && s.Clock.Now()-p.at < s.SessionGap
	switch {
	case found && p.target == order.Target && p.isNew:
		return roster.SideNew
	case elapsed < canaryUntil && (found || state.keptDraws[draw]):
		return roster.SideOld
	}
	return side
}

// PinSession records to which release a session's request was sent.
func (s *Stager) PinSession(draw uint64, service declaration.ServiceName, slot *roster.Slot) {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pins == nil {
		s.pins = map[uint64]pin{}
	}
	p := pin{service: service, isNew: slot.OnTargetRelease, at: now}
	if slot.OnTargetRelease {
		p.target = slot.Server.Release
	}
	s.pins[draw] = p
	if len(s.pins) > maxPins {
		s.evictPins(now)
	}
}

// evictPins removes the pins of sessions that are no longer active, and arbitrary others down to
// maxPins. The lock must be held.
func (s *Stager) evictPins(now clock.Millis) {
	for draw, p := range s.pins {
		if now-p.at >= s.SessionGap || len(s.pins) > maxPins {
			delete(s.pins, draw)
		}
	}
}

// maxPins is the maximum number of sessions with a pin.
const maxPins = 4096
