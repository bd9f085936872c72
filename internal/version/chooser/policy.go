package chooser

import (
	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/machine/clock"
)

// minPassLater is the least probability of meeting the target for which an escalation is
// worth its cost.
const minPassLater = 0.08

// meanMargin is how far the mean rating of a class must lie above its target for versions to
// be chosen by their expected rating instead of its lower bound.
const meanMargin = 0.005

// cheapestMeeting returns the cheapest version that meets the target, or the one with the
// highest expected rating when none does. While the mean rating of the class is less than
// meanMargin above the target, a version meets the target only by the lower bound of its
// estimate. Above that, its expected rating is enough: if that estimate is too high, the mean
// rating of the class falls and the lower bounds apply again.
func cheapestMeeting(target declaration.Quality, list []candidate) *candidate {
	useMean := classMean(list) >= float64(target)+meanMargin
	var cheapest *candidate
	best := &list[0]
	for i := range list {
		c := &list[i]
		meets := c.estimate.Low >= float64(target) || useMean && c.estimate.Mean >= float64(target)
		if meets && (cheapest == nil || c.cost < cheapest.cost) {
			cheapest = c
		}
		if c.estimate.Mean > best.estimate.Mean {
			best = c
		}
	}
	if cheapest != nil {
		return cheapest
	}
	return best
}

// classMean returns the mean rating of the class's recent answers, or 0 without any answer.
func classMean(list []candidate) float64 {
	rate, quality := 0.0, 0.0
	for i := range list {
		e := list[i].estimate
		rate += e.AnswersPerMinute
		quality += e.AnswersPerMinute * e.Mean
	}
	if rate == 0 {
		return 0
	}
	return quality / rate
}

// cheapestCascade returns the version to try first so that the expected cost of the whole
// cascade is least. After the first attempt the other versions are tried in the order of cost
// over probability of success, which is the cheapest order of independent attempts.
func cheapestCascade(list []candidate) *candidate {
	var order ranking
	order.fill(list)
	best, bestCost := &list[0], 0.0
	for i := range list {
		total := list[i].cost + (1-list[i].passFirst)*order.restCost(list, i)
		if i == 0 || total < bestCost {
			best, bestCost = &list[i], total
		}
	}
	return best
}

// ranking orders candidates by cost over probability of success as a later attempt. It has a
// fixed size, so that it can live on the caller's stack.
type ranking struct {
	index [maxCandidates]uint8
	n     int
}

// fill uses insertion sort, which is fast for the few versions of a route.
func (r *ranking) fill(list []candidate) {
	r.n = len(list)
	for i := range list {
		position := i
		for ; position > 0; position-- {
			other := &list[r.index[position-1]]
			if other.cost*list[i].passLater <= list[i].cost*other.passLater {
				break
			}
			r.index[position] = r.index[position-1]
		}
		r.index[position] = uint8(i)
	}
}

// restCost returns the expected cost of trying all versions except skip in order until one
// meets the target.
func (r *ranking) restCost(list []candidate, skip int) float64 {
	cost, reachProbability := 0.0, 1.0
	for _, index := range r.index[:r.n] {
		c := &list[index]
		if int(index) == skip || c.passLater < minPassLater {
			continue
		}
		cost += reachProbability * c.cost
		reachProbability *= 1 - c.passLater
	}
	return cost
}

// mostLikely returns the version that is most likely to meet the target as the first attempt.
func mostLikely(list []candidate) *candidate {
	best := &list[0]
	for i := range list {
		if list[i].passFirst > best.passFirst {
			best = &list[i]
		}
	}
	return best
}

// hasTimeForBoth reports whether the deadline leaves time for an attempt at second after an
// answer of first that is below the target.
func (c *Chooser) hasTimeForBoth(q *Query, first, second *candidate) bool {
	if q.Deadline == 0 {
		return true
	}
	need := clock.Millis(first.estimate.AnswerTime + second.estimate.AnswerTime)
	return c.Clock.Now()+need <= q.Deadline
}

