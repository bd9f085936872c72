package stager

import (
	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/backend"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/roster"
)

// pin is the side of the last request of a session.
type pin struct {
	service declaration.ServiceName
	target  backend.Release
	isNew   bool
	at      clock.Millis
}

// keepPinned keeps the sessions that are under way on the old release. The lock must be held.
func (s *Stager) keepPinned(held *stage, order backend.Rollout) {
	now := s.Clock.Now()
	for draw, p := range s.pins {
		if p.service == order.Service && now-p.at < s.SessionGap && s.inCanary(order, draw) {
			held.kept[draw] = true
		}
	}
}

// pinned returns the side of a request whose session may be under way already.
func (s *Stager) pinned(held *stage, order backend.Rollout, draw uint64, part float64, side roster.Side) roster.Side {
	p, found := s.pins[draw]
	found = found && p.service == order.Service && s.Clock.Now()-p.at < s.SessionGap
	switch {
	case found && p.target == order.Target && p.isNew:
		return roster.SideNew
	case part < canaryUntil && (found || held.kept[draw]):
		return roster.SideOld
	}
	return side
}

// PinSession remembers where a session's request was sent.
func (s *Stager) PinSession(draw uint64, service declaration.ServiceName, slot *roster.Slot) {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pins == nil {
		s.pins = map[uint64]pin{}
	}
	p := pin{service: service, isNew: slot.Target, at: now}
	if slot.Target {
		p.target = slot.Server.Release
	}
	s.pins[draw] = p
	if len(s.pins) > maxPins {
		s.dropOldPins(now)
	}
}

func (s *Stager) dropOldPins(now clock.Millis) {
	for draw, p := range s.pins {
		if now-p.at >= s.SessionGap || len(s.pins) > maxPins {
			delete(s.pins, draw)
		}
	}
}

// maxPins bounds the sessions that are remembered.
const maxPins = 4096
