// Package chooser decides which version answers a request: of the versions that the route
// allows and that meet its quality target, the one with the least expected cost.
//
// A streamed answer cannot be withdrawn once its first part is sent, so the lower bound of
// its version's estimate must meet the target, or the expected rating while the class is
// rated well above it. A rated answer is checked before it is sent and may be escalated to
// another version, so rated versions are ordered by the expected cost of the whole cascade.
package chooser

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/order"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/version/estimator"
	"example.com/dotterelwell/internal/version/tallier"
	"example.com/dotterelwell/internal/zone/keeper"
)

// Kind classifies the package's errors.
type Kind string

// Kinds of errors.
const (
	// KindSessionWithdrawn means that the session's version is withdrawn and that the route
	// refuses the session's requests instead of moving it to another version.
	KindSessionWithdrawn Kind = "session-withdrawn"
	// KindNoVersion means that the route has no version that accepts new requests.
	KindNoVersion Kind = "no-version"
)

// Error is the package's error type.
type Error = fault.Error[Kind]

// KindOf returns the kind of the error, or "" for an error of another package.
func KindOf(err error) Kind { return fault.KindOf[Kind](err) }

// maxCandidates is the maximum number of versions of one route that are compared. Further
// versions are ignored.
const maxCandidates = 16

// Query describes the request that a version is chosen for.
type Query struct {
	Route   *keeper.Route
	Request ident.Request
	// Pinned is the version that the session keeps; zero when the request has no such version.
	Pinned   declaration.Ref
	Deadline clock.Millis
}

// Attempt is an attempt of the request at a version that has answered or failed.
type Attempt struct {
	Version declaration.Ref
	Rated   bool
	Rating  declaration.Quality
	Failed  bool
}

// Chooser chooses versions. Set the exported fields before use.
type Chooser struct {
	Clock     *clock.Clock
	ViewFunc  func() *keeper.View
	Estimator *estimator.Estimator
	// BlockedFunc reports whether the version was found bad but is not withdrawn yet; nil means
	// that no version is.
	BlockedFunc func(declaration.Ref) bool
	// HasServerFunc reports whether a server is in service for the version; nil means that every
	// version has one.
	HasServerFunc func(declaration.Ref) bool
	// RaterAvailableFunc reports whether the rating service answers; nil means that it does.
	RaterAvailableFunc func() bool
	// Float64Func returns a random number in [0, 1); nil uses math/rand.
	Float64Func func() float64
}

// candidate is a version that may be chosen, with its expected cost and quality.
type candidate struct {
	version *keeper.Version
	cost    float64
	// passFirst and passLater are the probabilities that an answer of the version meets the
	// target as the first attempt, and after another version's answer was below it. They are 0
	// unless the route's answers are rated.
	passFirst, passLater float64
	estimate             *estimator.Estimate
}

// candidates is a list of fixed capacity, which can live on the caller's stack.
type candidates struct {
	list [maxCandidates]candidate
	n    int
}

func (c *candidates) all() []candidate { return c.list[:c.n] }

func (c *Chooser) random() float64 {
	if c.Float64Func == nil {
		return rand.Float64()
	}
	return c.Float64Func()
}

// ChooseFirst returns the version for the first attempt.
func (c *Chooser) ChooseFirst(q *Query) (declaration.Ref, error) {
	view := c.ViewFunc()
	if q.Pinned.Model != "" {
		ref, keep, err := c.pinnedVersion(view, q)
		if keep || err != nil {
			return ref, err
		}
	}
	var list candidates
	c.collectCandidates(view, q, nil, &list)
	if list.n == 0 {
		return declaration.Ref{}, fault.Newf("choose version", KindNoVersion, "route %q has no version in service", q.Route.Name)
	}
	return c.choose(q, list.all()).version.Ref, nil
}

// pinnedVersion returns the session's version and true while the session may keep it. It
// returns an error when the version is withdrawn and the route refuses such sessions.
func (c *Chooser) pinnedVersion(view *keeper.View, q *Query) (declaration.Ref, bool, error) {
	for _, v := range q.Route.Versions {
		if v.Ref != q.Pinned {
			continue
		}
		if current := view.VersionOf(v.Ref); current != nil && current.State != declaration.StateWithdrawn {
			return v.Ref, true, nil
		}
	}
	if q.Route.OnWithdrawal == declaration.WithdrawalRefuse {
		return declaration.Ref{}, false, fault.Newf("choose version", KindSessionWithdrawn, "the session's version %s is withdrawn", q.Pinned)
	}
	return declaration.Ref{}, false, nil
}

func (c *Chooser) choose(q *Query, list []candidate) *candidate {
	if q.Route.Answer != declaration.AnswerRated {
		return c.maybeExplore(q, list, cheapestMeeting(q.Route.Quality, list))
	}
	if c.RaterAvailableFunc != nil && !c.RaterAvailableFunc() {
		return cheapestMeeting(q.Route.Quality, list)
	}
	best := cheapestCascade(list)
	if c.hasTimeForBoth(q, best, mostLikely(list)) {
		return c.maybeExplore(q, list, best)
	}
	return mostLikely(list)
}

