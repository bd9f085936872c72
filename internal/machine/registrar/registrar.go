// Package registrar keeps the backend servers that this instance has read from the instance
// list, with their load, concurrency limits and warmth, and hands out slots at them.
//
// Acquire takes a slot in the same critical section as the last check that the request may
// run: version allowed and not withdrawn, zone not evacuated, server not leaving, cold limit
// kept. Nothing is sent to a server without a slot.
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
	// KindNoServer means that no server in service, in a zone that is not evacuated, has the
	// version or service.
	KindNoServer Kind = "no-server"
	// KindFull means that servers exist but none may take another request now.
	KindFull Kind = "full"
	// KindDenied means that Want.MayRunFunc rejected the request.
	KindDenied Kind = "denied"
)

// Error is the package's error type.
type Error = fault.Error[Kind]

// KindOf returns the kind of the error, or "" for an error of another package.
func KindOf(err error) Kind { return fault.KindOf[Kind](err) }

const (
	// maxReportAge is how long a load report is used.
	maxReportAge = 5 * clock.Second
	// initialBackoff is how long a server is avoided after a first failure or refusal.
	initialBackoff clock.Millis = 250
	// maxBackoff bounds the doubling of the backoff with each further failure in a row.
	maxBackoff = 8 * clock.Second
	// suspectColdAfter is the number of slow answers in a row after which a server counts as cold.
	suspectColdAfter = 3
	// unreportedWarmAfter is the number of successful answers after which a cold server that
	// reports no load counts as warm.
	unreportedWarmAfter = 8
)

// Want describes the server that a request needs: one version or one service.
type Want struct {
	Version declaration.Ref
	Service declaration.ServiceName
	// Exclude lists servers that have been tried. They are used again only when no other
	// server is left.
	Exclude []ident.Server
	// Prefix identifies the beginning of the prompt, for prefix-cache affinity; empty for none.
	Prefix string
	// MayRunFunc is the last check that the request may run; it gets the view that is current
	// as the slot is taken.
	MayRunFunc func(v *keeper.View) error
}

// Registrar is the table of servers. Set the exported fields before use. Its lock is taken
// before those of the keeper and the warmer, and is never held during I/O.
type Registrar struct {
	Clock *clock.Clock
	// Zone and Region identify where this instance runs.
	Zone   declaration.ZoneName
	Region declaration.RegionName
	// Instance identifies this instance; the subset of servers that it uses depends on it.
	Instance ident.Instance
	// SubsetSize bounds how many servers this instance uses for one version or service; zero
	// means no bound.
	SubsetSize int
	Picker     picker.Picker
	Warmer     *warmer.Warmer
	ViewFunc   func() *keeper.View
	// OnFreed, when set, is called without the lock when a server may have become usable.
	OnFreed func()
	// OnRefused, when set, is called without the lock for each refusal by an engine that this
	// instance expected to have capacity.
	OnRefused func(id ident.Server, address ident.Address, epoch uint64)

	mu        sync.Mutex
	servers   map[ident.Server]*server
	gone      map[ident.Server]bool
	byAddress map[ident.Address]*server
	byVersion map[declaration.Ref][]*server
	byService map[declaration.ServiceName][]*server
	// scratch and candidates hold the servers of the current choice, in the same order; they
	// are reused to avoid allocations.
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

	report        chat.Load
	reportAt      clock.Millis
	ownAtReport   int
	backoffUntil  clock.Millis
	backoff       clock.Millis
	coldEpoch     uint64
	coldSuccesses int
	wasWarm       bool
}

// Slot is the permission to send one request to one server. It must be released.
type Slot struct {
	Server  ident.Server
	Address ident.Address
	Zone    declaration.ZoneName
	// Cold is set when the server was cold as the slot was taken.
	Cold bool

	table           *Registrar
	row             *server
	epoch           uint64
	released        bool
	inFlightAtStart int
}

// Result tells how a request ended at a server.
type Result string

// Results.
const (
	ResultOK          Result = "ok"
	ResultRefused     Result = "refused"
	ResultUnreachable Result = "unreachable"
	ResultFailed      Result = "failed"
	// ResultAbandoned means that the request was given up; it says nothing about the server.
	ResultAbandoned Result = "abandoned"
)

// Acquire chooses a server and takes a slot at it. It does not wait.
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
		table: r, row: s, epoch: r.epoch(s), inFlightAtStart: s.inFlight,
	}
}

func (r *Registrar) epoch(s *server) uint64 {
	if r.Warmer == nil {
		return 0
	}
	return r.Warmer.Epoch(s.id)
}

// gather fills scratch and candidates with the servers that may take the request, and returns
// how many servers are in service, including busy ones.
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
		want.Exclude = nil // every server has been tried: allow repeats
	}
	for _, s := range rows {
		if s.leaving || view.ZoneOut(s.info.Zone) || now < s.backoffUntil || contains(want.Exclude, s.id) || !r.hasCapacity(view, s) {
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

// hasCapacity reports whether this instance may have another request in flight at s.
func (r *Registrar) hasCapacity(view *keeper.View, s *server) bool {
	if allowance := r.allowance(view, s); allowance.Cold {
		return s.inFlight < allowance.MaxRequests
	}
	return s.inFlight < s.limits.Limit()
}

// allowance returns how many requests this instance may have in flight at s while s is cold.
// A server of a service that declares no cold limit is never cold.
func (r *Registrar) allowance(view *keeper.View, s *server) warmer.Allowance {
	limit := coldLimit(view, s)
	if r.Warmer == nil || limit == 0 {
		return warmer.Allowance{}
	}
	return r.Warmer.Allowance(s.id, limit)
}

// coldLimit returns the declared limit of concurrent requests at s while it is cold: for an
// engine, the smallest limit of its versions and at least 1.
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

// load estimates the share of the server's limit that is in use by this instance and, if a
// recent load report exists, by other instances.
func (s *server) load(now clock.Millis) float64 {
	limit := s.limits.Limit()
	others := 0
	if s.reportAt > 0 && now-s.reportAt < maxReportAge && s.report.Limit > 0 {
		limit = s.report.Limit
		others = max(s.report.Running+s.report.Queued-s.ownAtReport, 0)
	}
	return float64(s.inFlight+others) / float64(limit)
}

// normaliseDelays divides each delay by the smallest known delay.
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
