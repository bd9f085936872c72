// Package watcher updates a keeper from the platform's object API with long polls.
//
// Only the duty holders of a zone watch all the time; their peers get changes from them.
// An instance that has heard from no peer for maxSilence watches by itself. While peers answer
// and the store has confirmed the configuration to none of them for longer than a watch takes,
// instances next in rank ask the store: the duty holders may be cut off from the store alone.
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
	// maxAge is the age of the configuration above which more instances ask the store. It exceeds the
	// wait of a watch and the way of its result between instances.
	maxAge = watchWait + 3*clock.Second
	// widenInterval is the time in which the number of these instances doubles, so that they do not
	// all call a store that nobody reaches.
	widenInterval clock.Millis = 500
	// maxDoublings bounds how often that number doubles.
	maxDoublings = 10
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
	// DutyFunc reports whether this instance is among those that call the store if these are the given
	// number of times as many as usual; nil means yes.
	DutyFunc func(times int) bool
	// OnStoreAnswer, when set, is called after each call to the store, with nil or the error.
	OnStoreAnswer func(err error)
}

// Run watches until ctx is done.
func (w *Watcher) Run(ctx context.Context) error {
	backoff := clock.Millis(0)
	for ctx.Err() == nil {
		wait, due := w.nextCall()
		if !due {
			_ = w.Clock.Sleep(ctx, checkInterval) // the loop ends when ctx is done
			continue
		}
		if err := w.listOrWatch(ctx, wait); err != nil {
			backoff = min(max(2*backoff, minBackoff), maxBackoff)
			jitter := clock.Millis(rand.Int64N(int64(backoff)/2 + 1))
			_ = w.Clock.Sleep(ctx, backoff+jitter) // the loop ends when ctx is done
			continue
		}
		backoff = 0
	}
	return nil
}

// nextCall reports whether a call to the store is due, and how long the store may hold it open.
func (w *Watcher) nextCall() (wait clock.Millis, due bool) {
	switch {
	case w.Keeper.CompleteVersion() == 0:
		return 0, true
	case w.DutyFunc == nil, w.DutyFunc(1), w.Clock.Now()-w.Keeper.LastContact() > maxSilence:
		return watchWait, true
	}
	late := w.Keeper.Age() - maxAge
	return 0, late > 0 && w.DutyFunc(2<<min(late/widenInterval, maxDoublings))
}

// listOrWatch makes one call to the store: a list of all objects while the keeper holds no
// complete state, and a watch afterwards.
func (w *Watcher) listOrWatch(ctx context.Context, wait clock.Millis) error {
	since := w.Keeper.CompleteVersion()
	changes, err := w.Store.List(ctx, order.Kind, since, wait)
	if w.OnStoreAnswer != nil {
		w.OnStoreAnswer(err)
	}
	if err != nil {
		return err
	}
	w.Keeper.Apply(changes)
	w.Keeper.Confirm(changes.Version, 0)
	if since == 0 && changes.Version == 0 {
		_ = w.Clock.Sleep(ctx, checkInterval) // an empty store has no version to wait from
	}
	return nil
}
