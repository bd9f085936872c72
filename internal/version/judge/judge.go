// Package judge detects early that a version which is being rolled out is bad.
//
// It tests the guards of the roll-out with the observations of all instances: whether the new
// version has more errors, worse ratings or longer delays than the old version that it replaces.
// If the version is bad, this instance blocks it at once, before peers and the store are notified.
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
	// DefaultFalseAlarmProbability is used if Judge.FalseAlarmProbability is not set.
	DefaultFalseAlarmProbability = 0.01
	// guardCount is the number of guards (errors, ratings, delays). Their tests share the
	// probability of a false alarm equally.
	guardCount = 3
	// baselineSpan is how much earlier the observations of the old version begin to count than
	// those of the new one.
	baselineSpan = clock.Hour
	// minCheckInterval is the least time between two checks of a model's roll-out.
	minCheckInterval clock.Millis = 100
)

// Finding is the state of the evidence about a roll-out.
type Finding struct {
	Model declaration.ModelName `json:"model"`
	// Errors, Ratings and Delays are the e-values of the tests of the guards, that is the evidence
	// that the new version breaks the guard. Limit is the value at which any of them stops the
	// roll-out.
	Errors  float64 `json:"errors"`
	Ratings float64 `json:"ratings"`
	Delays  float64 `json:"delays"`
	Limit   float64 `json:"limit"`
	// LikelihoodRatio is the likelihood of the observations if the version is bad, divided by
	// their likelihood if it keeps its guards. Of the ways to be bad the likeliest one counts. It
	// is 1 without observations that tell the two cases apart. JSON and logs call it doubt.
	LikelihoodRatio float64 `json:"doubt"`
	// Answers and Rated are the numbers of the new version's answers (failures included) and
	// ratings.
	Answers float64 `json:"answers"`
	Rated   float64 `json:"rated"`
	// Reason says why the version is bad; empty if it is not found bad.
	Reason string `json:"reason,omitempty"`
}

// MaxEvidence returns the largest of the three e-values, which is 1 without observations.
func (f *Finding) MaxEvidence() float64 { return max(f.Errors, f.Ratings, f.Delays) }

// EvidenceShare returns MaxEvidence as a share of the limit.
func (f *Finding) EvidenceShare() float64 { return f.MaxEvidence() / f.Limit }

// Judge tests the new versions of roll-outs and blocks the bad ones. Set the exported fields before use.
type Judge struct {
	Clock    *clock.Clock
	ViewFunc func() *keeper.View
	Tallier  *tallier.Tallier
	// FalseAlarmProbability is the probability that a good roll-out is ever stopped.
	FalseAlarmProbability float64
	// OnBad, when set, is called once when this instance finds a version bad.
	OnBad func(version declaration.Ref, reason string)

	mu      sync.Mutex
	blocks  map[declaration.Ref]block
	checked map[declaration.ModelName]clock.Millis
}

// block records why and when a version was found bad.
type block struct {
	reason string
	at     clock.Millis
}

// Blocked reports whether a version was found bad and its roll-out has not been started
// again since.
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

// Blocks returns the blocked versions with the reasons.
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

