package registrar

import (
	"example.com/dotterelwell/internal/contract/chat"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
)

// Release returns the slot and records the result of the request. firstToken is the time to
// the first token, or to the answer of a plain service. Further calls do nothing.
func (s *Slot) Release(result Result, firstToken clock.Millis) {
	r := s.table
	r.mu.Lock()
	if s.released {
		r.mu.Unlock()
		return
	}
	s.released = true
	s.row.inFlight--
	warmth := r.recordResult(s, result, firstToken)
	r.mu.Unlock()
	r.notifyWarmer(s, warmth)
	if result == ResultRefused && len(s.row.info.Versions) > 0 && r.OnRefused != nil {
		r.OnRefused(s.Server, s.Address, s.epoch)
	}
	if r.OnFreed != nil {
		r.OnFreed()
	}
}

// finding is what the result of a request says about the server's warmth.
type finding int

const (
	findingNone finding = iota
	findingCold
	findingWarm
)

func (r *Registrar) recordResult(s *Slot, result Result, firstToken clock.Millis) finding {
	now := r.Clock.Now()
	row := s.row
	switch result {
	case ResultOK:
		row.backoff = 0
		row.limits.RecordSuccess(now, firstToken, s.inFlightAtStart, row.report.Limit)
	case ResultRefused:
		row.limits.RecordRefusal(now)
		r.backOff(row, now)
	case ResultUnreachable, ResultFailed:
		r.backOff(row, now)
	}
	if row.limits.SlowStreak() >= suspectColdAfter {
		row.limits.Restart(1)
		return findingCold
	}
	if result == ResultOK && r.countColdSuccess(s) {
		return findingWarm
	}
	return findingNone
}

// notifyWarmer passes a finding to the warmer. It must be called without the lock, because the
// warmer calls back into the table when a server's warmth changes.
func (r *Registrar) notifyWarmer(s *Slot, f finding) {
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

// backOff keeps requests from a server for a while: the backoff doubles with each failure in
// a row, up to maxBackoff.
func (r *Registrar) backOff(row *server, now clock.Millis) {
	row.backoff = min(max(2*row.backoff, initialBackoff), maxBackoff)
	row.backoffUntil = now + row.backoff
}

// countColdSuccess counts a successful answer of a cold server that reports no load, and
// reports whether the server has given enough of them in one cold epoch to count as warm.
func (r *Registrar) countColdSuccess(s *Slot) bool {
	if !s.Cold || s.row.reportAt > 0 {
		return false
	}
	if s.row.coldEpoch != s.epoch {
		s.row.coldEpoch = s.epoch
		s.row.coldSuccesses = 0
	}
	s.row.coldSuccesses++
	return s.row.coldSuccesses >= unreportedWarmAfter
}

// Report records a load report that came with an answer or a probe. epoch is the server's
// warmth epoch when the request or probe was sent: a report that the server is warm counts only
// if that epoch is still current.
func (r *Registrar) Report(address ident.Address, load chat.Load, epoch uint64) {
	r.mu.Lock()
	row := r.byAddress[address]
	if row == nil {
		r.mu.Unlock()
		return
	}
	row.report = load
	row.reportAt = r.Clock.Now()
	row.ownAtReport = row.inFlight
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

// Lend calls grant if this instance holds the warming duty of a cold server and the server may
// get another request, and reports whether it called it. It holds the lock during the call.
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

// WarmthChanged restarts the concurrency limit of a server whose warmth changed.
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
