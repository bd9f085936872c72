// Package chooser decides which version answers a request: an allowed one that meets
// the route's quality target at the least expected cost.
//
// A streamed answer cannot be taken back, so its version must meet the target by the
// lower bound of its estimate. A rated answer may fall short and be escalated, so its
// versions are ordered by the expected cost of the whole cascade.
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
	// KindSessionWithdrawn means that the session's version is withdrawn and the
	// route does not move sessions.
	KindSessionWithdrawn Kind = "session-withdrawn"
	// KindNoVersion means that the route has no version that takes new work.
	KindNoVersion Kind = "no-version"
)

// Error is the package's error type.
type Error = fault.Error[Kind]

// KindOf returns the kind of the error, or "" for an error of another package.
func KindOf(err error) Kind { return fault.KindOf[Kind](err) }

// maxCandidates bounds the versions of one route that are weighed.
const maxCandidates = 16

// Query asks for a version.
type Query struct {
	Route   *keeper.Route
	Request ident.Request
	// Pinned is the version that the session keeps; zero for a new session.
	Pinned   declaration.Ref
	Deadline clock.Millis
}

// Attempt is a version that has answered or failed.
type Attempt struct {
	Version declaration.Ref
	Rated   bool
	Rating  declaration.Quality
	Failed  bool
}

// Chooser decides. Set the exported fields before use.
type Chooser struct {
	Clock     *clock.Clock
	ViewFunc  func() *keeper.View
	Estimator *estimator.Estimator
	// BlockedFunc reports whether the version was found bad and not yet withdrawn.
	BlockedFunc func(declaration.Ref) bool
	// HasServerFunc reports whether a server is in service for the version.
	HasServerFunc func(declaration.Ref) bool
	// RaterAvailableFunc reports whether the rating service answers; nil means that it does.
	RaterAvailableFunc func() bool
	// Float64Func returns a number in [0, 1); nil uses the runtime's source.
	Float64Func func() float64
}

// candidate is a version that may answer, with what is expected of it.
type candidate struct {
	version *keeper.Version
	cost    float64
	// first and later are the probabilities to meet the target as the first try and
	// after another version fell short.
	first, later float64
	estimate     *estimator.Estimate
}

// candidates is a list that lives on the caller's stack.
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

// ChooseFirst returns the version to try first.
func (c *Chooser) ChooseFirst(q *Query) (declaration.Ref, error) {
	view := c.ViewFunc()
	if q.Pinned.Model != "" {
		ref, keep, err := c.pinned(view, q)
		if keep || err != nil {
			return ref, err
		}
	}
	var list candidates
	c.gather(view, q, nil, &list)
	if list.n == 0 {
		return declaration.Ref{}, fault.Newf("choose version", KindNoVersion, "route %q has no version in service", q.Route.Name)
	}
	return c.start(q, list.all()).version.Ref, nil
}

// pinned returns the session's version while it may be kept.
func (c *Chooser) pinned(view *keeper.View, q *Query) (declaration.Ref, bool, error) {
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

func (c *Chooser) start(q *Query, list []candidate) *candidate {
	if q.Route.Answer != declaration.AnswerRated {
		return c.exploring(q, list, streamed(q.Route.Quality, list))
	}
	if c.RaterAvailableFunc != nil && !c.RaterAvailableFunc() {
		return streamed(q.Route.Quality, list)
	}
	best := cascaded(list)
	if c.hasTimeFor(q, best, surest(list)) {
		return c.exploring(q, list, best)
	}
	return surest(list)
}

// gather lists the versions of the route that take new work and are not in tries.
func (c *Chooser) gather(view *keeper.View, q *Query, tries []Attempt, out *candidates) {
	for _, v := range q.Route.Versions {
		current := q.Route.VersionIn(view, v)
		if out.n == maxCandidates || current == nil || current.State != declaration.StateActive {
			continue
		}
		if tried(tries, v.Ref) || c.BlockedFunc != nil && c.BlockedFunc(v.Ref) {
			continue
		}
		if c.HasServerFunc != nil && !c.HasServerFunc(v.Ref) {
			continue
		}
		if current.Rollout != nil && c.hiddenByRollout(view, q, v.Ref) {
			continue
		}
		out.list[out.n] = c.weigh(view, q, current)
		out.n++
	}
}

func tried(tries []Attempt, ref declaration.Ref) bool {
	for _, t := range tries {
		if t.Version == ref {
			return true
		}
	}
	return false
}

// weigh computes what is expected of a version. A version that is being rolled out
// is weighed by the estimate of the version that it replaces, so that its share is
// that of the roll-out's step.
func (c *Chooser) weigh(view *keeper.View, q *Query, v *keeper.Version) candidate {
	twin := v
	if v.Rollout != nil {
		twin = replaced(view, v)
	}
	subject := tallier.Subject{Class: q.Route.Class, Version: twin.Ref}
	estimate, later := c.Estimator.EstimateBoth(subject, twin.Quality)
	out := candidate{version: v, estimate: estimate, cost: estimate.Cost(v.Version)}
	if q.Route.Answer == declaration.AnswerRated {
		out.first = estimate.PassProbability(q.Route.Quality)
		out.later = later.PassProbability(q.Route.Quality)
	}
	return out
}

// replaced returns the version that v replaces in a running roll-out, or v itself.
func replaced(view *keeper.View, v *keeper.Version) *keeper.Version {
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

// hiddenByRollout reports whether the request falls to the other side of a roll-out.
func (c *Chooser) hiddenByRollout(view *keeper.View, q *Query, ref declaration.Ref) bool {
	model, found := view.Model(ref.Model)
	if !found || model.Rollout == nil {
		return false
	}
	r := model.Rollout
	if ref.Version != r.From && ref.Version != r.To {
		return false
	}
	toNew := RolloutShare(view, model) > position(q.Request, ref.Model)
	other := declaration.Ref{Model: ref.Model, Version: r.To}
	if ref.Version == r.To {
		other.Version = r.From
	}
	hidden := (ref.Version == r.To) != toNew
	return hidden && c.usable(view, q, other)
}

// usable reports whether the route could use the other side of a roll-out.
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
// new version.
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

// position places a request on a scale from 0 to 100, the same at every instance.
func position(request ident.Request, model declaration.ModelName) declaration.Percent {
	const scale = 10_000
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(request)) // a digest never fails to take bytes
	_, _ = d.WriteString(string(model))
	return declaration.Percent(float64(d.Sum64()%scale) * 100 / scale)
}