// Block records that this instance or a peer found a version bad at the given time. It reports
// whether the record is new: the version was not blocked, and no block as late is stored.
func (j *Judge) Block(ref declaration.Ref, reason string, at clock.Millis) bool {
	if j.Blocked(ref) {
		return false
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.blocks == nil {
		j.blocks = map[declaration.Ref]block{}
	}
	if earlier, found := j.blocks[ref]; found && earlier.at >= at {
		return false
	}
	j.blocks[ref] = block{reason: reason, at: at}
	return true
}

// Check evaluates the roll-out whose new version is version, and blocks that version if it is bad.
// Call it after each new observation; minCheckInterval limits how often it evaluates.
func (j *Judge) Check(version declaration.Ref) {
	view := j.ViewFunc()
	model, found := view.Model(version.Model)
	if !found || model.Rollout == nil || model.Rollout.To != version.Version || j.Blocked(version) {
		return
	}
	progress, found := view.Progress(version.Model)
	if !found || progress.Phase == order.PhaseBad || !j.checkDue(version.Model) {
		return
	}
	finding := j.Evaluate(view, model, progress)
	if finding.Reason != "" && j.Block(version, finding.Reason, j.Clock.Now()) && j.OnBad != nil {
		j.OnBad(version, finding.Reason)
	}
}

// checkDue reports whether minCheckInterval has passed since the last check of a model.
func (j *Judge) checkDue(model declaration.ModelName) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.Clock.Now()
	if last, found := j.checked[model]; found && now-last < minCheckInterval {
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
	f := Compare(j.collectEvidence(view, model, j.evidenceFrom(model, progress)), model.Rollout.Guard, j.FalseAlarmProbability)
	f.Model = model.Name
	return f
}

// Compare tests the guards with the observations of two versions, class by class.
// falseAlarmProbability is the probability that a version which keeps the guards is ever found
// bad; zero stands for DefaultFalseAlarmProbability.
func Compare(evidence []ClassEvidence, guard declaration.Guard, falseAlarmProbability float64) Finding {
	if falseAlarmProbability <= 0 {
		falseAlarmProbability = DefaultFalseAlarmProbability
	}
	f := Finding{Errors: 1, Ratings: 1, Delays: 1, Limit: guardCount / falseAlarmProbability}
	for _, class := range evidence {
		rated, _ := class.New.RatingMean()
		f.Answers += class.New.Answers + class.New.Errors
		f.Rated += rated
	}
	if f.Answers > 0 {
		f.Errors = errorEvidence(evidence, float64(guard.MaxErrorRise)/100)
	}
	if f.Rated > 0 {
		f.Ratings = ratingEvidence(evidence, float64(guard.MaxQualityDrop))
	}
	if guard.MaxLatencyFactor > 1 {
		f.Delays = delayEvidence(evidence, guard.MaxLatencyFactor)
	}
	f.LikelihoodRatio = maxLikelihoodRatio(evidence, guard)
	f.Reason = badReason(&f, guard)
	return f
}

// badReason returns the reason for the first guard whose evidence reaches the limit, or "".
func badReason(f *Finding, guard declaration.Guard) string {
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

// evidenceFrom returns the time from which the new version's observations count. Those up to an
// earlier block, to the end of its tally bucket, must not count in the restarted roll-out.
func (j *Judge) evidenceFrom(model declaration.Model, progress order.Progress) clock.Millis {
	j.mu.Lock()
	defer j.mu.Unlock()
	from := progress.Begun
	earlier, found := j.blocks[declaration.Ref{Model: model.Name, Version: model.Rollout.To}]
	if found && earlier.at < from {
		from = (earlier.at/tallier.BucketSpan + 1) * tallier.BucketSpan
	}
	return from
}

// collectEvidence returns the evidence of each class in which the new version has tallies.
func (j *Judge) collectEvidence(view *keeper.View, model declaration.Model, from clock.Millis) []ClassEvidence {
	before := declaration.Ref{Model: model.Name, Version: model.Rollout.From}
	after := declaration.Ref{Model: model.Name, Version: model.Rollout.To}
	declared := 0.0
	if v := view.VersionOf(before); v != nil {
		declared = float64(v.Quality)
	}
	var evidence []ClassEvidence
	for _, s := range j.Tallier.Subjects() {
		if s.Version != after {
			continue
		}
		class := ClassEvidence{DeclaredQuality: declared, New: j.Tallier.Sum(s, from)}
		s.Version = before
		class.Old = j.Tallier.Sum(s, from-baselineSpan)
		evidence = append(evidence, class)
	}
	return evidence
}

// HasEvidenceSince reports whether the new version had answers or errors since the given time.
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
