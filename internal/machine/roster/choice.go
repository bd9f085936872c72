package roster

import (
	"math/rand/v2"

	"example.com/dotterelwell/internal/machine/clock"
)

const (
	// requestCost is the cost of each request in flight at a server, in milliseconds: the
	// server generates tokens for all of its requests in turn.
	requestCost = 8.0
	// remoteCost is the cost of a server in another zone, in milliseconds; it accounts for
	// the traffic between zones.
	remoteCost = 20.0
	// failureCost is the cost, in milliseconds, of a failure share of 1.
	failureCost = 2000.0
	// sameZoneSample and otherZoneSample are how many servers of this instance's zone and of
	// other zones are compared, besides servers that have the request's shared part cached.
	// The loads reported by other instances are some tenths of a second old: if every instance
	// compared all servers, all would send to the few servers that were idle in that report.
	sameZoneSample  = 8
	otherZoneSample = 4
)

// choice is a server for a request.
type choice struct {
	row *row
	// work is the estimated work of the request there, in milliseconds, and source the server from which it is to
	// copy the shared part, nil for none.
	work   float64
	source *row
}

// choose returns the server that is expected to answer soonest, among a sample of the scratch
// rows.
func (r *Roster) choose(want Want, now clock.Millis) choice {
	home := r.locate(want, now)
	delay := r.delayOfOthers(want)
	start := r.randIntN(len(r.scratch))
	var best choice
	bestCost := 0.0
	sameZone, otherZone := 0, 0
	for i := range r.scratch {
		at := start + i
		if at >= len(r.scratch) {
			at -= len(r.scratch)
		}
		w := r.scratch[at]
		switch {
		case home != nil && (w.homeIn == r.decision || w.locatedIn == r.decision):
		case w.info.Zone == r.Zone:
			sameZone++
			if sameZone > sameZoneSample {
				continue
			}
		default:
			otherZone++
			if otherZone > otherZoneSample {
				continue
			}
		}
		work, source := r.workAt(w, home, want, now)
		cost := work + w.estimatedWait(now) + requestCost*float64(w.inFlight+w.peers.Requests) + delay*r.loadOf(w, home, work, want) + failureCost*w.failureShare(now)
		if w.info.Zone != r.Zone {
			cost += remoteCost
		}
		if best.row == nil || cost < bestCost {
			best, bestCost = choice{row: w, work: work, source: source}, cost
		}
	}
	return best
}

// randIntN returns a random number in [0, n).
func (r *Roster) randIntN(n int) int {
	if r.RandIntNFunc != nil {
		return r.RandIntNFunc(n)
	}
	return rand.IntN(n)
}
