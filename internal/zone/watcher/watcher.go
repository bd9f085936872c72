// Package watcher keeps a keeper up to date with the platform's object API.
//
// Only the duty holders of a zone watch all the time; their peers get changes from
// them. An instance that has heard nothing for a while watches by itself.
package watcher

import (
	"context"
	"math/rand/v2"

	"example.com/dotterelwell/internal/contract/order"
	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/zone/keeper"
)

const (
	// waitSpan is how long one watch waits for a change.
	waitSpan = 10 * clock.Second
	// quietSpan is the age of the last news from which an instance without the duty watches.
	quietSpan = 2 * clock.Second
	// checkEvery is how often an instance without the duty looks at the age.
	checkEvery clock.Millis = 250
	// minPause and maxPause bound the pause after an error.
	minPause clock.Millis = 100
	maxPause              = 3 * clock.Second
)

// Watcher watches the store. Set the exported fields, then run Run.
type Watcher struct {
	Clock  *clock.Clock
	Store  *storer.Storer
	Keeper *keeper.Keeper
	// DutyFunc reports whether this instance should watch all the time; nil means yes.
	DutyFunc func() bool
	// OnAnswer, when set, is told of each answer or failure of the store.
	OnAnswer func(err error)
}

// Run watches until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	pause := clock.Millis(0)
	for ctx.Err() == nil {
		if !w.needed() {
			_ = w.Clock.Sleep(ctx, checkEvery) // an ended context ends the loop
			continue
		}
		if err := w.once(ctx); err != nil {
			pause = min(max(2*pause, minPause), maxPause)
			jitter := clock.Millis(rand.Int64N(int64(pause)/2 + 1))
			_ = w.Clock.Sleep(ctx, pause+jitter) // an ended context ends the loop
			continue
		}
		pause = 0
	}
	return nil
}

func (w *Watcher) needed() bool {
	if w.DutyFunc == nil || w.DutyFunc() || w.Keeper.CompleteVersion() == 0 {
		return true
	}
	return w.Clock.Now()-w.Keeper.LastContact() > quietSpan
}

// once makes one call: a read at first, and a watch afterwards.
func (w *Watcher) once(ctx context.Context) error {
	since := w.Keeper.CompleteVersion()
	wait := waitSpan
	if since == 0 {
		wait = 0
	}
	changes, err := w.Store.List(ctx, order.Kind, since, wait)
	if w.OnAnswer != nil {
		w.OnAnswer(err)
	}
	if err != nil {
		return err
	}
	w.Keeper.Apply(changes)
	if since == 0 && changes.Version == 0 {
		_ = w.Clock.Sleep(ctx, checkEvery) // an empty store has no version to wait from
	}
	return nil
}