// maybeExplore returns best, except for the route's share of exploring requests. For these it
// returns the version cheaper than best with the highest expected saving: the difference in
// cost times the probability that the version meets the target.
func (c *Chooser) maybeExplore(q *Query, list []candidate, best *candidate) *candidate {
	if q.Route.Explore <= 0 || c.random()*100 >= float64(q.Route.Explore) {
		return best
	}
	pick, maxSaving := best, 0.0
	for i := range list {
		e := list[i].estimate
		if list[i].cost >= best.cost || e.High < float64(q.Route.Quality) {
			continue
		}
		if saving := (best.cost - list[i].cost) * e.ConfidenceAtLeast(q.Route.Quality); saving > maxSaving {
			pick, maxSaving = &list[i], saving
		}
	}
	return pick
}

// ChooseNext decides after an answer, the last of attempts, whether the answers so far are
// accepted, or which version to try next.
func (c *Chooser) ChooseNext(q *Query, attempts []Attempt) (accept bool, next declaration.Ref) {
	last := attempts[len(attempts)-1]
	if q.Pinned.Model != "" && last.Version == q.Pinned || last.Rated && last.Rating >= q.Route.Quality {
		return true, declaration.Ref{}
	}
	var list candidates
	c.collectCandidates(c.ViewFunc(), q, attempts, &list)
	if list.n == 0 {
		return true, declaration.Ref{}
	}
	if !last.Rated {
		return c.nextUnrated(q, last, list.all())
	}
	return c.nextRated(q, bestRating(attempts), list.all())
}

// nextUnrated decides by estimates alone when the last answer could not be rated. It escalates
// only to a version with a higher lower bound.
func (c *Chooser) nextUnrated(q *Query, last Attempt, list []candidate) (bool, declaration.Ref) {
	view := c.ViewFunc()
	version := view.VersionOf(last.Version)
	if version == nil {
		return true, declaration.Ref{}
	}
	current := c.newCandidate(view, q, version)
	next := cheapestMeeting(q.Route.Quality, list)
	good := current.estimate.Low >= float64(q.Route.Quality)
	if good || next.estimate.Low <= current.estimate.Low || !c.hasTime(q, next) {
		return true, declaration.Ref{}
	}
	return false, next.version.Ref
}

func (c *Chooser) nextRated(q *Query, best declaration.Quality, list []candidate) (bool, declaration.Ref) {
	var order ranking
	order.fill(list)
	for _, index := range order.index[:order.n] {
		next := &list[index]
		promising := next.passLater >= minPassLater || next.estimate.Mean > float64(best)
		if promising && c.hasTime(q, next) {
			return false, next.version.Ref
		}
	}
	return true, declaration.Ref{}
}

func (c *Chooser) hasTime(q *Query, next *candidate) bool {
	return q.Deadline == 0 || c.Clock.Now()+clock.Millis(next.estimate.AnswerTime) <= q.Deadline
}

func bestRating(attempts []Attempt) declaration.Quality {
	best := declaration.Quality(0)
	for _, t := range attempts {
		if t.Rated {
			best = max(best, t.Rating)
		}
	}
	return best
}

// ChooseAfterFailure returns another version after the last of attempts failed to answer, and
// false when there is none. A session's version is not replaced unless it is withdrawn and
// the route moves its sessions.
func (c *Chooser) ChooseAfterFailure(q *Query, attempts []Attempt) (declaration.Ref, bool) {
	view := c.ViewFunc()
	if q.Pinned.Model != "" {
		if _, keep, err := c.pinnedVersion(view, q); keep || err != nil {
			return declaration.Ref{}, false
		}
	}
	var list candidates
	c.collectCandidates(view, q, attempts, &list)
	if list.n == 0 {
		return declaration.Ref{}, false
	}
	return c.choose(q, list.all()).version.Ref, true
}
