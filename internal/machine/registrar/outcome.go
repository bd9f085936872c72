package registrar

import (
	"example.com/dotterelwell/internal/contract/chat"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
)

// Release gives the slot back with what became of the request. firstToken is the
// time to the first token, or to the answer of a plain service. Releasing a slot
// again does nothing.
func (s *Slot) Release(result Result, firstToken clock.Millis) {
	r := s.table
	r.mu.Lock()
	if s.released {
		r.mu.Unlock()
		return
	}
	s.released = true
	s.row.inFlight--
	warmth := r.learn(s, result, firstToken)
	r.mu.Unlock()
	r.tellWarmer(s, warmth)
	if result == ResultRefused && len(s.row.info.Versions) > 0 && r.OnRefused != nil {
		r.OnRefused(s.Server, s.Address, s.epoch)
	}
	if r.OnFreed != nil {
		r.OnFreed()
	}
}

// finding is what a request's end says of its server's warmth.
type finding int

const (
	findingNone finding = iota
	findingCold
	findingWarm
)

func (r *Registrar) learn(s *Slot, result Result, firstToken clock.Millis) finding {
	now := r.Clock.Now()
	row := s.row
	switch result {
	case ResultOK:
		row.avoidSpan = 0
		row.limits.Succeeded(now, firstToken, s.started, row.report.Limit)
	case ResultRefused:
		row.limits.Refused(now)
		r.avoid(row, now)
	case ResultUnreachable, ResultFailed:
		r.avoid(row, now)
	}
	if row.limits.Slow() >= suspectAfter {
		row.limits.Restart(1)
		return findingCold
	}
	if result == ResultOK && r.countColdWin(s) {
		return findingWarm
	}
	return findingNone
}

// tellWarmer passes a finding on. It must be called without the lock, because the
// warmer reports changes back to the table.
func (r *Registrar) tellWarmer(s *Slot, f finding) {
	if r.Warmer == nil {
		return
	}
	switch f {
	case findingCold:
		r.Warmer.MarkCold(s.Server)
	case findingWarm:
		r.Warmer.MarkWarm(s.Server, s.epoch)
	}
}

// avoid keeps requests from a server for a while, longer each time in a row.
func (r *Registrar) avoid(row *server, now clock.Millis) {
	row.avoidSpan = min(max(2*row.avoidSpan, avoidSpan), maxAvoidSpan)
	row.avoidUntil = now + row.avoidSpan
}

// countColdWin reports whether a server that states no load has given enough
// answers in one cold epoch to count as warm.
func (r *Registrar) countColdWin(s *Slot) bool {
	if !s.Cold || s.row.reportAt > 0 {
		return false
	}
	if s.row.coldEpoch != s.epoch {
		s.row.coldEpoch = s.epoch
		s.row.coldWins = 0
	}
	s.row.coldWins++
	return s.row.coldWins >= unreportedWarmAfter
}

// Report takes in a load report that came with an answer or a probe. A report of
// warmth counts only in the epoch in which the question was asked.
func (r *Registrar) Report(address ident.Address, load chat.Load, epoch uint64) {
	r.mu.Lock()
	row := r.byAddress[address]
	if row == nil {
		r.mu.Unlock()
		return
	}
	row.report = load
	row.reportAt = r.Clock.Now()
	row.ownAtTime = row.inFlight
	if load.State == chat.LoadLeaving {
		row.leaving = true
	}
	id := row.id
	r.mu.Unlock()
	r.reportWarmth(id, load, epoch)
}

func (r *Registrar) reportWarmth(id ident.Server, load chat.Load, epoch uint64) {
	if r.Warmer == nil {
		return
	}
	switch load.State {
	case chat.LoadCold:
		r.Warmer.MarkCold(id)
	case chat.LoadWarm:
		if r.Warmer.DutyFunc != nil && r.Warmer.DutyFunc(id).Held {
			r.Warmer.MarkWarm(id, epoch)
		}
	}
}

// Lend calls grant while one more request has room at a cold server whose duty this
// instance holds, and reports whether it did.
func (r *Registrar) Lend(id ident.Server, grant func()) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	row := r.servers[id]
	if row == nil || row.leaving || r.Warmer == nil || !r.Warmer.DutyFunc(id).Held {
		return false
	}
	allowance := r.allowance(r.ViewFunc(), row)
	if !allowance.Cold || row.inFlight >= allowance.MaxRequests {
		return false
	}
	grant()
	return true
}

// Epoch returns the warmth epoch of the server at address.
func (r *Registrar) Epoch(address ident.Address) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	row := r.byAddress[address]
	if row == nil {
		return 0
	}
	return r.epoch(row)
}

// WarmthChanged restarts the limit of a server whose warmth changed.
func (r *Registrar) WarmthChanged(id ident.Server, warm bool) {
	r.mu.Lock()
	row := r.servers[id]
	if row != nil && warm != row.wasWarm {
		row.wasWarm = warm
		row.limits.Restart(1)
	}
	r.mu.Unlock()
	if warm && r.OnFreed != nil {
		r.OnFreed()
	}
}
