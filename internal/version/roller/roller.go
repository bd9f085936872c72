// Package roller moves roll-outs forward, and withdraws versions found bad.
//
// The progress of a roll-out is one object in the platform's store, changed by
// conditional writes only. Any instance may try; the duty holder does. A roll-out
// that stopped half way goes on from the object, and an operator who races it gets
// either his change or a conflict.
package roller

import (
	"context"
	"encoding/json"
	"fmt"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/order"
	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/version/judge"
	"example.com/dotterelwell/internal/version/tallier"
	"example.com/dotterelwell/internal/zone/keeper"
)

const (
	// checkEvery is the time between two looks at the roll-outs.
	checkEvery = 1 * clock.Second
	// minAnswers is the number of answers of the new version without which no step is made.
	minAnswers = 20
	// wary is the share of the evidence limit above which no step is made.
	wary = 0.03
	// writeTimeout bounds a write.
	writeTimeout = 3 * clock.Second
	// staleAfter is the age of the newest evidence from which no step is made.
	staleAfter = 2 * tallier.BucketSpan
)

// Roller moves roll-outs. Set the exported fields, then run Run.
type Roller struct {
	Clock    *clock.Clock
	Store    *storer.Storer
	ViewFunc func() *keeper.View
	Judge    *judge.Judge
	// VersionFunc returns the store version of a model's progress as this instance
	// holds it; zero when there is none.
	VersionFunc func(model declaration.ModelName) ident.StoreVersion
	// DutyFunc reports whether this instance moves a model's roll-out.
	DutyFunc func(model declaration.ModelName) bool
	// OnStep, when set, is told of each move.
	OnStep func(model declaration.ModelName, detail string)
	// OnWritten, when set, receives each object that was written, so that it is in
	// force here before a watch brings it.
	OnWritten func(storer.Object)
}

// Run looks after the roll-outs until ctx ends.
func (r *Roller) Run(ctx context.Context) error {
	for {
		if err := r.Clock.Sleep(ctx, checkEvery); err != nil {
			return nil
		}
		r.Tick(ctx)
	}
}

// Tick looks once at all roll-outs and blocked versions.
func (r *Roller) Tick(ctx context.Context) {
	view := r.ViewFunc()
	for _, model := range view.Models() {
		if model.Rollout != nil && r.DutyFunc(model.Name) {
			r.move(ctx, view, model)
		}
	}
	for ref, reason := range r.Judge.Blocks() {
		v := view.VersionOf(ref)
		if v != nil && v.State != declaration.StateWithdrawn && r.DutyFunc(ref.Model) {
			r.Withdraw(ctx, ref, reason)
		}
	}
}

func (r *Roller) move(ctx context.Context, view *keeper.View, model declaration.Model) {
	next, detail := r.Next(view, model)
	if detail == "" {
		return
	}
	if r.write(ctx, model.Name, next) && r.OnStep != nil {
		r.OnStep(model.Name, detail)
	}
}

// Next returns the progress that should follow, and what it means; an empty detail
// means no move.
func (r *Roller) Next(view *keeper.View, model declaration.Model) (order.Progress, string) {
	rollout := model.Rollout
	progress, found := view.Progress(model.Name)
	now := r.Clock.Now()
	if !found || progress.From != rollout.From || progress.To != rollout.To {
		begun := order.Progress{From: rollout.From, To: rollout.To, Begun: now, Since: now, Phase: order.PhaseRunning}
		return begun, fmt.Sprintf("begun with %v%% on %s", rollout.Steps[0], rollout.To)
	}
	if progress.Phase != order.PhaseRunning || !r.mayStep(view, model, progress) {
		return progress, ""
	}
	progress.Since = now
	if progress.Step+1 >= len(rollout.Steps) {
		progress.Phase = order.PhaseDone
		return progress, fmt.Sprintf("done, all new sessions on %s", rollout.To)
	}
	progress.Step++
	return progress, fmt.Sprintf("step %d, %v%% on %s", progress.Step, rollout.Steps[progress.Step], rollout.To)
}

// mayStep reports whether the hold time has passed with fresh and good evidence.
func (r *Roller) mayStep(view *keeper.View, model declaration.Model, progress order.Progress) bool {
	now := r.Clock.Now()
	to := declaration.Ref{Model: model.Name, Version: model.Rollout.To}
	if now-progress.Since < clock.Millis(model.Rollout.Hold) || r.Judge.Blocked(to) {
		return false
	}
	finding := r.Judge.Evaluate(view, model, progress)
	if finding.Answers < minAnswers || finding.EvidenceShare() > wary {
		return false
	}
	return r.Judge.HasEvidenceSince(to, now-staleAfter)
}

func (r *Roller) write(ctx context.Context, model declaration.ModelName, p order.Progress) bool {
	pre := storer.Precondition{Match: r.VersionFunc(model)}
	if pre.Match == 0 {
		pre.Absent = true
	}
	return r.put(ctx, order.Name(order.SortProgress, string(model)), p, pre)
}

func (r *Roller) put(ctx context.Context, name string, value any, pre storer.Precondition) bool {
	raw, err := json.Marshal(value)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout.Duration())
	defer cancel()
	version, err := r.Store.Put(ctx, order.Kind, name, raw, pre)
	if err != nil {
		return false // the next tick reads what is in force and decides anew
	}
	if r.OnWritten != nil {
		r.OnWritten(storer.Object{Name: name, Version: version, Value: raw})
	}
	return true
}

// Withdraw records a version found bad in the store. It may be repeated: the order
// is created once, and later tries meet a conflict.
func (r *Roller) Withdraw(ctx context.Context, ref declaration.Ref, reason string) {
	now := r.Clock.Now()
	withdrawal := order.Order{By: "judge", Reason: reason, At: now}
	r.put(ctx, order.Name(order.SortWithdrawal, ref.String()), withdrawal, storer.Precondition{Absent: true})
	progress, found := r.ViewFunc().Progress(ref.Model)
	if !found || progress.To != ref.Version || progress.Phase == order.PhaseBad {
		return
	}
	progress.Phase, progress.Reason, progress.Since = order.PhaseBad, reason, now
	r.write(ctx, ref.Model, progress)
}
