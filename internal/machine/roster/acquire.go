package roster

import (
	"slices"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/backend"
	"example.com/dotterelwell/internal/link/hasher"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/zone/curator"
)

var coldHash = hasher.Hasher{Salt: "cold"}

// Side selects the releases of a service that may take a request during a roll-out.
type Side string

// Sides.
const (
	SideAny Side = ""
	SideOld Side = "old"
	SideNew Side = "new"
)

// Want describes the server that a request needs.
type Want struct {
	Service declaration.ServiceName
	// Exclude lists servers that must not be used, for example those already tried.
	Exclude []ident.Server
	// SharedPart identifies the part of the prompt that the request shares with other
	// requests to the same model; servers that were sent the part before are preferred.
	// Empty for none.
	SharedPart string
	// SharedWork and OwnWork are the estimated server times, in milliseconds, for processing
	// the shared part and the rest of the prompt.
	SharedWork, OwnWork float64
	// CopyWork is how long a server takes to copy the shared part from another server, in milliseconds; zero if
	// the service's servers can't.
	CopyWork float64
	// Room, if it is not zero, is the longest expected wait at the server with which the request may be sent.
	Room clock.Millis
	// SideFunc chooses the releases that may take the request under the current roll-out
	// order. If strict is false, another side may be used when the chosen one has no usable
	// server.
	SideFunc func(order backend.Rollout) (side Side, strict bool)
	// MayRunFunc is the last check that the request may run; it gets the view that is current
	// as the slot is taken.
	MayRunFunc func(v *curator.View) error
}

// Slot is the permission to send one request to one server. It must be released.
type Slot struct {
	Server backend.Server
	// OnTargetRelease is set when the server runs the target release of the current roll-out.
	OnTargetRelease bool
	// CopyFrom is the address of the server from which Server is to copy the shared part; empty for none.
	CopyFrom ident.Address

	roster     *Roster
	row        *row
	acquiredAt clock.Millis
	work       float64
	prefilled  bool
	released   bool
	trial      bool // first request after a pause that the server asked for, as in a half-open circuit breaker
}

// Acquire chooses a server and takes a slot at it. It does not wait.
func (r *Roster) Acquire(want Want) (*Slot, error) {
	const op = "acquire slot"
	r.mu.Lock()
	defer r.mu.Unlock()
	view := r.ViewFunc()
	if want.MayRunFunc != nil {
		if err := want.MayRunFunc(view); err != nil {
			return nil, fault.New(op, KindDenied, err)
		}
	}
	now := r.Clock.Now()
	if g := r.services[want.Service]; g != nil {
		g.lastWantedAt = now
	}
	alive := r.gather(view, want, now)
	if alive == 0 {
		return nil, fault.Newf(op, KindNoServer, "no server of %s is in service", want.Service)
	}
	if len(r.scratch) == 0 && r.leftOut.onlyPausedOrLimited() {
		return nil, fault.Newf(op, KindPaused, "%d servers of %s want no requests for %d ms", alive, want.Service, r.leftOut.retryAfter(now))
	}
	if len(r.scratch) == 0 {
		return nil, fault.Newf(op, KindFull, "none of %d servers of %s may take a request now", alive, want.Service)
	}
	chosen := r.choose(want, now)
	w := chosen.row
	if err := w.checkRoom(want, now); err != nil {
		return nil, err
	}
	w.inFlight++
	r.recordPlacement(want, chosen, now)
	w.pending += chosen.work
	r.services[want.Service].sent.add(chosen.work)
	w.recordStart(now)
	r.useLimit(w, now)
	trial := w.pausedUntil > 0
	w.trial = w.trial || trial
	order, ordered := view.Rollouts[want.Service]
	onTarget := ordered && order.Target == w.info.Release
	slot := &Slot{Server: w.info, OnTargetRelease: onTarget, roster: r, row: w, acquiredAt: now, work: chosen.work, trial: trial}
	if chosen.source != nil {
		slot.CopyFrom = chosen.source.info.Address
	}
	return slot, nil
}

// Estimate returns, in milliseconds, how long a request would wait at the server that would be
// chosen for it, and how long the server would then take to begin the answer. It returns false
// when no server may take the request now.
func (r *Roster) Estimate(want Want) (wait, work float64, found bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	if r.gather(r.ViewFunc(), want, now) == 0 || len(r.scratch) == 0 {
		return 0, 0, false
	}
	chosen := r.choose(want, now)
	w := chosen.row
	return w.estimatedWait(now) + requestCost*float64(w.inFlight+w.peers.Requests), chosen.work, true
}

// gather fills scratch with the servers that may take the request, and returns how many
// servers are in service, including busy and paused ones.
func (r *Roster) gather(view *curator.View, want Want, now clock.Millis) int {
	r.scratch = r.scratch[:0]
	g := r.services[want.Service]
	if g == nil {
		return 0
	}
	order, ordered := view.Rollouts[want.Service]
	if !ordered || want.SideFunc == nil {
		return r.gatherSide(g, view, want, now, SideAny)
	}
	side, strict := want.SideFunc(order)
	alive := r.gatherSide(g, view, want, now, side)
	switch {
	case alive == 0 && !strict:
		return r.gatherSide(g, view, want, now, SideAny)
	case len(r.scratch) == 0 && side == SideNew && !strict:
		return r.gatherSide(g, view, want, now, SideOld) // the new servers are cold, paused or excluded
	}
	return alive
}

