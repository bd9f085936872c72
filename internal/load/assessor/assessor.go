// Package assessor decides how much work a request may find before it at a backend server, and until when it
// waits at this instance for a server with less.
//
// Servers work on prompts in the order in which they admitted them. What less urgent requests have given a server is
// in the way of an urgent request that arrives next; so the work before them is bounded by a share of the target that
// the urgent one has to meet.
package assessor

import "example.com/dotterelwell/internal/machine/clock"

const (
	// roomDivisor is the divisor of an urgent route's target that gives the work which less urgent requests
	// may find at a server: the rest of the target is for the urgent request's own work and the time until
	// instances hear of each other's.
	roomDivisor = 4
	// fullGap is the time between two requests of an instance that find room while the servers let requests wait as
	// long as room allows.
	fullGap clock.Millis = 100
)

// Gap returns the time until the next request of this instance may look for room, after one that found it: the longer,
// the longer the servers let requests wait.
func Gap(waited float64, room clock.Millis) clock.Millis {
	if room <= 0 {
		return 0
	}
	return clock.Millis(float64(fullGap) * min(waited/float64(room), 1))
}

// Rank is the priority and the first-byte target of a route.
type Rank struct {
	Priority int
	Target   clock.Millis
}

// Assessor holds the ranks of the routes to one service. Its zero value bounds nothing.
type Assessor struct{ ranks []Rank }

// Add adds a route.
func (a *Assessor) Add(rank Rank) { a.ranks = append(a.ranks, rank) }

// Room returns the longest expected wait at a server with which a request may be sent there, or zero for no bound:
// nothing is more urgent than the request.
func (a Assessor) Room(priority int) clock.Millis {
	room := clock.Millis(0)
	for _, rank := range a.ranks {
		if rank.Priority < priority && rank.Target > 0 && (room == 0 || rank.Target/roomDivisor < room) {
			room = rank.Target / roomDivisor
		}
	}
	return room
}

// Left returns the time against which another answer of a request is weighed, of which left is to its target: no more than
// the target of a more urgent route, and no more than the request's room once the servers' waits take half of it. The server
// time that it takes is taken from urgent requests.
func (a Assessor) Left(priority int, left clock.Millis, waited float64) clock.Millis {
	room := a.Room(priority)
	switch {
	case room == 0:
		return left
	case 2*waited >= float64(room):
		return min(left, room)
	}
	return min(left, roomDivisor*room)
}

// LatestStart returns the last moment to be sent with which a request that arrived at the given time is expected to
// begin its answer within its target, if servers let it wait as long as the latest ones. work is the estimated time
// for its prompt, in milliseconds. The wait comes twice where the answer of a first model may be dropped for another's.
func LatestStart(arrived, target clock.Millis, waited, work float64, models int) clock.Millis {
	return arrived + target - clock.Millis(work+waited*float64(min(max(models, 1), 2)))
}
