package roster

import (
	"math/rand/v2"

	"example.com/dotterelwell/internal/link/hasher"
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
	// cachedShare is the share of a shared prompt part that a server is expected to have in
	// its cache still after the part was sent there.
	cachedShare = 0.9
	// sameZoneSample and otherZoneSample are how many servers of this instance's zone and of
	// other zones are compared, besides servers that have the request's shared part cached.
	// The loads reported by other instances are some tenths of a second old: if every instance
	// compared all servers, all would send to the few servers that were idle in that report.
	sameZoneSample  = 8
	otherZoneSample = 4
)

var affinityHash = hasher.Hasher{Salt: "prompt"}

// choose returns the server that is expected to answer soonest, among a sample of the scratch
// rows, and the estimated work of the request there in milliseconds.
func (r *Roster) choose(want Want, now clock.Millis) (*row, float64) {
	part := r.markCached(want.SharedPart, now)
	owner := r.affinityOwner(part)
	start := r.randIntN(len(r.scratch))
	var best *row
	bestCost, bestWork := 0.0, 0.0
	sameZone, otherZone := 0, 0
	for i := range r.scratch {
		at := start + i
		if at >= len(r.scratch) {
			at -= len(r.scratch)
		}
		w := r.scratch[at]
		work := want.OwnWork + want.SharedWork
		switch {
		case w == owner, part != 0 && w.cachedInDecision == r.decision:
			work -= cachedShare * want.SharedWork
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
		cost := work + w.estimatedWait(now) + requestCost*float64(w.inFlight+w.peers.Requests) + failureCost*w.failureShare(now)
		if w.info.Zone != r.Zone {
			cost += remoteCost
		}
		if best == nil || cost < bestCost {
			best, bestCost, bestWork = w, cost, work
		}
	}
	return best, bestWork
}

// randIntN returns a random number in [0, n).
func (r *Roster) randIntN(n int) int {
	if r.RandIntNFunc != nil {
		return r.RandIntNFunc(n)
	}
	return rand.IntN(n)
}

// markCached starts a new decision and marks with it the rows to which this instance lately
// sent the shared part. It returns the hash of the part's name, or 0 for an empty name.
func (r *Roster) markCached(name string, now clock.Millis) (part uint64) {
	if name == "" {
		return 0
	}
	part = affinityHash.HashName(name)
	r.decision++
	r.placements.mark(part, r.decision, now)
	return part
}

// affinityOwner returns the scratch row with the highest rendezvous weight for a shared part.
// All instances compute the same owner, so that they send the part to the same server.
func (r *Roster) affinityOwner(part uint64) *row {
	if part == 0 {
		return nil
	}
	var best *row
	bestScore := uint64(0)
	for _, w := range r.scratch {
		if score := affinityHash.ScoreHashes(part, w.idHash); best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}