// collectCandidates lists the versions of the route that accept new requests and are not in
// attempts.
func (c *Chooser) collectCandidates(view *keeper.View, q *Query, attempts []Attempt, out *candidates) {
	for _, v := range q.Route.Versions {
		current := q.Route.VersionIn(view, v)
		if out.n == maxCandidates || current == nil || current.State != declaration.StateActive {
			continue
		}
		if attempted(attempts, v.Ref) || c.BlockedFunc != nil && c.BlockedFunc(v.Ref) {
			continue
		}
		if c.HasServerFunc != nil && !c.HasServerFunc(v.Ref) {
			continue
		}
		if current.Rollout != nil && c.excludedByRollout(view, q, v.Ref) {
			continue
		}
		out.list[out.n] = c.newCandidate(view, q, current)
		out.n++
	}
}

func attempted(attempts []Attempt, ref declaration.Ref) bool {
	for _, t := range attempts {
		if t.Version == ref {
			return true
		}
	}
	return false
}

// newCandidate estimates the cost and quality of a version. For a version that is being
// rolled out it uses the estimate of the version that it replaces, so that the share of
// requests that the new version gets is set by the roll-out's step alone.
func (c *Chooser) newCandidate(view *keeper.View, q *Query, v *keeper.Version) candidate {
	basis := v
	if v.Rollout != nil {
		basis = replacedVersion(view, v)
	}
	subject := tallier.Subject{Class: q.Route.Class, Version: basis.Ref}
	estimate, later := c.Estimator.EstimateBoth(subject, basis.Quality)
	out := candidate{version: v, estimate: estimate, cost: estimate.Cost(v.Version)}
	if q.Route.Answer == declaration.AnswerRated {
		out.passFirst = estimate.PassProbability(q.Route.Quality)
		out.passLater = later.PassProbability(q.Route.Quality)
	}
	return out
}

// replacedVersion returns the version that v replaces in a running roll-out. It returns v
// itself when v is not the new version of one, or the old version is not known.
func replacedVersion(view *keeper.View, v *keeper.Version) *keeper.Version {
	if v.Rollout.To != v.Ref.Version {
		return v
	}
	progress, _ := view.Progress(v.Ref.Model)
	from := view.VersionOf(declaration.Ref{Model: v.Ref.Model, Version: v.Rollout.From})
	if progress.Phase == order.PhaseDone || from == nil {
		return v
	}
	return from
}

// excludedByRollout reports whether the roll-out assigns the request to the model's other
// version, old or new, and the route can use that one.
func (c *Chooser) excludedByRollout(view *keeper.View, q *Query, ref declaration.Ref) bool {
	model, found := view.Model(ref.Model)
	if !found || model.Rollout == nil {
		return false
	}
	r := model.Rollout
	if ref.Version != r.From && ref.Version != r.To {
		return false
	}
	toNew := RolloutShare(view, model) > rolloutPosition(q.Request, ref.Model)
	other := declaration.Ref{Model: ref.Model, Version: r.To}
	if ref.Version == r.To {
		other.Version = r.From
	}
	excluded := (ref.Version == r.To) != toNew
	return excluded && c.usable(view, q, other)
}

// usable reports whether the route allows the version and the version accepts new requests.
func (c *Chooser) usable(view *keeper.View, q *Query, ref declaration.Ref) bool {
	current := view.VersionOf(ref)
	if current == nil || current.State != declaration.StateActive || c.BlockedFunc != nil && c.BlockedFunc(ref) {
		return false
	}
	for _, v := range q.Route.Versions {
		if v.Ref == ref {
			return true
		}
	}
	return false
}

// RolloutShare returns the percentage of new sessions that a model's roll-out sends to its
// new version. It is 0 while the stored progress belongs to another roll-out.
func RolloutShare(view *keeper.View, model declaration.Model) declaration.Percent {
	progress, found := view.Progress(model.Name)
	if !found || progress.From != model.Rollout.From || progress.To != model.Rollout.To {
		return 0
	}
	switch {
	case progress.Phase == order.PhaseDone:
		return 100
	case progress.Phase == order.PhaseBad || progress.Step < 0:
		return 0
	}
	return model.Rollout.Steps[min(progress.Step, len(model.Rollout.Steps)-1)]
}

// rolloutPosition hashes a request to a position from 0 to below 100 that is the same at every
// instance. Requests with positions below the roll-out's share go to the new version.
func rolloutPosition(request ident.Request, model declaration.ModelName) declaration.Percent {
	const scale = 10_000
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(request)) // xxhash's Digest never returns an error
	_, _ = d.WriteString(string(model))
	return declaration.Percent(float64(d.Sum64()%scale) * 100 / scale)
}
