package roster

import (
	"math/rand/v2"

	"example.com/dotterelwell/internal/link/hasher"
	"example.com/dotterelwell/internal/machine/clock"
)

const (
	// requestCost is what each request in flight at a server costs a new one, in
	// milliseconds: tokens are made for all of them in turn.
	requestCost = 8.0
	// remoteCost is what a server in another zone costs, in milliseconds, for the bytes
	// between zones.
	remoteCost = 20.0
	// failureCost weighs a server's failure share, in milliseconds.
	failureCost = 2000.0
	// keptShare is the part of a shared prompt part that is expected to be in a server's
	// memory still when it was sent there before.
	keptShare = 0.9
	// nearSample and farSample are how many servers of the own zone and of other zones are
	// compared, besides those that have the request's prompt. What is known of others' work
	// is some tenths of a second old: if all instances compared all servers, they would all
	// send to the few that were idle then.
	nearSample = 8
	farSample  = 4
)

var affinityHash = hasher.Hasher{Salt: "prompt"}

// choose picks the row at which the request is answered soonest among a sample of the
// scratch rows, and returns the work that it causes there.
func (r *Roster) choose(want Want, now clock.Millis) (*row, float64) {
	part := r.markKept(want.Part, now)
	home := r.home(part)
	start := r.draw(len(r.scratch))
	var best *row
	bestCost, bestWork := 0.0, 0.0
	near, far := 0, 0
	for i := range r.scratch {
		at := start + i
		if at >= len(r.scratch) {
			at -= len(r.scratch)
		}
		w := r.scratch[at]
		work := want.OwnWork + want.SharedWork
		switch {
		case w == home, part != 0 && w.keptIn == r.decision:
			work -= keptShare * want.SharedWork
		case w.info.Zone == r.Zone:
			near++
			if near > nearSample {
				continue
			}
		default:
			far++
			if far > farSample {
				continue
			}
		}
		cost := work + w.waiting(now) + requestCost*float64(w.inFlight+w.peers.Requests) + failureCost*w.failureShare(now)
		if w.info.Zone != r.Zone {
			cost += remoteCost
		}
		if best == nil || cost < bestCost {
			best, bestCost, bestWork = w, cost, work
		}
	}
	return best, bestWork
}

// draw returns a random number below n.
func (r *Roster) draw(n int) int {
	if r.RandIntNFunc != nil {
		return r.RandIntNFunc(n)
	}
	return rand.IntN(n)
}

// markKept marks the rows that this instance sent a shared part to lately. It returns the
// hash of the part's name, or 0 for none.
func (r *Roster) markKept(name string, now clock.Millis) (part uint64) {
	if name == "" {
		return 0
	}
	part = affinityHash.Sum(name)
	r.decision++
	r.placements.mark(part, r.decision, now)
	return part
}

// home returns the scratch row of highest weight for a shared part: the one at which
// all instances look for it first.
func (r *Roster) home(part uint64) *row {
	if part == 0 {
		return nil
	}
	var best *row
	bestScore := uint64(0)
	for _, w := range r.scratch {
		if score := affinityHash.Mix(part, w.sum); best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}
