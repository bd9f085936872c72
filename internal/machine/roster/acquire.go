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

// Side tells which releases of a service may take a request during a roll-out.
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
	// Exclude lists servers that are not to be used again.
	Exclude []ident.Server
	// Part names the part of the prompt that the request shares with others, for one
	// model; servers that have seen it are preferred. Empty for none.
	Part string
	// SharedWork is the server's time for reading the shared part, and OwnWork that for the
	// rest of the prompt, in milliseconds.
	SharedWork, OwnWork float64
	// SideFunc chooses the releases that may take the request, by the order in force. A
	// choice that is not strict gives way where that side has no server.
	SideFunc func(order backend.Rollout) (side Side, strict bool)
	// MayRunFunc is the last check, by the view in force as the slot is taken.
	MayRunFunc func(v *curator.View) error
}

// Slot is the right to send one request to one server.
type Slot struct {
	Server backend.Server
	// Target is set when the server runs the release that a roll-out brings in.
	Target bool

	roster   *Roster
	row      *row
	work     float64
	begun    bool
	released bool
	trial    bool // the first request after a pause that the server asked for
}

// Acquire takes a slot. It does not wait.
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
	alive := r.gather(view, want, now)
	if alive == 0 {
		return nil, fault.Newf(op, KindNoServer, "no server of %s is in service", want.Service)
	}
	if len(r.scratch) == 0 && r.allPaused() {
		return nil, fault.Newf(op, KindPaused, "%d servers of %s want no requests for %d ms", alive, want.Service, r.reopensAt-now)
	}
	if len(r.scratch) == 0 {
		return nil, fault.Newf(op, KindFull, "none of %d servers of %s may take a request now", alive, want.Service)
	}
	chosen, work := r.choose(want, now)
	chosen.inFlight++
	chosen.pending += work
	chosen.noteStart(now)
	if want.Part != "" {
		r.placements.note(affinityHash.Sum(want.Part), chosen, now)
	}
	trial := chosen.closedUntil > 0
	chosen.trial = chosen.trial || trial
	order, ordered := view.Rollouts[want.Service]
	return &Slot{Server: chosen.info, Target: ordered && order.Target == chosen.info.Release, roster: r, row: chosen, work: work, trial: trial}, nil
}

// Estimate returns how long a request would wait for its server and how long that would
// take to begin its answer then, in milliseconds, and false when no server may take it
// now.
func (r *Roster) Estimate(want Want) (wait, work float64, found bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	if r.gather(r.ViewFunc(), want, now) == 0 || len(r.scratch) == 0 {
		return 0, 0, false
	}
	w, work := r.choose(want, now)
	return w.waiting(now) + requestCost*float64(w.inFlight+w.peers.Requests), work, true
}

// gather fills scratch with the servers that may take the request, and returns how
// many are in service at all.
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
		return r.gatherSide(g, view, want, now, SideOld) // the new servers are cold
	}
	return alive
}

func (r *Roster) gatherSide(g *group, view *curator.View, want Want, now clock.Millis, side Side) int {
	order, ordered := view.Rollouts[want.Service]
	alive := 0
	r.reopensAt, r.otherwiseBusy = 0, false
	for _, w := range g.rows {
		if w.leaving() || w.lapsesAt > 0 && w.unreachable || !onSide(w, side, order) {
			continue
		}
		if len(view.EvacuatedZones) > 0 && view.EvacuatedZones[w.info.Zone] {
			continue
		}
		if !ordered && now-w.releaseSeen < unknownReleaseSpan {
			continue
		}
		alive++
		switch {
		case slices.Contains(want.Exclude, w.info.ID):
		case w.closed(now):
			r.noteClosed(w)
		case r.mayStart(w, now):
			r.scratch = append(r.scratch, w)
		default:
			r.otherwiseBusy = true
		}
	}
	r.preferHealthy(now)
	return alive
}

// noteClosed notes when a server that is left out takes requests again. That of a server
// with a first request on its way is not known.
func (r *Roster) noteClosed(w *row) {
	if w.trial {
		r.otherwiseBusy = true
	}
	if r.reopensAt == 0 || w.closedUntil < r.reopensAt {
		r.reopensAt = w.closedUntil
	}
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

// mayStart reports whether the server may get one more request as far as cold starts go.
func (r *Roster) mayStart(w *row, now clock.Millis) bool {
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
	return w.mayStartCold(now, r.coldQuota(w.info.ID, rate))
}

// coldQuota is this instance's part of the rate that a cold server bears. Parts are
// fixed by the set of instances alone, so that they hold without agreement.
func (r *Roster) coldQuota(id ident.Server, rate float64) int {
	instances := r.InstancesFunc()
	n := max(len(instances), 1)
	if quota := int(rate) / n; quota > 0 {
		return quota
	}
	if coldHash.Among(string(id), string(r.Instance), instances, int(rate)) {
		return 1
	}
	return 0
}

// preferHealthy leaves out servers that failed lately or are full, if others remain.
func (r *Roster) preferHealthy(now clock.Millis) {
	healthy := 0
	for _, w := range r.scratch {
		if now >= w.avoidUntil && now >= w.fullUntil && w.failureShare(now) < failingShare {
			healthy++
		}
	}
	if healthy == 0 || healthy == len(r.scratch) {
		return
	}
	r.scratch = slices.DeleteFunc(r.scratch, func(w *row) bool {
		return now < w.avoidUntil || now < w.fullUntil || w.failureShare(now) >= failingShare
	})
}

// Work is the estimated work of the request at the server, in milliseconds.
func (s *Slot) Work() float64 { return s.work }

// begin notes that the server has begun to answer, so that the prompt is read.
func (s *Slot) begin() {
	if !s.begun {
		s.begun = true
		s.row.pending -= s.work
	}
}

// Release gives the slot back with how the request ended. Releasing a slot again does
// nothing.
func (s *Slot) Release(result Result) {
	r := s.roster
	r.mu.Lock()
	if s.released {
		r.mu.Unlock()
		return
	}
	s.released = true
	s.begin()
	if s.trial {
		s.endTrial(false)
	}
	s.row.inFlight--
	warmup := clock.Millis(0)
	if config := r.ViewFunc().Config; config != nil {
		if service := config.Services[s.row.info.Service]; service != nil {
			warmup = service.Warmup
		}
	}
	s.row.learn(result, r.Clock.Now(), warmup)
	r.mu.Unlock()
	if r.OnFreed != nil {
		r.OnFreed()
	}
}
