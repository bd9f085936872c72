package chooser

import (
	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/machine/clock"
)

// minLater is the least probability of success for which an escalation is worth its cost.
const minLater = 0.08

// slack is how far the quality of a class must lie above its target for single
// versions to be taken by their expected rating instead of its lower bound.
const slack = 0.005

// streamed returns the cheapest version that meets the target, or the one with the
// highest expected rating when none does. While the class as a whole is rated below
// or near its target, a version must meet it by the lower bound of its estimate.
// While the class has some slack, the expected rating is enough: should it prove too
// high, the class's rating falls and the lower bounds count again.
func streamed(target declaration.Quality, list []candidate) *candidate {
	bold := delivered(list) >= float64(target)+slack
	var cheapest *candidate
	best := &list[0]
	for i := range list {
		c := &list[i]
		meets := c.estimate.Low >= float64(target) || bold && c.estimate.Mean >= float64(target)
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

// delivered returns the mean rating of the class's recent answers, or 0 without any.
func delivered(list []candidate) float64 {
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

// cascaded returns the version to try first so that the whole cascade is expected
// to cost least. After the first try the rest is tried in the order of cost over
// probability of success, which is the cheapest order of independent tries.
func cascaded(list []candidate) *candidate {
	var order ranking
	order.fill(list)
	best, bestCost := &list[0], 0.0
	for i := range list {
		total := list[i].cost + (1-list[i].first)*order.restCost(list, i)
		if i == 0 || total < bestCost {
			best, bestCost = &list[i], total
		}
	}
	return best
}

// ranking orders candidates by cost over probability of success as a later try. It
// lives on the caller's stack.
type ranking struct {
	index [maxCandidates]uint8
	n     int
}

// fill sorts by insertion, which is quick for the few versions of a route.
func (r *ranking) fill(list []candidate) {
	r.n = len(list)
	for i := range list {
		at := i
		for ; at > 0; at-- {
			other := &list[r.index[at-1]]
			if other.cost*list[i].later <= list[i].cost*other.later {
				break
			}
			r.index[at] = r.index[at-1]
		}
		r.index[at] = uint8(i)
	}
}

// restCost returns the expected cost of trying all versions but skip in order until
// one meets the target.
func (r *ranking) restCost(list []candidate, skip int) float64 {
	cost, reach := 0.0, 1.0
	for _, at := range r.index[:r.n] {
		c := &list[at]
		if int(at) == skip || c.later < minLater {
			continue
		}
		cost += reach * c.cost
		reach *= 1 - c.later
	}
	return cost
}

// surest returns the version that is most likely to meet the target at once.
func surest(list []candidate) *candidate {
	best := &list[0]
	for i := range list {
		if list[i].first > best.first {
			best = &list[i]
		}
	}
	return best
}

// hasTimeFor reports whether a poor answer of first still leaves time for another.
func (c *Chooser) hasTimeFor(q *Query, first, second *candidate) bool {
	if q.Deadline == 0 {
		return true
	}
	need := clock.Millis(first.estimate.AnswerTime + second.estimate.AnswerTime)
	return c.Clock.Now()+need <= q.Deadline
}

// exploring returns, for the route's share of requests, the cheaper version than best
// that promises the highest saving: what it would save times the probability that it
// meets the target.
func (c *Chooser) exploring(q *Query, list []candidate, best *candidate) *candidate {
	if q.Route.Explore <= 0 || c.random()*100 >= float64(q.Route.Explore) {
		return best
	}
	pick, promise := best, 0.0
	for i := range list {
		e := list[i].estimate
		if list[i].cost >= best.cost || e.High < float64(q.Route.Quality) {
			continue
		}
		if p := (best.cost - list[i].cost) * e.ConfidenceAtLeast(q.Route.Quality); p > promise {
			pick, promise = &list[i], p
		}
	}
	return pick
}

// ChooseNext decides on the last of tries: whether its answer, or an earlier one, is good
// enough, and otherwise which version to try.
func (c *Chooser) ChooseNext(q *Query, tries []Attempt) (accept bool, next declaration.Ref) {
	last := tries[len(tries)-1]
	if q.Pinned.Model != "" && last.Version == q.Pinned || last.Rated && last.Rating >= q.Route.Quality {
		return true, declaration.Ref{}
	}
	var list candidates
	c.gather(c.ViewFunc(), q, tries, &list)
	if list.n == 0 {
		return true, declaration.Ref{}
	}
	if !last.Rated {
		return c.nextUnrated(q, last, list.all())
	}
	return c.nextRated(q, bestRating(tries), list.all())
}

// nextUnrated goes by estimates alone while the rating service is down.
func (c *Chooser) nextUnrated(q *Query, last Attempt, list []candidate) (bool, declaration.Ref) {
	view := c.ViewFunc()
	version := view.VersionOf(last.Version)
	if version == nil {
		return true, declaration.Ref{}
	}
	held := c.weigh(view, q, version)
	next := streamed(q.Route.Quality, list)
	good := held.estimate.Low >= float64(q.Route.Quality)
	if good || next.estimate.Low <= held.estimate.Low || !c.hasTime(q, next) {
		return true, declaration.Ref{}
	}
	return false, next.version.Ref
}

func (c *Chooser) nextRated(q *Query, best declaration.Quality, list []candidate) (bool, declaration.Ref) {
	var order ranking
	order.fill(list)
	for _, at := range order.index[:order.n] {
		next := &list[at]
		promising := next.later >= minLater || next.estimate.Mean > float64(best)
		if promising && c.hasTime(q, next) {
			return false, next.version.Ref
		}
	}
	return true, declaration.Ref{}
}

func (c *Chooser) hasTime(q *Query, next *candidate) bool {
	return q.Deadline == 0 || c.Clock.Now()+clock.Millis(next.estimate.AnswerTime) <= q.Deadline
}

func bestRating(tries []Attempt) declaration.Quality {
	best := declaration.Quality(0)
	for _, t := range tries {
		if t.Rated {
			best = max(best, t.Rating)
		}
	}
	return best
}

// ChooseAfterFailure returns another version after the last of tries failed to answer. A
// session's version is not replaced while it is not withdrawn.
func (c *Chooser) ChooseAfterFailure(q *Query, tries []Attempt) (declaration.Ref, bool) {
	view := c.ViewFunc()
	if q.Pinned.Model != "" {
		if _, keep, err := c.pinned(view, q); keep || err != nil {
			return declaration.Ref{}, false
		}
	}
	var list candidates
	c.gather(view, q, tries, &list)
	if list.n == 0 {
		return declaration.Ref{}, false
	}
	return c.start(q, list.all()).version.Ref, true
}
