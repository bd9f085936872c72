// Package ranker computes the urgency that a request carries to a backend server, which starts more urgent
// requests first. The levels of urgency are divided among the priorities in use; within a priority, a request
// whose latest start is near goes before one that has time, and one that has missed its target goes last.
package ranker

import (
	"slices"

	"example.com/dotterelwell/internal/machine/clock"
)

// levels is the number of levels of urgency; level 0 is the most urgent.
const levels = 10

// minWidth is the least number of levels of a priority at which the order within the priority is told.
const minWidth = 2

// Standing is what the place of a request among the others depends on.
type Standing struct {
	Priority int
	// Resumed is set for a stream that the caller has received a part of, Repeated for another attempt of a
	// request that no part of an answer was forwarded for.
	Resumed, Repeated bool
	// Slack is the time until the latest start with which the answer still begins within Target, negative after it.
	Slack, Target clock.Millis
}

// Ranker maps the standing of requests to levels of urgency. The zero value tells the priority alone.
type Ranker struct {
	priorities []int
	width      int
}

// New returns a Ranker for a configuration's priorities, in any order and with repetitions.
func New(priorities []int) Ranker {
	sorted := slices.Sorted(slices.Values(priorities))
	sorted = slices.Compact(sorted)
	if len(sorted) == 0 || levels/len(sorted) < minWidth {
		return Ranker{}
	}
	return Ranker{priorities: sorted, width: levels / len(sorted)}
}

// Urgency returns the level of a request, from 0 to 9. No request has a level before one of a more urgent priority.
func (r Ranker) Urgency(s Standing) int {
	at, found := slices.BinarySearch(r.priorities, s.Priority)
	if !found {
		return min(max(s.Priority, 0), levels-1)
	}
	return at*r.width + r.within(s)
}

// within returns the level within the priority, below the width.
func (r Ranker) within(s Standing) int {
	last := r.width - 1
	switch {
	case s.Resumed:
		return 0
	case s.Slack < 0:
		return last
	case s.Repeated:
		return last - 1
	case s.Target <= 0:
		return 0
	}
	return min(int(s.Slack)*last/int(s.Target), last-1)
}
