// Package judge finds out early that a version which is being rolled out is bad.
//
// It tests the guards of the roll-out by the evidence of all instances: more errors,
// worse ratings or longer delays than the version that is replaced. A version found
// bad is blocked on this instance at once, before peers and the store hear of it.
package judge

import (
	"fmt"
	"sync"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/order"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/version/tallier"
	"example.com/dotterelwell/internal/zone/keeper"
)

const (
	// DefaultFalseAlarmProbability is the probability that a good roll-out is ever stopped, when none is set.
	DefaultFalseAlarmProbability = 0.01
	// guards is the number of tests that share the alarm probability.
	guards = 3
	// lookBack is how long before a roll-out the old version's evidence counts.
	lookBack = clock.Hour
	// checkEvery is the least time between two checks of a version with much evidence.
	checkEvery clock.Millis = 100
)

// Finding is the state of the evidence about a roll-out.
type Finding struct {
	Model declaration.ModelName `json:"model"`
	// Errors, Ratings and Delays are the evidence against each guard; Limit is the
	// value at which one stops the roll-out.
	Errors  float64 `json:"errors"`
	Ratings float64 `json:"ratings"`
	Delays  float64 `json:"delays"`
	Limit   float64 `json:"limit"`
	// LikelihoodRatio is how likely the evidence is if the version is bad, against how likely if it
	// keeps its guard, for the likeliest way to be bad; 1 where nothing tells the two apart.
	LikelihoodRatio float64 `json:"doubt"`
	// Answers and Rated count the evidence of the new version.
	Answers float64 `json:"answers"`
	Rated   float64 `json:"rated"`
	// Reason is set when the version is bad.
	Reason string `json:"reason,omitempty"`
}

// MaxEvidence returns the strongest evidence, which is 1 where nothing is known.
func (f *Finding) MaxEvidence() float64 { return max(f.Errors, f.Ratings, f.Delays) }

// EvidenceShare returns the strongest evidence as a share of the limit.
func (f *Finding) EvidenceShare() float64 { return f.MaxEvidence() / f.Limit }

// Judge watches roll-outs. Set the exported fields before use.
type Judge struct {
	Clock    *clock.Clock
	ViewFunc func() *keeper.View
	Tallier  *tallier.Tallier
	// FalseAlarmProbability is the probability that a good roll-out is ever stopped.
	FalseAlarmProbability float64
	// OnBad is told once when this instance finds a version bad.
	OnBad func(version declaration.Ref, reason string)

	mu      sync.Mutex
	blocks  map[declaration.Ref]block
	checked map[declaration.ModelName]clock.Millis
}

type block struct {
	reason string
	at     clock.Millis
}

// Blocked reports whether a version was found bad and its roll-out has not been
// begun again since.
func (j *Judge) Blocked(ref declaration.Ref) bool {
	j.mu.Lock()
	b, found := j.blocks[ref]
	j.mu.Unlock()
	if !found {
		return false
	}
	progress, _ := j.ViewFunc().Progress(ref.Model)
	return progress.Begun <= b.at
}

// Blocks returns the versions that are blocked, with the reasons.
func (j *Judge) Blocks() map[declaration.Ref]string {
	j.mu.Lock()
	reasons := make(map[declaration.Ref]string, len(j.blocks))
	for ref, b := range j.blocks {
		reasons[ref] = b.reason
	}
	j.mu.Unlock()
	for ref := range reasons {
		if !j.Blocked(ref) {
			delete(reasons, ref)
		}
	}
	return reasons
}

// Block records that a version was found bad, here or by a peer. It reports whether
// that is news.
func (j *Judge) Block(ref declaration.Ref, reason string, at clock.Millis) bool {
	if j.Blocked(ref) {
		return false
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.blocks == nil {
		j.blocks = map[declaration.Ref]block{}
	}
	if held, found := j.blocks[ref]; found && held.at >= at {
		return false
	}
	j.blocks[ref] = block{reason: reason, at: at}
	return true
}

// Check checks the roll-out of which version is the new one, after new evidence.
func (j *Judge) Check(version declaration.Ref) {
	view := j.ViewFunc()
	model, found := view.Model(version.Model)
	if !found || model.Rollout == nil || model.Rollout.To != version.Version || j.Blocked(version) {
		return
	}
	progress, found := view.Progress(version.Model)
	if !found || progress.Phase == order.PhaseBad || !j.due(version.Model) {
		return
	}
	finding := j.Evaluate(view, model, progress)
	if finding.Reason != "" && j.Block(version, finding.Reason, j.Clock.Now()) && j.OnBad != nil {
		j.OnBad(version, finding.Reason)
	}
}

func (j *Judge) due(model declaration.ModelName) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.Clock.Now()
	if last, found := j.checked[model]; found && now-last < checkEvery {
		return false
	}
	if j.checked == nil {
		j.checked = map[declaration.ModelName]clock.Millis{}
	}
	j.checked[model] = now
	return true
}

