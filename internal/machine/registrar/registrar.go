// Package registrar keeps the backend servers that this instance knows, with their
// load, limits and warmth, and hands out slots at them.
//
// A slot is taken in one critical section with the last check that the request may
// run there: version allowed and not withdrawn, zone in, server not leaving, cold
// limit kept. Nothing is sent without a slot.
package registrar

import (
	"sync"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/chat"
	"example.com/dotterelwell/internal/contract/lister"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/request/limiter"
	"example.com/dotterelwell/internal/request/picker"
	"example.com/dotterelwell/internal/zone/keeper"
	"example.com/dotterelwell/internal/zone/warmer"
)

// Kind classifies the package's errors.
type Kind string

// Kinds of errors.
const (
	// KindNoServer means that no live server in a zone that is in serves the request.
	KindNoServer Kind = "no-server"
	// KindFull means that servers exist and none has room now.
	KindFull Kind = "full"
	// KindDenied means that the last check forbade the request.
	KindDenied Kind = "denied"
)

// Error is the package's error type.
type Error = fault.Error[Kind]

// KindOf returns the kind of the error, or "" for an error of another package.
func KindOf(err error) Kind { return fault.KindOf[Kind](err) }

const (
	// reportAge is how long a load report counts.
	reportAge = 5 * clock.Second
	// avoidSpan is how long a server that could not be reached is avoided, at first.
	avoidSpan clock.Millis = 250
	// maxAvoidSpan bounds the doubling of avoidSpan.
	maxAvoidSpan = 8 * clock.Second
	// suspectAfter is the number of slow answers in a row that make a server suspect of being cold.
	suspectAfter = 3
	// unreportedWarmAfter is the number of answers that warm a server that reports no load.
	unreportedWarmAfter = 8
)

// Want describes the server that a request needs: one version or one service.
type Want struct {
	Version declaration.Ref
	Service declaration.ServiceName
	// Exclude lists servers that have been tried.
	Exclude []ident.Server
	// Prefix identifies the head of the prompt for cache affinity; empty for none.
	Prefix string
	// MayRunFunc is the last check, made against the view in force when the slot is taken.
	MayRunFunc func(v *keeper.View) error
}

// Registrar is the table of servers. Set the exported fields before use. Its lock
// is taken before those of the keeper and the warmer, and never held over I/O.
type Registrar struct {
	Clock *clock.Clock
	// Zone and Region are the instance's own.
	Zone   declaration.ZoneName
	Region declaration.RegionName
	// Instance seeds the choice of a subset.
	Instance ident.Instance
	// SubsetSize bounds the servers used for one version; zero for no bound.
	SubsetSize int
	Picker     picker.Picker
	Warmer     *warmer.Warmer
	ViewFunc   func() *keeper.View
	// OnFreed, when set, is called without the lock when room may have appeared.
	OnFreed func()
	// OnRefused, when set, is told without the lock of each refusal by an engine that
	// was thought to have room.
	OnRefused func(id ident.Server, address ident.Address, epoch uint64)

	mu        sync.Mutex
	servers   map[ident.Server]*server
	gone      map[ident.Server]bool
	byAddress map[ident.Address]*server
	byVersion map[declaration.Ref][]*server
	byService map[declaration.ServiceName][]*server
	// scratch avoids an allocation for each choice.
	scratch    []*server
	candidates []picker.Candidate
}

// server is one row of the table.
type server struct {
	id       ident.Server
	info     lister.Instance
	leaving  bool
	inFlight int
	limits   limiter.Limiter

	report     chat.Load
	reportAt   clock.Millis
	ownAtTime  int
	avoidUntil clock.Millis
	avoidSpan  clock.Millis
	coldEpoch  uint64
	coldWins   int
	wasWarm    bool
}

// Slot is the right to send one request to one server.
type Slot struct {
	Server  ident.Server
	Address ident.Address
	Zone    declaration.ZoneName
	// Cold is set when the server was cold as the slot was taken.
	Cold bool

	table    *Registrar
	row      *server
	epoch    uint64
	released bool
	started  int
}

// Result tells how a request ended at a server.
type Result string

// Results.
const (
	ResultOK          Result = "ok"
	ResultRefused     Result = "refused"
	ResultUnreachable Result = "unreachable"
	ResultFailed      Result = "failed"
	// ResultAbandoned says nothing about the server.
	ResultAbandoned Result = "abandoned"
)

