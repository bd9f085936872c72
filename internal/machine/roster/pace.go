package roster

import (
	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/load/gauger"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
)

const (
	// maxPaced bounds the servers without requests in flight whose samples one message holds, and minPaces is
	// the least number of samples that is told.
	maxPaced = 16
	minPaces = 0.5
)

// RecordPace records the time between two events of a stream of the slot's server.
func (s *Slot) RecordPace(model declaration.ModelName, interval clock.Millis) {
	r := s.roster
	r.mu.Lock()
	defer r.mu.Unlock()
	key := string(s.row.info.Service) + "/" + string(model)
	mean := r.means[key]
	if mean == nil {
		if r.means == nil || len(r.means) >= maxMeans {
			r.means = map[string]*gauger.Mean{}
		}
		mean = &gauger.Mean{}
		r.means[key] = mean
	}
	if deviation, known := mean.Deviation(float64(interval)); known {
		s.row.paces.Add(deviation, r.Clock.Now())
	}
}

// maxMeans bounds the models whose mean pace is held.
const maxMeans = 1024

// Loads returns the load that this instance puts on each server where it has requests in
// flight, and its samples of the speed of these and some other servers.
func (r *Roster) Loads() map[ident.Server]Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	loads := map[ident.Server]Load{}
	paced := 0
	for id, w := range r.rows { // in random order, so that all are told in some rounds
		sum, count := w.paces.At(now)
		if count < minPaces || w.inFlight == 0 && paced == maxPaced {
			sum, count = 0, 0
		} else if w.inFlight == 0 {
			paced++
		}
		if w.inFlight > 0 || count > 0 {
			loads[id] = Load{Requests: w.inFlight, Pending: clock.Millis(w.pending), Pace: int(sum * paceScale), Paces: int(count + 0.5)}
		}
	}
	return loads
}
