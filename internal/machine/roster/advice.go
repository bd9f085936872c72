package roster

import (
	"k8s.io/klog/v2"

	"example.com/dotterelwell/internal/contract/backend"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/machine/ident"
)

// ServerStatus is what the head of a server's answer says about the server.
type ServerStatus struct {
	// Accepted is set when the server works or has worked on the request.
	Accepted bool
	// Leaving is set when the server is about to stop and takes no new work.
	Leaving bool
	// RetryAfter is how long the server wants no requests from this instance; zero if the
	// server did not ask for a pause.
	RetryAfter clock.Millis
	// ThroughPeer is set when the answer came through a peer, which the server means by RetryAfter.
	ThroughPeer bool
	// RateLimit is the limit that the server names for the requests of all instances together.
	RateLimit backend.RateLimit
	// Brittleness is what the server says of how many rejections it bears.
	Brittleness backend.Brittleness
	// Rejected is set when the server states that it has not run the request.
	Rejected bool
	// Served is set when the server has served the request, so that an answer without a rate
	// limit shows that the server has none.
	Served bool
}

const (
	// retryJitter is the largest random delay added to a server's Retry-After, as a fraction
	// of it, so that the instances do not all return at the same moment.
	retryJitter = 0.25
	// maxDepartures bounds the incarnations that are remembered as leaving after their
	// entries were deleted.
	maxDepartures = 4096
)

// RecordHead records the server's status from the head of its answer. The server has processed
// the prompt by then.
func (s *Slot) RecordHead(status ServerStatus) {
	r := s.roster
	r.mu.Lock()
	defer r.mu.Unlock()
	s.markPrefilled()
	if status.Leaving {
		r.markDeparting(s.row, "its own answer")
	}
	now := r.Clock.Now()
	if status.Served || status.RateLimit.Named {
		s.row.observeLimit(status.RateLimit, s.acquiredAt, now)
	}
	r.observeBrittleness(s, status, now)
	if status.RetryAfter > 0 {
		jitter := r.randIntN(int(retryJitter*float64(status.RetryAfter)) + 1)
		s.row.pausedUntil = max(s.row.pausedUntil, now+status.RetryAfter+clock.Millis(jitter))
		s.row.peersPaused = s.row.peersPaused || status.ThroughPeer
		klog.InfoS("Server asks for a pause", "server", s.row.info.ID, "retry-after-ms", status.RetryAfter, "left-alone-ms", s.row.pausedUntil-now)
	}
	if s.trial {
		s.endTrial(status.Accepted)
	}
}

// endTrial ends the trial request, the single request that a server gets after its pause. If
// the server accepted it, the pause is over for other requests as well.
func (s *Slot) endTrial(accepted bool) {
	s.trial, s.row.trial = false, false
	if accepted && s.roster.Clock.Now() >= s.row.pausedUntil {
		s.row.pausedUntil, s.row.peersPaused = 0, false
	}
}

// MarkLeaving stops sending requests to a server that said in an interim (1xx) response that it
// is leaving.
func (s *Slot) MarkLeaving() {
	s.roster.mu.Lock()
	defer s.roster.mu.Unlock()
	s.roster.markDeparting(s.row, "an interim answer")
}

// markDeparting stops sending requests to one incarnation of a server for good. The lock must
// be held.
func (r *Roster) markDeparting(w *row, source string) {
	if w.departing {
		return
	}
	w.departing = true
	r.recordDeparture(w.info.Incarnation())
	klog.InfoS("Server is leaving and gets nothing more", "server", w.info.ID, "service", w.info.Service, "born", w.info.Born, "source", source, "in-flight", w.inFlight)
}

// recordDeparture remembers that an incarnation is leaving, even if its entry is deleted and
// comes back. The lock must be held.
func (r *Roster) recordDeparture(incarnation backend.Incarnation) {
	if r.departures == nil || len(r.departures) >= maxDepartures {
		r.departures = map[backend.Incarnation]bool{}
		for _, held := range r.rows {
			if held.departing {
				r.departures[held.info.Incarnation()] = true
			}
		}
	}
	r.departures[incarnation] = true
}

// Departing returns the servers that said in an answer that they are leaving while their
// entries do not say so yet.
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

// MergeDeparting marks the servers as leaving that another instance reported as leaving.
func (r *Roster) MergeDeparting(incarnations []backend.Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, incarnation := range incarnations {
		if held := r.rowOf(incarnation); held != nil {
			r.markDeparting(held, "a peer")
			continue
		}
		r.recordDeparture(incarnation)
	}
}

// paused reports whether the server wants no request now. After its pause it gets one request
// at a time until it accepts one.
func (w *row) paused(now clock.Millis) bool {
	return w.pausedUntil > 0 && (now < w.pausedUntil || w.trial)
}

// maxPauseReports bounds the reports on pauses in one message to a peer.
const maxPauseReports = 256

// PauseReport tells a peer that a server wants no requests for a while, as it said in an answer that
// came through that peer or another one.
type PauseReport struct {
	Server backend.Incarnation
	Left   clock.Millis
}

// PauseReports returns the pauses that servers have asked for in answers that came through peers.
func (r *Roster) PauseReports() []PauseReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	var reports []PauseReport
	for _, w := range r.rows {
		if w.peersPaused && w.pausedUntil > now && len(reports) < maxPauseReports {
			reports = append(reports, PauseReport{Server: w.info.Incarnation(), Left: w.pausedUntil - now})
		}
	}
	return reports
}

// MergePauses takes over the pauses that a peer reports.
func (r *Roster) MergePauses(reports []PauseReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	for _, report := range reports {
		if w := r.rowOf(report.Server); w != nil && report.Left > 0 {
			w.pausedUntil = max(w.pausedUntil, now+report.Left)
		}
	}
}

// MayCarry returns why no connection of a peer to the server at an address may be carried now, or nil.
func (r *Roster) MayCarry(address ident.Address) error {
	const op = "carry connection"
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	for _, w := range r.rows {
		switch {
		case w.info.Address != address:
			continue
		case w.leaving():
			return fault.Newf(op, KindNoServer, "%s is leaving", w.info.ID)
		case r.ViewFunc().EvacuatedZones[w.info.Zone]:
			return fault.Newf(op, KindNoServer, "%s is in a zone out of service", w.info.ID)
		case w.pausedUntil > now:
			return fault.Newf(op, KindPaused, "%s wants no requests for %d ms", w.info.ID, w.pausedUntil-now)
		}
		return nil
	}
	return fault.Newf(op, KindNoServer, "no server has address %s", address)
}