// Acquire takes a slot. It does not wait.
func (r *Registrar) Acquire(want Want) (*Slot, error) {
	const op = "acquire slot"
	r.mu.Lock()
	defer r.mu.Unlock()
	view := r.ViewFunc()
	if want.MayRunFunc != nil {
		if err := want.MayRunFunc(view); err != nil {
			return nil, fault.New(op, KindDenied, err)
		}
	}
	alive := r.gather(view, want)
	if alive == 0 {
		return nil, fault.Newf(op, KindNoServer, "no server in service for %s%s", want.Version, want.Service)
	}
	i := r.Picker.Pick(r.candidates, want.Prefix != "")
	if i < 0 {
		return nil, fault.Newf(op, KindFull, "%d servers for %s%s have no room", alive, want.Version, want.Service)
	}
	return r.take(view, r.scratch[i]), nil
}

func (r *Registrar) take(view *keeper.View, s *server) *Slot {
	s.inFlight++
	return &Slot{
		Server: s.id, Address: s.info.Address, Zone: s.info.Zone,
		Cold:  r.allowance(view, s).Cold,
		table: r, row: s, epoch: r.epoch(s), started: s.inFlight,
	}
}

func (r *Registrar) epoch(s *server) uint64 {
	if r.Warmer == nil {
		return 0
	}
	return r.Warmer.Epoch(s.id)
}

// gather fills the scratch lists with servers that have room and returns how many
// servers are in service at all.
func (r *Registrar) gather(view *keeper.View, want Want) int {
	r.scratch = r.scratch[:0]
	r.candidates = r.candidates[:0]
	rows := r.byVersion[want.Version]
	if want.Service != "" {
		rows = r.byService[want.Service]
	}
	now := r.Clock.Now()
	alive, untried := 0, 0
	for _, s := range rows {
		if s.leaving || view.ZoneOut(s.info.Zone) {
			continue
		}
		alive++
		if !contains(want.Exclude, s.id) {
			untried++
		}
	}
	if untried == 0 {
		want.Exclude = nil // every server has been tried, so any may be tried again
	}
	for _, s := range rows {
		if s.leaving || view.ZoneOut(s.info.Zone) || now < s.avoidUntil || contains(want.Exclude, s.id) || !r.hasRoom(view, s) {
			continue
		}
		r.scratch = append(r.scratch, s)
		r.candidates = append(r.candidates, r.candidate(s, want, now))
	}
	normaliseDelays(r.candidates)
	return alive
}

func contains(list []ident.Server, id ident.Server) bool {
	for _, s := range list {
		if s == id {
			return true
		}
	}
	return false
}

// hasRoom reports whether the instance may have one more request at s.
func (r *Registrar) hasRoom(view *keeper.View, s *server) bool {
	if allowance := r.allowance(view, s); allowance.Cold {
		return s.inFlight < allowance.MaxRequests
	}
	return s.inFlight < s.limits.Limit()
}

// allowance returns the room at s while it is cold. A server of a service that
// declares no cold limit is never cold.
func (r *Registrar) allowance(view *keeper.View, s *server) warmer.Allowance {
	limit := coldLimit(view, s)
	if r.Warmer == nil || limit == 0 {
		return warmer.Allowance{}
	}
	return r.Warmer.Allowance(s.id, limit)
}

// coldLimit returns the declared number of requests that s bears while cold.
func coldLimit(view *keeper.View, s *server) int {
	if s.info.Service != "" {
		service, _ := view.Service(s.info.Service)
		return service.ColdLimit
	}
	limit := 0
	for _, ref := range s.info.Versions {
		v := view.VersionOf(ref)
		if v == nil {
			continue
		}
		if limit == 0 || v.ColdLimit < limit {
			limit = v.ColdLimit
		}
	}
	return max(limit, 1)
}

func (r *Registrar) candidate(s *server, want Want, now clock.Millis) picker.Candidate {
	c := picker.Candidate{
		InFlight: s.inFlight,
		Load:     s.load(now),
		Delay:    s.limits.Delay(),
		SameZone: s.info.Zone == r.Zone,
	}
	if want.Prefix != "" {
		c.Affinity = affinityHash.Score(want.Prefix, string(s.id))
	}
	return c
}

// load estimates the share of the server's limit in use, by this instance and others.
func (s *server) load(now clock.Millis) float64 {
	limit := s.limits.Limit()
	others := 0
	if s.reportAt > 0 && now-s.reportAt < reportAge && s.report.Limit > 0 {
		limit = s.report.Limit
		others = max(s.report.Running+s.report.Queued-s.ownAtTime, 0)
	}
	return float64(s.inFlight+others) / float64(limit)
}

// normaliseDelays divides each delay by the smallest known one.
func normaliseDelays(candidates []picker.Candidate) {
	smallest := 0.0
	for _, c := range candidates {
		if c.Delay > 0 && (smallest == 0 || c.Delay < smallest) {
			smallest = c.Delay
		}
	}
	if smallest == 0 {
		return
	}
	for i := range candidates {
		candidates[i].Delay /= smallest
	}
}