func (r *Roster) gatherSide(g *group, view *curator.View, want Want, now clock.Millis, side Side) int {
	order, ordered := view.Rollouts[want.Service]
	alive := 0
	part, totalWait := partOf(want), 0.0
	r.homes.Reset()
	r.leftOut = leftOut{}
	fleet := r.fleet()
	withdrawn := view.Withdrawn[want.Service]
	factor := g.updateBrittle(now)
	for _, w := range g.rows {
		if w.leaving() || w.expiresAt > 0 && w.unreachable || !onSide(w, side, order) || withdrawn[w.info.Release] {
			continue
		}
		if len(view.EvacuatedZones) > 0 && view.EvacuatedZones[w.info.Zone] {
			continue
		}
		if !ordered && now-w.releaseSeen < unknownReleaseDelay {
			continue
		}
		alive++
		if part != 0 {
			r.homes.Offer(w, affinityHash.ScoreHashes(uint64(part), w.idHash))
		}
		totalWait += w.estimatedWait(now)
		switch {
		case slices.Contains(want.Exclude, w.info.ID):
		case w.paused(now):
			r.leftOut.addPaused(w)
		case !r.withinColdLimit(w, now):
			r.leftOut.otherwise = true
		case !r.withinBrittleBound(w, factor, fleet, now):
			r.leftOut.otherwise = true
		default:
			if allowance := w.allowance(fleet, now); allowance.NextAt > now || allowance.Held == 0 {
				r.leftOut.addLimited(w, allowance)
				continue
			}
			r.scratch = append(r.scratch, w)
		}
	}
	r.meanWait = totalWait / float64(max(alive, 1))
	r.preferHealthy(now)
	return alive
}

func onSide(w *row, side Side, order backend.Rollout) bool {
	switch side {
	case SideOld:
		return w.info.Release != order.Target
	case SideNew:
		return w.info.Release == order.Target
	}
	return true
}

// withinColdLimit reports whether the server may get another request without exceeding the
// rate limit of a cold server. A server that is not cold always may.
func (r *Roster) withinColdLimit(w *row, now clock.Millis) bool {
	if !w.cold(now) {
		return true
	}
	rate := 0.0
	if r.ColdRateFunc != nil {
		rate = r.ColdRateFunc(w.info.Service)
	}
	if rate <= 0 {
		return true
	}
	return w.withinColdQuota(now, r.coldQuota(w.info.ID, rate))
}

// coldQuota returns this instance's share of the request rate allowed at a cold server. Shares
// follow from the set of instances alone, so that the limit holds without coordination.
func (r *Roster) coldQuota(id ident.Server, rate float64) int {
	if !r.counted() {
		return 0
	}
	instances := r.InstancesFunc()
	n := max(len(instances), 1)
	if quota := int(rate) / n; quota > 0 {
		return quota
	}
	if coldHash.InTop(string(id), string(r.Instance), instances, int(rate)) {
		return 1
	}
	return 0
}

// preferHealthy removes the servers from scratch that are in backoff, full or failing, and then those
// that are only reached through peers, if others remain.
func (r *Roster) preferHealthy(now clock.Millis) {
	r.prefer(func(w *row) bool {
		return now >= w.backoffUntil && now >= w.fullUntil && w.failureShare(now) < failingShare
	})
	if r.LostFunc != nil {
		r.prefer(func(w *row) bool { return !r.LostFunc(w.info.Address) })
	}
}

// prefer removes the servers from scratch that are not preferred, if others remain.
func (r *Roster) prefer(preferred func(w *row) bool) {
	n := 0
	for _, w := range r.scratch {
		if preferred(w) {
			n++
		}
	}
	if n == 0 || n == len(r.scratch) {
		return
	}
	r.scratch = slices.DeleteFunc(r.scratch, func(w *row) bool { return !preferred(w) })
}

// Work returns the estimated work of the request at the server, in milliseconds.
func (s *Slot) Work() float64 { return s.work }

// markPrefilled records that the server has begun to answer: it has processed the prompt, so
// the request's work is no longer pending.
func (s *Slot) markPrefilled() {
	if !s.prefilled {
		s.prefilled = true
		s.row.pending -= s.work
	}
}

// Release returns the slot and records the result of the request. Further calls do nothing.
func (s *Slot) Release(result Result) {
	r := s.roster
	r.mu.Lock()
	if s.released {
		r.mu.Unlock()
		return
	}
	s.released = true
	s.markPrefilled()
	if s.trial {
		s.endTrial(false)
	}
	s.row.inFlight--
	if g := r.services[s.row.info.Service]; g != nil && (result == ResultNotRun || result == ResultUnreachable) {
		g.sent.remove(s.work) // no demand that a server met: another attempt follows
	}
	warmup := clock.Millis(0)
	if config := r.ViewFunc().Config; config != nil {
		if service := config.Services[s.row.info.Service]; service != nil {
			warmup = service.Warmup
		}
	}
	s.row.recordResult(result, r.Clock.Now(), warmup)
	r.mu.Unlock()
	if r.OnFreed != nil {
		r.OnFreed()
	}
}