// Evaluate returns the state of the evidence about a model's roll-out.
func (j *Judge) Evaluate(view *keeper.View, model declaration.Model, progress order.Progress) Finding {
	f := Compare(j.gather(view, model, j.evidenceFrom(model, progress)), model.Rollout.Guard, j.FalseAlarmProbability)
	f.Model = model.Name
	return f
}

// Compare weighs the evidence of two versions, class by class. alarm is the
// probability that a version which keeps the guard is ever found bad; zero for
// DefaultAlarm.
func Compare(pairs []ClassEvidence, guard declaration.Guard, alarm float64) Finding {
	if alarm <= 0 {
		alarm = DefaultFalseAlarmProbability
	}
	f := Finding{Errors: 1, Ratings: 1, Delays: 1, Limit: guards / alarm}
	for _, p := range pairs {
		rated, _ := p.New.RatingMean()
		f.Answers += p.New.Answers + p.New.Errors
		f.Rated += rated
	}
	if f.Answers > 0 {
		f.Errors = errorEvidence(pairs, float64(guard.MaxErrorRise)/100)
	}
	if f.Rated > 0 {
		f.Ratings = ratingEvidence(pairs, float64(guard.MaxQualityDrop))
	}
	if guard.MaxLatencyFactor > 1 {
		f.Delays = delayEvidence(pairs, guard.MaxLatencyFactor)
	}
	f.LikelihoodRatio = doubt(pairs, guard)
	f.Reason = reason(&f, guard)
	return f
}

func reason(f *Finding, guard declaration.Guard) string {
	switch {
	case f.Errors >= f.Limit:
		return fmt.Sprintf("errors rose by more than %v points (%.0f answers)", guard.MaxErrorRise, f.Answers)
	case f.Ratings >= f.Limit:
		return fmt.Sprintf("ratings fell by more than %v (%.0f ratings)", guard.MaxQualityDrop, f.Rated)
	case f.Delays >= f.Limit:
		return fmt.Sprintf("delays grew by more than a factor of %v (%.0f answers)", guard.MaxLatencyFactor, f.Answers)
	}
	return ""
}

// evidenceFrom returns the time from which the new version's evidence counts: after
// an earlier block it must not count again.
func (j *Judge) evidenceFrom(model declaration.Model, progress order.Progress) clock.Millis {
	j.mu.Lock()
	defer j.mu.Unlock()
	from := progress.Begun
	held, found := j.blocks[declaration.Ref{Model: model.Name, Version: model.Rollout.To}]
	if found && held.at < from {
		from = (held.at/tallier.BucketSpan + 1) * tallier.BucketSpan
	}
	return from
}

// gather returns the evidence of each class in which the new version has been seen.
func (j *Judge) gather(view *keeper.View, model declaration.Model, from clock.Millis) []ClassEvidence {
	before := declaration.Ref{Model: model.Name, Version: model.Rollout.From}
	after := declaration.Ref{Model: model.Name, Version: model.Rollout.To}
	declared := 0.0
	if v := view.VersionOf(before); v != nil {
		declared = float64(v.Quality)
	}
	var pairs []ClassEvidence
	for _, s := range j.Tallier.Subjects() {
		if s.Version != after {
			continue
		}
		p := ClassEvidence{DeclaredQuality: declared, New: j.Tallier.Sum(s, from)}
		s.Version = before
		p.Old = j.Tallier.Sum(s, from-lookBack)
		pairs = append(pairs, p)
	}
	return pairs
}

// HasEvidenceSince reports whether the new version has been seen since the given time.
func (j *Judge) HasEvidenceSince(version declaration.Ref, since clock.Millis) bool {
	for _, s := range j.Tallier.Subjects() {
		if s.Version != version {
			continue
		}
		sum := j.Tallier.Sum(s, since)
		if sum.Answers+sum.Errors > 0 {
			return true
		}
	}
	return false
}
