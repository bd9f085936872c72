package roster

import (
	"k8s.io/klog/v2"

	"example.com/dotterelwell/internal/contract/backend"
	"example.com/dotterelwell/internal/machine/clock"
)

// ServerStatus is what the head of a server's answer says about the server.
type ServerStatus struct {
	// Accepted is set when the server works or has worked on the request.
	Accepted bool
	// Leaving is set when the server is about to stop and takes no new work.
	Leaving bool
	// RetryAfter is how long the server wants no requests from this instance; zero for no
	// wish.
	RetryAfter clock.Millis
}

const (
	// returnSpread is the largest random delay after a server's Retry-After, as a part of
	// that, so that instances do not all return at the same moment.
	returnSpread = 0.25
	// maxDepartures bounds the incarnations that are remembered as leaving after their
	// entries have vanished.
	maxDepartures = 4096
)

// RecordHead takes in what the server said at the head of its answer. The prompt has been
// read by then.
func (s *Slot) RecordHead(advice ServerStatus) {
	r := s.roster
	r.mu.Lock()
	defer r.mu.Unlock()
	s.begin()
	if advice.Leaving {
		r.depart(s.row, "its own answer")
	}
	now := r.Clock.Now()
	if advice.RetryAfter > 0 {
		spread := r.draw(int(returnSpread*float64(advice.RetryAfter)) + 1)
		s.row.closedUntil = max(s.row.closedUntil, now+advice.RetryAfter+clock.Millis(spread))
		klog.InfoS("Server asks for a pause", "server", s.row.info.ID, "retry-after-ms", advice.RetryAfter, "left-alone-ms", s.row.closedUntil-now)
	}
	if s.trial {
		s.endTrial(advice.Accepted)
	}
}

// endTrial ends the one request that a server gets after its pause. It opens the server
// to others if it took the request.
func (s *Slot) endTrial(taken bool) {
	s.trial, s.row.trial = false, false
	if taken && s.roster.Clock.Now() >= s.row.closedUntil {
		s.row.closedUntil = 0
	}
}

// MarkLeaving takes out a server that has said in an interim answer that it is leaving.
func (s *Slot) MarkLeaving() {
	s.roster.mu.Lock()
	defer s.roster.mu.Unlock()
	s.roster.depart(s.row, "an interim answer")
}

// depart takes one run of a server out for good. The lock must be held.
func (r *Roster) depart(w *row, source string) {
	if w.departing {
		return
	}
	w.departing = true
	r.noteDeparture(w.info.Incarnation())
	klog.InfoS("Server is leaving and gets nothing more", "server", w.info.ID, "service", w.info.Service, "born", w.info.Born, "source", source, "in-flight", w.inFlight)
}

// noteDeparture remembers an incarnation also when its entry vanishes and comes back. The
// lock must be held.
func (r *Roster) noteDeparture(run backend.Incarnation) {
	if r.departures == nil || len(r.departures) >= maxDepartures {
		r.departures = map[backend.Incarnation]bool{}
		for _, held := range r.rows {
			if held.departing {
				r.departures[held.info.Incarnation()] = true
			}
		}
	}
	r.departures[run] = true
}

// Departing returns the servers that are known to leave though their entries do not say so.
func (r *Roster) Departing() []backend.Incarnation {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []backend.Incarnation
	for _, w := range r.rows {
		if w.departing && !w.info.Leaving {
			all = append(all, w.info.Incarnation())
		}
	}
	return all
}

// MergeDeparting takes in the servers that another instance knows to leave.
func (r *Roster) MergeDeparting(runs []backend.Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range runs {
		held := r.rows[run.ID]
		if held != nil && held.info.Incarnation() == run {
			r.depart(held, "a peer")
			continue
		}
		r.noteDeparture(run)
	}
}

// PauseRemaining returns how long all servers that could take a request want none, or zero
// when it is not only for that that none may take it now.
func (r *Roster) PauseRemaining(want Want) clock.Millis {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	if r.gather(r.ViewFunc(), want, now) == 0 || len(r.scratch) > 0 || !r.allPaused() {
		return 0
	}
	return max(r.reopensAt-now, 0)
}

// allPaused reports whether gather left out servers for a pause and no others. The lock
// must be held.
func (r *Roster) allPaused() bool { return r.reopensAt > 0 && !r.otherwiseBusy }

// closed reports whether the server wants no request now. After its pause it gets one at
// a time until it takes one.
func (w *row) closed(now clock.Millis) bool {
	return w.closedUntil > 0 && (now < w.closedUntil || w.trial)
}
