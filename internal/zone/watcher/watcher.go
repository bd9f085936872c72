// Package watcher updates a keeper from the platform's object API with long polls.
//
// Only the duty holders of a zone watch all the time; their peers get changes from them.
// An instance that has received no update for maxSilence watches by itself.
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
	// watchWait is how long the store holds one watch call open while nothing changes.
	watchWait = 10 * clock.Second
	// maxSilence is the time since the last update after which an instance without the duty
	// watches.
	maxSilence = 2 * clock.Second
	// checkInterval is how often an instance without the duty checks the time since the
	// last update.
	checkInterval clock.Millis = 250
	// minBackoff and maxBackoff bound the exponential backoff after an error, before jitter.
	minBackoff clock.Millis = 100
	maxBackoff              = 3 * clock.Second
)

// Watcher watches the store. Set the exported fields before calling Run.
type Watcher struct {
	Clock  *clock.Clock
	Store  *storer.Storer
	Keeper *keeper.Keeper
	// DutyFunc reports whether this instance should watch all the time; nil means yes.
	DutyFunc func() bool
	// OnStoreAnswer, when set, is called after each call to the store, with nil or the error.
	OnStoreAnswer func(err error)
}

// Run watches until ctx is done.
func (w *Watcher) Run(ctx context.Context) error {
	backoff := clock.Millis(0)
	for ctx.Err() == nil {
		if !w.shouldWatch() {
			_ = w.Clock.Sleep(ctx, checkInterval) // the loop ends when ctx is done
			continue
		}
		if err := w.listOrWatch(ctx); err != nil {
			backoff = min(max(2*backoff, minBackoff), maxBackoff)
			jitter := clock.Millis(rand.Int64N(int64(backoff)/2 + 1))
			_ = w.Clock.Sleep(ctx, backoff+jitter) // the loop ends when ctx is done
			continue
		}
		backoff = 0
	}
	return nil
}

func (w *Watcher) shouldWatch() bool {
	if w.DutyFunc == nil || w.DutyFunc() || w.Keeper.CompleteVersion() == 0 {
		return true
	}
	return w.Clock.Now()-w.Keeper.LastContact() > maxSilence
}

// listOrWatch makes one call to the store: a list of all objects while the keeper holds no
// complete state, and a watch afterwards.
func (w *Watcher) listOrWatch(ctx context.Context) error {
	since := w.Keeper.CompleteVersion()
	wait := watchWait
	if since == 0 {
		wait = 0
	}
	changes, err := w.Store.List(ctx, order.Kind, since, wait)
	if w.OnStoreAnswer != nil {
		w.OnStoreAnswer(err)
	}
	if err != nil {
		return err
	}
	w.Keeper.Apply(changes)
	if since == 0 && changes.Version == 0 {
		_ = w.Clock.Sleep(ctx, checkInterval) // an empty store has no version to wait from
	}
	return nil
}
